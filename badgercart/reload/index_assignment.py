"""Assigns indexes to names, consistently over all reloads of a node. No I/O."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from typing import TypeVar

Name = TypeVar("Name", bytes, str)


def assign_indexes(
    names: Iterable[Name], old: Mapping[Name, int], busy: Container[int]
) -> tuple[dict[Name, int], list[int]]:
    """Return an index for each name, in order, and the indexes that new names got.

    A name of the old configuration keeps its index. A new name gets the smallest index that no name
    has and that is not busy, so there are never more indexes than names and busy indexes together.

    Args:
        names: the names of the new configuration.
        old: the indexes by name of the current configuration.
        busy: the indexes with requests in flight.
    """
    names = list(names)
    kept = {name: old[name] for name in names if name in old}
    used, candidate, new_indexes = set(kept.values()), 0, []
    indexes: dict[Name, int] = {}
    for name in names:
        if name not in kept:
            while candidate in used or candidate in busy:
                candidate += 1
            used.add(candidate)
            new_indexes.append(candidate)
        indexes[name] = kept.get(name, candidate)
    return indexes, new_indexes
