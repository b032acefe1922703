"""The errors of the policy. A request of an unknown class or tenant raises `LookupError`."""

from __future__ import annotations


class PolicyError(Exception):
    """Base class of the policy's errors."""


class InvalidSettingError(PolicyError, ValueError):
    """A value that a setting can't have.

    Attributes:
        name: the name of the setting for operators.
        value: the rejected value.
    """

    def __init__(self, name: str, value: object) -> None:
        self.name, self.value = name, value
        super().__init__(f"settings: {name} can't be {value!r}")


class StatisticsMismatchError(PolicyError, ValueError):
    """Statistics whose number of classes differs from that of the settings.

    Attributes:
        classes: the number of classes of the statistics.
        expected: the number of classes of the settings.
    """

    def __init__(self, classes: int, expected: int) -> None:
        self.classes, self.expected = classes, expected
        super().__init__(f"it is of {classes} classes, there are {expected} now")
