"""Checks a new configuration against the one in force. No I/O.

All that the old configuration has must be in the new one, and be of the same type.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NoReturn

# Keys that may come and go: they tell of a moment, or stand only where there is something to tell.
OPTIONAL_KEYS = frozenset(("known", "peers", "peers_all", "peer_listen", "console"))
NAMED_LISTS = ("Classes", "Customers")  # lists under `settings` whose items have names
MAX_CLASSES, MAX_TENANTS = 256, 4096
MAX_DIGITS_SHOWN = 40  # of a number that is none

# What the types of JSON are called; bool stands before the numbers, which Python takes it for.
TYPE_WORDS: tuple[tuple[type, str], ...] = (
    (bool, "a flag"),
    (int, "a number"),
    (float, "a number"),
    (str, "a text"),
    (list, "a list"),
    (dict, "a table"),
)
# Under `settings`, in `Allowed` and in each class: what must be over 0.
POSITIVE_KEYS = {"Allowed": ("MaxAttempts",), "Classes": ("Aim", "Deadline")}


class InvalidConfigurationError(ValueError):
    """A configuration that is no table of finite numbers; `problem` says why."""

    def __init__(self, problem: str) -> None:
        """Keep what is wrong."""
        super().__init__(problem)
        self.problem = problem


def load(text: bytes) -> dict[str, Any]:
    """Return the table that a JSON text holds; its numbers are finite.

    Raises:
        ValueError: the text is no such table, or no JSON.
        RecursionError: it is nested too deep.
    """
    raw = json.loads(text, parse_constant=_reject_constant, parse_float=_finite_number)
    if not isinstance(raw, dict):
        problem = f"{type_words(raw)} where a table belongs"
        raise InvalidConfigurationError(problem)
    return raw


def _reject_constant(name: str) -> NoReturn:
    problem = f"{name} is no number"
    raise InvalidConfigurationError(problem)


def _finite_number(digits: str) -> float:
    value = float(digits)
    if not math.isfinite(value):
        problem = f"{digits[:MAX_DIGITS_SHOWN]} is no number that can be used"
        raise InvalidConfigurationError(problem)
    return value


def type_words(value: Any) -> str:
    """Return what a value's type is called."""
    return next((words for cls, words in TYPE_WORDS if isinstance(value, cls)), "nothing")


def faults(new: Mapping[str, Any], old: Mapping[str, Any]) -> Iterator[str]:
    """Yield what is wrong with a new configuration, each by its path in the file."""
    yield from _missing_keys(new, old, "", OPTIONAL_KEYS)
    settings, before = new.get("settings"), old.get("settings")
    if not isinstance(settings, Mapping) or not isinstance(before, Mapping):
        return
    yield from _not_positive(settings)
    for name, limit in zip(NAMED_LISTS, (MAX_CLASSES, MAX_TENANTS), strict=True):
        items = settings.get(name, [])
        if isinstance(items, list):
            yield from _named_list(items, before.get(name, []), f"settings.{name}", limit)


def _not_positive(settings: Mapping[str, Any]) -> Iterator[str]:
    for table, keys in POSITIVE_KEYS.items():
        found = settings.get(table)
        items = enumerate(found) if isinstance(found, list) else [(None, found)]
        for number, item in items:
            path = f"settings.{table}" + ("" if number is None else f"[{number}]")
            for key in keys:
                value = item.get(key) if isinstance(item, dict) else None
                if isinstance(value, int | float) and not value > 0:
                    yield f"{path}.{key} is {value}, it must be over 0"


def _missing_keys(
    new: Mapping[str, Any], old: Mapping[str, Any], prefix: str, optional: frozenset[str]
) -> Iterator[str]:
    """Yield keys of the old table that are not in the new one, or of another type there."""
    for key, was in old.items():
        if key in optional:
            continue
        path = f"{prefix}{key}"
        if key not in new:
            yield f"{path} is missing"
        elif type_words(new[key]) != type_words(was):
            yield f"{path} is {type_words(new[key])} where {type_words(was)} belongs"
        elif isinstance(was, dict):
            yield from _missing_keys(new[key], was, f"{path}.", frozenset())


def _named_list(items: Sequence[Any], old: Sequence[Any], path: str, limit: int) -> Iterator[str]:
    """Yield faults of a list whose items have names.

    Each item must have all keys that the old items have in common, and a name of its own.
    """
    if len(items) > limit:
        yield f"{path} has over {limit} items"
        return
    common = _common_keys(old)
    seen: set[str] = set()
    for number, item in enumerate(items):
        at = f"{path}[{number}]"
        if not isinstance(item, dict):
            yield f"{at} is {type_words(item)} where a table belongs"
            continue
        yield from _missing_keys(item, common, f"{at}.", frozenset())
        name = item.get("Name")
        if isinstance(name, str) and name in seen:
            yield f"{at}.Name: {name!r} stands there twice"
        seen.add(str(name))


def _common_keys(items: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    """Return the keys that all items have, with the values of the first one."""
    if not items:
        return {"Name": ""}
    common = dict(items[0])
    for item in items[1:]:
        common = {key: value for key, value in common.items() if key in item}
    return common
