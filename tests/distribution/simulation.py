"""Simulates replicas and followers on a virtual clock, with network delays and partitions.

Connections behave like TCP: messages arrive in order and complete. While a direction is cut,
messages wait until it is healed or the connection ends. After each event of a replica the group
checks the invariants of Raft and of published topics.
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


def copy_state(state: RecoveredState) -> RecoveredState:
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
    """A Journal in memory that needs a compaction after `max_records` records."""

    def __init__(self, max_records: int = 8) -> None:
        self.max_records = max_records
        self.start = RecoveredState()
        self.persisted: list[Persist] = []

    def recover(self) -> RecoveredState:
        return replay(copy_state(self.start), self.persisted)

    def persist(self, effect: Persist | PersistSnapshot) -> None:
        if isinstance(effect, PersistSnapshot):
            self.compact(effect.state)
        else:
            self.persisted.append(effect)

    @property
    def needs_compaction(self) -> bool:
        return len(self.persisted) > self.max_records

    def compact(self, state: RecoveredState) -> None:
        self.start, self.persisted = copy_state(state), []

    def close(self) -> None: ...


@dataclass(eq=False)
class ConnectionEnd:
    """One end of a connection.

    Attributes:
        owner: the process at this end.
        number: identifies the connection for its owner.
        other: the other end.
        open: whether it is not closed.
        accepted: whether the owner has accepted it; nothing is received before.
        queue: messages in transit with the times of arrival and of sending; None is the close.
    """

    owner: Process
    number: int
    other: ConnectionEnd | None = None
    open: bool = True
    accepted: bool = True
    queue: deque[tuple[float, float, Message | None]] = field(default_factory=deque)


class Process:
    """A simulated process: a replica, a follower or the operator."""

    name: str
    alive = True
    paused = False

    def __init__(self, group: Group, name: str) -> None:
        self.group, self.name = group, name
        self.ends: dict[int, ConnectionEnd] = {}

    def accepted(self, end: ConnectionEnd) -> None: ...
    def received(self, end: ConnectionEnd, message: Message) -> None: ...
    def closed(self, end: ConnectionEnd) -> None: ...
    def resumed(self) -> None: ...


class RecordingStateMachine:
    """A state machine whose `apply` is replaced by a recording one."""

    def __init__(self, machine: StateMachine, apply: Callable[[Change, bool], None]) -> None:
        self._machine = machine
        self.apply = apply

    def __getattr__(self, name: str) -> Any:
        return getattr(self._machine, name)


class ReplicaProcess(Process):
    """A process with a replica, whose disk survives crashes."""

    def __init__(self, group: Group, name: str) -> None:
        super().__init__(group, name)
        self.disk: Disk = group.disk_class()
        # The process crashes after this many more effects; -1: it doesn't crash.
        self.effects_until_crash = -1
        self.log_events: list[LogEvent] = []
        # The log index up to which this replica was checked against the others.
        self.checked_index = 0
        # The changes committed since that check.
        self.new_commits: list[Change] = []
        self.dialled: set[str] = set()
        self.start_replica()

    def start_replica(self) -> None:
        group = self.group
        self.alive, self.ends, self.dialled = True, {}, set()
        recovered = self.disk.recover()
        self.new_commits = list(
            recovered.changes[: recovered.commit_index - recovered.snapshot_index]
        )
        self.replica = group.replica_class(
            ReplicaGroup(self.name, group.voters, group.names),
            group.timing,
            random.Random(group.rng.random()),
            recovered,
            group.limits,
        )
        self.checked_index = recovered.snapshot_index
        self.record_commits(self.replica.raft.state)
        self.execute(self.replica.start(group.now_ms))

    def record_commits(self, state: RaftState) -> None:
        """Record each change that is committed from now on."""
        apply = state.machine.apply

        def watched(change: Change, is_leader: bool) -> None:
            self.new_commits.append(change)
            apply(change, is_leader)

        state.machine = RecordingStateMachine(state.machine, watched)

    def execute(self, effects: list[Effect]) -> None:
        for position, effect in enumerate(effects):
            if self.effects_until_crash == 0:
                self.effects_until_crash = -1
                # What it reports as committed is valid only if nothing is left to persist.
                if not any(isinstance(e, Persist | PersistSnapshot) for e in effects[position:]):
                    self.group.check(self)
                self.group.kill(self.name)
                return
            self.effects_until_crash -= self.effects_until_crash > 0
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
                self.group.schedule(self.group.network_delay_ms(), self.dial, name, self.replica)

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
            self.group.schedule(100.0, self.dial, name, replica)
            return
        end = self.group.connect(self, other)
        self.execute(self.replica.connected(self.group.now_ms, end.number, name))

    def accepted(self, end: ConnectionEnd) -> None:
        self.execute(self.replica.accepted(self.group.now_ms, end.number))

    def received(self, end: ConnectionEnd, message: Message) -> None:
        self.execute(self.replica.received(self.group.now_ms, end.number, message))

    def closed(self, end: ConnectionEnd) -> None:
        self.execute(self.replica.closed(self.group.now_ms, end.number))

    def tick(self) -> None:
        self.execute(self.replica.tick(self.group.now_ms))

    resumed = tick


class SimulatedFollower(Process):
    """A follower that checks every message against its own state."""

    def __init__(self, group: Group, name: str, replica: str, topics: Iterable[str]) -> None:
        super().__init__(group, name)
        self.replica = replica
        self.topics = {topic: Topic() for topic in topics}
        self.assembling: dict[str, tuple[Snapshot, Topic]] = {}
        self.received_messages: list[Message] = []
        self.age_ms = self.age_at_ms = float("-inf")
        self.dial()

    def dial(self) -> None:
        if not self.alive:
            return
        other = self.group.processes[self.replica]
        if (
            not other.alive
            or {(self.name, self.replica), (self.replica, self.name)} & self.group.cuts
        ):
            self.group.schedule(100.0, self.dial)
            return
        end = self.group.connect(self, other)
        self.assembling.clear()
        self.group.send(end, Hello(self.name, False))
        self.subscribe(end)

    def subscribe(self, end: ConnectionEnd) -> None:
        topic_versions = tuple(
            TopicVersion(name, topic.version, topic.digest) for name, topic in self.topics.items()
        )
        self.group.send(end, Subscribe(topic_versions))

    def closed(self, end: ConnectionEnd) -> None:
        self.group.schedule(100.0, self.dial)

    def received(self, end: ConnectionEnd, message: Message) -> None:
        self.received_messages.append(message)
        if isinstance(message, Delta):
            topic = self.topics[message.topic]
            assert (
                message.topic not in self.assembling
            ), "a delta came between the parts of a snapshot of its topic"
            assert message.version == topic.version + 1, (self.name, message, topic.version)
            topic.apply(message.entries)
            assert topic.digest == message.digest
            self.group.check_topic(self.name, message.topic, topic)
        elif isinstance(message, Snapshot):
            assembly = self.assembling.get(message.topic)
            if message.part == 1:
                assembly = message, Topic(message.version)
            assert assembly is not None and message.part == assembly[0].part + (message.part > 1)
            assert (message.version, message.digest) == (assembly[0].version, assembly[0].digest)
            assembly[1].put(message.entries)
            self.assembling[message.topic] = message, assembly[1]
            if message.part == message.parts:
                del self.assembling[message.topic]
                assert (
                    assembly[1].version >= self.topics[message.topic].version
                ), "an older version replaced a newer one"
                assert assembly[1].digest == message.digest
                self.topics[message.topic] = assembly[1]
                self.group.check_topic(self.name, message.topic, assembly[1])
        elif isinstance(message, Heartbeat):
            self.age_ms, self.age_at_ms = message.age_ms, self.group.now_ms
            self.group.check_heartbeat(self, message)


class Operator(Process):
    """An operator that records its proposals and their responses."""

    def __init__(self, group: Group) -> None:
        super().__init__(group, "operator")
        self.proposals: dict[int, tuple[str, Propose]] = {}
        self.responses: dict[int, ProposeResponse] = {}
        self.request_ids = itertools.count(1)
        self.connections: dict[str, ConnectionEnd] = {}

    def propose(self, store: str, topic: str, entries: Iterable[Entry], expected: int = -1) -> int:
        request_id = next(self.request_ids)
        process = self.group.processes[store]
        if not process.alive:
            return request_id
        connection = self.connections.get(store)
        if connection is None or not connection.open:
            connection = self.connections[store] = self.group.connect(self, process)
            self.group.send(connection, Hello(self.name, False))
        proposal = Propose(request_id, topic, tuple(entries), expected)
        self.proposals[request_id] = store, proposal
        self.group.send(connection, proposal)
        return request_id

    def received(self, end: ConnectionEnd, message: Message) -> None:
        if isinstance(message, ProposeResponse):
            assert message.request_id not in self.responses, "the proposal got two responses"
            self.responses[message.request_id] = message
            if not message.error:
                _, proposal = self.proposals[message.request_id]
                self.group.check_answer(proposal, message)


class Group:
    """A simulated group of replicas with followers, an operator and a network."""

    def __init__(
        self,
        count: int = 3,
        learners: int = 0,
        seed: int = 1,
        replica_class: type[Replica] = Replica,
        disk_class: Callable[[], Disk] = MemoryDisk,
        limits: ReplicaLimits | None = None,
    ) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.timing = ReplicaTiming()
        self.replica_class, self.disk_class, self.limits = replica_class, disk_class, limits
        self.names = tuple(f"s{number}" for number in range(1, count + learners + 1))
        self.voters = self.names[:count]
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.event_numbers = itertools.count()
        # When the message that is being received was sent.
        self.sent_at_ms = 0.0
        self.connection_numbers = itertools.count(1)
        # The directions that are cut, as pairs of sender and receiver.
        self.cuts: set[tuple[str, str]] = set()
        self.drop_message: Callable[[str, str, Message], bool] = lambda source, to, message: False
        # The replicas whose clocks run; None: all.
        self.ticking_replicas: set[str] | None = None
        self.timers: dict[str, float] = {}
        # The history of the group: all changes committed on any replica, by log index.
        self.committed: dict[int, Change] = {}
        self.leaders: dict[int, str] = {}
        self.digests: dict[str, dict[int, int]] = {}
        # Committed changes by topic.
        self.changes: dict[str, list[Change]] = {}
        self.replayed_count = 0
        self.replayed_topics: dict[str, Topic] = {}
        # When each log index was first seen as the newest committed one.
        self.commit_times: list[tuple[float, int]] = [(0.0, 0)]
        self.processes: dict[str, Process] = {}
        for name in self.names:
            self.processes[name] = ReplicaProcess(self, name)
        self.operator = Operator(self)
        self.processes["operator"] = self.operator

    # Access to processes.

    def process(self, name: str) -> ReplicaProcess:
        process = self.processes[name]
        assert isinstance(process, ReplicaProcess)
        return process

    def replica(self, name: str) -> Replica:
        return self.process(name).replica

    def state(self, name: str) -> RaftState:
        return self.replica(name).raft.state

    @property
    def running_replicas(self) -> list[ReplicaProcess]:
        return [
            self.process(n)
            for n in self.names
            if self.process(n).alive and not self.process(n).paused
        ]

    def leader(self) -> str:
        """Return the leader of the latest term among the running replicas; empty without one."""
        leaders = [p.name for p in self.running_replicas if self.state(p.name).is_leader]
        return max(leaders, key=lambda name: self.state(name).term) if leaders else ""

    # Time and network.

    def schedule(self, delay_ms: float, callback: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(
            self.events, (self.now_ms + delay_ms, next(self.event_numbers), callback, arguments)
        )

    def network_delay_ms(self) -> float:
        return self.rng.uniform(1.0, 20.0)

    def run(self, duration_ms: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for a duration, or until a condition holds; return whether it holds."""
        end = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= end:
            if until is not None and until():
                return True
            self.now_ms, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        if until is not None and until():
            return True
        self.now_ms = end
        return False

    def set_timer(self, process: ReplicaProcess) -> None:
        due_ms = max(self.now_ms, process.replica.due_ms)
        if due_ms != float("inf") and self.timers.get(process.name) != due_ms:
            self.timers[process.name] = due_ms
            self.schedule(due_ms - self.now_ms, self.handle_timer, process, process.replica, due_ms)

    def handle_timer(self, process: ReplicaProcess, replica: Replica, due_ms: float) -> None:
        if process.replica is not replica or self.timers.get(process.name) != due_ms:
            return
        del self.timers[process.name]
        if not process.alive or process.paused:
            return
        if self.ticking_replicas is not None and process.name not in self.ticking_replicas:
            self.timers[process.name] = self.now_ms + 50.0
            self.schedule(50.0, self.handle_timer, process, replica, self.now_ms + 50.0)
            return
        process.tick()

    def connect(self, source: Process, to: Process) -> ConnectionEnd:
        a, b = (
            ConnectionEnd(source, next(self.connection_numbers)),
            ConnectionEnd(to, next(self.connection_numbers)),
        )
        a.other, b.other, b.accepted = b, a, False
        source.ends[a.number] = a
        to.ends[b.number] = b
        self.schedule(0.0, self.accept_connection, b)
        return a

    def accept_connection(self, end: ConnectionEnd) -> None:
        """Accept a connection, once its process runs."""
        if end.owner.alive and end.open:
            if end.owner.paused:
                self.schedule(50.0, self.accept_connection, end)
            else:
                end.accepted = True
                end.owner.accepted(end)
                self.deliver(end)

    def send(self, end: ConnectionEnd, message: Message) -> None:
        message = CODEC.decode(CODEC.encode(message))
        assert end.open, f"{end.owner.name} sends on a closed connection: {message}"
        other = end.other
        assert other is not None
        if self.drop_message(end.owner.name, other.owner.name, message):
            return
        at_ms = max(
            self.now_ms + self.network_delay_ms(), other.queue[-1][0] if other.queue else 0.0
        )
        other.queue.append((at_ms, self.now_ms, message))
        self.schedule(at_ms - self.now_ms, self.deliver, other)

    def deliver(self, end: ConnectionEnd) -> None:
        """Deliver arrived messages, unless the direction is cut or the process paused."""
        assert end.other is not None
        while end.queue and end.open and end.queue[0][0] <= self.now_ms:
            owner = end.owner
            if not owner.alive:
                return
            if owner.paused or not end.accepted or (end.other.owner.name, owner.name) in self.cuts:
                # `wake` and `heal` deliver them later.
                return
            _, self.sent_at_ms, message = end.queue.popleft()
            if message is None:
                end.open = False
                owner.ends.pop(end.number, None)
                owner.closed(end)
                return
            owner.received(end, message)

    def close(self, end: ConnectionEnd) -> None:
        """Close a connection on behalf of its owner."""
        end.open = False
        end.owner.ends.pop(end.number, None)
        other = end.other
        assert other is not None
        if other.open:
            at_ms = max(
                self.now_ms + self.network_delay_ms(), other.queue[-1][0] if other.queue else 0.0
            )
            other.queue.append((at_ms, self.now_ms, None))
            self.schedule(at_ms - self.now_ms, self.deliver, other)

    def deliver_queued(self) -> None:
        """Schedule the delivery of all queued messages."""
        for process in list(self.processes.values()):
            if process.alive and not process.paused:
                for end in list(process.ends.values()):
                    self.schedule(0.0, self.deliver, end)

    # Faults and their repair.

    def cut(self, source: str, to: str) -> None:
        self.cuts.add((source, to))

    def isolate(self, *names: str) -> None:
        """Cut both directions between these processes and all others."""
        for name in names:
            for other in self.processes:
                if other not in names:
                    self.cuts |= {(name, other), (other, name)}

    def heal(self) -> None:
        self.cuts.clear()
        self.deliver_queued()

    def break_connections(self, one: str, other: str) -> None:
        """Close the connections between two processes."""
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
                # As with a real socket, buffered messages are read before the next tick.
                self.deliver(end)
            if process.alive:
                process.resumed()

    def restore_all(self) -> None:
        """Restart and wake all replicas, and heal the network."""
        for name in self.names:
            self.wake(name)
            self.restart(name)
        self.heal()

    # Invariants.

    def check(self, process: ReplicaProcess) -> None:
        name, state = process.name, process.replica.raft.state
        commit_index = state.log.commit_index
        if state.is_leader:
            leader = self.leaders.setdefault(state.term, name)
            assert leader == name, f"{leader} and {name} both lead term {state.term}"
        assert process.checked_index <= commit_index, f"the commit index of {name} went back"
        changed = process.checked_index < commit_index
        process.checked_index = commit_index
        new_commits, process.new_commits = process.new_commits, []
        for change in new_commits:
            committed = self.committed.setdefault(change.index, change)
            assert committed == change, f"{committed} is committed, but {change} at {name}"
            if change.index > self.commit_times[-1][1]:
                self.commit_times.append((self.now_ms, change.index))
        if changed:
            for topic_name, topic in process.replica.topics.items():
                self.check_topic(name, topic_name, topic)

    def replay(self) -> None:
        while (change := self.committed.get(self.replayed_count + 1)) is not None:
            self.replayed_count += 1
            if change.topic:
                topic = self.replayed_topics.setdefault(change.topic, Topic())
                topic.apply(change.entries)
                self.changes.setdefault(change.topic, []).append(change)
                self.digests.setdefault(change.topic, {})[topic.version] = topic.digest

    def check_topic(self, who: str, name: str, topic: Topic) -> None:
        """Check that a topic has the committed content of its version."""
        self.replay()
        if topic.version:
            assert (
                self.digests.get(name, {}).get(topic.version) == topic.digest
            ), f"{who} has other content of {name!r}"

    def check_answer(self, proposal: Propose, answer: ProposeResponse) -> None:
        """Check that a proposal reported as committed is contained in the reported version."""
        self.replay()
        changes = self.changes.get(proposal.topic, [])
        assert answer.version <= len(changes), f"the version of {answer} was never committed"
        expected_values = {entry.key: entry.value for entry in proposal.entries}
        for change in reversed(changes[: answer.version]):
            for entry in reversed(change.entries):
                if entry.key in expected_values:
                    assert (
                        expected_values.pop(entry.key) == entry.value
                    ), f"{answer}: {entry.key} is {entry.value!r}"
        assert not any(
            value is not None for value in expected_values.values()
        ), f"{answer}: {expected_values} are missing"

    def check_heartbeat(self, follower: SimulatedFollower, heartbeat: Heartbeat) -> None:
        """Check that a follower has all changes committed `age_ms` before the heartbeat."""
        committed_before_ms = self.sent_at_ms - heartbeat.age_ms
        index = max((i for at_ms, i in self.commit_times if at_ms < committed_before_ms), default=0)
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

    def restore_and_converge(self, duration_ms: float = 12_000.0) -> None:
        """Restore the group, and check that all converge and no committed change was lost."""
        self.restore_all()
        assert self.run(duration_ms, self.has_converged), self.describe()
        followers = [p for p in self.processes.values() if isinstance(p, SimulatedFollower)]
        for answered, answer in self.operator.responses.items():
            if not answer.error:
                self.check_answer(self.operator.proposals[answered][1], answer)
        for follower in followers:
            for name, topic in follower.topics.items():
                self.check_topic(follower.name, name, topic)

    def has_converged(self) -> bool:
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
            if isinstance(follower, SimulatedFollower)
            for name, topic in follower.topics.items()
        )

    def describe(self) -> str:
        lines = [
            f"at {self.now_ms:.0f} ms, {max(self.committed, default=0)} changes were committed"
        ]
        for name in self.names:
            state = self.state(name)
            lines.append(
                f"{name}: {state.role} term {state.term} committed {state.log.commit_index} "
                f"last {state.log.last_index} compacted {state.log.compacted_index} "
                f"peers {sorted(state.peers)} leader {state.leader!r}"
            )
        for process in self.processes.values():
            if isinstance(process, SimulatedFollower):
                versions = {name: topic.version for name, topic in process.topics.items()}
                lines.append(
                    f"{process.name} at {process.replica}: {versions} open {len(process.ends)}"
                )
        return "\n".join(lines)
