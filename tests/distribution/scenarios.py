"""Short scenarios, each of which fails without one of Raft's rules."""

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

# More than one message of the log holds.
LARGE_ENTRIES = [Entry(f"key {number}", bytes(64 << 10)) for number in range(8)]


def elect(group: Group, name: str, *voters: str) -> None:
    """Make a replica lead with the votes of these voters; the clocks of all others are stopped."""
    group.cuts.clear()
    isolated = [other for other in group.names if other not in (name, *voters)]
    for other in isolated:
        group.isolate(other)
    group.deliver_queued()
    group.ticking_replicas = {name}
    assert group.run(30_000.0, lambda: group.state(name).is_leader), group.describe()


def large_entries(group: Group, text: str) -> list[Entry]:
    return [*LARGE_ENTRIES[1:], Entry("key 0", text.encode().ljust(64 << 10))]


def figure_8(replica_class: type[Replica] = Replica) -> None:
    """Play figure 8 of the Raft paper.

    A change of an earlier term may be replaced although a majority has it.
    """
    group = Group(5, replica_class=replica_class)
    # All replicas connect.
    group.run(200.0)
    s1, s2, s3, s4, s5 = group.names
    # (a) s1 leads and replicates its change only to s2.
    elect(group, s1, s2, s3, s4, s5)
    assert group.run(
        2000.0, lambda: all(group.state(name).log.last_index == 1 for name in group.names)
    )
    group.drop_message = lambda source, to, message: isinstance(message, AppendEntries) and to != s2
    group.operator.propose(s1, "t", large_entries(group, "first"))
    assert group.run(1000.0, lambda: group.state(s2).log.last_index == 2)
    group.kill(s1)
    # (b) s5 leads with s3 and s4, and appends another change at the same index for itself only.
    group.drop_message = (
        lambda source, to, message: isinstance(message, AppendEntries) and source == s5
    )
    elect(group, s5, s3, s4)
    assert group.state(s5).log.last_index == 2
    group.kill(s5)
    # (c) s1 restarts, leads and replicates its old change to s3, but none of its new term.
    group.restart(s1)
    group.restart(s5)
    group.kill(s5)
    next_term = group.state(s1).term + 2

    def is_of_later_term(source: str, to: str, message: Message) -> bool:
        return isinstance(message, AppendEntries) and any(
            change.term > next_term - 2 for change in message.changes
        )

    group.drop_message = is_of_later_term
    elect(group, s1, s2, s3, s4)
    group.run(1000.0, lambda: group.state(s3).log.last_index == 2)
    assert (
        group.state(s3).log.last_index == 2
        and group.state(s3).log.changes[-1].term < group.state(s1).term
    )
    group.run(100.0)
    # (d) s5 leads with s2, s3 and s4, whose logs end in an earlier term than its own, and
    # replaces the old change.
    group.kill(s1)
    group.drop_message = lambda source, to, message: False
    group.restart(s5)
    elect(group, s5, s2, s3, s4)
    group.run(1000.0)
    group.ticking_replicas = None
    group.restore_and_converge()


def restart_after_vote(replica_class: type[Replica] = Replica) -> None:
    """Restart a voter after its vote: it must not grant another vote in that term."""
    group = Group(3, replica_class=replica_class)
    group.run(200.0)
    s1, s2, s3 = group.names
    group.drop_message = lambda source, to, message: isinstance(message, AppendEntries)
    elect(group, s1, s2)
    group.kill(s2)
    group.restart(s2)
    group.heal()
    group.isolate(s1)
    group.ticking_replicas = {s3}
    group.run(6000.0, lambda: group.state(s3).is_leader)
    group.ticking_replicas = None
    group.drop_message = lambda source, to, message: False
    group.restore_and_converge()


def concurrent_candidates(replica_class: type[Replica] = Replica) -> None:
    """Let two candidates of the same term request the vote of one voter."""
    group = Group(3, replica_class=replica_class)
    group.run(200.0)
    s1, _, s3 = group.names
    group.cuts |= {(s1, s3), (s3, s1)}
    # No lease is left, and no replica has started an election yet.
    group.run(850.0)
    for name in (s1, s3):
        group.replica(name).raft.elections.deadline_ms = group.now_ms
        group.set_timer(group.process(name))
    group.drop_message = lambda source, to, message: isinstance(message, AppendEntries)
    group.run(200.0)
    group.drop_message = lambda source, to, message: False
    group.restore_and_converge()


def shorter_append_after_commit(replica_class: type[Replica] = Replica) -> None:
    """Send a short first message of a later leader: it must not truncate committed changes."""
    group = Group(3, replica_class=replica_class)
    group.run(200.0)
    s1, s2, s3 = group.names
    elect(group, s1, s2, s3)
    assert group.run(
        2000.0, lambda: all(group.state(name).log.commit_index == 1 for name in group.names)
    )
    group.isolate(s3)
    group.operator.propose(s1, "t", large_entries(group, "one"))
    group.operator.propose(s1, "t", large_entries(group, "two"))
    assert group.run(1000.0, lambda: group.state(s1).log.commit_index == 3)
    group.kill(s1)
    group.restart(s1)
    assert (group.state(s1).log.commit_index, group.state(s1).log.last_index) == (1, 3)

    def is_after_second_change(source: str, to: str, message: Message) -> bool:
        return isinstance(message, AppendEntries) and any(
            change.index > 2 for change in message.changes
        )

    group.drop_message = is_after_second_change
    elect(group, s2, s1)
    assert group.run(1000.0, lambda: group.replica(s1).raft.receiver.verified_index == 2)
    group.kill(s2)
    group.drop_message = lambda source, to, message: False
    elect(group, s1, s3)
    group.run(1000.0)
    group.ticking_replicas = None
    group.restore_and_converge()


def replica_with_leader(
    recovered: RecoveredState,
    replica_class: type[Replica] = Replica,
    limits: ReplicaLimits | None = None,
) -> Replica:
    """Return replica b of three, with the leader a on connection 1."""
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


def append_of_earlier_term(replica_class: type[Replica] = Replica) -> None:
    """Reject a leader of an earlier term with the current term, and change nothing."""
    replica = replica_with_leader(
        RecoveredState(3, "c", 1, 0, 0, {}, (change(1, 1), change(3, 2))), replica_class
    )
    effects = replica.received(1.0, 1, AppendEntries(2, 1, (change(2, 2),), 2))
    assert effects == [Send(1, AppendResponse(3, 0, 1, True))]
    assert (
        replica.raft.state.log.changes == [change(1, 1), change(3, 2)]
        and replica.raft.state.log.commit_index == 1
    )


def snapshot_before_log_tail(replica_class: type[Replica] = Replica) -> None:
    """Keep the changes after a snapshot if the log matches the snapshot at its index."""
    log = tuple(change(1, index) for index in range(1, 6))
    replica = replica_with_leader(RecoveredState(1, "", 1, 0, 0, {}, log), replica_class)
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
    restart_after_vote,
    concurrent_candidates,
    shorter_append_after_commit,
    append_of_earlier_term,
    snapshot_before_log_tail,
)
