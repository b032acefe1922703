"""Which index a name has, over all configurations that a node has had. No I/O."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from typing import TypeVar

Name = TypeVar("Name", bytes, str)


def assign_indexes(
    names: Iterable[Name], old: Mapping[Name, int], busy: Container[int]
) -> tuple[dict[Name, int], list[int]]:
    """Return indexes for names, in their order, and those of them that begin anew.

    A name that was there keeps its index. A new one gets the least that no name has and nothing is
    in flight under, so there are never more indexes than names and busy indexes together.

    Args:
        names: of the new configuration.
        old: indexes by name of the configuration in force.
        busy: indexes under which something is in flight.
    """
    names = list(names)
    kept = {name: old[name] for name in names if name in old}
    taken, free, fresh = set(kept.values()), 0, []
    indexes: dict[Name, int] = {}
    for name in names:
        if name not in kept:
            while free in taken or free in busy:
                free += 1
            taken.add(free)
            fresh.append(free)
        indexes[name] = kept.get(name, free)
    return indexes, fresh
