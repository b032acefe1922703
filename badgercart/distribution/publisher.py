"""What a store tells its followers: changes in force, to those alone that asked for the topic. No
I/O.

A follower that is behind by little gets the changes that it lacks (a bounded history), else the
topic whole. No more is built for a connection than BURST bytes a call: what is left over waits for
the next, and what changes meanwhile is told from what the follower was sent last.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from badgercart.distribution.effects import Close, Effect, Send
from badgercart.distribution.messages import (
    MAX_TOPICS,
    WHOLE,
    Beat,
    Change,
    Delta,
    Entry,
    No,
    Subscribe,
    Whole,
)
from badgercart.distribution.topic import EACH, Topic

BURST = (
    256 << 10
)  # bytes built for one connection in one call; the message that passes it is the last


@dataclass(slots=True, frozen=True)
class Bounds:
    """Of one store's tables."""

    topics: int = 16_384
    entries: int = 1_000_000  # of all topics together
    subscriptions: int = 1 << 18  # of all followers together
    history_each: int = 64  # changes of one topic that are told again
    history: int = 16_384  # of all topics together
    history_bytes: int = 64 << 20
    log: int = 4096  # changes in force that are kept for other stores; twice that for a while
    log_bytes: int = 64 << 20  # the same, in bytes
    waiting: int = 1024  # proposals that are not decided
    waiting_bytes: int = 16 << 20
    stages: int = 2  # stores that are told all topics at one time
    parts: int = 4096  # in which a store takes all topics
    guests: int = 256  # connections that are neither stores' nor subscribed


def size(entries: Iterable[Entry]) -> int:
    """Bytes of entries in a frame, at most."""
    return sum(len(entry.key.encode()) + len(entry.value or b"") + EACH for entry in entries)


@dataclass(slots=True)
class Follower:
    """One subscribed connection."""

    connection: int
    told: dict[str, int] = field(
        default_factory=dict
    )  # the number last sent, or that it had; by topic
    ahead: dict[str, int] = field(
        default_factory=dict
    )  # digests of topics that it knew more of than we did
    todo: dict[str, None] = field(
        default_factory=dict
    )  # topics that it is to be told, first come first
    whole: deque[Whole] = field(default_factory=deque)  # parts that are left of the topic under way
    stalled: bool = False
    complete: float = float("-inf")  # when it had last been sent all


class Teller:
    """All topics as in force here, and who asked for which."""

    def __init__(self, topics: dict[str, Topic], most_followers: int, bounds: Bounds) -> None:
        self.topics, self.most, self.bounds = topics, most_followers, bounds
        self.entries = sum(len(topic.entries) for topic in topics.values())
        self.followers: dict[int, Follower] = {}
        self.index: dict[str, dict[int, None]] = {}  # connections that asked for a topic
        self.subscriptions = 0
        self.busy: dict[
            int, None
        ] = {}  # connections that have something to be told and room for it
        self.deltas: dict[str, deque[Delta]] = {}
        self.order: OrderedDict[tuple[str, int], int] = OrderedDict()  # of all deltas: their bytes
        self.history_bytes = 0
        self.spent: dict[int, int] = {}  # bytes built in this call, by connection; see `call_over`
        self.touched = 0  # followers that were looked at for changes, since the start

    def call_over(self) -> None:
        """What was built is the driver's now."""
        self.spent.clear()

    # Changes.

    def apply(self, now: float, change: Change) -> list[Effect]:
        """A change is in force: into its topic, and to those who asked for that."""
        if (topic := self.topics.get(change.topic)) is None:
            topic = self.topics[change.topic] = Topic()
        before = len(topic.entries)
        topic.change(change.entries)
        self.entries += len(topic.entries) - before
        delta = Delta(change.topic, topic.number, topic.digest, change.entries)
        takes = size(change.entries)
        self.remember(delta, takes)
        effects: list[Effect] = []
        for connection in self.index.get(change.topic, ()):
            self.touched += 1
            follower = self.followers[connection]
            if topic.number <= follower.told[change.topic]:
                self.caught_up(follower, change.topic, topic)
            elif (
                follower.stalled
                or follower.todo
                or follower.told[change.topic] != topic.number - 1
                or not self.spend(connection, takes)
            ):
                self.want(follower, change.topic)
            else:
                follower.told[change.topic] = topic.number
                effects.append(Send(connection, delta))
        return effects

    def caught_up(self, follower: Follower, name: str, topic: Topic) -> None:
        """A follower knew more of a topic than we did: it is told whole where its number was
        another's."""
        if (
            topic.number == follower.told[name]
            and follower.ahead.pop(name, topic.digest) != topic.digest
        ):
            follower.told[name] = WHOLE
            self.want(follower, name)

    def spend(self, connection: int, takes: int) -> bool:
        """Whether something may still be built for a connection in this call; if so, it is."""
        spent = self.spent.get(connection, 0)
        if spent >= BURST:
            return False
        self.spent[connection] = spent + takes + EACH
        return True

    def remember(self, delta: Delta, takes: int) -> None:
        past = self.deltas.setdefault(delta.topic, deque())
        past.append(delta)
        self.order[delta.topic, delta.number] = takes
        self.history_bytes += takes
        if len(past) > self.bounds.history_each:
            self.forget(delta.topic, past[0].number)
        while (
            len(self.order) > self.bounds.history or self.history_bytes > self.bounds.history_bytes
        ):
            self.forget(*next(iter(self.order)))

    def forget(self, name: str, number: int) -> None:
        """The oldest change of a topic."""
        self.history_bytes -= self.order.pop((name, number))
        past = self.deltas[name]
        past.popleft()
        if not past:
            del self.deltas[name]

    def replace(self, now: float, topics: dict[str, Topic]) -> None:
        """All topics anew, each at least at its number before."""
        self.topics = topics
        self.entries = sum(len(topic.entries) for topic in topics.values())
        self.deltas.clear()
        self.order.clear()
        self.history_bytes = 0
        for follower in self.followers.values():
            for name, told in follower.told.items():
                if (topic := topics.get(name)) is None:
                    continue
                if topic.number > told:
                    self.want(follower, name)
                else:
                    self.caught_up(follower, name, topic)

    # Followers.

    def subscribe(self, now: float, connection: int, asked: Subscribe) -> list[Effect]:
        follower = self.followers.get(connection)
        had = 0 if follower is None else len(follower.told)
        over = ""
        if follower is None and len(self.followers) >= self.most:
            over = f"this store has {self.most} followers, its most"
        elif len(asked.topics) > MAX_TOPICS:
            over = f"{len(asked.topics)} topics are more than {MAX_TOPICS}"
        elif self.subscriptions - had + len(asked.topics) > self.bounds.subscriptions:
            over = (
                f"this store's followers would ask for more than {self.bounds.subscriptions} topics"
            )
        if over:
            return [Send(connection, No("too-many", "", over)), Close(connection, "too-many", over)]
        self.closed(connection)
        follower = self.followers[connection] = Follower(connection)
        effects: list[Effect] = []
        for name, number, digest in asked.topics:
            if name in follower.told:
                continue
            self.index.setdefault(name, {})[connection] = None
            self.subscriptions += 1
            topic = self.topics.get(name)
            mine = 0 if topic is None else topic.number
            follower.told[name] = number
            if number > mine:
                follower.ahead[name] = digest
                words = f"the follower has number {number}, this store {mine}"
                effects.append(Send(connection, No("behind", name, words)))
            elif topic is None:
                words = "there is no such topic yet"
                effects.append(Send(connection, No("unknown-topic", name, words)))
            elif number < mine:
                self.want(follower, name)
            elif digest != topic.digest:
                follower.told[name] = (
                    WHOLE  # its number is ours, what it has is not: no change mends that
                )
                self.want(follower, name)
        return effects + self.pump(now, follower)

    def closed(self, connection: int) -> None:
        follower = self.followers.pop(connection, None)
        if follower is None:
            return
        self.busy.pop(connection, None)
        self.subscriptions -= len(follower.told)
        for name in follower.told:
            asked = self.index[name]
            del asked[connection]
            if not asked:
                del self.index[name]

    def want(self, follower: Follower, name: str) -> None:
        follower.todo[name] = None
        if not follower.stalled:
            self.busy[follower.connection] = None

    def stalled(self, connection: int) -> None:
        if (follower := self.followers.get(connection)) is not None:
            follower.stalled = True
            self.busy.pop(connection, None)

    def room(self, now: float, connection: int) -> list[Effect]:
        if (follower := self.followers.get(connection)) is None:
            return []
        follower.stalled = False
        return self.pump(now, follower)

    def work(self, now: float) -> list[Effect]:
        """Go on with those who are to be told more."""
        effects: list[Effect] = []
        for connection in list(self.busy):
            effects += self.pump(now, self.followers[connection])
        return effects

    def pump(self, now: float, follower: Follower) -> list[Effect]:
        """Up to BURST bytes of what a follower is to be told."""
        effects: list[Effect] = []
        connection = follower.connection
        while (
            self.spent.get(connection, 0) < BURST and (message := self.next(follower)) is not None
        ):
            effects.append(Send(connection, message))
            self.spend(connection, size(message.entries))
        if follower.todo and not follower.stalled:
            self.busy[follower.connection] = None
        else:
            self.busy.pop(follower.connection, None)
            if not follower.todo:
                follower.complete = now
        return effects

    def next(self, follower: Follower) -> Whole | Delta | None:
        """The next message to a follower; None: it has all."""
        if not follower.todo:
            return None
        name = next(iter(follower.todo))
        topic, told = self.topics[name], follower.told[name]
        past = self.deltas.get(name)
        message: Whole | Delta
        if not follower.whole and past and past[0].number <= told + 1:
            message = past[told + 1 - past[0].number]
        else:
            if not follower.whole:
                parts = list(topic.parts())
                follower.whole.extend(
                    Whole(name, topic.number, topic.digest, at, len(parts), part)
                    for at, part in enumerate(parts, 1)
                )
            message = follower.whole.popleft()
        if not follower.whole:
            follower.told[name] = message.number
            if message.number == topic.number:
                del follower.todo[name]
        return message

    def beats(self, now: float, known: float) -> list[Effect]:
        """To each follower how old what it was told is; `known`: when we had all that was in
        force."""
        effects: list[Effect] = []
        for follower in self.followers.values():
            if follower.stalled:
                continue
            if not follower.todo:
                follower.complete = now
            if follower.complete > float("-inf"):
                effects.append(
                    Send(follower.connection, Beat(max(0.0, now - min(known, follower.complete))))
                )
        return effects
