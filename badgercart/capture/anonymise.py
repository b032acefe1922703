"""A capture under other names, to be handed on: a night like it, which replays to its own
decisions.

Numbers of keys and servers are hashes of names, and whoever can guess a name can find it. They also
place keys on servers, so that they can't be replaced and the decisions stay. So the night is
decided anew under new numbers, from a keyed hash whose key is thrown away; outcomes follow their
requests, as `whatif` says. Tenants change places with their shares. Node, seed and the time of day
are left out; times count from the first event. Zones, kinds and cells are numbers by their place in
a file, and stay.
"""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from badgercart.capture.build import SegmentBuilder
from badgercart.capture.codec import (
    CodecError,
    decode_settings,
    dump_policy,
    encode_settings,
    module_digest,
)
from badgercart.capture.format import Segment
from badgercart.capture.replay import CapturedEvent, initial_policy, read_events
from badgercart.capture.whatif import Reenactment, renumbered, sent_endpoints
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, Request, UpdateKind
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Settings

BEGIN = 1000.0  # ms on the clock of the new capture, at its first event


class Pseudonyms:
    """New numbers by a keyed hash, never 0 but for 0; tenants by a shuffle."""

    def __init__(self, secret: bytes, tenants: int) -> None:
        self.secret = secret
        self.order = sorted(range(tenants), key=lambda number: self("tenant order", number + 1))

    def __call__(self, kind: str, number: int) -> int:
        if kind == "tenant":
            return self.order.index(number) if number < len(self.order) else number
        if not number:
            return 0
        data = f"{kind} {number}".encode()
        return int.from_bytes(hashlib.blake2b(data, digest_size=8, key=self.secret).digest()) or 1


def fleet(policy: Policy) -> EndpointUpdate:
    """The list that a segment's state begins with."""
    entries = [
        server.endpoint
        for server in policy.fleet.endpoints.by_id.values()
        if server.endpoint.state is not EndpointState.GONE
    ]
    return EndpointUpdate(UpdateKind.SNAPSHOT, 0, entries)


def items_of(segment: Segment, state: Policy) -> list[CapturedEvent]:
    """The events, behind the list that was in force when the segment began."""
    told = list(read_events(segment))
    if not told:
        raise CodecError("there is no event")
    if segment.header["events_before"]:
        told.insert(0, CapturedEvent(told[0].now_ms, fleet(state), b""))
    return told


def anonymise(source: Path, output: Path, secret: bytes | None = None) -> tuple[int, int]:
    """Write a segment under other names; gives its events, and the requests that came under way in
    it.

    Raises FormatError, CodecError and OSError."""
    segment = Segment(source.read_bytes())
    settings = decode_settings(segment.header["settings"])
    names = Pseudonyms(secret or secrets.token_bytes(32), len(settings.quotas_per_s))
    quotas = [0.0] * len(settings.quotas_per_s)
    for number, quota in enumerate(settings.quotas_per_s):
        quotas[names("tenant", number)] = quota
    settings = replace(settings, quotas_per_s=tuple(quotas))
    items = items_of(segment, initial_policy(segment))
    shift = items[0].now_ms - BEGIN
    seed = names("seed", segment.header["seed"] + 1)
    count, taken, data = render(settings, seed, moved(items, shift, names))
    output.write_bytes(data)
    return count, taken


def moved(items: Iterable[CapturedEvent], shift: float, names: Pseudonyms) -> list[CapturedEvent]:
    """Under other names and on another clock."""
    fresh = []
    for item in items:
        event = renumbered(item.event, names)
        if isinstance(event, Request):
            event.deadline_at_ms -= shift
        elif isinstance(event, EndpointUpdate):
            event.endpoints = [began_at(line, shift) for line in event.endpoints]
        fresh.append(CapturedEvent(item.now_ms - shift, event, item.captured_actions))
    return fresh


def began_at(line: Endpoint, shift: float) -> Endpoint:
    """A start that lies before the new clock's zero counts as long ago only where it was."""
    return replace(line, started_ms=line.started_ms - shift) if line.started_ms else line


def render(settings: Settings, seed: int, items: list[CapturedEvent]) -> tuple[int, int, bytes]:
    """A segment of a night that begins with a new policy: its events, requests, and bytes."""
    policy = Policy(settings, seed)
    fields = {
        "node": "",
        "seed": seed,
        "settings": encode_settings(settings),
        "module": module_digest(),
        "segment": 0,
        "events_before": 0,
        "wall_ms": 0.0,
        "state": dump_policy(policy),
    }
    built = SegmentBuilder(fields)
    night = Reenactment(policy, built.add)
    then = sent_endpoints(items)
    for item in items:
        night.feed(item, then)
    night.catch_up(float("inf"))
    requests = sum(isinstance(item.event, Request) for item in items)
    return built.events, requests, built.data()
