"""Anonymises a capture, so that it can be passed on.

The numbers of keys and endpoints are hashes of their names, so whoever guesses a name can confirm
it. The numbers also decide which endpoints serve a key, so replacing them changes the decisions.
The traffic is therefore decided anew under new numbers, from a keyed hash whose key is discarded;
the results of attempts follow their requests as `whatif` describes. The anonymised capture
replays to these new decisions. Tenants are permuted together with their quotas. Node, seed and
time of day are left out, and times count from the first event. Zones, machine kinds and cells are
numbers by their position in a file, and stay.
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
from badgercart.capture.whatif import CounterfactualReplay, renumbered, sent_endpoints
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, Request, UpdateKind
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Settings

# The time of the first event on the clock of the anonymised capture.
FIRST_EVENT_MS = 1000.0


class Pseudonyms:
    """Gives new numbers: a keyed hash for keys and endpoints, a permutation for tenants.

    The new number is 0 only where the old one is 0.
    """

    def __init__(self, secret: bytes, tenants: int) -> None:
        self.secret = secret
        self.tenant_order = sorted(
            range(tenants), key=lambda number: self("tenant order", number + 1)
        )

    def __call__(self, kind: str, number: int) -> int:
        """Return the new number of a key, an endpoint ("server"), a tenant or the seed."""
        if kind == "tenant":
            return self.tenant_order.index(number) if number < len(self.tenant_order) else number
        if not number:
            return 0
        data = f"{kind} {number}".encode()
        return int.from_bytes(hashlib.blake2b(data, digest_size=8, key=self.secret).digest()) or 1


def initial_endpoints(policy: Policy) -> EndpointUpdate:
    """Return a snapshot of the endpoint list of a policy."""
    entries = [
        tracked.endpoint
        for tracked in policy.fleet.endpoints.by_id.values()
        if tracked.endpoint.state is not EndpointState.GONE
    ]
    return EndpointUpdate(UpdateKind.SNAPSHOT, 0, entries)


def events_with_endpoints(segment: Segment, policy: Policy) -> list[CapturedEvent]:
    """Return the events of a segment, after the endpoint list as of the segment's beginning."""
    captured = list(read_events(segment))
    if not captured:
        raise CodecError("there is no event")
    if segment.header["events_before"]:
        captured.insert(0, CapturedEvent(captured[0].now_ms, initial_endpoints(policy), b""))
    return captured


def anonymise(source: Path, output: Path, secret: bytes | None = None) -> tuple[int, int]:
    """Write an anonymised copy of a segment; returns its number of events and of requests.

    Raises FormatError, CodecError and OSError.
    """
    segment = Segment(source.read_bytes())
    settings = decode_settings(segment.header["settings"])
    pseudonyms = Pseudonyms(secret or secrets.token_bytes(32), len(settings.quotas_per_s))
    quotas = [0.0] * len(settings.quotas_per_s)
    for number, quota in enumerate(settings.quotas_per_s):
        quotas[pseudonyms("tenant", number)] = quota
    settings = replace(settings, quotas_per_s=tuple(quotas))
    items = events_with_endpoints(segment, initial_policy(segment))
    shift_ms = items[0].now_ms - FIRST_EVENT_MS
    seed = pseudonyms("seed", segment.header["seed"] + 1)
    events, requests, data = render(settings, seed, with_pseudonyms(items, shift_ms, pseudonyms))
    output.write_bytes(data)
    return events, requests


def with_pseudonyms(
    items: Iterable[CapturedEvent], shift_ms: float, pseudonyms: Pseudonyms
) -> list[CapturedEvent]:
    """Return the events with pseudonyms and on another clock."""
    anonymised = []
    for item in items:
        event = renumbered(item.event, pseudonyms)
        if isinstance(event, Request):
            event.deadline_at_ms -= shift_ms
        elif isinstance(event, EndpointUpdate):
            event.endpoints = [shift_start(entry, shift_ms) for entry in event.endpoints]
        anonymised.append(CapturedEvent(item.now_ms - shift_ms, event, item.captured_actions))
    return anonymised


def shift_start(entry: Endpoint, shift_ms: float) -> Endpoint:
    """Move an endpoint's start time to the new clock; 0, which means long ago, stays."""
    return replace(entry, started_ms=entry.started_ms - shift_ms) if entry.started_ms else entry


def render(settings: Settings, seed: int, items: list[CapturedEvent]) -> tuple[int, int, bytes]:
    """Decide events with a new policy; returns the number of events and requests, and a segment."""
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
    builder = SegmentBuilder(fields)
    replay = CounterfactualReplay(policy, builder.add)
    captured_endpoints = sent_endpoints(items)
    for item in items:
        replay.feed(item, captured_endpoints)
    replay.run_scheduled(float("inf"))
    requests = sum(isinstance(item.event, Request) for item in items)
    return builder.events, requests, builder.data()
