"""The errors of the policy. A request of an unknown class or tenant is a plain `LookupError`."""

from __future__ import annotations


class PolicyError(Exception):
    """The base of the policy's errors."""


class InvalidSettingError(PolicyError, ValueError):
    """A value that a setting can't have.

    Attributes:
        name: the setting, as operators know it.
        value: what it was to be.
    """

    def __init__(self, name: str, value: object) -> None:
        self.name, self.value = name, value
        super().__init__(f"settings: {name} can't be {value!r}")


class StatisticsMismatchError(PolicyError, ValueError):
    """Statistics of other classes than the settings have.

    Attributes:
        classes: how many they are of.
        expected: how many there are.
    """

    def __init__(self, classes: int, expected: int) -> None:
        self.classes, self.expected = classes, expected
        super().__init__(f"it is of {classes} classes, there are {expected} now")
