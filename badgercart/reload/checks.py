"""Holds a configuration against the one in force: what that has must be there, and of its kind. No
I/O."""

from __future__ import annotations

import json
import math
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

# Told of a moment, or only where there is something to tell: they may come and go.
FREE = frozenset(("known", "peers", "peers_all", "peer_listen", "console"))
NAMED = ("Classes", "Customers")  # lists under `settings` whose items have names
MAX_CLASSES, MAX_TENANTS = 256, 4096

KINDS: tuple[tuple[type, str], ...] = (
    (bool, "a flag"),  # before numbers, of which Python takes it for one
    (int, "a number"),
    (float, "a number"),
    (str, "a text"),
    (list, "a list"),
    (dict, "a table"),
)


def load(text: bytes) -> dict[str, Any]:
    """JSON whose numbers are finite. Raises ValueError, RecursionError."""

    def constant(name: str) -> float:
        raise ValueError(f"{name} is no number")

    def number(digits: str) -> float:
        if not math.isfinite(value := float(digits)):
            raise ValueError(f"{digits[:40]} is no number that can be used")
        return value

    raw = json.loads(text, parse_constant=constant, parse_float=number)
    if not isinstance(raw, dict):
        raise ValueError(f"{kind(raw)} where a table belongs")
    return raw


def kind(value: Any) -> str:
    return next((words for cls, words in KINDS if isinstance(value, cls)), "nothing")


# Under `settings`, in `Allowed` and in each class: what must be over 0.
POSITIVE = {"Allowed": ("MaxAttempts",), "Classes": ("Aim", "Deadline")}


def not_over_zero(settings: Mapping[str, Any]) -> Iterator[str]:
    for table, keys in POSITIVE.items():
        found = settings.get(table)
        items = enumerate(found) if isinstance(found, list) else [(None, found)]
        for number, item in items:
            at = f"settings.{table}" + ("" if number is None else f"[{number}]")
            for key in keys:
                value = item.get(key) if isinstance(item, dict) else None
                if isinstance(value, int | float) and not value > 0:
                    yield f"{at}.{key} is {value}, it must be over 0"


def faults(new: Mapping[str, Any], old: Mapping[str, Any]) -> Iterator[str]:
    """What is wrong with a new configuration, by its path in the file."""
    yield from lacks(new, old, "", FREE)
    settings, before = new.get("settings"), old.get("settings")
    if not isinstance(settings, Mapping) or not isinstance(before, Mapping):
        return
    yield from not_over_zero(settings)
    for name, most in zip(NAMED, (MAX_CLASSES, MAX_TENANTS), strict=True):
        items = settings.get(name, [])
        if isinstance(items, list):
            yield from named(items, before.get(name, []), f"settings.{name}", most)


def lacks(
    new: Mapping[str, Any], old: Mapping[str, Any], path: str, free: frozenset[str]
) -> Iterator[str]:
    for key, was in old.items():
        if key in free:
            continue
        at = f"{path}{key}"
        if key not in new:
            yield f"{at} is missing"
        elif kind(new[key]) != kind(was):
            yield f"{at} is {kind(new[key])} where {kind(was)} belongs"
        elif isinstance(was, dict):
            yield from lacks(new[key], was, f"{at}.", frozenset())


def named(items: Sequence[Any], old: Sequence[Any], path: str, most: int) -> Iterator[str]:
    """A list whose items have names: each has all that the old ones have in common, and its name
    alone."""
    if len(items) > most:
        yield f"{path} has over {most} items"
        return
    common = dict(old[0]) if old else {"Name": ""}
    for item in old[1:]:
        common = {key: value for key, value in common.items() if key in item}
    seen: set[str] = set()
    for number, item in enumerate(items):
        at = f"{path}[{number}]"
        if not isinstance(item, dict):
            yield f"{at} is {kind(item)} where a table belongs"
            continue
        yield from lacks(item, common, f"{at}.", frozenset())
        name = item.get("Name")
        if isinstance(name, str) and name in seen:
            yield f"{at}.Name: {name!r} stands there twice"
        seen.add(str(name))
