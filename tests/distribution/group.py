"""Stores with hollow followers on a virtual clock, and a network that delays, cuts one way and
drops.

A connection is TCP's: in order, whole, and where a way is cut what is said waits until it is healed
or the connection ends. After each call to a store the group checks what always has to hold.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from badgercart.distribution.effects import Close, Effect, Happened, Keep, KeepAll, Recovered, Send
from badgercart.distribution.journal import Disk, replay
from badgercart.distribution.messages import (
    Beat,
    Change,
    Codec,
    Delta,
    Entry,
    Hello,
    Message,
    Propose,
    Proposed,
    Subscribe,
    Whole,
)
from badgercart.distribution.publisher import Bounds
from badgercart.distribution.store import Store, Timing
from badgercart.distribution.topic import Topic

CODEC = Codec("a group", b"its secret")


def copied(state: Recovered) -> Recovered:
    topics = {
        name: Topic(topic.number, [Entry(*pair) for pair in topic.entries.items()])
        for name, topic in state.topics.items()
    }
    return Recovered(
        state.term,
        state.voted,
        state.committed,
        state.index,
        state.index_term,
        topics,
        state.changes,
    )


class MemoryDisk:
    """What a Journal does, in memory. `over` as often as the test likes."""

    def __init__(self, most: int = 8) -> None:
        self.most = most
        self.start = Recovered()
        self.kept: list[Keep] = []

    def recover(self) -> Recovered:
        return replay(copied(self.start), self.kept)

    def keep(self, effect: Keep | KeepAll) -> None:
        if isinstance(effect, KeepAll):
            self.compact(effect.state)
        else:
            self.kept.append(effect)

    @property
    def over(self) -> bool:
        return len(self.kept) > self.most

    def compact(self, state: Recovered) -> None:
        self.start, self.kept = copied(state), []


@dataclass(eq=False)
class End:
    """One side of a connection."""

    owner: Process
    number: int
    other: End | None = None
    open: bool = True
    accepted: bool = True  # by its owner: nothing is read before
    queue: deque[tuple[float, Message | None]] = field(
        default_factory=deque
    )  # that comes; None: it is closed


class Process:
    """A store or a hollow follower."""

    name: str
    alive = True
    paused = False

    def __init__(self, group: Group, name: str) -> None:
        self.group, self.name = group, name
        self.ends: dict[int, End] = {}

    def accepted(self, end: End) -> None: ...
    def received(self, end: End, message: Message) -> None: ...
    def closed(self, end: End) -> None: ...
    def woken(self) -> None: ...


class StoreProcess(Process):
    def __init__(self, group: Group, name: str) -> None:
        super().__init__(group, name)
        self.disk: Disk = group.disk_class()
        self.crash_in = -1  # effects that are carried out before it crashes; -1: it doesn't
        self.happened: list[Happened] = []
        self.checked = 0  # the place up to which what is in force here was held against others'
        self.fresh: list[Change] = []  # that came to be in force since
        self.dialled: set[str] = set()
        self.boot()

    def boot(self) -> None:
        group = self.group
        self.alive, self.ends, self.dialled = True, {}, set()
        recovered = self.disk.recover()
        self.fresh = list(recovered.changes[: recovered.committed - recovered.index])
        self.store = group.store_class(
            self.name,
            group.voters,
            group.names,
            group.timing,
            random.Random(group.rng.random()),
            recovered,
            bounds=group.bounds,
        )
        self.checked = recovered.index
        commit = self.store.commit

        def watched(index: int) -> None:
            base = self.store.base
            self.fresh += self.store.log[self.store.committed - base : max(index - base, 0)]
            commit(index)

        self.store.commit = watched  # type: ignore[method-assign]
        self.do(self.store.start(group.now))

    def do(self, effects: list[Effect]) -> None:
        for at, effect in enumerate(effects):
            if self.crash_in == 0:
                self.crash_in = -1
                if not any(isinstance(e, Keep | KeepAll) for e in effects[at:]):
                    self.group.check(self)  # what it says is in force rests on what is on its disk
                self.group.kill(self.name)
                return
            self.crash_in -= self.crash_in > 0
            if isinstance(effect, Keep | KeepAll):
                self.disk.keep(effect)
            elif isinstance(effect, Send):
                self.group.send(self.ends[effect.connection], effect.message)
            elif isinstance(effect, Close):
                self.group.close(self.ends[effect.connection])
            elif isinstance(effect, Happened):
                self.happened.append(effect)
        if self.disk.over:
            self.disk.compact(self.store.state())
        self.group.check(self)
        self.group.set_timer(self)
        for name in self.store.wanted:
            if name not in self.dialled:
                self.dialled.add(name)
                self.group.at(self.group.delay(), self.dial, name, self.store)

    def dial(self, name: str, store: Store) -> None:
        if store is not self.store or not self.alive:
            return
        self.dialled.discard(name)
        if self.paused or name not in store.wanted:
            return
        other = self.group.processes[name]
        cut = {(self.name, name), (name, self.name)} & self.group.cuts
        if not other.alive or cut:
            self.dialled.add(name)
            self.group.at(100.0, self.dial, name, store)
            return
        end = self.group.connect(self, other)
        self.do(self.store.connected(self.group.now, end.number, name))

    def accepted(self, end: End) -> None:
        self.do(self.store.accepted(self.group.now, end.number))

    def received(self, end: End, message: Message) -> None:
        self.do(self.store.received(self.group.now, end.number, message))

    def closed(self, end: End) -> None:
        self.do(self.store.closed(self.group.now, end.number))

    def tick(self) -> None:
        self.do(self.store.tick(self.group.now))

    woken = tick


class Hollow(Process):
    """A follower that holds every message against what it knows."""

    def __init__(self, group: Group, name: str, store: str, topics: Iterable[str]) -> None:
        super().__init__(group, name)
        self.store = store
        self.topics = {topic: Topic() for topic in topics}
        self.stage: dict[str, tuple[Whole, Topic]] = {}
        self.said: list[Message] = []
        self.age = self.age_at = float("-inf")
        self.dial()

    def dial(self) -> None:
        if not self.alive:
            return
        other = self.group.processes[self.store]
        if not other.alive or {(self.name, self.store), (self.store, self.name)} & self.group.cuts:
            self.group.at(100.0, self.dial)
            return
        end = self.group.connect(self, other)
        self.stage.clear()
        self.group.send(end, Hello(self.name, False))
        self.subscribe(end)

    def subscribe(self, end: End) -> None:
        asked = tuple((name, topic.number, topic.digest) for name, topic in self.topics.items())
        self.group.send(end, Subscribe(asked))

    def closed(self, end: End) -> None:
        self.group.at(100.0, self.dial)

    def received(self, end: End, message: Message) -> None:
        self.said.append(message)
        if isinstance(message, Delta):
            topic = self.topics[message.topic]
            assert message.topic not in self.stage, "a change came between the parts of its topic"
            assert message.number == topic.number + 1, (self.name, message, topic.number)
            topic.change(message.entries)
            assert topic.digest == message.digest
            self.group.check_topic(self.name, message.topic, topic)
        elif isinstance(message, Whole):
            had = self.stage.get(message.topic)
            if message.part == 1:
                had = message, Topic(message.number)
            assert had is not None and message.part == had[0].part + (message.part > 1)
            assert (message.number, message.digest) == (had[0].number, had[0].digest)
            had[1].put(message.entries)
            self.stage[message.topic] = message, had[1]
            if message.part == message.parts:
                del self.stage[message.topic]
                assert (
                    had[1].number >= self.topics[message.topic].number
                ), "older was told for newer"
                assert had[1].digest == message.digest
                self.topics[message.topic] = had[1]
                self.group.check_topic(self.name, message.topic, had[1])
        elif isinstance(message, Beat):
            self.age, self.age_at = message.age, self.group.now
            self.group.check_beat(self, message)


class Operator(Process):
    """Proposes, and remembers what was answered."""

    def __init__(self, group: Group) -> None:
        super().__init__(group, "operator")
        self.asked: dict[int, tuple[str, Propose]] = {}
        self.answers: dict[int, Proposed] = {}
        self.serials = itertools.count(1)
        self.lines: dict[str, End] = {}

    def propose(self, store: str, topic: str, entries: Iterable[Entry], expected: int = -1) -> int:
        serial = next(self.serials)
        process = self.group.processes[store]
        if not process.alive:
            return serial
        line = self.lines.get(store)
        if line is None or not line.open:
            line = self.lines[store] = self.group.connect(self, process)
            self.group.send(line, Hello(self.name, False))
        asked = Propose(serial, topic, tuple(entries), expected)
        self.asked[serial] = store, asked
        self.group.send(line, asked)
        return serial

    def received(self, end: End, message: Message) -> None:
        if isinstance(message, Proposed):
            assert message.serial not in self.answers, "answered twice"
            self.answers[message.serial] = message
            if not message.error:
                _, asked = self.asked[message.serial]
                self.group.check_answer(asked, message)


class Group:
    def __init__(
        self,
        count: int = 3,
        learners: int = 0,
        seed: int = 1,
        store_class: type[Store] = Store,
        disk_class: Callable[[], Disk] = MemoryDisk,
        bounds: Bounds | None = None,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.timing = Timing()
        self.store_class, self.disk_class, self.bounds = store_class, disk_class, bounds
        self.names = tuple(f"s{number}" for number in range(1, count + learners + 1))
        self.voters = self.names[:count]
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.order = itertools.count()
        self.said_at = 0.0  # when the message that is being received was sent
        self.numbers = itertools.count(1)
        self.cuts: set[tuple[str, str]] = set()  # from, to
        self.swallow: Callable[[str, str, Message], bool] = lambda source, to, message: False
        self.ticking: set[str] | None = None  # stores whose clocks run; None: all
        self.timers: dict[str, float] = {}
        # What was seen, of all stores together.
        self.truth: dict[int, Change] = {}  # all that was in force anywhere
        self.leaders: dict[int, str] = {}
        self.digests: dict[str, dict[int, int]] = {}
        self.changes: dict[str, list[Change]] = {}  # in force, by topic
        self.replayed = 0
        self.replayed_topics: dict[str, Topic] = {}
        self.known_at: list[tuple[float, int]] = [
            (0.0, 0)
        ]  # when the newest place in force was first seen
        self.processes: dict[str, Process] = {}
        for name in self.names:
            self.processes[name] = StoreProcess(self, name)
        self.operator = Operator(self)
        self.processes["operator"] = self.operator

    # Looking.

    def process(self, name: str) -> StoreProcess:
        process = self.processes[name]
        assert isinstance(process, StoreProcess)
        return process

    def store(self, name: str) -> Store:
        return self.process(name).store

    @property
    def running(self) -> list[StoreProcess]:
        return [
            self.process(n)
            for n in self.names
            if self.process(n).alive and not self.process(n).paused
        ]

    def leader(self) -> str:
        """The leader of the latest term among those that run; empty: none leads."""
        leading = [p for p in self.running if p.store.leading]
        return max(leading, key=lambda p: p.store.term).name if leading else ""

    # Time and network.

    def at(self, after: float, call: Callable[..., None], *told: object) -> None:
        heapq.heappush(self.events, (self.now + after, next(self.order), call, told))

    def delay(self) -> float:
        return self.rng.uniform(1.0, 20.0)

    def run(self, ms: float, until: Callable[[], bool] | None = None) -> bool:
        """For so long, or until something holds; whether it does."""
        end = self.now + ms
        while self.events and self.events[0][0] <= end:
            if until is not None and until():
                return True
            self.now, _, call, told = heapq.heappop(self.events)
            call(*told)
        if until is not None and until():
            return True
        self.now = end
        return False

    def set_timer(self, process: StoreProcess) -> None:
        due = max(self.now, process.store.due)
        if due != float("inf") and self.timers.get(process.name) != due:
            self.timers[process.name] = due
            self.at(due - self.now, self.timer, process, process.store, due)

    def timer(self, process: StoreProcess, store: Store, due: float) -> None:
        if process.store is not store or self.timers.get(process.name) != due:
            return
        del self.timers[process.name]
        if not process.alive or process.paused:
            return
        if self.ticking is not None and process.name not in self.ticking:
            self.timers[process.name] = self.now + 50.0
            self.at(50.0, self.timer, process, store, self.now + 50.0)
            return
        process.tick()

    def connect(self, source: Process, to: Process) -> End:
        a, b = End(source, next(self.numbers)), End(to, next(self.numbers))
        a.other, b.other, b.accepted = b, a, False
        source.ends[a.number] = a
        to.ends[b.number] = b
        self.at(0.0, self.arrive, b)
        return a

    def arrive(self, end: End) -> None:
        """A connection came in."""
        if end.owner.alive and end.open:
            if end.owner.paused:
                self.at(50.0, self.arrive, end)
            else:
                end.accepted = True
                end.owner.accepted(end)
                self.deliver(end)

    def send(self, end: End, message: Message) -> None:
        message = CODEC.decode(CODEC.encode(message))
        assert end.open, f"{end.owner.name} writes to a connection that is closed: {message}"
        other = end.other
        assert other is not None
        if self.swallow(end.owner.name, other.owner.name, message):
            return
        when = max(self.now + self.delay(), other.queue[-1][0] if other.queue else 0.0)
        other.queue.append((when, self.now, message))
        self.at(when - self.now, self.deliver, other)

    def deliver(self, end: End) -> None:
        """What has come, as long as the way is open and the process runs."""
        assert end.other is not None
        while end.queue and end.open and end.queue[0][0] <= self.now:
            owner = end.owner
            if not owner.alive:
                return
            if owner.paused or not end.accepted or (end.other.owner.name, owner.name) in self.cuts:
                return  # waking and healing deliver
            _, self.said_at, message = end.queue.popleft()
            if message is None:
                end.open = False
                owner.ends.pop(end.number, None)
                owner.closed(end)
                return
            owner.received(end, message)

    def close(self, end: End) -> None:
        """By its owner."""
        end.open = False
        end.owner.ends.pop(end.number, None)
        other = end.other
        assert other is not None
        if other.open:
            when = max(self.now + self.delay(), other.queue[-1][0] if other.queue else 0.0)
            other.queue.append((when, self.now, None))
            self.at(when - self.now, self.deliver, other)

    def everything(self) -> None:
        """Deliver what has waited."""
        for process in list(self.processes.values()):
            if process.alive and not process.paused:
                for end in list(process.ends.values()):
                    self.at(0.0, self.deliver, end)

    # What befalls it.

    def cut(self, source: str, to: str) -> None:
        self.cuts.add((source, to))

    def isolate(self, *names: str) -> None:
        """Cut off both ways from all others."""
        for name in names:
            for other in self.processes:
                if other not in names:
                    self.cuts |= {(name, other), (other, name)}

    def heal(self) -> None:
        self.cuts.clear()
        self.everything()

    def break_between(self, one: str, other: str) -> None:
        """Their connections end."""
        for end in list(self.processes[one].ends.values()):
            assert end.other is not None
            if end.other.owner.name == other:
                self.close(end)
                self.processes[one].closed(end)

    def kill(self, name: str) -> None:
        process = self.process(name)
        if process.alive:
            process.alive, process.paused = False, False
            self.timers.pop(name, None)
            for end in list(process.ends.values()):
                self.close(end)

    def restart(self, name: str) -> None:
        process = self.process(name)
        if not process.alive:
            process.boot()

    def pause(self, name: str) -> None:
        self.processes[name].paused = True

    def wake(self, name: str) -> None:
        process = self.processes[name]
        if process.paused:
            process.paused = False
            for end in list(process.ends.values()):
                self.deliver(end)  # as the kernel has it: what came first is read first
            if process.alive:
                process.woken()

    def calm(self) -> None:
        """All run, all are in reach."""
        for name in self.names:
            self.wake(name)
            self.restart(name)
        self.heal()

    # What always has to hold.

    def check(self, process: StoreProcess) -> None:
        store = process.store
        if store.leading:
            assert (
                self.leaders.setdefault(store.term, store.name) == store.name
            ), f"{self.leaders[store.term]} and {store.name} both lead term {store.term}"
        assert process.checked <= store.committed, f"{store.name} took back what was in force"
        changed = process.checked < store.committed
        process.checked = store.committed
        fresh, process.fresh = process.fresh, []
        for change in fresh:
            had = self.truth.setdefault(change.index, change)
            assert had == change, f"{had} is in force and, at {store.name}, {change}"
            if change.index > self.known_at[-1][1]:
                self.known_at.append((self.now, change.index))
        if changed:
            for name, topic in store.topics.items():
                self.check_topic(store.name, name, topic)

    def replay(self) -> None:
        while (change := self.truth.get(self.replayed + 1)) is not None:
            self.replayed += 1
            if change.topic:
                topic = self.replayed_topics.setdefault(change.topic, Topic())
                topic.change(change.entries)
                self.changes.setdefault(change.topic, []).append(change)
                self.digests.setdefault(change.topic, {})[topic.number] = topic.digest

    def check_topic(self, who: str, name: str, topic: Topic) -> None:
        """What somebody has of a topic is what was in force as of that number."""
        self.replay()
        if topic.number:
            assert (
                self.digests.get(name, {}).get(topic.number) == topic.digest
            ), f"{who} has {name!r} otherwise"

    def check_answer(self, asked: Propose, answer: Proposed) -> None:
        """What was answered as in force is so, as of this number."""
        self.replay()
        changes = self.changes.get(asked.topic, [])
        assert answer.number <= len(changes), f"{answer} was never in force"
        wanted = {entry.key: entry.value for entry in asked.entries}
        for change in reversed(changes[: answer.number]):
            for entry in reversed(change.entries):
                if entry.key in wanted:
                    assert (
                        wanted.pop(entry.key) == entry.value
                    ), f"{answer}: {entry.key} is {entry.value!r}"
        assert not any(
            value is not None for value in wanted.values()
        ), f"{answer}: {wanted} are not there"

    def check_beat(self, follower: Hollow, beat: Beat) -> None:
        """All that was in force anywhere `age` ms before it was said is told."""
        before = self.said_at - beat.age
        index = max((i for when, i in self.known_at if when < before), default=0)
        numbers: dict[str, int] = {}
        for place in range(1, index + 1):
            change = self.truth[place]
            if change.topic:
                numbers[change.topic] = numbers.get(change.topic, 0) + 1
        for name, topic in follower.topics.items():
            assert topic.number >= numbers.get(name, 0), (
                f"{follower.name} was told that {name!r} is as of {beat.age} ms ago; "
                f"it has number {topic.number}, {numbers[name]} was in force"
            )

    def settle(self, ms: float = 12_000.0) -> None:
        """With all running and in reach: one leads, all stores and followers have all, nothing was
        lost."""
        self.calm()
        assert self.run(ms, self.settled), self.story()
        followers = [p for p in self.processes.values() if isinstance(p, Hollow)]
        for answered, answer in self.operator.answers.items():
            if not answer.error:
                self.check_answer(self.operator.asked[answered][1], answer)
        for follower in followers:
            for name, topic in follower.topics.items():
                self.check_topic(follower.name, name, topic)

    def settled(self) -> bool:
        stores = [self.store(name) for name in self.names]
        leader = self.leader()
        if not leader or any(s.committed != self.store(leader).last for s in stores):
            return False
        if max(self.truth, default=0) > self.store(leader).committed:
            return False
        return all(
            topic.number == self.store(follower.store).number(name)
            for follower in self.processes.values()
            if isinstance(follower, Hollow)
            for name, topic in follower.topics.items()
        )

    def story(self) -> str:
        lines = [f"at {self.now:.0f} ms, {max(self.truth, default=0)} places were in force"]
        for name in self.names:
            store = self.store(name)
            lines.append(
                f"{name}: {store.role} term {store.term} committed {store.committed} last {store.last} "
                f"base {store.base} peers {sorted(store.peers)} leader {store.leader!r}"
            )
        for process in self.processes.values():
            if isinstance(process, Hollow):
                told = {name: topic.number for name, topic in process.topics.items()}
                lines.append(f"{process.name} at {process.store}: {told} open {len(process.ends)}")
        return "\n".join(lines)
