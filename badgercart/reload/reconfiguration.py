"""Replaces the configuration of a running node: the merged configuration, and the policy's event.

No I/O.
"""

from __future__ import annotations

from collections.abc import Container, Iterator
from dataclasses import dataclass, replace

from badgercart.config import Config
from badgercart.policy.events import SettingsChanged
from badgercart.policy.settings import RequestClass, Settings
from badgercart.reload.index_assignment import assign_indexes


@dataclass(slots=True, frozen=True)
class IndexesInUse:
    """Indexes that are in use by requests in flight or endpoints.

    Attributes:
        classes: indexes of classes.
        tenants: indexes of tenants.
        zones: indexes of zones.
        kinds: indexes of kinds.
        read: indexes of classes of requests that are being read, for which no part of the node has
            stored the class settings yet.
    """

    classes: Container[int] = ()
    tenants: Container[int] = ()
    zones: Container[int] = ()
    kinds: Container[int] = ()
    read: Container[int] = ()


@dataclass(slots=True, frozen=True)
class _Indexes:
    """The indexes of the names in a new configuration; the `reset_` ones belong to new names."""

    classes: dict[bytes, int]
    reset_classes: list[int]
    tenants: dict[bytes, int]
    reset_tenants: list[int]
    zones: dict[str, int]
    kinds: dict[str, int]


def reconfigure(old: Config, new: Config, in_use: IndexesInUse) -> tuple[Config, SettingsChanged]:
    """Return the new configuration with the indexes of the old one, and the event for the policy.

    The index of a removed class keeps its old settings until another class gets the index. A class
    whose settings change while its requests are being read gets another index, so that those
    requests keep the old settings.
    """
    indexes = _assign_indexes(old, new, in_use)
    settings = _merged_settings(old.settings, new, indexes)
    config = replace(
        new,
        # These settings need a restart, and keep their old values.
        listen=old.listen,
        console=old.console,
        name=old.name,
        sockets=old.sockets,
        memory_mb=old.memory_mb,
        # These values belong to the process.
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


def _merged_settings(old_settings: Settings, new: Config, indexes: _Indexes) -> Settings:
    """Return the new settings, with classes, tenants and the node's zone at their new indexes."""
    new_settings = new.settings
    classes: list[RequestClass] = [*old_settings.classes, *new_settings.classes]
    classes = classes[: max(len(old_settings.classes), 1 + max(indexes.classes.values()))]
    for name, index in indexes.classes.items():
        classes[index] = new_settings.classes[new.classes[name]]
    quotas = [0.0] * (1 + max(indexes.tenants.values(), default=-1))
    for tenant, index in indexes.tenants.items():
        quotas[index] = new_settings.quotas_per_s[new.tenants[tenant]]
    own_zone = (
        indexes.zones[name] for name, index in new.zones.items() if index == new_settings.zone
    )
    return replace(
        new_settings,
        classes=tuple(classes),
        quotas_per_s=tuple(quotas),
        zone=next(own_zone, new_settings.zone),
    )


def settings_needing_restart(old: Config, new: Config) -> Iterator[str]:
    """Yield the paths of changed settings that take effect only after a restart."""
    needing_restart = (
        ("listen", old.listen, new.listen),
        ("console", old.console, new.console),
        ("name", old.name, new.name),
        ("limits.sockets", old.sockets, new.sockets),
        ("limits.memory_mb", old.memory_mb, new.memory_mb),
    )
    return (path for path, old_value, new_value in needing_restart if old_value != new_value)
