"""One configuration in place of another: what the node goes on with, and what the policy is told.
No I/O."""

from __future__ import annotations

from collections.abc import Container, Iterator
from dataclasses import dataclass, replace

from badgercart.config import Config
from badgercart.policy.events import SettingsChanged
from badgercart.policy.settings import RequestClass, Settings
from badgercart.reload.numbers import renumbered


@dataclass(slots=True, frozen=True)
class Busy:
    """Numbers that something still goes by, whatever the new configuration names."""

    classes: Container[int] = ()
    tenants: Container[int] = ()
    zones: Container[int] = ()
    kinds: Container[int] = ()
    read: Container[int] = ()  # classes of requests that are read, and whose terms nobody holds yet


# What only a restart puts in force: in a configuration, and its path in the file.
RESTART = (
    ("listen", "listen"),
    ("console", "console"),
    ("name", "name"),
    ("sockets", "limits.sockets"),
    ("memory_mb", "limits.memory_mb"),
)


def retuned(old: Config, new: Config, busy: Busy) -> tuple[Config, SettingsChanged]:
    """The new configuration in the numbers of the old one, and the event for the policy.

    Under the number of a class that vanished its old terms stand until another class takes it over.
    One whose terms change while requests of it are read and not taken is another from then on:
    those keep theirs."""
    wanted, before = new.settings, old.settings
    same = {
        name: number
        for name, number in old.classes.items()
        if name not in new.classes
        or number not in busy.read
        or wanted.classes[new.classes[name]] == before.classes[number]
    }
    classes, fresh = renumbered(new.classes, same, busy.classes)
    tenants, came = renumbered(new.tenants, old.tenants, busy.tenants)
    zones, _ = renumbered(new.zones, old.zones, busy.zones)
    kinds, _ = renumbered(new.kinds, old.kinds, busy.kinds)
    terms: list[RequestClass] = [*before.classes, *wanted.classes]
    terms = terms[: max(len(before.classes), 1 + max(classes.values()))]
    for name, number in classes.items():
        terms[number] = wanted.classes[new.classes[name]]
    quotas = [0.0] * (1 + max(tenants.values(), default=-1))
    for tenant, number in tenants.items():
        quotas[number] = wanted.quotas_per_s[new.tenants[tenant]]
    zone = next(
        (zones[name] for name, number in new.zones.items() if number == wanted.zone), wanted.zone
    )
    settings: Settings = replace(
        wanted, classes=tuple(terms), quotas_per_s=tuple(quotas), zone=zone
    )
    # What takes a restart stays as it was.
    config = replace(
        new,
        **{key: getattr(old, key) for key, _ in RESTART},
        seed=old.seed,
        known=old.known,
        inherited=old.inherited,
        folder=old.folder,
        settings=settings,
        classes=classes,
        tenants=tenants,
        zones=zones,
        kinds=kinds,
    )
    return config, SettingsChanged(
        settings, frozenset(classes.values()), frozenset(fresh), frozenset(came)
    )


def wants_restart(old: Config, new: Config) -> Iterator[str]:
    """What the new file has otherwise and only a restart puts in force, by its path in the file."""
    return (path for key, path in RESTART if getattr(old, key) != getattr(new, key))
