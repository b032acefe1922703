"""The content of a file of what was learned: by names and wall time, checked to the last number. No
I/O.

    file = magic "BLRN" | version u16 | length u32 | crc32 u32 | MessagePack map      (big-endian; crc32 is
    zlib's)

Why msgspec: a typed, bounded decoding of MessagePack in one pass, so that nothing read from a disk
can reach the policy unchecked. Classes, kinds and zones stand by their names, since their numbers
are places in a file that may have changed; a server's start is Unix time, since the node's clock
begins anew with the machine.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from badgercart.config import Config
from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.statistics import PolicyStatistics

MAGIC = b"BLRN"
VERSION = 1
PREFIX = struct.Struct(">4sHII")
SLICE = 64  # servers between two pauses
MAX_BYTES = 64 << 20  # of a file; a longer one is not read

# A bound is met by no NaN: nothing that is read needs another check.
Count = Annotated[float, Meta(ge=0, le=1e12)]
Time = Annotated[float, Meta(ge=0, le=1e9)]  # ms
Pace = Annotated[float, Meta(ge=1e-3, le=1e3)]
Share = Annotated[float, Meta(ge=0, le=1)]
Strikes = Annotated[float, Meta(ge=0, le=1e6)]
Number = Annotated[int, Meta(ge=1)]  # a server's; MessagePack ends at 64 bits
Label = Annotated[str, Meta(min_length=1, max_length=1024)]


class SnapshotError(Exception):
    """A file that can't be used: what is wrong with it."""


class Newer(SnapshotError):
    """A file of a version that is not known here: it is left alone."""


class ClassPart(msgspec.Struct, frozen=True):
    """What is known of a class."""

    usual: Time = msgspec.field(name="usual")
    offered: Count = msgspec.field(name="offered")
    beyond: Count = msgspec.field(name="beyond")  # offered beyond a tenant's share


class ServerPart(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a server."""

    number: Number
    started_ms: Annotated[float, Meta(ge=0, le=1e15)]  # Unix; 0: long ago
    slow: Pace
    recent: Count
    fails: list[Share]  # in the order of `classes`
    strikes: list[Strikes]


class Snapshot(msgspec.Struct, frozen=True):
    """All of a file."""

    node: Label = msgspec.field(name="node")
    fleet: str = msgspec.field(name="fleet")  # what tells this fleet from another: zones and kinds
    saved_ms: Annotated[float, Meta(ge=0, le=1e15)] = msgspec.field(name="saved_ms")  # Unix
    classes: dict[str, ClassPart] = msgspec.field(name="classes")
    kinds: dict[str, Pace] = msgspec.field(name="kinds")
    least: Time = msgspec.field(name="least")
    mean: Time = msgspec.field(name="mean")
    answers: Count = msgspec.field(name="answers")
    best_rate: Count = msgspec.field(name="best_rate")
    carried: Count = msgspec.field(name="carried")
    keys_total: Count = msgspec.field(name="keys_total")
    keys: dict[int, Count] = msgspec.field(name="keys")
    servers: list[ServerPart] = msgspec.field(name="servers")


_DECODER: msgspec.msgpack.Decoder[Snapshot] = msgspec.msgpack.Decoder(Snapshot)
MIGRATIONS: dict[
    int, Callable[[bytes], bytes]
] = {}  # by version: its content as that of the next one


def fleet_of(config: Config) -> str:
    """Two nodes whose numbers of zones and kinds mean the same are of one fleet."""
    return "/".join((",".join(config.zones), ",".join(config.kinds)))


def take(
    memory: PolicyStatistics,
    config: Config,
    saved_ms: float,
    unix_offset: float,
    pause: Callable[[], object] = lambda: None,
) -> Snapshot:
    """`unix_offset`: Unix time less the node's clock, ms. `pause` is called now and then, for
    others' turn."""
    count = len(memory.usual)
    names = [name.decode() for name in config.classes]
    kinds = {number: name for name, number in config.kinds.items()}
    classes = {
        name: ClassPart(memory.usual[at], memory.offered[at], memory.offered[count + at])
        for at, name in enumerate(names)
    }
    servers = []
    for place, (number, known) in enumerate(memory.servers.items()):
        if place % SLICE == 0:
            pause()
        started = round(known.started_ms + unix_offset) if known.started_ms else 0.0
        fails, strikes = list(known.failure_rates), list(known.consecutive_ejections)
        servers.append(
            ServerPart(
                number, started, known.relative_latency, known.recent_attempts, fails, strikes
            )
        )
    return Snapshot(
        config.name, fleet_of(config), saved_ms, classes,
        {kinds[number]: pace for number, pace in memory.kinds.items() if number in kinds},
        memory.least, memory.mean, memory.answers, memory.best_rate, memory.carried, memory.keys_total,
        memory.keys, servers,
    )  # fmt: skip


def give(snapshot: Snapshot, config: Config, unix_offset: float) -> PolicyStatistics:
    """The memory that a snapshot holds, for a node of this configuration. Raises SnapshotError.

    A class that it does not know has its prior; one that is no more is left out."""
    if snapshot.fleet != fleet_of(config):
        raise SnapshotError("it is of another fleet: its zones or kinds are others")
    names = [name.decode() for name in config.classes]
    places = {name: at for at, name in enumerate(snapshot.classes)}
    parts = [
        snapshot.classes.get(name, ClassPart(cls.latency_objective_ms / 4, 0.0, 0.0))
        for name, cls in zip(names, config.settings.classes, strict=True)
    ]

    def by_class(values: Sequence[float]) -> tuple[float, ...]:
        return tuple(values[places[name]] if name in places else 0.0 for name in names)

    servers = {
        part.number: EndpointStatistics(
            part.started_ms - unix_offset if part.started_ms else 0.0, part.slow, part.recent,
            by_class(part.fails), by_class(part.strikes),
        )
        for part in snapshot.servers
    }  # fmt: skip
    return PolicyStatistics(
        [part.usual for part in parts],
        [part.offered for part in parts] + [part.beyond for part in parts],
        {config.kinds[name]: pace for name, pace in snapshot.kinds.items() if name in config.kinds},
        snapshot.least, snapshot.mean, snapshot.answers, snapshot.best_rate, snapshot.carried,
        dict(snapshot.keys), snapshot.keys_total, servers,
    )  # fmt: skip


def encode(snapshot: Snapshot) -> bytes:
    data = msgspec.msgpack.encode(snapshot)
    return PREFIX.pack(MAGIC, VERSION, len(data), zlib.crc32(data)) + data


def decode(data: bytes) -> Snapshot:
    """Raises SnapshotError: Newer where its version is."""
    if len(data) > MAX_BYTES:
        raise SnapshotError(f"over {MAX_BYTES >> 20} MiB")
    if data[:4] != MAGIC:
        raise SnapshotError("this is no file of what was learned")
    if len(data) < PREFIX.size:
        raise SnapshotError("it is cut off")
    _, version, length, crc = PREFIX.unpack_from(data)
    body = data[PREFIX.size :]
    if version > VERSION:
        raise Newer(f"it is of version {version}; known here are 1 to {VERSION}")
    if len(body) != length:
        raise SnapshotError(f"it holds {len(body)} bytes, not {length}")
    if zlib.crc32(body) != crc:
        raise SnapshotError("its checksum is wrong")
    while version < VERSION:
        if version not in MIGRATIONS:
            raise SnapshotError(f"nothing reads version {version}")
        body, version = MIGRATIONS[version](body), version + 1
    try:
        snapshot = _DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise SnapshotError(str(error)) from None
    for server in snapshot.servers:
        if not len(server.fails) == len(server.strikes) == len(snapshot.classes):
            raise SnapshotError(
                f"server {server.number:x} is not of {len(snapshot.classes)} classes"
            )
    return snapshot
