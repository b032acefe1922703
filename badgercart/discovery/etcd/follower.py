"""Follows one prefix of etcd: list, then watch from the next revision. No I/O: answers in, orders
out.

    IDLE     nothing is asked           begin() lists, or watches where a revision is held
    LISTING  pages of one revision      the last page hands the list over whole and begins the watch
    WATCHING changes come               a response hands over all of its changes at once, at its revision

What is believed, and what not:

- A list whose revision lies behind the one that is held is a stale member's: not taken, the next member is
  asked. In one cluster a revision never goes back.
- Another `cluster_id` is another history (a restored backup): the whole list is fetched, nothing resumed.
- Events at or behind the held revision were told before: passed over.
- A watch that is cancelled with a `compact_revision` can't be resumed: the whole list is fetched.
- A response in fragments counts with its last one; what a stream cut off in between is asked for again.
- A key whose value is no entry is reported. It keeps its last good entry, or is left out if it never had one.

Sources: etcd's "API guarantees" and the comments of `rpc.proto` on RangeRequest, WatchCreateRequest
and WatchResponse; client-go's Reflector for the shape.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate
from badgercart.discovery.etcd.guard import OVERRIDE_KEY, ShrinkGuard
from badgercart.discovery.etcd.settings import EtcdSettings
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import UpdateKind

MAX_ENTRY_BYTES = 64 << 10  # bytes of one value
MAX_ENTRIES = 100_000
MAX_REPORTS = 1000  # keys whose fault is remembered, so that it is told once


# What comes.


@dataclass(slots=True)
class ResponseHeader:
    cluster: int
    revision: int


@dataclass(slots=True)
class KeyValue:
    """A key as it stands; a deletion has no value."""

    key: bytes
    value: bytes | None
    revision: int


@dataclass(slots=True)
class ListResponse:
    header: ResponseHeader
    pairs: list[KeyValue]
    more: bool


@dataclass(slots=True)
class WatchResponse:
    """A watch response."""

    header: ResponseHeader
    events: list[KeyValue] = field(default_factory=list)
    created: bool = False
    cancelled: bool = False
    compact_revision: int = 0
    fragment: bool = False
    reason: str = ""


class Failure(Enum):
    """Why a call or stream ended."""

    UNREACHABLE = "unreachable"  # also no leader, and silence
    COMPACTED = "compacted"
    DENIED = "denied"  # who we are is not accepted
    OTHER = "other"


# What is to be done.


@dataclass(slots=True)
class RequestPage:
    """Ask for a page: keys from here on, at a revision (0: the present one)."""

    start: bytes
    revision: int
    limit: int


@dataclass(slots=True)
class BeginWatch:
    start: int  # revision


@dataclass(slots=True)
class RestartAfter:
    """Leave what is open, then `begin` again."""

    delay_ms: float  # ms
    next_endpoint: bool  # at the next endpoint


@dataclass(slots=True)
class DeliverUpdate:
    """Hand over, whole: the list or its changes at a revision."""

    update: DiscoveryUpdate


@dataclass(slots=True)
class RecordProof:
    """The held list is whole as of when this was asked."""


@dataclass(slots=True)
class Report:
    text: str


Order = RequestPage | BeginWatch | RestartAfter | DeliverUpdate | RecordProof | Report


class Phase(Enum):
    IDLE = "idle"
    LISTING = "listing"
    WATCHING = "watching"


class EtcdFollower:
    """`read` turns an entry's JSON into a member, or raises ValueError."""

    def __init__(
        self,
        settings: EtcdSettings,
        read: Callable[[dict[str, object]], DiscoveredEndpoint],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.prefix = settings.prefix.encode()
        self.read = read
        self.random = rng
        self.guard = ShrinkGuard(settings.guard_share)
        self.phase = Phase.IDLE
        self.cluster: int | None = None
        self.revision = 0  # of the state that is held; 0: the whole list is wanted
        self.highest_revision = 0  # the highest revision of this cluster that was held
        self.endpoints: dict[bytes, DiscoveredEndpoint] = {}  # by key, as etcd has them
        self.values: dict[bytes, bytes] = {}  # the same entries as they are written
        self.delivered: dict[int, DiscoveredEndpoint] = {}  # by id, as handed over
        self.missing: set[int] = (
            set()
        )  # of those, the ones that etcd has no more and the guard keeps
        self.owners: dict[int, bytes] = {}  # which key holds an id
        self.changed_ids: set[int] = set()  # ids that changed since the last hand-over
        self.override = False
        self.malformed: dict[bytes, str] = {}  # keys whose values are no entries
        self.building: dict[bytes, KeyValue] = {}
        self.building_revision = 0  # the revision of the list under way
        self.building_cluster = 0
        self.fragments: list[KeyValue] = []  # fragments of one response
        self.failures = 0  # in a row without anything good

    # Asking.

    def begin(self) -> list[Order]:
        """Nothing is open: what to ask for."""
        self.building.clear()
        self.fragments.clear()
        if self.revision:
            self.phase = Phase.WATCHING
            return [BeginWatch(self.revision + 1)]
        self.phase = Phase.LISTING
        return [RequestPage(self.prefix, 0, self.settings.page)]

    def reset(self) -> None:
        """Other endpoints, or an operator's word: believe whatever the next list says."""
        self.cluster, self.revision, self.highest_revision, self.failures = None, 0, 0, 0

    def failed(self, failure: Failure) -> list[Order]:
        """What was open has ended."""
        self.phase = Phase.IDLE
        if failure is Failure.COMPACTED:
            self.revision = 0
            return self.restart(next_member=False)
        return self.restart(next_member=failure is not Failure.OTHER or self.failures > 0)

    def restart(self, next_member: bool) -> list[Order]:
        self.phase = Phase.IDLE
        delay = min(
            self.settings.retry_first_ms * 2.0 ** min(self.failures, 16),
            self.settings.retry_most_ms,
        )
        self.failures += 1
        # Nodes that lost etcd together must not come back together.
        return [RestartAfter(delay * (0.5 + self.random.random()), next_member)]

    # The list.

    def page(self, page: ListResponse, now: float) -> list[Order]:
        header = page.header
        if self.building and header.cluster != self.building_cluster:
            return self.restart(next_member=False)
        if not self.building:
            if header.cluster == self.cluster and header.revision < self.highest_revision:
                return [
                    Report(
                        f"a list of revision {header.revision} is older than "
                        f"{self.highest_revision}: not taken"
                    ),
                    *self.restart(next_member=True),
                ]
            self.building_revision, self.building_cluster = header.revision, header.cluster
        for pair in page.pairs:
            self.building[pair.key] = pair
        if len(self.building) > MAX_ENTRIES:
            return [
                Report(f"over {MAX_ENTRIES} entries under the prefix"),
                *self.restart(next_member=False),
            ]
        if page.more and page.pairs:
            return [
                RequestPage(page.pairs[-1].key + b"\0", self.building_revision, self.settings.page)
            ]
        return self.list_complete(now)

    def list_complete(self, now: float) -> list[Order]:
        orders: list[Order] = []
        if self.cluster is not None and self.cluster != self.building_cluster:
            orders.append(
                Report("another cluster answers (a restored backup?): its whole list is taken")
            )
        building, self.building = self.building, {}
        for key in [key for key in self.endpoints if key not in building]:
            self.delete(key)
        self.override = False
        self.malformed = {key: text for key, text in self.malformed.items() if key in building}
        for pair in building.values():
            orders += self.put(pair)
        self.cluster, self.failures = self.building_cluster, 0
        self.revision = self.highest_revision = self.building_revision
        self.phase = Phase.WATCHING
        return [
            *orders,
            *self.deliver(now, whole=True),
            RecordProof(),
            BeginWatch(self.revision + 1),
        ]

    # The watch.

    def change(self, change: WatchResponse, now: float) -> list[Order]:
        """A watch response, whatever it says."""
        if change.header.cluster != self.cluster:
            self.revision = 0
            return [
                Report("the watch is another cluster's (a restored backup?)"),
                *self.restart(next_member=False),
            ]
        if change.cancelled:
            if change.compact_revision:
                self.revision = 0
                return [
                    Report(
                        f"history up to {change.compact_revision} is compacted away: "
                        "the whole list is fetched"
                    ),
                    *self.restart(next_member=False),
                ]
            return [
                Report(f"the watch was cancelled: {change.reason}"),
                *self.restart(next_member=True),
            ]
        self.fragments += [event for event in change.events if event.revision > self.revision]
        if change.fragment:
            if len(self.fragments) > MAX_ENTRIES:
                self.revision = 0
                return [Report("a response without end"), *self.restart(next_member=True)]
            return []
        events, self.fragments = self.fragments, []
        if not change.created:
            self.failures = 0
        if not events:
            return []
        orders: list[Order] = []
        for event in events:  # of one key the last one holds
            orders += self.put(event) if event.value is not None else self.delete(event.key)
        self.revision = self.highest_revision = max(event.revision for event in events)
        return [*orders, *self.deliver(now, whole=False)]

    def progress(self, header: ResponseHeader) -> list[Order]:
        """An answer to a question for progress: all up to its revision has been told."""
        if header.cluster != self.cluster:
            self.revision = 0
            return self.restart(next_member=False)
        if header.revision < self.revision:
            return [
                Report(f"a member at revision {header.revision} is behind {self.revision}"),
                *self.restart(next_member=True),
            ]
        self.revision = self.highest_revision = (
            header.revision
        )  # a later resume need not go further back
        self.failures = 0
        return [RecordProof()]

    # Entries.

    def put(self, pair: KeyValue) -> list[Order]:
        name = pair.key[len(self.prefix) :]
        if name == OVERRIDE_KEY.encode():
            self.override = True
            return []
        try:
            if pair.value is None or len(pair.value) > MAX_ENTRY_BYTES:
                raise ValueError("an empty or overlong value")
            raw = json.loads(pair.value)
            if not isinstance(raw, dict):
                raise ValueError("no JSON object")
            member = self.read(raw)
            if member.entry.state is EndpointState.GONE:
                raise ValueError("an entry that is gone is deleted, not written")
            if self.owners.get(member.entry.id, pair.key) != pair.key:
                raise ValueError(f"{member.name} stands under another key already")
        except (
            KeyError,
            TypeError,
            AttributeError,
            ValueError,
            OverflowError,
            RecursionError,
        ) as error:
            text = f"{error} is missing" if isinstance(error, KeyError) else str(error)
            known = self.malformed.get(pair.key)
            if len(self.malformed) < MAX_REPORTS:
                self.malformed[pair.key] = text
            kept = "kept as it was" if pair.key in self.endpoints else "left out"
            shown = pair.key.decode("utf-8", "replace")
            return [] if known == text else [Report(f"{shown} is no entry and is {kept}: {text}")]
        self.malformed.pop(pair.key, None)
        old = self.endpoints.get(pair.key)
        if old is not None and old.entry.id != member.entry.id:
            self.owners.pop(old.entry.id, None)
            self.changed_ids.add(old.entry.id)
        self.changed_ids.add(member.entry.id)
        self.owners[member.entry.id] = pair.key
        self.endpoints[pair.key] = member
        self.values[pair.key] = pair.value
        return []

    def delete(self, key: bytes) -> list[Order]:
        if key[len(self.prefix) :] == OVERRIDE_KEY.encode():
            self.override = False
        self.malformed.pop(key, None)
        self.values.pop(key, None)
        if (member := self.endpoints.pop(key, None)) is not None:
            self.owners.pop(member.entry.id, None)
            self.changed_ids.add(member.entry.id)
        return []

    def deliver(self, now: float, whole: bool) -> list[Order]:
        """What differs from what was handed over, in one piece."""
        was = self.guard.holding
        allowed = self.guard.allows(len(self.endpoints), now, self.override)
        orders: list[Order] = []
        if was != self.guard.holding:
            orders.append(
                Report(
                    f"only {len(self.endpoints)} of {len(self.delivered)} servers are left: "
                    "the missing ones are "
                    f"kept until more are listed or {self.settings.prefix}{OVERRIDE_KEY} is there"
                    if self.guard.holding
                    else "the list is followed again as it is"
                )
            )
        changed: list[DiscoveredEndpoint] = []
        for server in self.changed_ids:
            member = self.endpoints.get(self.owners.get(server, b""))
            if member is None:
                self.missing |= {server} & self.delivered.keys()
                continue
            self.missing.discard(server)
            if self.delivered.get(server) != member:
                self.delivered[server] = member
                changed.append(member)
        self.changed_ids.clear()
        if allowed:
            for server in self.missing:
                gone = self.delivered.pop(server)
                changed.append(replace(gone, entry=replace(gone.entry, state=EndpointState.GONE)))
            self.missing.clear()
        if whole:
            return [
                *orders,
                DeliverUpdate(
                    DiscoveryUpdate(
                        UpdateKind.SNAPSHOT, self.revision, list(self.delivered.values())
                    )
                ),
            ]
        if changed:
            orders.append(DeliverUpdate(DiscoveryUpdate(UpdateKind.DELTA, self.revision, changed)))
        return orders
