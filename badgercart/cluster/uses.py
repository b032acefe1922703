"""What nodes do with what they know of each other, as plain inputs for policy and roster. No I/O.

`Shares`: tenants' use as counters that only grow, and the part of each quota that is ours.
`Rumours`: drains that another node heard first. `Hearsay`: servers that others find failing.
`company` puts them together.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace

import msgspec

from badgercart.cluster.quorum import QuorumState
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import ClusterView

USE, FAILING = "use", "failing"  # topics
MAX_TENANTS = 64  # of whose use a post has room for
MAX_RUMOURS = 1024  # drains that are known by rumour or told to others
A_POST = 16  # drains, or failing servers, in one post
DRAINS = tuple(
    f"drains.{number}" for number in range(8)
)  # topics: so many posts a node has out at a time
# ms for which a node tells of a drain: lists are later than that only if they are lost
TOLD_FOR = 60_000.0
RUMOURED = 0.34  # of the listed servers at most are kept out by rumours alone
HEADROOM = 1.2  # of its rate is what a node asks for: traffic grows before it is told
LOOK_BACK = 2000.0  # ms that a rate is taken over: of fewer requests most is chance
MAX_POSTS = 64  # of one node that are kept for it
LEAST = 1e-6  # of a quota: a part is never nothing


class Use(msgspec.Struct, array_like=True, frozen=True):
    """A node's requests by tenant since its process began."""

    boot: int
    at: float  # ms on the author's own clock
    counts: list[int]


_use: Callable[[bytes], Use] = msgspec.msgpack.Decoder(Use).decode
_drains: Callable[[bytes], list[tuple[int, int]]] = msgspec.msgpack.Decoder(
    list[tuple[int, int]]
).decode
_failing: Callable[[bytes], list[tuple[int, float]]] = msgspec.msgpack.Decoder(
    list[tuple[int, float]]
).decode


@dataclass(slots=True)
class Heard:
    """A node's use, as its posts of the last while tell it."""

    boot: int
    came: float  # ms on our clock
    posts: deque[tuple[float, list[int]]] = field(
        default_factory=deque
    )  # when on its clock, counts

    def take(self, told: Use, now: float) -> None:
        """Counts only grow within a process: what does not is no later word."""
        if told.boot != self.boot:
            self.posts.clear()
        elif self.posts:
            at, counts = self.posts[-1]
            if told.at <= at or any(
                new < old for new, old in zip(told.counts, counts, strict=True)
            ):
                return
        self.boot, self.came = told.boot, now
        self.posts.append((told.at, told.counts))
        while len(self.posts) > 2 and (
            self.posts[0][0] < told.at - LOOK_BACK or len(self.posts) > MAX_POSTS
        ):
            self.posts.popleft()

    def rate(self, tenant: int) -> float | None:
        """Requests a ms; None where too little has been told."""
        if len(self.posts) < 2:
            return None
        (since, before), (until, after) = self.posts[0], self.posts[-1]
        return (after[tenant] - before[tenant]) / (until - since)


def levelled(total: float, wants: Sequence[float]) -> list[float]:
    """Max-min fair parts of `total`: nobody gets more than it wants while another lacks.

    What is left over is shared out evenly, so that they add up to `total`."""
    parts, left, open_ = (
        [0.0] * len(wants),
        total,
        sorted(range(len(wants)), key=lambda i: wants[i]),
    )
    for place, i in enumerate(open_):
        parts[i] = min(wants[i], left / (len(open_) - place))
        left -= parts[i]
    return [part + max(left, 0.0) / len(wants) for part in parts]


class Shares:
    """The part of each tenant's quota that this node may use, so that all parts together are the
    quota.

    A part that a node does not want is lent to those who do. A majority takes over the parts of the
    dead; the others keep to an even part of all that may live and lend nothing, so that a group in
    pieces uses less than half a quota too much, however it is cut."""

    def __init__(self, quotas: Sequence[float], boot: int) -> None:
        self.quotas = list(quotas)[:MAX_TENANTS]  # a second
        self.boot = boot
        self.counts = [0] * len(self.quotas)
        self.ours = Heard(boot, 0.0)
        self.heard: dict[str, Heard] = {}
        self.turned_away = 0

    def count(self, tenant: int) -> None:
        if tenant < len(self.counts):
            self.counts[tenant] += 1

    def report(self, now: float) -> bytes:
        """What is posted of our own use."""
        told = Use(self.boot, now, list(self.counts))
        self.ours.take(told, now)
        return msgspec.msgpack.encode(told)

    def take(self, author: str, said: bytes, now: float) -> None:
        """Take over another's post; what can't be one is passed over."""
        try:
            told = _use(said)
        except msgspec.MsgspecError:
            self.turned_away += 1
            return
        if len(told.counts) != len(self.counts) or min(told.counts, default=0) < 0:
            self.turned_away += 1
            return
        self.heard.setdefault(author, Heard(told.boot, now)).take(told, now)

    def keep(self, names: Iterable[str]) -> None:
        """Forget all others."""
        wanted = set(names)
        self.heard = {name: heard for name, heard in self.heard.items() if name in wanted}

    def parts(self, me: str, standing: QuorumState, now: float, stale: float) -> tuple[float, ...]:
        """Of each quota, 0 to 1; what the policy is told. What a node said `stale` ms ago is
        old."""
        if not standing.majority:
            return (1 / standing.may_live,) * len(self.quotas)
        found = []
        for tenant, quota in enumerate(self.quotas):
            nodes = len(standing.live)
            wants = [
                self.wants(name, name == me, tenant, nodes, now, stale) for name in standing.live
            ]
            whole = quota / 1000  # a ms
            part = levelled(whole, wants)[standing.live.index(me)] if whole else 0.0
            found.append(min(max(part / whole if whole else 1 / len(wants), LEAST), 1.0))
        return tuple(found)

    def wants(
        self, name: str, ours: bool, tenant: int, nodes: int, now: float, stale: float
    ) -> float:
        """What a node asks for, a ms: one that has not been heard lately, no less than its even
        part."""
        even = self.quotas[tenant] / 1000 / nodes
        heard = self.ours if ours else self.heard.get(name)
        rate = heard.rate(tenant) if heard is not None else None
        if heard is None or rate is None:
            return even
        wanted = HEADROOM * rate
        return wanted if ours or now - heard.came < stale else max(wanted, even)


# Drains.


@dataclass(slots=True, frozen=True)
class Drain:
    """A server that drains or is gone, by a list of that version."""

    server: int
    version: int


class Rumours:
    """Drains that others heard first. A rumour takes a server out and never brings one back.

    It ends when our own list is as late as the one that it is from: that has the drain or a later
    word."""

    def __init__(self) -> None:
        self.known: dict[int, Drain] = {}
        self.raw: dict[
            int, DiscoveredEndpoint
        ] = {}  # the lines that our own list has of those kept out
        self.told: dict[int, tuple[float, Drain]] = {}  # what we tell others: since when
        self.turned_away = 0

    # Ours, for others.

    def note(self, member: DiscoveredEndpoint, version: int, now: float) -> None:
        """A line of our own list."""
        server = member.entry.id
        if server in self.raw:
            return  # the rumour's own doing
        self.told.pop(server, None)
        if member.entry.state is not EndpointState.READY:
            if len(self.told) >= MAX_RUMOURS:
                self.told.pop(next(iter(self.told)))
            self.told[server] = now, Drain(server, version)

    def posts(self, now: float) -> list[bytes]:
        """What is posted: the newest drains, some to a post."""
        self.told = {s: told for s, told in self.told.items() if now - told[0] < TOLD_FOR}
        newest = [drain for _, drain in reversed(self.told.values())][: A_POST * len(DRAINS)]
        pieces = [newest[at : at + A_POST] for at in range(0, len(newest), A_POST)]
        return [msgspec.msgpack.encode([(d.server, d.version) for d in piece]) for piece in pieces]

    # Others', for us.

    def take(
        self, said: bytes, version: int, listed: dict[int, DiscoveredEndpoint]
    ) -> list[DiscoveredEndpoint]:
        """Take over another's drains; gives the lines that are otherwise now, for
        `Roster.renew`."""
        try:
            drains = [Drain(*told) for told in _drains(said)]
        except msgspec.MsgspecError:
            self.turned_away += 1
            return []
        renewed = []
        for drain in drains[:A_POST]:
            member = listed.get(drain.server)
            before = self.known.get(drain.server)
            if drain.version <= version or (before is not None and before.version >= drain.version):
                continue
            if member is None or member.entry.state is not EndpointState.READY:
                continue
            if len(self.known) >= min(MAX_RUMOURS, max(1, int(RUMOURED * len(listed)))):
                self.turned_away += 1
                continue
            self.known[drain.server] = drain
            renewed.append(member)
        return renewed

    def amend(self, member: DiscoveredEndpoint, version: int) -> DiscoveredEndpoint:
        """What is told of a server in place of its line in a list of that version."""
        server, entry = member.entry.id, member.entry
        rumour = self.known.get(server)
        if rumour is None or version >= rumour.version or entry.state is not EndpointState.READY:
            if rumour is not None and version >= rumour.version:
                del self.known[server]
            self.raw.pop(server, None)
            return member
        self.raw[server] = member
        return replace(member, entry=replace(entry, state=EndpointState.DRAINING))

    def over(self, version: int) -> list[DiscoveredEndpoint]:
        """Rumours that our own list has caught up with: its lines hold again."""
        for server in [s for s, rumour in self.known.items() if rumour.version <= version]:
            del self.known[server]
        return [self.raw.pop(server) for server in list(self.raw) if server not in self.known]


# Hearsay.


class Hearsay:
    """How failing others find a server: the least of the two that find it worst, so that one liar
    counts for nothing, and old word fades."""

    def __init__(self, fades: float) -> None:
        self.fades = fades  # ms
        self.said: dict[str, tuple[float, dict[int, float]]] = {}
        self.turned_away = 0

    def report(self, failing: dict[int, float]) -> bytes:
        worst = sorted(failing.items(), key=lambda pair: -pair[1])[:A_POST]
        return msgspec.msgpack.encode([(server, round(level, 2)) for server, level in worst])

    def take(self, author: str, said: bytes, now: float) -> None:
        try:
            told = _failing(said)
        except msgspec.MsgspecError:
            self.turned_away += 1
            return
        self.said[author] = (
            now,
            {server: level for server, level in told[:A_POST] if 0 <= level <= 1},
        )

    def levels(self, authors: Iterable[str], now: float) -> tuple[tuple[int, float], ...]:
        found: dict[int, list[float]] = {}
        for author in authors:
            at, told = self.said.get(author, (0.0, {}))
            left = 1 - (now - at) / self.fades
            for server, level in told.items():
                if left > 0:
                    found.setdefault(server, []).append(round(level * left, 2))
        agreed = {server: sorted(levels)[-2] for server, levels in found.items() if len(levels) > 1}
        return tuple(sorted((server, level) for server, level in agreed.items() if level > 0))

    def keep(self, names: Iterable[str]) -> None:
        wanted = set(names)
        self.said = {name: said for name, said in self.said.items() if name in wanted}


def company(
    me: str, standing: QuorumState, parts: tuple[float, ...], hearsay: tuple[tuple[int, float], ...]
) -> ClusterView:
    """What the policy is told. Without a majority the node takes itself for one of all that may
    live."""
    live = standing.live
    if not standing.majority:
        return ClusterView(standing.may_live, live.index(me), standing.may_live, parts, hearsay)
    return ClusterView(len(live), live.index(me), standing.may_live, parts, hearsay)
