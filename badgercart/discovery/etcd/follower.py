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
from badgercart.discovery.etcd.guard import SHRINK_ALLOWED_KEY, ShrinkGuard
from badgercart.discovery.etcd.settings import EtcdSettings
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import UpdateKind

MAX_ENTRY = 64 << 10  # bytes of one value
MAX_ENTRIES = 100_000
MAX_REPORTS = 1000  # keys whose fault is remembered, so that it is told once


# What comes.


@dataclass(slots=True)
class Header:
    cluster: int
    revision: int


@dataclass(slots=True)
class KeyValue:
    """A key as it stands; a deletion has no value."""

    key: bytes
    value: bytes | None
    revision: int


@dataclass(slots=True)
class RangePage:
    header: Header
    pairs: list[KeyValue]
    more: bool


@dataclass(slots=True)
class WatchResponse:
    """A watch response."""

    header: Header
    events: list[KeyValue] = field(default_factory=list)
    created: bool = False
    cancelled: bool = False
    compacted: int = 0
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
class FetchPage:
    """Ask for a page: keys from here on, at a revision (0: the present one)."""

    start: bytes
    revision: int
    limit: int


@dataclass(slots=True)
class OpenWatch:
    start: int  # revision


@dataclass(slots=True)
class Reconnect:
    """Leave what is open, then `begin` again."""

    delay: float  # ms
    next_member: bool  # at the next endpoint


@dataclass(slots=True)
class PublishUpdate:
    """Hand over, whole: the list or its changes at a revision."""

    update: DiscoveryUpdate


@dataclass(slots=True)
class ListConfirmed:
    """The held list is whole as of when this was asked."""


@dataclass(slots=True)
class LogProblem:
    text: str


Action = FetchPage | OpenWatch | Reconnect | PublishUpdate | ListConfirmed | LogProblem


class Phase(Enum):
    IDLE = "idle"
    LISTING = "listing"
    WATCHING = "watching"


class Follower:
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
        self.high = 0  # the highest revision of this cluster that was held
        self.members: dict[bytes, DiscoveredEndpoint] = {}  # by key, as etcd has them
        self.values: dict[bytes, bytes] = {}  # the same entries as they are written
        self.given: dict[int, DiscoveredEndpoint] = {}  # by id, as handed over
        self.missing: set[int] = (
            set()
        )  # of those, the ones that etcd has no more and the guard keeps
        self.owners: dict[int, bytes] = {}  # which key holds an id
        self.touched: set[int] = set()  # ids that changed since the last hand-over
        self.override = False
        self.bad: dict[bytes, str] = {}  # keys whose values are no entries
        self.building: dict[bytes, KeyValue] = {}
        self.build_at = 0  # the revision of the list under way
        self.build_cluster = 0
        self.pieces: list[KeyValue] = []  # fragments of one response
        self.tries = 0  # in a row without anything good

    # Asking.

    def begin(self) -> list[Action]:
        """Nothing is open: what to ask for."""
        self.building.clear()
        self.pieces.clear()
        if self.revision:
            self.phase = Phase.WATCHING
            return [OpenWatch(self.revision + 1)]
        self.phase = Phase.LISTING
        return [FetchPage(self.prefix, 0, self.settings.page)]

    def forget(self) -> None:
        """Other endpoints, or an operator's word: believe whatever the next list says."""
        self.cluster, self.revision, self.high, self.tries = None, 0, 0, 0

    def on_failure(self, failure: Failure) -> list[Action]:
        """What was open has ended."""
        self.phase = Phase.IDLE
        if failure is Failure.COMPACTED:
            self.revision = 0
            return self.again(next_member=False)
        return self.again(next_member=failure is not Failure.OTHER or self.tries > 0)

    def again(self, next_member: bool) -> list[Action]:
        self.phase = Phase.IDLE
        delay = min(
            self.settings.retry_first_ms * 2.0 ** min(self.tries, 16), self.settings.retry_most_ms
        )
        self.tries += 1
        # Nodes that lost etcd together must not come back together.
        return [Reconnect(delay * (0.5 + self.random.random()), next_member)]

    # The list.

    def on_page(self, page: RangePage, now: float) -> list[Action]:
        header = page.header
        if self.building and header.cluster != self.build_cluster:
            return self.again(next_member=False)
        if not self.building:
            if header.cluster == self.cluster and header.revision < self.high:
                return [
                    LogProblem(
                        f"a list of revision {header.revision} is older than {self.high}: not taken"
                    ),
                    *self.again(next_member=True),
                ]
            self.build_at, self.build_cluster = header.revision, header.cluster
        for pair in page.pairs:
            self.building[pair.key] = pair
        if len(self.building) > MAX_ENTRIES:
            return [
                LogProblem(f"over {MAX_ENTRIES} entries under the prefix"),
                *self.again(next_member=False),
            ]
        if page.more and page.pairs:
            return [FetchPage(page.pairs[-1].key + b"\0", self.build_at, self.settings.page)]
        return self.listed(now)

    def listed(self, now: float) -> list[Action]:
        orders: list[Action] = []
        if self.cluster is not None and self.cluster != self.build_cluster:
            orders.append(
                LogProblem("another cluster answers (a restored backup?): its whole list is taken")
            )
        building, self.building = self.building, {}
        for key in [key for key in self.members if key not in building]:
            self.delete(key)
        self.override = False
        self.bad = {key: text for key, text in self.bad.items() if key in building}
        for pair in building.values():
            orders += self.put(pair)
        self.cluster, self.tries = self.build_cluster, 0
        self.revision = self.high = self.build_at
        self.phase = Phase.WATCHING
        return [
            *orders,
            *self.hand_over(now, whole=True),
            ListConfirmed(),
            OpenWatch(self.revision + 1),
        ]

    # The watch.

    def on_watch_response(self, change: WatchResponse, now: float) -> list[Action]:
        """A watch response, whatever it says."""
        if change.header.cluster != self.cluster:
            self.revision = 0
            return [
                LogProblem("the watch is another cluster's (a restored backup?)"),
                *self.again(next_member=False),
            ]
        if change.cancelled:
            if change.compacted:
                self.revision = 0
                return [
                    LogProblem(
                        f"history up to {change.compacted} is compacted away: the whole list is fetched"
                    ),
                    *self.again(next_member=False),
                ]
            return [
                LogProblem(f"the watch was cancelled: {change.reason}"),
                *self.again(next_member=True),
            ]
        self.pieces += [event for event in change.events if event.revision > self.revision]
        if change.fragment:
            if len(self.pieces) > MAX_ENTRIES:
                self.revision = 0
                return [LogProblem("a response without end"), *self.again(next_member=True)]
            return []
        events, self.pieces = self.pieces, []
        if not change.created:
            self.tries = 0
        if not events:
            return []
        orders: list[Action] = []
        for event in events:  # of one key the last one holds
            orders += self.put(event) if event.value is not None else self.delete(event.key)
        self.revision = self.high = max(event.revision for event in events)
        return [*orders, *self.hand_over(now, whole=False)]

    def on_progress(self, header: Header) -> list[Action]:
        """An answer to a question for progress: all up to its revision has been told."""
        if header.cluster != self.cluster:
            self.revision = 0
            return self.again(next_member=False)
        if header.revision < self.revision:
            return [
                LogProblem(f"a member at revision {header.revision} is behind {self.revision}"),
                *self.again(next_member=True),
            ]
        self.revision = self.high = header.revision  # a later resume need not go further back
        self.tries = 0
        return [ListConfirmed()]

    # Entries.

    def put(self, pair: KeyValue) -> list[Action]:
        name = pair.key[len(self.prefix) :]
        if name == SHRINK_ALLOWED_KEY.encode():
            self.override = True
            return []
        try:
            if pair.value is None or len(pair.value) > MAX_ENTRY:
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
            known = self.bad.get(pair.key)
            if len(self.bad) < MAX_REPORTS:
                self.bad[pair.key] = text
            kept = "kept as it was" if pair.key in self.members else "left out"
            shown = pair.key.decode("utf-8", "replace")
            return (
                [] if known == text else [LogProblem(f"{shown} is no entry and is {kept}: {text}")]
            )
        self.bad.pop(pair.key, None)
        old = self.members.get(pair.key)
        if old is not None and old.entry.id != member.entry.id:
            self.owners.pop(old.entry.id, None)
            self.touched.add(old.entry.id)
        self.touched.add(member.entry.id)
        self.owners[member.entry.id] = pair.key
        self.members[pair.key] = member
        self.values[pair.key] = pair.value
        return []

    def delete(self, key: bytes) -> list[Action]:
        if key[len(self.prefix) :] == SHRINK_ALLOWED_KEY.encode():
            self.override = False
        self.bad.pop(key, None)
        self.values.pop(key, None)
        if (member := self.members.pop(key, None)) is not None:
            self.owners.pop(member.entry.id, None)
            self.touched.add(member.entry.id)
        return []

    def hand_over(self, now: float, whole: bool) -> list[Action]:
        """What differs from what was handed over, in one piece."""
        was = self.guard.holding
        allowed = self.guard.allows(len(self.members), now, self.override)
        orders: list[Action] = []
        if was != self.guard.holding:
            orders.append(
                LogProblem(
                    f"only {len(self.members)} of {len(self.given)} servers are left: the missing ones are "
                    f"kept until more are listed or {self.settings.prefix}{SHRINK_ALLOWED_KEY} is there"
                    if self.guard.holding
                    else "the list is followed again as it is"
                )
            )
        changed: list[DiscoveredEndpoint] = []
        for server in self.touched:
            member = self.members.get(self.owners.get(server, b""))
            if member is None:
                self.missing |= {server} & self.given.keys()
                continue
            self.missing.discard(server)
            if self.given.get(server) != member:
                self.given[server] = member
                changed.append(member)
        self.touched.clear()
        if allowed:
            for server in self.missing:
                gone = self.given.pop(server)
                changed.append(replace(gone, entry=replace(gone.entry, state=EndpointState.GONE)))
            self.missing.clear()
        if whole:
            return [
                *orders,
                PublishUpdate(
                    DiscoveryUpdate(UpdateKind.SNAPSHOT, self.revision, list(self.given.values()))
                ),
            ]
        if changed:
            orders.append(PublishUpdate(DiscoveryUpdate(UpdateKind.DELTA, self.revision, changed)))
        return orders
