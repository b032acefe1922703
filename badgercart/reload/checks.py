"""Checks a new configuration against the current one. No I/O.

The new configuration must have all keys of the old one, with values of the same types.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NoReturn

# Keys that need not be present: they describe a moment, or are only written if there is a value.
OPTIONAL_KEYS = frozenset(("known", "peers", "peers_all", "peer_listen", "console"))
# The lists under `settings` whose items have names.
NAMED_LISTS = ("Classes", "Customers")
MAX_CLASSES = 256
MAX_TENANTS = 4096
# The limit of digits of an invalid number that an error shows.
MAX_DIGITS_SHOWN = 40

# The names of JSON types in errors; bool comes first, because it is a subclass of int.
TYPE_NAMES: tuple[tuple[type, str], ...] = (
    (bool, "a flag"),
    (int, "a number"),
    (float, "a number"),
    (str, "a text"),
    (list, "a list"),
    (dict, "a table"),
)
# The keys of tables under `settings` whose values must be over 0.
POSITIVE_KEYS = {"Allowed": ("MaxAttempts",), "Classes": ("Aim", "Deadline")}


class InvalidConfigurationError(ValueError):
    """A configuration that is not a table, or has a number that is not finite.

    Attributes:
        problem: a description of the fault.
    """

    def __init__(self, problem: str) -> None:
        """Store the description of the fault."""
        super().__init__(problem)
        self.problem = problem


def load(text: bytes) -> dict[str, Any]:
    """Return the table in a JSON text, all of whose numbers must be finite.

    Raises:
        ValueError: the text is not JSON, not a table, or has a number that is not finite.
        RecursionError: the text is nested too deeply.
    """
    raw = json.loads(text, parse_constant=_reject_constant, parse_float=_finite_number)
    if not isinstance(raw, dict):
        problem = f"{type_name(raw)} where a table belongs"
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


def type_name(value: Any) -> str:
    """Return the name of the JSON type of a value."""
    return next((name for cls, name in TYPE_NAMES if isinstance(value, cls)), "nothing")


def faults(new: Mapping[str, Any], old: Mapping[str, Any]) -> Iterator[str]:
    """Yield the faults of a new configuration, each with its path in the file."""
    yield from _missing_keys(new, old, "", OPTIONAL_KEYS)
    settings, old_settings = new.get("settings"), old.get("settings")
    if not isinstance(settings, Mapping) or not isinstance(old_settings, Mapping):
        return
    yield from _not_positive(settings)
    for name, limit in zip(NAMED_LISTS, (MAX_CLASSES, MAX_TENANTS), strict=True):
        items = settings.get(name, [])
        if isinstance(items, list):
            yield from _named_list(items, old_settings.get(name, []), f"settings.{name}", limit)


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
    """Yield keys of the old table that are missing in the new one or have another type."""
    for key, old_value in old.items():
        if key in optional:
            continue
        path = f"{prefix}{key}"
        if key not in new:
            yield f"{path} is missing"
        elif type_name(new[key]) != type_name(old_value):
            yield f"{path} is {type_name(new[key])} where {type_name(old_value)} belongs"
        elif isinstance(old_value, dict):
            yield from _missing_keys(new[key], old_value, f"{path}.", frozenset())


def _named_list(items: Sequence[Any], old: Sequence[Any], path: str, limit: int) -> Iterator[str]:
    """Yield the faults of a list whose items have names.

    Each item must have all keys that the old items have in common, and a unique name.
    """
    if len(items) > limit:
        yield f"{path} has over {limit} items"
        return
    common = _common_keys(old)
    seen: set[str] = set()
    for number, item in enumerate(items):
        item_path = f"{path}[{number}]"
        if not isinstance(item, dict):
            yield f"{item_path} is {type_name(item)} where a table belongs"
            continue
        yield from _missing_keys(item, common, f"{item_path}.", frozenset())
        name = item.get("Name")
        if isinstance(name, str) and name in seen:
            yield f"{item_path}.Name: {name!r} stands there twice"
        seen.add(str(name))


def _common_keys(items: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    """Return the keys that all items have, with the values of the first item."""
    if not items:
        return {"Name": ""}
    common = dict(items[0])
    for item in items[1:]:
        common = {key: value for key, value in common.items() if key in item}
    return common
