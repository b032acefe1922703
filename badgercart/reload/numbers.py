"""Which number a name has, over all configurations that a node has had. No I/O."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from typing import TypeVar

Name = TypeVar("Name", bytes, str)


def renumbered(
    names: Iterable[Name], old: Mapping[Name, int], busy: Container[int]
) -> tuple[dict[Name, int], list[int]]:
    """Numbers for names, in their order, and those of them that begin anew.

    A name that was there keeps its number. A new one gets the least that no name has and nobody is
    busy with: so there are never more numbers than names and busy numbers together."""
    names = list(names)
    kept = {name: old[name] for name in names if name in old}
    taken, free, fresh = set(kept.values()), 0, []
    numbers: dict[Name, int] = {}
    for name in names:
        if name not in kept:
            while free in taken or free in busy:
                free += 1
            taken.add(free)
            fresh.append(free)
        numbers[name] = kept.get(name, free)
    return numbers, fresh
