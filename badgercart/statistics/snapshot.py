"""The content of a file of what was learned: by names and wall time, checked to the last number. No
I/O.

    file = magic "BLRN" | version u16 | length u32 | crc32 u32 | MessagePack map

Numbers are big-endian, and crc32 is zlib's.

Why msgspec: a typed, bounded decoding of MessagePack in one pass, so that nothing read from a disk
reaches the policy unchecked. Classes, kinds and zones stand by their names, since their numbers are
places in a settings file that may have changed; an endpoint's start is Unix time, since the node's
clock begins anew with the machine. Stored names are literals: a rename in the code reaches no byte.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from badgercart.config import Config
from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.latency import assumed_latency_ms
from badgercart.policy.statistics import PolicyStatistics
from badgercart.statistics.errors import NewerVersionError, SnapshotError

MAGIC = b"BLRN"
VERSION = 1
HEADER = struct.Struct(">4sHII")
ENDPOINTS_PER_PAUSE = 64
MAX_BYTES = 64 << 20  # of a file; a longer one is not read

# A bound is met by no NaN: nothing that is read needs another check.
Count = Annotated[float, Meta(ge=0, le=1e12)]
LatencyMs = Annotated[float, Meta(ge=0, le=1e9)]
Ratio = Annotated[float, Meta(ge=1e-3, le=1e3)]
Share = Annotated[float, Meta(ge=0, le=1)]
Ejections = Annotated[float, Meta(ge=0, le=1e6)]
UnixMs = Annotated[float, Meta(ge=0, le=1e15)]
EndpointId = Annotated[int, Meta(ge=1)]  # MessagePack ends at 64 bits
Label = Annotated[str, Meta(min_length=1, max_length=1024)]


class StoredClass(msgspec.Struct, frozen=True):
    """What is known of a class."""

    typical_latency_ms: LatencyMs = msgspec.field(name="usual")
    offered: Count = msgspec.field(name="offered")
    offered_beyond_quota: Count = msgspec.field(name="beyond")


class StoredEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """What is known of an endpoint, by position."""

    endpoint_id: EndpointId
    started_ms: UnixMs  # 0: long ago
    relative_latency: Ratio
    recent_attempts: Count
    failure_rates: list[Share]  # in the order of `classes`
    consecutive_ejections: list[Ejections]


class Snapshot(msgspec.Struct, frozen=True):
    """All of a file."""

    node: Label = msgspec.field(name="node")
    fleet: str = msgspec.field(name="fleet")  # what tells this fleet from another
    saved_ms: UnixMs = msgspec.field(name="saved_ms")
    classes: dict[str, StoredClass] = msgspec.field(name="classes")
    kind_ratios: dict[str, Ratio] = msgspec.field(name="kinds")
    best_latency_ms: LatencyMs = msgspec.field(name="least")
    mean_latency_ms: LatencyMs = msgspec.field(name="mean")
    samples: Count = msgspec.field(name="answers")
    best_rate: Count = msgspec.field(name="best_rate")
    best_rate_per_endpoint: Count = msgspec.field(name="carried")
    keyed_requests: Count = msgspec.field(name="keys_total")
    key_counts: dict[int, Count] = msgspec.field(name="keys")
    endpoints: list[StoredEndpoint] = msgspec.field(name="servers")


_DECODER: msgspec.msgpack.Decoder[Snapshot] = msgspec.msgpack.Decoder(Snapshot)
MIGRATIONS: dict[int, Callable[[bytes], bytes]] = {}  # by version: its content as the next one's


def fleet_identity(config: Config) -> str:
    """Return what is the same for two nodes whose numbers of zones and kinds mean the same."""
    return "/".join((",".join(config.zones), ",".join(config.kinds)))


def make_snapshot(
    statistics: PolicyStatistics,
    config: Config,
    saved_ms: float,
    unix_offset: float,
    pause: Callable[[], object] = lambda: None,
) -> Snapshot:
    """Return statistics as they stand in a file.

    Args:
        statistics: what a policy knows.
        config: the node's, for the names.
        saved_ms: Unix time.
        unix_offset: Unix time less the node's clock, in ms.
        pause: called now and then, so that others have their turn.
    """
    count = len(statistics.typical_latency_ms)
    kinds = {number: name for name, number in config.kinds.items()}
    classes = {
        name.decode(): StoredClass(
            statistics.typical_latency_ms[index],
            statistics.offered[index],
            statistics.offered[count + index],
        )
        for index, name in enumerate(config.classes)
    }
    endpoints: list[StoredEndpoint] = []
    for place, (endpoint_id, known) in enumerate(statistics.endpoints.items()):
        if place % ENDPOINTS_PER_PAUSE == 0:
            pause()
        endpoints.append(_stored_endpoint(endpoint_id, known, unix_offset))
    return Snapshot(
        node=config.name,
        fleet=fleet_identity(config),
        saved_ms=saved_ms,
        classes=classes,
        kind_ratios={
            kinds[kind]: ratio for kind, ratio in statistics.kind_ratios.items() if kind in kinds
        },
        best_latency_ms=statistics.best_latency_ms,
        mean_latency_ms=statistics.mean_latency_ms,
        samples=statistics.samples,
        best_rate=statistics.best_rate,
        best_rate_per_endpoint=statistics.best_rate_per_endpoint,
        keyed_requests=statistics.keyed_requests,
        key_counts=statistics.key_counts,
        endpoints=endpoints,
    )


def _stored_endpoint(
    endpoint_id: int, known: EndpointStatistics, unix_offset: float
) -> StoredEndpoint:
    return StoredEndpoint(
        endpoint_id,
        round(known.started_ms + unix_offset) if known.started_ms else 0.0,
        known.relative_latency,
        known.recent_attempts,
        list(known.failure_rates),
        list(known.consecutive_ejections),
    )


def extract_statistics(snapshot: Snapshot, config: Config, unix_offset: float) -> PolicyStatistics:
    """Return the statistics that a snapshot holds, for a node of this configuration.

    A class that the snapshot does not know has what is assumed of it; one that is no more is left
    out.

    Raises:
        SnapshotError: It is of another fleet.
    """
    if snapshot.fleet != fleet_identity(config):
        raise SnapshotError("it is of another fleet: its zones or kinds are others")
    names = [name.decode() for name in config.classes]
    classes = [
        snapshot.classes.get(name)
        or StoredClass(assumed_latency_ms(config.settings, index), 0.0, 0.0)
        for index, name in enumerate(names)
    ]
    places = {name: place for place, name in enumerate(snapshot.classes)}
    order = [places.get(name) for name in names]
    return PolicyStatistics(
        typical_latency_ms=[cls.typical_latency_ms for cls in classes],
        offered=[cls.offered for cls in classes] + [cls.offered_beyond_quota for cls in classes],
        kind_ratios={
            config.kinds[name]: ratio
            for name, ratio in snapshot.kind_ratios.items()
            if name in config.kinds
        },
        best_latency_ms=snapshot.best_latency_ms,
        mean_latency_ms=snapshot.mean_latency_ms,
        samples=snapshot.samples,
        best_rate=snapshot.best_rate,
        best_rate_per_endpoint=snapshot.best_rate_per_endpoint,
        key_counts=dict(snapshot.key_counts),
        keyed_requests=snapshot.keyed_requests,
        endpoints={
            stored.endpoint_id: _endpoint_statistics(stored, order, unix_offset)
            for stored in snapshot.endpoints
        },
    )


def _endpoint_statistics(
    stored: StoredEndpoint, order: Iterable[int | None], unix_offset: float
) -> EndpointStatistics:
    """Return an endpoint's statistics; `order`: the places of the classes in the snapshot."""
    places = list(order)
    return EndpointStatistics(
        stored.started_ms - unix_offset if stored.started_ms else 0.0,
        stored.relative_latency,
        stored.recent_attempts,
        _reordered(stored.failure_rates, places),
        _reordered(stored.consecutive_ejections, places),
    )


def _reordered(values: Sequence[float], places: Iterable[int | None]) -> tuple[float, ...]:
    return tuple(0.0 if place is None else values[place] for place in places)


def encode(snapshot: Snapshot) -> bytes:
    """Return a snapshot as a file's bytes."""
    data = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, VERSION, len(data), zlib.crc32(data)) + data


def decode(data: bytes) -> Snapshot:
    """Return the snapshot that a file's bytes hold.

    Raises:
        SnapshotError: They hold none that can be used.
        NewerVersionError: They are of a version that is not known here.
    """
    version, body = _unframe(data)
    while version < VERSION:
        if version not in MIGRATIONS:
            raise SnapshotError(f"nothing reads version {version}")
        body, version = MIGRATIONS[version](body), version + 1
    try:
        snapshot = _DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise SnapshotError(str(error)) from error
    _check_classes(snapshot)
    return snapshot


def _unframe(data: bytes) -> tuple[int, bytes]:
    """Return the version and the checked content of a file's bytes."""
    if len(data) > MAX_BYTES:
        raise SnapshotError(f"over {MAX_BYTES >> 20} MiB")
    if data[: len(MAGIC)] != MAGIC:
        raise SnapshotError("this is no file of what was learned")
    if len(data) < HEADER.size:
        raise SnapshotError("it is cut off")
    _, version, length, crc = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if version > VERSION:
        raise NewerVersionError(version, VERSION)
    if len(body) != length:
        raise SnapshotError(f"it holds {len(body)} bytes, not {length}")
    if zlib.crc32(body) != crc:
        raise SnapshotError("its checksum is wrong")
    return version, body


def _check_classes(snapshot: Snapshot) -> None:
    """Raise SnapshotError where an endpoint is of other classes than the snapshot."""
    classes = len(snapshot.classes)
    for stored in snapshot.endpoints:
        if not len(stored.failure_rates) == len(stored.consecutive_ejections) == classes:
            raise SnapshotError(f"server {stored.endpoint_id:x} is not of {classes} classes")
