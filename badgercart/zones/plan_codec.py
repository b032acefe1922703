"""Encodes traffic plans as compressed MessagePack, and validates them on decoding. No I/O."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence

import msgspec

from badgercart.zones.errors import (
    CorruptPlanError,
    ForeignTopologyError,
    IncompletePlanError,
    PlanRowError,
    PlanShapeError,
    PlanZoneError,
)
from badgercart.zones.topology import Topology
from badgercart.zones.traffic_plan import MAX_REASON_CHARS, SHARES_PER_ROW, Plan

# Maximum size of a plan after decompression.
MAX_BODY_BYTES = 64 * 1024

# Zones with their shares.
_Row = list[tuple[int, int]]
_Body = tuple[int, list[_Row], list[int], list[int], str]
_decode_body: Callable[[bytes], _Body] = msgspec.msgpack.Decoder(_Body).decode


def encode_plan(plan: Plan) -> bytes:
    """Return a plan as bytes."""
    return zlib.compress(plan.encode_body())


def decode_plan(data: bytes, topology: Topology) -> Plan:
    """Decode and validate a plan.

    Raises:
        InvalidPlanError: the bytes are not a valid plan for this topology.
    """
    digest, rows, spare, lost, reason = _decompress(data)
    zone_count = len(topology.zones)
    expected = zone_count * topology.row_count
    if digest != topology.digest:
        raise ForeignTopologyError(digest)
    if len(rows) != expected or len(spare) != zone_count or len(reason) > MAX_REASON_CHARS:
        raise PlanShapeError(len(rows), expected)
    if any(not 0 <= zone < zone_count for zone in lost) or any(milli < 0 for milli in spare):
        raise PlanZoneError
    by_number = [_decode_row(number, row, topology) for number, row in enumerate(rows)]
    row_count = topology.row_count
    shares = tuple(
        tuple(by_number[source * row_count : (source + 1) * row_count])
        for source in range(zone_count)
    )
    return Plan(digest, shares, tuple(spare), tuple(lost), reason)


def _decompress(data: bytes) -> _Body:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_BODY_BYTES)
    except zlib.error as error:
        raise CorruptPlanError(str(error)) from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise IncompletePlanError(MAX_BODY_BYTES)
    try:
        return _decode_body(body)
    except msgspec.MsgspecError as error:
        raise CorruptPlanError(str(error)) from error


def _decode_row(number: int, row: Sequence[tuple[int, int]], topology: Topology) -> tuple[int, ...]:
    """Return the shares of one row by zone."""
    zone_count, row_count = len(topology.zones), topology.row_count
    shares = [0] * zone_count
    for zone, share in row:
        if not 0 <= zone < zone_count or share <= 0 or shares[zone]:
            raise PlanRowError(number, f"has an invalid share: zone {zone}, {share}")
        if not topology.may_route(number % row_count, number // row_count, zone):
            raise PlanRowError(number, "leaves its region")
        shares[zone] = share
    if sum(shares) > SHARES_PER_ROW:
        raise PlanRowError(number, f"gives {sum(shares)} of {SHARES_PER_ROW} parts")
    return tuple(shares)
