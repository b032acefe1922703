"""The format of a snapshot file, and its validation. No I/O.

    file = magic "BLRN" | version u16 | length u32 | crc32 u32 | MessagePack map

Numbers are big-endian, and crc32 is zlib's.

msgspec decodes and validates MessagePack in one pass, so that nothing read from a disk reaches the
policy unchecked. Classes, kinds and zones are stored by name, since their numbers are indexes in a
settings file that may have changed. The start of an endpoint is stored as Unix time, since the
node's clock restarts with the machine. The stored names are literals, so that renaming a field in
the code does not change the format.
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
MAX_BYTES = 64 << 20  # a larger file is not read

# NaN is outside all of these bounds, so decoded values need no other check.
Count = Annotated[float, Meta(ge=0, le=1e12)]
LatencyMs = Annotated[float, Meta(ge=0, le=1e9)]
Ratio = Annotated[float, Meta(ge=1e-3, le=1e3)]
Share = Annotated[float, Meta(ge=0, le=1)]
Ejections = Annotated[float, Meta(ge=0, le=1e6)]
UnixMs = Annotated[float, Meta(ge=0, le=1e15)]
EndpointId = Annotated[int, Meta(ge=1)]  # MessagePack itself limits it to 64 bits
NodeName = Annotated[str, Meta(min_length=1, max_length=1024)]


class StoredClass(msgspec.Struct, frozen=True):
    """The statistics of a class."""

    typical_latency_ms: LatencyMs = msgspec.field(name="usual")
    offered: Count = msgspec.field(name="offered")
    offered_beyond_quota: Count = msgspec.field(name="beyond")


class StoredEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """The statistics of an endpoint, stored by position.

    Attributes:
        endpoint_id: the id of the endpoint.
        started_ms: its start time; 0: long ago.
        relative_latency: its latency over the typical one for class and kind.
        recent_attempts: its recent attempts.
        failure_rates: its failure rates, in the order of the snapshot's classes.
        consecutive_ejections: its ejections, in the same order.
    """

    endpoint_id: EndpointId
    started_ms: UnixMs
    relative_latency: Ratio
    recent_attempts: Count
    failure_rates: list[Share]
    consecutive_ejections: list[Ejections]


class Snapshot(msgspec.Struct, frozen=True):
    """The content of a file.

    Attributes:
        node: the name of the node that saved it.
        fleet: the identity of the fleet, by `fleet_identity`.
        saved_ms: the time at which it was saved.
        classes: the statistics of each class, by name.
        kind_ratios: latency over the typical one, by name of the kind of machine.
        best_latency_ms, mean_latency_ms, samples, best_rate, best_rate_per_endpoint,
        keyed_requests, key_counts: as in `PolicyStatistics`.
        endpoints: the statistics of each endpoint.
    """

    node: NodeName = msgspec.field(name="node")
    fleet: str = msgspec.field(name="fleet")
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
# By version: a function that converts the content of this version to that of the next one.
MIGRATIONS: dict[int, Callable[[bytes], bytes]] = {}


def fleet_identity(config: Config) -> str:
    """Return a text that is equal for two nodes if their indexes of zones and kinds are."""
    return "/".join((",".join(config.zones), ",".join(config.kinds)))


def make_snapshot(
    statistics: PolicyStatistics,
    config: Config,
    saved_ms: float,
    unix_offset_ms: float,
    pause: Callable[[], object] = lambda: None,
) -> Snapshot:
    """Return the snapshot of statistics.

    Args:
        statistics: the statistics of a policy.
        config: the node's configuration, which has the names.
        saved_ms: Unix time of the snapshot.
        unix_offset_ms: Unix time minus the node's clock.
        pause: called after each `ENDPOINTS_PER_PAUSE` endpoints, so that other threads can run.
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
    for index, (endpoint_id, known) in enumerate(statistics.endpoints.items()):
        if index % ENDPOINTS_PER_PAUSE == 0:
            pause()
        endpoints.append(_stored_endpoint(endpoint_id, known, unix_offset_ms))
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
    endpoint_id: int, known: EndpointStatistics, unix_offset_ms: float
) -> StoredEndpoint:
    return StoredEndpoint(
        endpoint_id,
        round(known.started_ms + unix_offset_ms) if known.started_ms else 0.0,
        known.relative_latency,
        known.recent_attempts,
        list(known.failure_rates),
        list(known.consecutive_ejections),
    )


def extract_statistics(
    snapshot: Snapshot, config: Config, unix_offset_ms: float
) -> PolicyStatistics:
    """Return the statistics of a snapshot, for a node of this configuration.

    A class that the snapshot does not have gets the assumed statistics; a class that the
    configuration does not have is left out.

    Raises:
        SnapshotError: The snapshot is of another fleet.
    """
    if snapshot.fleet != fleet_identity(config):
        raise SnapshotError("it is of another fleet: its zones or kinds are others")
    names = [name.decode() for name in config.classes]
    classes = [
        snapshot.classes.get(name)
        or StoredClass(assumed_latency_ms(config.settings, index), 0.0, 0.0)
        for index, name in enumerate(names)
    ]
    stored_indexes = {name: index for index, name in enumerate(snapshot.classes)}
    order = [stored_indexes.get(name) for name in names]
    return PolicyStatistics(
        typical_latency_ms=[stored_class.typical_latency_ms for stored_class in classes],
        offered=[stored_class.offered for stored_class in classes]
        + [stored_class.offered_beyond_quota for stored_class in classes],
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
            stored.endpoint_id: _endpoint_statistics(stored, order, unix_offset_ms)
            for stored in snapshot.endpoints
        },
    )


def _endpoint_statistics(
    stored: StoredEndpoint, order: Iterable[int | None], unix_offset_ms: float
) -> EndpointStatistics:
    """Return an endpoint's statistics; `order` has the indexes of the classes in the snapshot."""
    stored_indexes = list(order)
    return EndpointStatistics(
        stored.started_ms - unix_offset_ms if stored.started_ms else 0.0,
        stored.relative_latency,
        stored.recent_attempts,
        _reordered(stored.failure_rates, stored_indexes),
        _reordered(stored.consecutive_ejections, stored_indexes),
    )


def _reordered(values: Sequence[float], order: Iterable[int | None]) -> tuple[float, ...]:
    return tuple(0.0 if index is None else values[index] for index in order)


def encode(snapshot: Snapshot) -> bytes:
    """Return the bytes of the file for a snapshot."""
    data = msgspec.msgpack.encode(snapshot)
    return HEADER.pack(MAGIC, VERSION, len(data), zlib.crc32(data)) + data


def decode(data: bytes) -> Snapshot:
    """Return the snapshot in the bytes of a file.

    Raises:
        SnapshotError: The bytes are not a valid snapshot.
        NewerVersionError: The file has a newer version than this release can read.
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
    """Return the version and the content of a file, after checking its header and checksum."""
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
    """Raise SnapshotError if an endpoint has another number of classes than the snapshot."""
    classes = len(snapshot.classes)
    for stored in snapshot.endpoints:
        if not len(stored.failure_rates) == len(stored.consecutive_ejections) == classes:
            raise SnapshotError(f"server {stored.endpoint_id:x} is not of {classes} classes")
