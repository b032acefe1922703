"""Follows one prefix of etcd: lists it, then watches from the next revision.

    IDLE      nothing is open           begin() lists, or watches where a revision is known
    LISTING   pages of one revision     the last page publishes a snapshot and opens the watch
    WATCHING  events are received       a response publishes all of its changes at once, at its revision

What is trusted, and what is not:

- A list whose revision is older than the known one comes from a stale member: it is discarded, and the next
  member is asked. Within one cluster a revision never goes back.
- Another `cluster_id` has another history (a restored backup): a snapshot is fetched, nothing is resumed.
- Events at or before the known revision are duplicates and ignored.
- A watch that is cancelled with a `compact_revision` can't be resumed: a snapshot is fetched.
- A response in fragments is applied with its last fragment. If the stream breaks in between, the fragments are
  discarded and requested again.
- A key whose value is no valid entry is reported. It keeps its last valid entry, or is left out if it never had one.

Sources: etcd's "API guarantees" and the comments of `rpc.proto` on RangeRequest, WatchCreateRequest and
WatchResponse; the structure is that of client-go's Reflector.

This module does no I/O: responses in, actions out.
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

MAX_ENTRY_BYTES = 64 << 10
MAX_ENTRIES = 100_000
# Keys whose invalid value is remembered, so that it is reported once.
MAX_REPORTS = 1000
# Bounds the exponent of the retry delay, against overflow.
MAX_DOUBLINGS = 16


# Input.


@dataclass(slots=True)
class Header:
    """The cluster that responded, and its revision at that time."""

    cluster_id: int
    revision: int


@dataclass(slots=True)
class KeyValue:
    """A key with its value and the revision of its last change; a deletion has no value."""

    key: bytes
    value: bytes | None
    revision: int


@dataclass(slots=True)
class RangePage:
    """One page of a list."""

    header: Header
    pairs: list[KeyValue]
    more: bool


@dataclass(slots=True)
class WatchResponse:
    """One response of a watch. `compact_revision` is 0 unless it was cancelled by a compaction."""

    header: Header
    events: list[KeyValue] = field(default_factory=list)
    created: bool = False
    cancelled: bool = False
    compact_revision: int = 0
    fragment: bool = False
    cancel_reason: str = ""


class Failure(Enum):
    """Why a call or stream ended."""

    # Includes a member without a leader, and a silent watch.
    UNREACHABLE = "unreachable"
    COMPACTED = "compacted"
    # Authentication or authorization failed.
    DENIED = "denied"
    OTHER = "other"


# Output.


@dataclass(slots=True)
class FetchPage:
    """Request a page: the keys from `start` on, at a revision (0: the present one)."""

    start: bytes
    revision: int
    limit: int


@dataclass(slots=True)
class OpenWatch:
    """Open a watch from this revision on."""

    start_revision: int


@dataclass(slots=True)
class Reconnect:
    """Close the connection and, after a delay, call `begin` again."""

    delay_ms: float
    next_member: bool


@dataclass(slots=True)
class PublishUpdate:
    """Publish a snapshot, or all changes up to a revision."""

    update: DiscoveryUpdate


@dataclass(slots=True)
class ListConfirmed:
    """The published list was complete when the request was sent that has now been answered."""


@dataclass(slots=True)
class LogProblem:
    """Log a problem for operators."""

    text: str


Action = FetchPage | OpenWatch | Reconnect | PublishUpdate | ListConfirmed | LogProblem


class Phase(Enum):
    """What is open."""

    IDLE = "idle"
    LISTING = "listing"
    WATCHING = "watching"


class Follower:
    """The state machine. `read_entry` reads an entry's JSON, or raises where it is invalid."""

    def __init__(
        self,
        settings: EtcdSettings,
        read_entry: Callable[[dict[str, object]], DiscoveredEndpoint],
        rng: random.Random,
    ) -> None:
        """Start without a list; `rng` gives the jitter."""
        self.settings = settings
        self.prefix = settings.prefix.encode()
        self.read_entry = read_entry
        self.random = rng
        self.guard = ShrinkGuard(settings.guard_share)
        self.phase = Phase.IDLE
        self.cluster_id: int | None = None
        # The revision of the entries below; 0: a snapshot must be fetched.
        self.revision = 0
        # The highest revision of this cluster that was applied.
        self.highest_revision = 0
        # By key, the entries as etcd has them, and their values as written.
        self.members: dict[bytes, DiscoveredEndpoint] = {}
        self.values: dict[bytes, bytes] = {}
        # By id, the entries as published.
        self.published: dict[int, DiscoveredEndpoint] = {}
        # The published ids that etcd no longer has and the guard keeps.
        self.kept_by_guard: set[int] = set()
        # The key that an id was first listed under.
        self.key_of_id: dict[int, bytes] = {}
        # Ids that changed since the last publication.
        self.changed_ids: set[int] = set()
        self.shrink_allowed = False
        # By key, what is wrong with values that are no valid entries.
        self.invalid_values: dict[bytes, str] = {}
        # The pages of the list that is being fetched, its revision and its cluster.
        self.list_pairs: dict[bytes, KeyValue] = {}
        self.list_revision = 0
        self.list_cluster_id = 0
        # The events of a response whose last fragment has not been received.
        self.fragment_events: list[KeyValue] = []
        # Reconnects in a row without anything valid received.
        self.retries = 0

    # Requests.

    def begin(self) -> list[Action]:
        """Return what to request on a new connection."""
        self.list_pairs.clear()
        self.fragment_events.clear()
        if self.revision:
            self.phase = Phase.WATCHING
            return [OpenWatch(self.revision + 1)]
        self.phase = Phase.LISTING
        return [FetchPage(self.prefix, 0, self.settings.page)]

    def forget(self) -> None:
        """Trust whatever the next list says, after a change of endpoints or an operator's order."""
        self.cluster_id, self.revision, self.highest_revision, self.retries = None, 0, 0, 0

    def on_failure(self, failure: Failure) -> list[Action]:
        """Process the end of a call or stream."""
        self.phase = Phase.IDLE
        if failure is Failure.COMPACTED:
            self.revision = 0
            return self.reconnect(next_member=False)
        return self.reconnect(next_member=failure is not Failure.OTHER or self.retries > 0)

    def reconnect(self, next_member: bool) -> list[Action]:
        """Return a reconnect after a delay that doubles each time."""
        self.phase = Phase.IDLE
        delay_ms = min(
            self.settings.retry_first_ms * 2.0 ** min(self.retries, MAX_DOUBLINGS),
            self.settings.retry_most_ms,
        )
        self.retries += 1
        # Jitter, so that nodes that lost etcd together do not come back together.
        return [Reconnect(delay_ms * (0.5 + self.random.random()), next_member)]

    # The list.

    def on_page(self, page: RangePage, now_ms: float) -> list[Action]:
        """Process a page of the list."""
        header = page.header
        if self.list_pairs and header.cluster_id != self.list_cluster_id:
            return self.reconnect(next_member=False)
        if not self.list_pairs:
            if header.cluster_id == self.cluster_id and header.revision < self.highest_revision:
                return [
                    LogProblem(
                        f"a list of revision {header.revision} is older than "
                        f"{self.highest_revision}: not taken"
                    ),
                    *self.reconnect(next_member=True),
                ]
            self.list_revision, self.list_cluster_id = header.revision, header.cluster_id
        for pair in page.pairs:
            self.list_pairs[pair.key] = pair
        if len(self.list_pairs) > MAX_ENTRIES:
            return [
                LogProblem(f"over {MAX_ENTRIES} entries under the prefix"),
                *self.reconnect(next_member=False),
            ]
        if page.more and page.pairs:
            return [FetchPage(page.pairs[-1].key + b"\0", self.list_revision, self.settings.page)]
        return self.apply_list(now_ms)

    def apply_list(self, now_ms: float) -> list[Action]:
        """Apply the complete list."""
        actions: list[Action] = []
        if self.cluster_id is not None and self.cluster_id != self.list_cluster_id:
            actions.append(
                LogProblem("another cluster answers (a restored backup?): its whole list is taken")
            )
        list_pairs, self.list_pairs = self.list_pairs, {}
        for key in [key for key in self.members if key not in list_pairs]:
            self.delete(key)
        self.shrink_allowed = False
        self.invalid_values = {
            key: text for key, text in self.invalid_values.items() if key in list_pairs
        }
        for pair in list_pairs.values():
            actions += self.put(pair)
        self.cluster_id, self.retries = self.list_cluster_id, 0
        self.revision = self.highest_revision = self.list_revision
        self.phase = Phase.WATCHING
        return [
            *actions,
            *self.publish(now_ms, is_snapshot=True),
            ListConfirmed(),
            OpenWatch(self.revision + 1),
        ]

    # The watch.

    def on_watch_response(self, response: WatchResponse, now_ms: float) -> list[Action]:
        """Process a watch response other than one to a progress request."""
        if response.header.cluster_id != self.cluster_id:
            self.revision = 0
            return [
                LogProblem("the watch is another cluster's (a restored backup?)"),
                *self.reconnect(next_member=False),
            ]
        if response.cancelled:
            if response.compact_revision:
                self.revision = 0
                return [
                    LogProblem(
                        f"history up to {response.compact_revision} is compacted away: "
                        "the whole list is fetched"
                    ),
                    *self.reconnect(next_member=False),
                ]
            return [
                LogProblem(f"the watch was cancelled: {response.cancel_reason}"),
                *self.reconnect(next_member=True),
            ]
        self.fragment_events += [
            event for event in response.events if event.revision > self.revision
        ]
        if response.fragment:
            if len(self.fragment_events) > MAX_ENTRIES:
                self.revision = 0
                return [LogProblem("a response without end"), *self.reconnect(next_member=True)]
            return []
        events, self.fragment_events = self.fragment_events, []
        if not response.created:
            self.retries = 0
        if not events:
            return []
        actions: list[Action] = []
        # Of several events of one key the last one holds.
        for event in events:
            actions += self.put(event) if event.value is not None else self.delete(event.key)
        self.revision = self.highest_revision = max(event.revision for event in events)
        return [*actions, *self.publish(now_ms, is_snapshot=False)]

    def on_progress(self, header: Header) -> list[Action]:
        """Process the response to a progress request: all events up to its revision were sent."""
        if header.cluster_id != self.cluster_id:
            self.revision = 0
            return self.reconnect(next_member=False)
        if header.revision < self.revision:
            return [
                LogProblem(f"a member at revision {header.revision} is behind {self.revision}"),
                *self.reconnect(next_member=True),
            ]
        # A later watch need not resume from an older revision.
        self.revision = self.highest_revision = header.revision
        self.retries = 0
        return [ListConfirmed()]

    # Entries.

    def put(self, pair: KeyValue) -> list[Action]:
        """Apply a written key. An invalid value leaves the key's last valid entry in force."""
        name = pair.key[len(self.prefix) :]
        if name == SHRINK_ALLOWED_KEY.encode():
            self.shrink_allowed = True
            return []
        try:
            if pair.value is None or len(pair.value) > MAX_ENTRY_BYTES:
                raise ValueError("an empty or overlong value")
            raw = json.loads(pair.value)
            if not isinstance(raw, dict):
                raise ValueError("no JSON object")
            member = self.read_entry(raw)
            if member.entry.state is EndpointState.GONE:
                raise ValueError("an entry that is gone is deleted, not written")
            if self.key_of_id.get(member.entry.id, pair.key) != pair.key:
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
            reported = self.invalid_values.get(pair.key)
            if len(self.invalid_values) < MAX_REPORTS:
                self.invalid_values[pair.key] = text
            kept = "kept as it was" if pair.key in self.members else "left out"
            shown = pair.key.decode("utf-8", "replace")
            return (
                []
                if reported == text
                else [LogProblem(f"{shown} is no entry and is {kept}: {text}")]
            )
        self.invalid_values.pop(pair.key, None)
        old = self.members.get(pair.key)
        if old is not None and old.entry.id != member.entry.id:
            self.key_of_id.pop(old.entry.id, None)
            self.changed_ids.add(old.entry.id)
        self.changed_ids.add(member.entry.id)
        self.key_of_id[member.entry.id] = pair.key
        self.members[pair.key] = member
        self.values[pair.key] = pair.value
        return []

    def delete(self, key: bytes) -> list[Action]:
        """Apply the deletion of a key."""
        if key[len(self.prefix) :] == SHRINK_ALLOWED_KEY.encode():
            self.shrink_allowed = False
        self.invalid_values.pop(key, None)
        self.values.pop(key, None)
        if (member := self.members.pop(key, None)) is not None:
            self.key_of_id.pop(member.entry.id, None)
            self.changed_ids.add(member.entry.id)
        return []

    def publish(self, now_ms: float, is_snapshot: bool) -> list[Action]:
        """Publish what differs from the published list, in one update."""
        was_holding = self.guard.holding
        allowed = self.guard.allows(len(self.members), now_ms, self.shrink_allowed)
        actions: list[Action] = []
        if was_holding != self.guard.holding:
            actions.append(
                LogProblem(
                    f"only {len(self.members)} of {len(self.published)} servers are left: "
                    "the missing ones are kept until more are listed or "
                    f"{self.settings.prefix}{SHRINK_ALLOWED_KEY} is there"
                    if self.guard.holding
                    else "the list is followed again as it is"
                )
            )
        changed: list[DiscoveredEndpoint] = []
        for endpoint_id in self.changed_ids:
            member = self.members.get(self.key_of_id.get(endpoint_id, b""))
            if member is None:
                self.kept_by_guard |= {endpoint_id} & self.published.keys()
                continue
            self.kept_by_guard.discard(endpoint_id)
            if self.published.get(endpoint_id) != member:
                self.published[endpoint_id] = member
                changed.append(member)
        self.changed_ids.clear()
        if allowed:
            for endpoint_id in self.kept_by_guard:
                gone = self.published.pop(endpoint_id)
                changed.append(replace(gone, entry=replace(gone.entry, state=EndpointState.GONE)))
            self.kept_by_guard.clear()
        if is_snapshot:
            return [
                *actions,
                PublishUpdate(
                    DiscoveryUpdate(
                        UpdateKind.SNAPSHOT, self.revision, list(self.published.values())
                    )
                ),
            ]
        if changed:
            actions.append(PublishUpdate(DiscoveryUpdate(UpdateKind.DELTA, self.revision, changed)))
        return actions
