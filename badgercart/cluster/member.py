"""One member of a group and all its uses: reports out, company for the policy. No I/O.

The same in a node and in the lab's model. Effects are the machine's; posts that are news come by
`heard`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from badgercart.cluster.broadcast_queue import most_times
from badgercart.cluster.swim import Effect, Posted, SwimProtocol
from badgercart.cluster.uses import DRAINS, FAILING, USE, Hearsay, Rumours, Shares, company
from badgercart.core.endpoint_table import DiscoveredEndpoint as Line
from badgercart.policy.events import ClusterView
from badgercart.policy.policy import Policy

STALE = 4  # reports that a node may miss before it counts as one that wants its even part
# reports that a node passes on between two of its own: of more nodes each reports less often
PASSED_ON = 64
FADES = 10_000.0  # ms in which another's word of a failing server fades


class Member:
    """A machine, and the uses that are switched on."""

    def __init__(
        self, machine: SwimProtocol, quotas: Sequence[float], share_ms: float, uses: Iterable[str]
    ) -> None:
        self.machine, self.does = machine, frozenset(uses)
        self.name = machine.me.name
        self.share_ms = share_ms
        self.shares = Shares(quotas, machine.me.boot)
        self.rumours, self.hearsay = Rumours(), Hearsay(FADES)
        self.number = 0  # of our posts
        self.out: dict[str, bytes] = {}  # what we have posted, by topic
        self.told: ClusterView | None = None
        self.listeners: dict[str, Callable[[float, str, bytes], None]] = {}  # of other subsystems
        for topic in (USE, *DRAINS, FAILING):
            machine.board.follow(topic)

    @property
    def every(self) -> float:
        """ms between two reports: in a large group more, so that a link bears no more."""
        members = len(self.machine.view.beliefs)
        return self.share_ms * max(1.0, members * most_times(members) / PASSED_ON)

    def next_number(self, now: float) -> int:
        """Of a post: larger than those of the process that had this name before."""
        self.number = max(self.number + 1, int(now + self.machine.offset))
        return self.number

    def post(self, now: float, topic: str, said: bytes) -> list[Effect]:
        if self.out.get(topic) == said:
            return []
        self.out[topic] = said
        return self.machine.post(now, topic, self.next_number(now), said)

    # For other subsystems.

    def listen(
        self,
        topic: str,
        hear: Callable[[float, str, bytes], None],
        urgent: bool = False,
        direct: bool = False,
    ) -> None:
        """Have a subsystem told of the posts on a topic of its own: when, by whom, what. `urgent`:
        they are passed on as they come, not with the next round. `direct`: only who is told by
        `say` is told."""
        self.machine.board.follow(topic, urgent, direct)
        self.listeners[topic] = hear

    def say(self, now: float, topic: str, said: bytes, to: str = "") -> list[Effect]:
        """Post for a subsystem, to all or to one."""
        if to:
            return self.machine.tell(now, to, topic, self.next_number(now), said)
        return self.post(now, topic, said)

    def report(self, now: float, policy: Policy) -> list[Effect]:
        """What others are told of our use, and of the servers that we find failing."""
        effects: list[Effect] = []
        if "shares" in self.does:
            effects += self.post(now, USE, self.shares.report(now))
        if "hearsay" in self.does:
            effects += self.post(now, FAILING, self.hearsay.report(failing(policy)))
        return effects

    def drains(self, now: float, version: int, lines: Iterable[Line]) -> list[Effect]:
        """Our own list, of that version now, has other lines of these servers."""
        for line in lines:
            self.rumours.note(line, version, now)
        effects: list[Effect] = []
        for topic, said in zip(DRAINS, self.rumours.posts(now), strict=False):
            effects += self.post(now, topic, said)
        return effects

    def heard(
        self, now: float, post: Posted, version: int = 0, listed: dict[int, Line] | None = None
    ) -> list[Line]:
        """Take over another's post; gives the lines of our list that are otherwise now."""
        if (hear := self.listeners.get(post.topic)) is not None:
            hear(now, post.author, post.said)
        elif post.topic == USE:
            self.shares.take(post.author, post.said, now)
        elif post.topic == FAILING:
            self.hearsay.take(post.author, post.said, now)
        elif post.topic in DRAINS and "drains" in self.does and listed is not None:
            return self.rumours.take(post.said, version, listed)
        return []

    def company(self, now: float) -> ClusterView | None:
        """What the policy has to be told; None where it knows."""
        standing = self.machine.standing()
        names = [name for name in standing.live if name != self.name]
        self.shares.keep(names)
        self.hearsay.keep(names)
        parts = (
            self.shares.parts(self.name, standing, now, STALE * self.every)
            if "shares" in self.does
            else ()
        )
        hearsay = self.hearsay.levels(names, now) if "hearsay" in self.does else ()
        event = company(self.name, standing, parts, hearsay)
        if event == self.told:
            return None
        self.told = event
        return event


def failing(policy: Policy) -> dict[int, float]:
    """The servers that rest by our own eyes, and how much they fail."""
    return {
        server_id: max(
            health.failure_rate for health in policy.fleet.endpoints.by_id[server_id].health
        )
        for server_id in policy.fleet.outliers.ejected
        if server_id in policy.fleet.endpoints.by_id
    }
