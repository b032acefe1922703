"""Replicas with hollow followers on a virtual clock, and a network with delays and cuts.

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
from typing import Any

from badgercart.distribution.effects import (
    Close,
    Effect,
    LogEvent,
    Persist,
    PersistSnapshot,
    RecoveredState,
    Send,
)
from badgercart.distribution.journal import Disk
from badgercart.distribution.journal_format import replay
from badgercart.distribution.messages import (
    Change,
    Codec,
    Delta,
    Entry,
    Heartbeat,
    Hello,
    Message,
    Propose,
    ProposeResponse,
    Snapshot,
    Subscribe,
    TopicVersion,
)
from badgercart.distribution.raft.state import RaftState, StateMachine
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaLimits, ReplicaTiming
from badgercart.distribution.topic import Topic

CODEC = Codec("a group", b"its secret")


def copied(state: RecoveredState) -> RecoveredState:
    topics = {
        name: Topic(topic.version, [Entry(*pair) for pair in topic.entries.items()])
        for name, topic in state.topics.items()
    }
    return RecoveredState(
        state.term,
        state.voted_for,
        state.commit_index,
        state.snapshot_index,
        state.snapshot_term,
        topics,
        state.changes,
    )


class MemoryDisk:
    """What a Journal does, in memory. `needs_compaction` as often as the test likes."""

    def __init__(self, most: int = 8) -> None:
        self.most = most
        self.start = RecoveredState()
        self.persisted: list[Persist] = []

    def recover(self) -> RecoveredState:
        return replay(copied(self.start), self.persisted)

    def persist(self, effect: Persist | PersistSnapshot) -> None:
        if isinstance(effect, PersistSnapshot):
            self.compact(effect.state)
        else:
            self.persisted.append(effect)

    @property
    def needs_compaction(self) -> bool:
        return len(self.persisted) > self.most

    def compact(self, state: RecoveredState) -> None:
        self.start, self.persisted = copied(state), []

    def close(self) -> None: ...


@dataclass(eq=False)
class End:
    """One side of a connection."""

    owner: Process
    number: int
    other: End | None = None
    open: bool = True
    accepted: bool = True  # by its owner: nothing is read before
    queue: deque[tuple[float, float, Message | None]] = field(
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
    def resumed(self) -> None: ...


class Watched:
    """A state machine with another `apply`."""

    def __init__(self, machine: StateMachine, apply: Callable[[Change, bool], None]) -> None:
        self._machine = machine
        self.apply = apply

    def __getattr__(self, name: str) -> Any:
        return getattr(self._machine, name)


class ReplicaProcess(Process):
    def __init__(self, group: Group, name: str) -> None:
        super().__init__(group, name)
        self.disk: Disk = group.disk_class()
        self.crash_in = -1  # effects that are carried out before it crashes; -1: it doesn't
        self.log_events: list[LogEvent] = []
        self.checked = 0  # the log index up to which this replica was checked against the others
        self.fresh: list[Change] = []  # that came to be in force since
        self.dialled: set[str] = set()
        self.start_replica()

    def start_replica(self) -> None:
        group = self.group
        self.alive, self.ends, self.dialled = True, {}, set()
        recovered = self.disk.recover()
        self.fresh = list(recovered.changes[: recovered.commit_index - recovered.snapshot_index])
        self.replica = group.replica_class(
            ReplicaGroup(self.name, group.voters, group.names),
            group.timing,
            random.Random(group.rng.random()),
            recovered,
            group.limits,
        )
        self.checked = recovered.snapshot_index
        self.watch(self.replica.raft.state)
        self.do(self.replica.start(group.now))

    def watch(self, state: RaftState) -> None:
        """Note each change that is committed from now on."""
        apply = state.machine.apply

        def watched(change: Change, is_leader: bool) -> None:
            self.fresh.append(change)
            apply(change, is_leader)

        state.machine = Watched(state.machine, watched)

    def do(self, effects: list[Effect]) -> None:
        for at, effect in enumerate(effects):
            if self.crash_in == 0:
                self.crash_in = -1
                if not any(isinstance(e, Persist | PersistSnapshot) for e in effects[at:]):
                    self.group.check(self)  # what it says is in force rests on what is on its disk
                self.group.kill(self.name)
                return
            self.crash_in -= self.crash_in > 0
            if isinstance(effect, Persist | PersistSnapshot):
                self.disk.persist(effect)
            elif isinstance(effect, Send):
                self.group.send(self.ends[effect.connection], effect.message)
            elif isinstance(effect, Close):
                self.group.close(self.ends[effect.connection])
            elif isinstance(effect, LogEvent):
                self.log_events.append(effect)
        if self.disk.needs_compaction:
            self.disk.compact(self.replica.recoverable_state())
        self.group.check(self)
        self.group.set_timer(self)
        for name in self.replica.replicas_to_dial():
            if name not in self.dialled:
                self.dialled.add(name)
                self.group.at(self.group.delay(), self.dial, name, self.replica)

    def dial(self, name: str, replica: Replica) -> None:
        if replica is not self.replica or not self.alive:
            return
        self.dialled.discard(name)
        if self.paused or name not in replica.replicas_to_dial():
            return
        other = self.group.processes[name]
        cut = {(self.name, name), (name, self.name)} & self.group.cuts
        if not other.alive or cut:
            self.dialled.add(name)
            self.group.at(100.0, self.dial, name, replica)
            return
        end = self.group.connect(self, other)
        self.do(self.replica.connected(self.group.now, end.number, name))

    def accepted(self, end: End) -> None:
        self.do(self.replica.accepted(self.group.now, end.number))

    def received(self, end: End, message: Message) -> None:
        self.do(self.replica.received(self.group.now, end.number, message))

    def closed(self, end: End) -> None:
        self.do(self.replica.closed(self.group.now, end.number))

    def tick(self) -> None:
        self.do(self.replica.tick(self.group.now))

    resumed = tick


class Hollow(Process):
    """A follower that holds every message against what it knows."""

    def __init__(self, group: Group, name: str, replica: str, topics: Iterable[str]) -> None:
        super().__init__(group, name)
        self.replica = replica
        self.topics = {topic: Topic() for topic in topics}
        self.assembling: dict[str, tuple[Snapshot, Topic]] = {}
        self.received_messages: list[Message] = []
        self.age = self.age_at = float("-inf")
        self.dial()

    def dial(self) -> None:
        if not self.alive:
            return
        other = self.group.processes[self.replica]
        if (
            not other.alive
            or {(self.name, self.replica), (self.replica, self.name)} & self.group.cuts
        ):
            self.group.at(100.0, self.dial)
            return
        end = self.group.connect(self, other)
        self.assembling.clear()
        self.group.send(end, Hello(self.name, False))
        self.subscribe(end)

    def subscribe(self, end: End) -> None:
        asked = tuple(
            TopicVersion(name, topic.version, topic.digest) for name, topic in self.topics.items()
        )
        self.group.send(end, Subscribe(asked))

    def closed(self, end: End) -> None:
        self.group.at(100.0, self.dial)

    def received(self, end: End, message: Message) -> None:
        self.received_messages.append(message)
        if isinstance(message, Delta):
            topic = self.topics[message.topic]
            assert (
                message.topic not in self.assembling
            ), "a change came between the parts of its topic"
            assert message.version == topic.version + 1, (self.name, message, topic.version)
            topic.apply(message.entries)
            assert topic.digest == message.digest
            self.group.check_topic(self.name, message.topic, topic)
        elif isinstance(message, Snapshot):
            had = self.assembling.get(message.topic)
            if message.part == 1:
                had = message, Topic(message.version)
            assert had is not None and message.part == had[0].part + (message.part > 1)
            assert (message.version, message.digest) == (had[0].version, had[0].digest)
            had[1].put(message.entries)
            self.assembling[message.topic] = message, had[1]
            if message.part == message.parts:
                del self.assembling[message.topic]
                assert (
                    had[1].version >= self.topics[message.topic].version
                ), "an older version replaced a newer one"
                assert had[1].digest == message.digest
                self.topics[message.topic] = had[1]
                self.group.check_topic(self.name, message.topic, had[1])
        elif isinstance(message, Heartbeat):
            self.age, self.age_at = message.age_ms, self.group.now
            self.group.check_heartbeat(self, message)


class Operator(Process):
    """Proposes, and remembers what was answered."""

    def __init__(self, group: Group) -> None:
        super().__init__(group, "operator")
        self.asked: dict[int, tuple[str, Propose]] = {}
        self.answers: dict[int, ProposeResponse] = {}
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
        if isinstance(message, ProposeResponse):
            assert message.request_id not in self.answers, "answered twice"
            self.answers[message.request_id] = message
            if not message.error:
                _, asked = self.asked[message.request_id]
                self.group.check_answer(asked, message)


class Group:
    def __init__(
        self,
        count: int = 3,
        learners: int = 0,
        seed: int = 1,
        replica_class: type[Replica] = Replica,
        disk_class: Callable[[], Disk] = MemoryDisk,
        limits: ReplicaLimits | None = None,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.timing = ReplicaTiming()
        self.replica_class, self.disk_class, self.limits = replica_class, disk_class, limits
        self.names = tuple(f"s{number}" for number in range(1, count + learners + 1))
        self.voters = self.names[:count]
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.order = itertools.count()
        self.sent_at_ms = 0.0  # when the message that is being received was sent
        self.numbers = itertools.count(1)
        self.cuts: set[tuple[str, str]] = set()  # from, to
        self.drops: Callable[[str, str, Message], bool] = lambda source, to, message: False
        self.ticking: set[str] | None = None  # stores whose clocks run; None: all
        self.timers: dict[str, float] = {}
        # What was seen, of all stores together.
        self.committed: dict[int, Change] = {}  # all that was in force anywhere
        self.leaders: dict[int, str] = {}
        self.digests: dict[str, dict[int, int]] = {}
        self.changes: dict[str, list[Change]] = {}  # in force, by topic
        self.replayed = 0
        self.replayed_topics: dict[str, Topic] = {}
        self.known_at: list[tuple[float, int]] = [
            (0.0, 0)
        ]  # when the newest committed log index was first seen
        self.processes: dict[str, Process] = {}
        for name in self.names:
            self.processes[name] = ReplicaProcess(self, name)
        self.operator = Operator(self)
        self.processes["operator"] = self.operator

    # Looking.

    def process(self, name: str) -> ReplicaProcess:
        process = self.processes[name]
        assert isinstance(process, ReplicaProcess)
        return process

    def replica(self, name: str) -> Replica:
        return self.process(name).replica

    def state(self, name: str) -> RaftState:
        return self.replica(name).raft.state

    @property
    def running(self) -> list[ReplicaProcess]:
        return [
            self.process(n)
            for n in self.names
            if self.process(n).alive and not self.process(n).paused
        ]

    def leader(self) -> str:
        """The leader of the latest term among those that run; empty: none leads."""
        leaders = [p.name for p in self.running if self.state(p.name).is_leader]
        return max(leaders, key=lambda name: self.state(name).term) if leaders else ""

    # Time and network.

    def at(self, after: float, call: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self.events, (self.now + after, next(self.order), call, arguments))

    def delay(self) -> float:
        return self.rng.uniform(1.0, 20.0)

    def run(self, ms: float, until: Callable[[], bool] | None = None) -> bool:
        """For so long, or until something holds; whether it does."""
        end = self.now + ms
        while self.events and self.events[0][0] <= end:
            if until is not None and until():
                return True
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        if until is not None and until():
            return True
        self.now = end
        return False

    def set_timer(self, process: ReplicaProcess) -> None:
        due = max(self.now, process.replica.due_ms)
        if due != float("inf") and self.timers.get(process.name) != due:
            self.timers[process.name] = due
            self.at(due - self.now, self.timer, process, process.replica, due)

    def timer(self, process: ReplicaProcess, replica: Replica, due: float) -> None:
        if process.replica is not replica or self.timers.get(process.name) != due:
            return
        del self.timers[process.name]
        if not process.alive or process.paused:
            return
        if self.ticking is not None and process.name not in self.ticking:
            self.timers[process.name] = self.now + 50.0
            self.at(50.0, self.timer, process, replica, self.now + 50.0)
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
        if self.drops(end.owner.name, other.owner.name, message):
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
            _, self.sent_at_ms, message = end.queue.popleft()
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

    def deliver_waiting(self) -> None:
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
        self.deliver_waiting()

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
            process.start_replica()

    def pause(self, name: str) -> None:
        self.processes[name].paused = True

    def wake(self, name: str) -> None:
        process = self.processes[name]
        if process.paused:
            process.paused = False
            for end in list(process.ends.values()):
                self.deliver(end)  # as the kernel has it: what came first is read first
            if process.alive:
                process.resumed()

    def restore_all(self) -> None:
        """All run, all are in reach."""
        for name in self.names:
            self.wake(name)
            self.restart(name)
        self.heal()

    # What always has to hold.

    def check(self, process: ReplicaProcess) -> None:
        name, state = process.name, process.replica.raft.state
        commit_index = state.log.commit_index
        if state.is_leader:
            leader = self.leaders.setdefault(state.term, name)
            assert leader == name, f"{leader} and {name} both lead term {state.term}"
        assert process.checked <= commit_index, f"{name} took back what was committed"
        changed = process.checked < commit_index
        process.checked = commit_index
        fresh, process.fresh = process.fresh, []
        for change in fresh:
            had = self.committed.setdefault(change.index, change)
            assert had == change, f"{had} is in force and, at {name}, {change}"
            if change.index > self.known_at[-1][1]:
                self.known_at.append((self.now, change.index))
        if changed:
            for topic_name, topic in process.replica.topics.items():
                self.check_topic(name, topic_name, topic)

    def replay(self) -> None:
        while (change := self.committed.get(self.replayed + 1)) is not None:
            self.replayed += 1
            if change.topic:
                topic = self.replayed_topics.setdefault(change.topic, Topic())
                topic.apply(change.entries)
                self.changes.setdefault(change.topic, []).append(change)
                self.digests.setdefault(change.topic, {})[topic.version] = topic.digest

    def check_topic(self, who: str, name: str, topic: Topic) -> None:
        """What somebody has of a topic is what was in force as of that number."""
        self.replay()
        if topic.version:
            assert (
                self.digests.get(name, {}).get(topic.version) == topic.digest
            ), f"{who} has {name!r} otherwise"

    def check_answer(self, asked: Propose, answer: ProposeResponse) -> None:
        """What was answered as in force is so, as of this number."""
        self.replay()
        changes = self.changes.get(asked.topic, [])
        assert answer.version <= len(changes), f"{answer} was never in force"
        wanted = {entry.key: entry.value for entry in asked.entries}
        for change in reversed(changes[: answer.version]):
            for entry in reversed(change.entries):
                if entry.key in wanted:
                    assert (
                        wanted.pop(entry.key) == entry.value
                    ), f"{answer}: {entry.key} is {entry.value!r}"
        assert not any(
            value is not None for value in wanted.values()
        ), f"{answer}: {wanted} are not there"

    def check_heartbeat(self, follower: Hollow, heartbeat: Heartbeat) -> None:
        """Check that everything committed `age_ms` before the heartbeat was sent has been received."""
        before = self.sent_at_ms - heartbeat.age_ms
        index = max((i for when, i in self.known_at if when < before), default=0)
        numbers: dict[str, int] = {}
        for log_index in range(1, index + 1):
            change = self.committed[log_index]
            if change.topic:
                numbers[change.topic] = numbers.get(change.topic, 0) + 1
        for name, topic in follower.topics.items():
            assert topic.version >= numbers.get(name, 0), (
                f"{follower.name} got a heartbeat for {name!r} as of {heartbeat.age_ms} ms ago; "
                f"it has number {topic.version}, {numbers[name]} was committed"
            )

    def settle(self, ms: float = 12_000.0) -> None:
        """Restore everything, and check that all have all and that nothing was lost."""
        self.restore_all()
        assert self.run(ms, self.settled), self.describe()
        followers = [p for p in self.processes.values() if isinstance(p, Hollow)]
        for answered, answer in self.operator.answers.items():
            if not answer.error:
                self.check_answer(self.operator.asked[answered][1], answer)
        for follower in followers:
            for name, topic in follower.topics.items():
                self.check_topic(follower.name, name, topic)

    def settled(self) -> bool:
        leader = self.leader()
        if not leader:
            return False
        log = self.state(leader).log
        if any(self.state(name).log.commit_index != log.last_index for name in self.names):
            return False
        if max(self.committed, default=0) > log.commit_index:
            return False
        return all(
            topic.version == self.replica(follower.replica).publisher.topics.version(name)
            for follower in self.processes.values()
            if isinstance(follower, Hollow)
            for name, topic in follower.topics.items()
        )

    def describe(self) -> str:
        lines = [f"at {self.now:.0f} ms, {max(self.committed, default=0)} changes were committed"]
        for name in self.names:
            state = self.state(name)
            lines.append(
                f"{name}: {state.role} term {state.term} committed {state.log.commit_index} "
                f"last {state.log.last_index} compacted {state.log.compacted_index} "
                f"peers {sorted(state.peers)} leader {state.leader!r}"
            )
        for process in self.processes.values():
            if isinstance(process, Hollow):
                versions = {name: topic.version for name, topic in process.topics.items()}
                lines.append(
                    f"{process.name} at {process.replica}: {versions} open {len(process.ends)}"
                )
        return "\n".join(lines)
