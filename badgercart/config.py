"""The platform node's configuration: the ROUTER_* variables and the JSON file that they name."""

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
INHERITED_FD_VARIABLE = "ROUTER_INHERITED_FD"


class ConfigError(Exception):
    """A configuration that a node can't start with. The message is one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one node."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # the limit of file descriptors
    known: dict[str, Any]  # the endpoint list that this node had last; empty if there is none
    settings: Settings
    # Indexes by name, in the order of the settings.
    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    kinds: dict[str, int]
    zones: dict[str, int]
    dial_timeout: float  # ms
    idle_timeout: float  # ms after which a server closes an idle connection
    drain_grace: float = 500.0  # ms after which a draining server gets no new requests
    # The tenant of requests without a tenant header; None: they are rejected.
    default_tenant: bytes | None = None
    console: Address | None = None  # of the admin listener; None: there is none
    inherited: int | None = None  # file descriptor of the listening socket, if the platform has it
    memory_mb: float = 192.0  # the limit of the process's memory
    folder: Path | None = None  # shared by the processes of this node
    # The source address of connections to servers; None: the system chooses.
    source: str | None = None
    key_secret: bytes = b""  # for hashing the keys of requests; the same at all nodes

    # The classes whose responses have no deadline once they have begun.
    streamed_classes: frozenset[bytes] = frozenset()

    raw: dict[str, Any] = field(default_factory=dict, compare=False)  # the parsed file

    def tenant_index(self, name: bytes | None) -> int | None:
        """Return a tenant's index; None for an unknown name, 0 if no tenants are configured."""
        return self.tenants.get(name or self.default_tenant or b"") if self.tenants else 0

    @property
    def streamed_class_indexes(self) -> frozenset[int]:
        """The indexes of `streamed_classes`."""
        return frozenset(self.classes[name] for name in self.streamed_classes)

    @property
    def longest_deadline_ms(self) -> float:
        """The longest deadline of all request classes."""
        return max(cls.deadline_ms for cls in self.settings.classes)


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no host:port")
    return host, int(port)


def parse_descriptor(text: str) -> int:
    """Parse a file descriptor's number. Raises ValueError."""
    if not text.isdecimal() or not 2 < int(text) < 1 << 20:
        raise ValueError(f"{INHERITED_FD_VARIABLE}: {text!r} is no descriptor")
    return int(text)


def effective_descriptor_limit(configured: int) -> int:
    """Return the configured limit of file descriptors, or the system's if that is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


def checked_descriptor_limit(configured: int, console: bool) -> int:
    """Return the effective limit of file descriptors. Raises ValueError if it is too low."""
    try:
        return DescriptorBudget.for_limit(effective_descriptor_limit(configured), console).limit
    except DescriptorLimitError as error:
        raise ValueError(f"limits.sockets: {error}") from None


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration. A variable overrides the same value in the file.

    Raises ConfigError.
    """
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
            environ.get(INHERITED_FD_VARIABLE),
        )
        return Config(
            name=str(environ.get("ROUTER_NAME") or raw["name"]),
            listen=parse_address(environ.get("ROUTER_LISTEN") or raw["listen"]),
            discovery=parse_address(environ.get("ROUTER_DISCOVERY") or raw["discovery"]),
            seed=int(raw["seed"], 16),
            sockets=checked_descriptor_limit(int(raw["limits"]["sockets"]), bool(console)),
            memory_mb=float(raw["limits"]["memory_mb"]),
            known=dict(raw.get("known") or {}),
            settings=read_settings(json.dumps(settings).encode()),
            classes={c["Name"].encode(): i for i, c in enumerate(settings["Classes"])},
            streamed_classes=frozenset(
                c["Name"].encode() for c in settings["Classes"] if c.get("Stream")
            ),
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


def reload_config(environ: Mapping[str, str], old: Config) -> Config:
    """Read the file again and check it against the configuration in use.

    The discovery address of the file overrides ROUTER_DISCOVERY here. Raises ConfigError.
    """
    new = read_config({k: v for k, v in environ.items() if k != "ROUTER_DISCOVERY"})
    for fault in faults(new.raw, old.raw):
        raise ConfigError(f"{environ['ROUTER_CONFIG']}: {fault}")
    return new
