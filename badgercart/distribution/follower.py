"""A node's side as a machine: events with their time in, effects out. No I/O.

It has one connection at a time, to one of the stores in an order drawn for this node alone. What it
holds of a topic changes only by a whole whose digest is right, or by the very next change; whatever
else comes is refused, said, and closed as a gap or by turning to another store. Times are ms on a
clock that only goes forward; the driver calls `tick` when `due` says so.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from badgercart.discovery.freshness import Freshness, FreshnessRule
from badgercart.distribution.effects import Close, Dial, Effect, Happened, Send, Take
from badgercart.distribution.messages import (
    HEAD,
    LABELS,
    MAX_FRAME,
    MAX_TOPICS,
    WHOLE,
    Beat,
    Delta,
    Entry,
    Hello,
    Message,
    No,
    Subscribe,
    Whole,
)
from badgercart.distribution.topic import EACH, Topic

MAX_BYTES = 96 << 20  # of keys and values that a follower holds in force and in parts, each
MAX_PARTS = 4096  # of one whole topic
MAX_AGAIN = 8  # times that one connection may leave a gap before another store is turned to


@dataclass(slots=True, frozen=True)
class Timing:
    """A follower's times, in ms."""

    silence: float = 1500.0  # a store that says nothing for so long is left
    dial: float = 1000.0  # for a connection to come up
    answer: float = 5000.0  # for the next word on what was asked for
    window: float = 2000.0  # a lost store is replaced at a moment drawn from all of this
    longest: float = (
        30_000.0  # the window after many tries without a proof, each twice the one before
    )
    lag: float = 3000.0  # a store that knew of no leader for so long is left, within the window


@dataclass(slots=True)
class Staged:
    """A whole topic of which some parts are here."""

    number: int
    digest: int
    parts: int
    entries: list[Entry] = field(default_factory=list)
    part: int = 1  # the next, from 1 on
    size: int = 0


def size_of(entries: Iterable[Entry]) -> int:
    """Bytes of keys and values, with their framing."""
    return sum(len(entry.key.encode()) + len(entry.value or b"") + EACH for entry in entries)


class Left(Exception):
    """Why this connection is given up: in one word for figures and a few for people."""

    def __init__(self, kind: str, words: str) -> None:
        super().__init__(words)
        self.kind = kind


class Follower:
    """Some topics of one node. ValueError where they are more than one subscription can name."""

    def __init__(
        self,
        name: str,
        topics: tuple[str, ...],
        stores: int,
        timing: Timing,
        rng: random.Random,
        rule: FreshnessRule | None = None,
        most_bytes: int = MAX_BYTES,
    ) -> None:
        if len(set(topics)) != len(topics) or not 0 < len(topics) <= MAX_TOPICS:
            raise ValueError(f"{len(topics)} topics are not 1 to {MAX_TOPICS} different ones")
        if sum(len(topic.encode()) + 2 * EACH for topic in topics) > MAX_FRAME - HEAD - EACH:
            raise ValueError(f"the names of {len(topics)} topics are more than one frame holds")
        if stores < 1:
            raise ValueError("there is no store to follow")
        self.name, self.timing, self.rng, self.most_bytes = name, timing, rng, most_bytes
        self.order = list(range(stores))
        rng.shuffle(self.order)
        self.turn = 0  # in that order
        self.topics: dict[str, Topic] = {topic: Topic() for topic in topics}  # in force
        self.sizes = dict.fromkeys(topics, 0)  # bytes of each
        self.size = 0  # of all
        self.staged: dict[str, Staged] = {}
        self.staged_size = 0
        self.waits: set[str] = set()  # topics that an answer is owed for
        self.doubted: set[str] = set()  # topics of which ours may be wrong
        self.unusable: set[str] = (
            set()
        )  # topics told whole again on this connection for what they held
        self.unknown: set[str] = set()  # topics of which it was said that nobody has them
        self.freshness = Freshness(rule or FreshnessRule())
        self.connection = 0  # the one that counts; whatever comes of others is passed over
        self.store = -1  # where it leads
        self.up = self.greeted = False
        self.again = 0  # gaps on this connection
        self.failed = 0  # connections in a row that proved nothing
        self.since = 0.0  # when the store was dialled, or spoke last
        self.progress = 0.0  # when what is waited for came nearer
        self.dial_at = math.inf
        self.move_at = math.inf  # when a store that lags is left
        self.changes = self.dials = 0
        self.faults: Counter[str] = Counter()  # connections left and messages refused, by kind

    # What there is to know.

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        if not self.connection:
            return self.dial_at
        if not self.up:
            return self.since + self.timing.dial
        answer = self.progress + self.timing.answer if self.waits else math.inf
        return min(self.since + self.timing.silence, answer, self.move_at)

    def age(self, now: float) -> float:
        """ms since all topics were whole for sure; infinite where they never were."""
        return self.freshness.age_ms(now)

    def succeed(self, old: Follower) -> None:
        """Go on from what another held, whose connections are closed. For one that has not
        begun."""
        for topic, held in old.topics.items():
            if topic in self.topics:
                self.topics[topic], self.sizes[topic] = held, old.sizes[topic]
        self.size = sum(self.sizes.values())
        self.doubted = old.doubted & self.topics.keys()
        self.unknown = old.unknown & self.topics.keys()
        self.freshness = old.freshness
        self.changes, self.dials, self.faults = old.changes, old.dials, old.faults

    # What happens.

    def start(self, now: float) -> list[Effect]:
        return self.dial(now)

    def tick(self, now: float) -> list[Effect]:
        if now < self.due:
            return []
        if not self.connection:
            return self.dial(now)
        if not self.up:
            return self.leave(now, "hangs", f"no connection after {self.timing.dial:.0f} ms")
        if now >= self.since + self.timing.silence:
            return self.leave(now, "silent", f"no word for {self.timing.silence:.0f} ms")
        if now >= self.move_at:
            # It still tells what it hears, so it was kept until now; the next one is called at
            # once.
            told = self.leave(
                now, "lags", f"it knew of no leader for over {self.timing.lag:.0f} ms"
            )
            return [*told, *self.dial(now)]
        return self.leave(
            now, "no-answer", f"nothing on {min(self.waits)} for {self.timing.answer:.0f} ms"
        )

    def connected(self, now: float, connection: int) -> list[Effect]:
        if connection != self.connection or self.up:
            return []
        self.up, self.since, self.progress = True, now, now
        self.waits = {
            topic for topic, held in self.topics.items() if not held.number
        } | self.doubted
        return [Send(connection, Hello(self.name, False)), Send(connection, self.subscription())]

    def closed(self, now: float, connection: int) -> list[Effect]:
        if connection != self.connection:
            return []
        return self.leave(now, "closed", "the connection ended", end=False)

    def received(self, now: float, connection: int, message: Message) -> list[Effect]:
        if connection != self.connection or not self.up:
            return []
        if now >= self.since + self.timing.silence:
            # This process stood still, or the link did: what lay in a buffer meanwhile would pass
            # for new.
            return self.leave(now, "silent", f"no word for {now - self.since:.0f} ms")
        self.since = now
        try:
            if not self.greeted:
                return self.greet(message)
            if isinstance(message, Delta):
                return self.delta(now, message)
            if isinstance(message, Whole):
                return self.whole(now, message)
            if isinstance(message, Beat):
                return self.beat(now, message)
            if isinstance(message, No):
                return self.no(now, message)
            raise Left("unasked", f"a {LABELS[type(message)]} is nothing that a follower is told")
        except Left as left:
            return self.leave(now, left.kind, str(left))

    def ask_whole(self, now: float, topic: str) -> list[Effect]:
        """What was taken of this topic can't be used: have all of it told again, once on one
        connection.

        Where that is no better, its next change has it told again. Nothing is proven meanwhile."""
        self.doubted.add(topic)
        if not self.up or topic in self.unusable:
            return []
        self.unusable.add(topic)
        try:
            return self.resubscribe(now, topic, "unusable", "what it holds can't be used")
        except Left as left:
            return self.leave(now, left.kind, str(left))

    # Connections.

    def dial(self, now: float) -> list[Effect]:
        self.dials += 1
        self.connection = self.dials
        self.store, self.since, self.dial_at = self.order[self.turn], now, math.inf
        return [Dial(self.store, self.connection)]

    def leave(self, now: float, kind: str, words: str, end: bool = True) -> list[Effect]:
        """Turn to the next store, at a moment drawn from the whole window: 8,600 do not come
        together."""
        connection, self.connection = self.connection, 0
        self.up = self.greeted = False
        self.again = 0
        self.staged.clear()
        self.unusable.clear()
        self.staged_size = 0
        self.dial_at, self.move_at = self.later(now), math.inf
        self.failed += 1
        self.faults[kind] += 1
        self.turn = (self.turn + 1) % len(self.order)
        told: list[Effect] = [Close(connection, kind, words)] if end else []
        return [*told, Happened("lost", {"store": self.store, "kind": kind, "error": words})]

    def later(self, now: float) -> float:
        """A moment drawn from the whole window."""
        window = self.timing.window * 2.0 ** min(self.failed, 32)
        return now + self.rng.uniform(0.0, min(window, self.timing.longest))

    def subscription(self) -> Subscribe:
        return Subscribe(
            tuple(
                (topic, WHOLE, 0) if topic in self.doubted else (topic, held.number, held.digest)
                for topic, held in self.topics.items()
            )
        )

    # Messages. Left: the store is left.

    def greet(self, message: Message) -> list[Effect]:
        if not isinstance(message, Hello):
            raise Left("unasked", f"a {LABELS[type(message)]} before any greeting")
        if not message.store:
            raise Left("no-store", f"{message.name} is no store")
        self.greeted = True
        return [Happened("following", {"store": self.store, "name": message.name})]

    def held(self, topic: str) -> Topic:
        if (held := self.topics.get(topic)) is None:
            raise Left("unasked", f"{topic} was not asked for")
        return held

    def delta(self, now: float, message: Delta) -> list[Effect]:
        topic, held = message.topic, self.held(message.topic)
        if topic in self.doubted:  # only a whole makes that good
            if topic in self.waits:
                return []
            return self.resubscribe(now, topic, "unusable", f"change {message.number} may mend it")
        if message.number != held.number + 1 and (
            topic in self.waits or message.number <= held.number
        ):
            if topic in self.waits or self.again:
                return []  # written before the store read that we ask anew, or told twice for that
            raise Left("older", f"{topic} as of {message.number}, which is {held.number} here")
        if message.number != held.number + 1:
            words = f"change {message.number} behind {held.number}"
            return self.resubscribe(now, topic, "gap", words)
        if held.digest_with(message.entries) != message.digest:
            self.doubted.add(topic)
            return self.resubscribe(
                now, topic, "digest", f"change {message.number} has a wrong digest"
            )
        size = self.size_after(topic, message.entries)
        if self.size - self.sizes[topic] + size > self.most_bytes:
            raise Left(
                "oversized",
                f"with change {message.number} of {topic}, over {self.most_bytes} bytes",
            )
        self.drop(topic)
        held.change(message.entries)
        self.in_force(now, topic, size)
        return [Take(topic, message.number, False, message.entries)]

    def whole(self, now: float, message: Whole) -> list[Effect]:
        topic, held = message.topic, self.held(message.topic)
        if message.number < held.number:
            raise Left(
                "older", f"{topic} whole as of {message.number}, which is {held.number} here"
            )
        if message.part == 1 and 0 < message.parts <= MAX_PARTS and message.number > 0:
            self.drop(topic)
            self.waits.add(topic)
            self.staged[topic] = Staged(message.number, message.digest, message.parts)
        staged = self.staged.get(topic)
        if (
            staged is None
            or (staged.number, staged.digest, staged.parts)
            != (message.number, message.digest, message.parts)
            or staged.part != message.part
            or any(entry.value is None for entry in message.entries)
        ):
            words = f"part {message.part} of {message.parts} as of {message.number} does not follow"
            return self.resubscribe(now, topic, "parts", words)
        size = size_of(message.entries)
        if self.staged_size + size > self.most_bytes:
            raise Left("oversized", f"{topic} whole takes over {self.most_bytes} bytes")
        staged.entries += message.entries
        staged.part += 1
        staged.size += size
        self.staged_size += size
        self.progress = now
        if staged.part <= staged.parts:
            return []
        self.drop(topic)
        fresh = Topic(staged.number, staged.entries)
        if fresh.digest != staged.digest:
            self.doubted.add(topic)
            return self.resubscribe(
                now, topic, "digest", f"the whole of {staged.number} has a wrong digest"
            )
        if self.size - self.sizes[topic] + staged.size > self.most_bytes:
            raise Left("oversized", f"with {topic} whole, over {self.most_bytes} bytes")
        if (
            fresh.number == held.number
            and fresh.digest != held.digest
            and topic not in self.doubted
        ):
            self.faults["other"] += (
                1  # another history: what more than half of the stores keep counts
            )
        self.topics[topic] = fresh
        self.doubted.discard(topic)
        self.in_force(now, topic, staged.size)
        return [Take(topic, fresh.number, True, tuple(staged.entries))]

    def beat(self, now: float, message: Beat) -> list[Effect]:
        if not message.age >= 0:
            raise Left("malformed", f"an age of {message.age} ms")
        if not self.waits and not self.doubted and math.isfinite(message.age):
            self.freshness.record_proof(now - message.age)
        if message.age >= self.timing.lag and len(self.order) > 1:
            self.move_at = min(self.move_at, self.later(now))
        else:
            self.move_at = math.inf
            if not self.waits and not self.doubted:
                self.failed = 0
        return []

    def no(self, now: float, message: No) -> list[Effect]:
        if message.kind != "unknown-topic":
            raise Left(
                message.kind if message.kind in ("behind", "too-many") else "refused", message.words
            )
        held = self.held(message.about)
        if held.number:
            raise Left("behind", f"it knows no {message.about}, which is {held.number} here")
        self.waits.discard(message.about)
        self.progress = now
        if message.about in self.unknown:
            return []
        self.unknown.add(message.about)
        return [Happened("unknown-topic", {"topic": message.about})]

    # What both have in common.

    def resubscribe(self, now: float, topic: str, kind: str, words: str) -> list[Effect]:
        """Ask anew from what there is, or for the whole where that is in doubt."""
        self.drop(topic)
        self.faults[kind] += 1
        self.again += 1
        if self.again > MAX_AGAIN:
            raise Left("gaps", f"more than {MAX_AGAIN} gaps, the last: {topic}: {words}")
        self.waits.add(topic)
        self.progress = now
        happened = Happened("gap", {"topic": topic, "kind": kind, "error": words})
        return [happened, Send(self.connection, self.subscription())]

    def in_force(self, now: float, topic: str, size: int) -> None:
        self.size += size - self.sizes[topic]
        self.sizes[topic] = size
        self.waits.discard(topic)
        self.unknown.discard(topic)
        self.progress = now
        self.changes += 1

    def drop(self, topic: str) -> None:
        """Forget the parts of a whole."""
        if (staged := self.staged.pop(topic, None)) is not None:
            self.staged_size -= staged.size

    def size_after(self, topic: str, entries: tuple[Entry, ...]) -> int:
        held, size = self.topics[topic].entries, self.sizes[topic]
        for key, value in {entry.key: entry.value for entry in entries}.items():
            each = len(key.encode()) + EACH
            if (old := held.get(key)) is not None:
                size -= each + len(old)
            if value is not None:
                size += each + len(value)
        return size
