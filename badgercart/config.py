"""What a node is told at its start: the ROUTER_* variables and the JSON file that they name."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from badgercart.core.descriptors import DescriptorBudget, DescriptorLimitError
from badgercart.policy.settings import Settings
from badgercart.reload.checks import faults, load
from badgercart.simulator.errors import WireError
from badgercart.simulator.settings_reader import read_settings

Address = tuple[str, int]
INHERITED = "ROUTER_INHERITED_FD"


class ConfigError(Exception):
    """A configuration that a node can't start with: what is wrong, in one line."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # file descriptors that the process may hold
    known: dict[str, Any]  # the server list as this node last had it; empty: none
    settings: Settings
    classes: dict[bytes, int]  # numbers of the names, in the order of the settings
    tenants: dict[bytes, int]
    kinds: dict[str, int]
    zones: dict[str, int]
    dial_timeout: float  # ms
    idle_timeout: float  # ms after which a server closes a connection that carries nothing
    drain_grace: float = 500.0  # ms after which nothing new goes to a draining server
    default_tenant: bytes | None = (
        None  # whom requests without a tenant count for; None: they are bad
    )
    console: Address | None = None  # where operators call; None: nowhere
    inherited: int | None = None  # the descriptor of the listening socket that the platform holds
    memory_mb: float = 192.0  # that the process may take
    folder: Path | None = None  # shared by the processes of this node
    source: str | None = (
        None  # the address that connections set out from; None: the system's choice
    )
    key_secret: bytes = b""  # by which requests' keys are hashed; the same at all nodes

    raw: dict[str, Any] = field(default_factory=dict, compare=False)  # the file

    def tenant(self, name: bytes | None) -> int | None:
        """The number of a tenant; None where there is none of this name, 0 where there are no
        tenants."""
        return self.tenants.get(name or self.default_tenant or b"") if self.tenants else 0

    @property
    def longest(self) -> float:
        """The longest that any client waits, in ms."""
        return max(cls.deadline_ms for cls in self.settings.classes)


def parse_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no host:port")
    return host, int(port)


def parse_descriptor(text: str) -> int:
    if not text.isdecimal() or not 2 < int(text) < 1 << 20:
        raise ValueError(f"{INHERITED}: {text!r} is no descriptor")
    return int(text)


def held_to(told: int) -> int:
    """Descriptors that the process may hold: what it is told, or what the system lets it, if that
    is less."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return told if soft == resource.RLIM_INFINITY else min(told, soft)


def descriptors(told: int, console: bool) -> int:
    """The same, checked: ValueError where they are too few."""
    try:
        return DescriptorBudget.for_limit(held_to(told), console).limit
    except DescriptorLimitError as error:
        raise ValueError(f"limits.sockets: {error}") from None


def read_config(environ: Mapping[str, str]) -> Config:
    """The node's configuration. The variables win over what the file repeats of them."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        raw = load(Path(path).read_bytes())
        settings = raw["settings"]
        allowed = settings["Allowed"]
        for fault in faults(raw, raw):
            raise ValueError(fault)
        console, descriptor = (
            environ.get("ROUTER_CONSOLE") or raw.get("console"),
            environ.get(INHERITED),
        )
        return Config(
            name=str(environ.get("ROUTER_NAME") or raw["name"]),
            listen=parse_address(environ.get("ROUTER_LISTEN") or raw["listen"]),
            discovery=parse_address(environ.get("ROUTER_DISCOVERY") or raw["discovery"]),
            seed=int(raw["seed"], 16),
            sockets=descriptors(int(raw["limits"]["sockets"]), bool(console)),
            memory_mb=float(raw["limits"]["memory_mb"]),
            known=dict(raw.get("known") or {}),
            settings=read_settings(json.dumps(settings).encode()),
            classes={c["Name"].encode(): i for i, c in enumerate(settings["Classes"])},
            tenants={c["Name"].encode(): i for i, c in enumerate(settings.get("Customers", ()))},
            kinds={name: i for i, name in enumerate(settings.get("Kinds", ()))},
            zones={name: i for i, name in enumerate(settings.get("Azs", ()))},
            dial_timeout=float(allowed["DialTimeout"]),
            idle_timeout=float(allowed["ConnIdle"]),
            drain_grace=float(settings["Obligations"]["DrainGrace"]),
            console=parse_address(console) if console else None,
            inherited=parse_descriptor(descriptor) if descriptor else None,
            folder=Path(environ.get("TMPDIR") or "/tmp"),
            raw=raw,
        )
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
        WireError,
    ) as error:
        raise ConfigError(f"{path}: {error}") from None


def reread(environ: Mapping[str, str], old: Config) -> Config:
    """The file as it is now, held against the one in force. Its discovery wins over
    ROUTER_DISCOVERY."""
    new = read_config({k: v for k, v in environ.items() if k != "ROUTER_DISCOVERY"})
    for fault in faults(new.raw, old.raw):
        raise ConfigError(f"{environ['ROUTER_CONFIG']}: {fault}")
    return new
