"""One configuration in place of another: what the node goes on with, and what the policy is told.

No I/O.
"""

from __future__ import annotations

from collections.abc import Container, Iterator
from dataclasses import dataclass, replace

from badgercart.config import Config
from badgercart.policy.events import SettingsChanged
from badgercart.policy.settings import RequestClass, Settings
from badgercart.reload.numbers import assign_indexes


@dataclass(slots=True, frozen=True)
class IndexesInUse:
    """Indexes under which something is in flight, whatever the new configuration names."""

    classes: Container[int] = ()
    tenants: Container[int] = ()
    zones: Container[int] = ()
    kinds: Container[int] = ()
    # Classes of requests that are being read, and whose settings no part of the node holds yet.
    read: Container[int] = ()


@dataclass(slots=True, frozen=True)
class _Indexes:
    """The indexes of a new configuration's names."""

    classes: dict[bytes, int]
    reset_classes: list[int]  # of classes that begin anew
    tenants: dict[bytes, int]
    reset_tenants: list[int]
    zones: dict[str, int]
    kinds: dict[str, int]


def reconfigure(old: Config, new: Config, in_use: IndexesInUse) -> tuple[Config, SettingsChanged]:
    """Return the new configuration by the indexes of the old one, and the event for the policy.

    The index of a class that vanished keeps its old settings until another class takes it over. A
    class whose settings change while requests of it are being read gets another index: those
    requests keep the old settings.
    """
    indexes = _assign_indexes(old, new, in_use)
    settings = _merged_settings(old.settings, new, indexes)
    config = replace(
        new,
        # These need a restart, and stay as they were.
        listen=old.listen,
        console=old.console,
        name=old.name,
        sockets=old.sockets,
        memory_mb=old.memory_mb,
        # These are of the process.
        seed=old.seed,
        known=old.known,
        inherited=old.inherited,
        folder=old.folder,
        settings=settings,
        classes=indexes.classes,
        tenants=indexes.tenants,
        zones=indexes.zones,
        kinds=indexes.kinds,
    )
    event = SettingsChanged(
        settings,
        frozenset(indexes.classes.values()),
        frozenset(indexes.reset_classes),
        frozenset(indexes.reset_tenants),
    )
    return config, event


def _assign_indexes(old: Config, new: Config, in_use: IndexesInUse) -> _Indexes:
    unchanged = {
        name: index
        for name, index in old.classes.items()
        if name not in new.classes
        or index not in in_use.read
        or new.settings.classes[new.classes[name]] == old.settings.classes[index]
    }
    classes, reset_classes = assign_indexes(new.classes, unchanged, in_use.classes)
    tenants, reset_tenants = assign_indexes(new.tenants, old.tenants, in_use.tenants)
    zones, _ = assign_indexes(new.zones, old.zones, in_use.zones)
    kinds, _ = assign_indexes(new.kinds, old.kinds, in_use.kinds)
    return _Indexes(classes, reset_classes, tenants, reset_tenants, zones, kinds)


def _merged_settings(before: Settings, new: Config, indexes: _Indexes) -> Settings:
    """Return the new settings, with classes, tenants and the node's zone by their new indexes."""
    wanted = new.settings
    classes: list[RequestClass] = [*before.classes, *wanted.classes]
    classes = classes[: max(len(before.classes), 1 + max(indexes.classes.values()))]
    for name, index in indexes.classes.items():
        classes[index] = wanted.classes[new.classes[name]]
    quotas = [0.0] * (1 + max(indexes.tenants.values(), default=-1))
    for tenant, index in indexes.tenants.items():
        quotas[index] = wanted.quotas_per_s[new.tenants[tenant]]
    own_zone = (indexes.zones[name] for name, index in new.zones.items() if index == wanted.zone)
    return replace(
        wanted,
        classes=tuple(classes),
        quotas_per_s=tuple(quotas),
        zone=next(own_zone, wanted.zone),
    )


def settings_needing_restart(old: Config, new: Config) -> Iterator[str]:
    """Yield what differs and only a restart puts in force, by its path in the file."""
    needing_restart = (
        ("listen", old.listen, new.listen),
        ("console", old.console, new.console),
        ("name", old.name, new.name),
        ("limits.sockets", old.sockets, new.sockets),
        ("limits.memory_mb", old.memory_mb, new.memory_mb),
    )
    return (path for path, was, wanted in needing_restart if was != wanted)
