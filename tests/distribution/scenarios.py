"""The shortest sequences of events that fail without one of Raft's rules."""

from __future__ import annotations

import random

from badgercart.distribution.effects import PersistSnapshot, RecoveredState, Send
from badgercart.distribution.messages import (
    AppendEntries,
    AppendResponse,
    Change,
    Entry,
    Hello,
    InstallSnapshot,
    Message,
    TopicPart,
)
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaLimits, ReplicaTiming
from badgercart.distribution.topic import Topic
from tests.distribution.simulation import Group

LARGE = [
    Entry(f"key {number}", bytes(64 << 10)) for number in range(8)
]  # more than one frame's piece


def elect(group: Group, name: str, *voters: str) -> None:
    """Have a store lead, with these voters alone to help it; all others' clocks stand still."""
    group.cuts.clear()
    apart = [other for other in group.names if other not in (name, *voters)]
    for other in apart:
        group.isolate(other)
    group.deliver_waiting()
    group.ticking = {name}
    assert group.run(30_000.0, lambda: group.state(name).is_leader), group.describe()


def value(group: Group, word: str) -> list[Entry]:
    return [*LARGE[1:], Entry("key 0", word.encode().ljust(64 << 10))]


def figure_8(replica_class: type[Replica] = Replica) -> None:
    """Raft's figure 8: a change of an earlier term may be replaced though a majority has it."""
    group = Group(5, replica_class=replica_class)
    group.run(200.0)  # all are connected
    s1, s2, s3, s4, s5 = group.names
    # (a) s1 leads, and gets its change to s2 alone.
    elect(group, s1, s2, s3, s4, s5)
    assert group.run(
        2000.0, lambda: all(group.state(name).log.last_index == 1 for name in group.names)
    )
    group.drops = lambda source, to, message: isinstance(message, AppendEntries) and to != s2
    group.operator.propose(s1, "t", value(group, "first"))
    assert group.run(1000.0, lambda: group.state(s2).log.last_index == 2)
    group.kill(s1)
    # (b) s5 leads by s3 and s4, and writes its own at the same index; nobody gets it.
    group.drops = lambda source, to, message: isinstance(message, AppendEntries) and source == s5
    elect(group, s5, s3, s4)
    assert group.state(s5).log.last_index == 2
    group.kill(s5)
    # (c) s1 is back, leads, and gets its old change to s3 too, but nothing of its new term.
    group.restart(s1)
    group.restart(s5)
    group.kill(s5)
    new = group.state(s1).term + 2

    def held(source: str, to: str, message: Message) -> bool:
        return isinstance(message, AppendEntries) and any(
            change.term > new - 2 for change in message.changes
        )

    group.drops = held
    elect(group, s1, s2, s3, s4)
    group.run(1000.0, lambda: group.state(s3).log.last_index == 2)
    assert (
        group.state(s3).log.last_index == 2
        and group.state(s3).log.changes[-1].term < group.state(s1).term
    )
    group.run(100.0)
    # (d) s5 leads by s2, s3 and s4, whose logs end in an earlier term than its own, and
    # replaces it.
    group.kill(s1)
    group.drops = lambda source, to, message: False
    group.restart(s5)
    elect(group, s5, s2, s3, s4)
    group.run(1000.0)
    group.ticking = None
    group.settle()


def vote_forgotten(replica_class: type[Replica] = Replica) -> None:
    """A voter that restarts after its vote must not give another in that term."""
    group = Group(3, replica_class=replica_class)
    group.run(200.0)
    s1, s2, s3 = group.names
    group.drops = lambda source, to, message: isinstance(message, AppendEntries)
    elect(group, s1, s2)
    group.kill(s2)
    group.restart(s2)
    group.heal()
    group.isolate(s1)
    group.ticking = {s3}
    group.run(6000.0, lambda: group.state(s3).is_leader)
    group.ticking = None
    group.drops = lambda source, to, message: False
    group.settle()


def two_ask_at_once(replica_class: type[Replica] = Replica) -> None:
    """Two stand for the same term, and one voter is asked by both."""
    group = Group(3, replica_class=replica_class)
    group.run(200.0)
    s1, _, s3 = group.names
    group.cuts |= {(s1, s3), (s3, s1)}
    group.run(850.0)  # nobody's lease runs any more, and nobody has stood yet
    for name in (s1, s3):
        group.replica(name).raft.elections.deadline_ms = group.now
        group.set_timer(group.process(name))
    group.drops = lambda source, to, message: isinstance(message, AppendEntries)
    group.run(200.0)
    group.drops = lambda source, to, message: False
    group.settle()


def tail_shortened(replica_class: type[Replica] = Replica) -> None:
    """A later leader's first piece of the log must not cut off what was in force behind it."""
    group = Group(3, replica_class=replica_class)
    group.run(200.0)
    s1, s2, s3 = group.names
    elect(group, s1, s2, s3)
    assert group.run(
        2000.0, lambda: all(group.state(name).log.commit_index == 1 for name in group.names)
    )
    group.isolate(s3)
    group.operator.propose(s1, "t", value(group, "one"))
    group.operator.propose(s1, "t", value(group, "two"))
    assert group.run(1000.0, lambda: group.state(s1).log.commit_index == 3)
    group.kill(s1)
    group.restart(s1)
    assert (group.state(s1).log.commit_index, group.state(s1).log.last_index) == (1, 3)

    def second(source: str, to: str, message: Message) -> bool:
        return isinstance(message, AppendEntries) and any(
            change.index > 2 for change in message.changes
        )

    group.drops = second
    elect(group, s2, s1)
    assert group.run(1000.0, lambda: group.replica(s1).raft.receiver.verified_index == 2)
    group.kill(s2)
    group.drops = lambda source, to, message: False
    elect(group, s1, s3)
    group.run(1000.0)
    group.ticking = None
    group.settle()


def led_replica(
    recovered: RecoveredState,
    replica_class: type[Replica] = Replica,
    limits: ReplicaLimits | None = None,
) -> Replica:
    """One of three, with another that leads it on connection 1."""
    names = ("a", "b", "c")
    replica = replica_class(
        ReplicaGroup("b", names, names), ReplicaTiming(), random.Random(1), recovered, limits
    )
    replica.start(0.0)
    replica.accepted(0.0, 1)
    replica.received(0.0, 1, Hello("a", True))
    return replica


def change(term: int, index: int) -> Change:
    return Change(term, index, "t", (Entry("k", b"%d" % index),))


def earlier_term(replica_class: type[Replica] = Replica) -> None:
    """A leader of an earlier term is answered with the term, and changes nothing."""
    replica = led_replica(
        RecoveredState(3, "c", 1, 0, 0, {}, (change(1, 1), change(3, 2))), replica_class
    )
    effects = replica.received(1.0, 1, AppendEntries(2, 1, (change(2, 2),), 2))
    assert effects == [Send(1, AppendResponse(3, 0, 1, True))]
    assert (
        replica.raft.state.log.changes == [change(1, 1), change(3, 2)]
        and replica.raft.state.log.commit_index == 1
    )


def tail_behind_state(replica_class: type[Replica] = Replica) -> None:
    """Changes behind a snapshot stay where the log agrees with it at its index."""
    log = tuple(change(1, index) for index in range(1, 6))
    replica = led_replica(RecoveredState(1, "", 1, 0, 0, {}, log), replica_class)
    topic = Topic(4, (Entry("k", b"4"),))
    part = InstallSnapshot(2, 4, 1, 1, 1, (TopicPart("t", 4, topic.digest, (Entry("k", b"4"),)),))
    effects = replica.received(1.0, 1, part)
    persisted = [effect for effect in effects if isinstance(effect, PersistSnapshot)]
    assert (
        replica.raft.state.log.commit_index == 4
        and replica.raft.state.log.last_index == 5
        and persisted[0].state.changes == (change(1, 5),)
    )
    assert effects[-1] == Send(1, AppendResponse(2, 4, 4, False))


SCENARIOS = (
    figure_8,
    vote_forgotten,
    two_ask_at_once,
    tail_shortened,
    earlier_term,
    tail_behind_state,
)
