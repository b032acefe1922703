"""The log of a replica, and how it brings other replicas up to date."""

from __future__ import annotations

import pytest

from badgercart.distribution.effects import LogEvent, RecoveredState, Send
from badgercart.distribution.messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    Hello,
    InstallSnapshot,
    VoteRequest,
)
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaLimits
from badgercart.distribution.topic import Topic
from tests.distribution.scenarios import change, replica_with_leader
from tests.distribution.support import (
    closed_connections,
    leader_of_four,
    messages_to,
    propose,
    single_replica,
    topic_parts,
)


@pytest.mark.parametrize(
    "limits", [ReplicaLimits(max_log_changes=8), ReplicaLimits(max_log_bytes=8 * 40)]
)
def test_the_committed_part_of_the_log_is_bounded(limits: ReplicaLimits) -> None:
    replica = single_replica(limits)
    for number in range(200):
        propose(replica, "t", ("k", b"%023d" % number))
        assert (
            replica.raft.state.log.commit_index - replica.raft.state.log.compacted_index <= 17
            and replica.raft.state.log.committed_bytes <= 2 * 9 * 40
        )
        assert replica.raft.state.log.last_index - replica.raft.state.log.compacted_index == len(
            replica.raft.state.log.changes
        )
        assert replica.raft.state.log.changes[-1].index == replica.raft.state.log.last_index
    assert replica.raft.state.log.commit_index - replica.raft.state.log.compacted_index >= 7


def test_concurrent_snapshots_are_bounded_and_sent_one_part_per_response() -> None:
    replica = leader_of_four(ReplicaLimits(max_concurrent_snapshots=1))
    first = messages_to(replica.received(3001.0, 2, AppendResponse(6, 0, 0, True)), 2)
    assert [type(m) for m in first] == [InstallSnapshot]
    assert messages_to(replica.received(3001.0, 3, AppendResponse(6, 0, 0, True)), 3) == []
    assert (
        sum(peer.progress.snapshot_parts is not None for peer in replica.raft.state.peers.values())
        == 1
    )
    effects = replica.tick(3100.0)
    assert [type(m) for m in messages_to(effects, 3)] == [
        AppendEntries
    ], "a replica that waits for its snapshot still gets heartbeats"
    assert messages_to(effects, 2) == [], "a peer that has not responded is sent nothing more"
    parts = [m for m in first if isinstance(m, InstallSnapshot)]
    while len(parts) < parts[0].parts:
        (part,) = messages_to(replica.received(3102.0, 2, AppendResponse(6, 0, 0, False)), 2)
        assert isinstance(part, InstallSnapshot)
        parts.append(part)
    assert [m.part for m in parts] == list(range(1, parts[0].parts + 1)) and len(parts) > 2
    assert sum(len(m.topics) for m in parts) == 30
    after = messages_to(replica.received(3103.0, 2, AppendResponse(6, 1000, 1000, False)), 2)
    assert [type(m) for m in after] == [AppendEntries] and replica.raft.state.peers[
        "b"
    ].progress.snapshot_parts is None
    effects = replica.received(3104.0, 3, AppendResponse(6, 0, 0, True))
    effects += replica.tick(3300.0)
    assert [type(m) for m in messages_to(effects, 3)] == [InstallSnapshot]


def snapshot_of_two_parts(
    parts: int = 2, term: int = 2, digest: int | None = None
) -> list[InstallSnapshot]:
    topic = Topic(4, (Entry("k", b"4"), Entry("l", b"5")))
    digest = topic.digest if digest is None else digest
    first = ("t", 4, digest, (Entry("k", b"4"),))
    second = ("t", 4, digest, (Entry("l", b"5"),))
    return [
        InstallSnapshot(term, 9, 1, 1, parts, topic_parts(first)),
        InstallSnapshot(term, 9, 1, 2, parts, topic_parts(second)),
    ]


def test_a_snapshot_is_installed_with_its_last_part_and_not_before() -> None:
    replica = replica_with_leader(RecoveredState(1, "", 1, 0, 0, {}, (change(1, 1),)), Replica)
    one, two = snapshot_of_two_parts()
    effects = replica.received(1.0, 1, one)
    assert (
        effects[-1] == Send(1, AppendResponse(2, 1, 1, False)) and replica.topics["t"].version == 1
    )
    effects = replica.received(1.0, 1, two)
    assert effects[-1] == Send(1, AppendResponse(2, 9, 9, False))
    assert (
        replica.topics["t"].entries == {"k": b"4", "l": b"5"}
        and replica.raft.state.log.commit_index == 9
    )


def test_an_unfinished_snapshot_is_dropped_when_it_is_interrupted() -> None:
    one, two = snapshot_of_two_parts()
    for interruption in ("part", "term", "vote", "close", "append"):
        replica = replica_with_leader(RecoveredState(1, "", 1, 0, 0, {}, (change(1, 1),)), Replica)
        connection = 1
        replica.received(1.0, 1, one)
        assert replica.raft.receiver.assembler is not None
        if interruption == "part":
            effects = replica.received(1.0, 1, InstallSnapshot(2, 9, 1, 3, 2, ()))
        elif interruption == "term":
            effects = replica.received(1.0, 1, snapshot_of_two_parts(term=3)[1])
        elif interruption == "vote":
            replica.received(1001.0, 1, VoteRequest(3, 9, 9, False))
            effects = []
        elif interruption == "append":
            effects = replica.received(1.0, 1, AppendEntries(2, 1, (), 1))
        else:
            replica.closed(1.0, 1)
            replica.accepted(1.0, 2)
            replica.received(1.0, 2, Hello("a", True))
            connection, effects = 2, []
        assert replica.raft.receiver.assembler is None
        if interruption != "append" and effects:
            assert isinstance(effects[-1], Send)
            response = effects[-1].message
            assert isinstance(response, AppendResponse) and response.rejected
        if interruption not in ("term", "vote"):
            effects = replica.received(2.0, connection, two)
            assert effects[-1] == Send(connection, AppendResponse(2, 1, 1, True))
        assert replica.raft.state.log.commit_index == 1 and replica.topics["t"].version == 1


def test_a_damaged_snapshot_changes_nothing_and_closes_the_connection() -> None:
    old = Topic(7, (Entry("k", b"7"),))
    for topics, parts, expected_text in (
        ({}, snapshot_of_two_parts(digest=5), "another digest"),
        ({"t": old}, snapshot_of_two_parts(), "older than here"),
        ({"u": old}, snapshot_of_two_parts(), "older than here"),
        (
            {},
            [
                snapshot_of_two_parts()[0],
                InstallSnapshot(2, 9, 1, 2, 2, topic_parts(("t", 5, 5, ()))),
            ],
            "two numbers or digests",
        ),
    ):
        replica = replica_with_leader(RecoveredState(1, "", 1, 1, 1, dict(topics)), Replica)
        replica.received(1.0, 1, parts[0])
        effects = replica.received(1.0, 1, parts[1])
        assert closed_connections(effects) == [(1, "spoilt")]
        (event,) = (e for e in effects if isinstance(e, LogEvent))
        assert event.name == "store-state-refused" and expected_text in event.fields["why"]
        assert (
            replica.raft.state.log.commit_index == 1
            and replica.topics == topics
            and replica.raft.receiver.assembler is None
        )


def test_an_unfinished_snapshot_is_bounded_in_parts_topics_and_entries() -> None:
    many = topic_parts(*((f"t{n}", 1, 0, (Entry("k", b""),)) for n in range(4)))
    for limits, part in (
        (ReplicaLimits(max_topics=3), InstallSnapshot(2, 9, 1, 1, 2, many)),
        (ReplicaLimits(max_entries=3), InstallSnapshot(2, 9, 1, 1, 2, many)),
    ):
        replica = replica_with_leader(RecoveredState(), limits=limits)
        assert (
            closed_connections(replica.received(1.0, 1, part)) == [(1, "spoilt")]
            and replica.raft.receiver.assembler is None
        )
    replica = replica_with_leader(RecoveredState(), limits=ReplicaLimits(max_snapshot_parts=3))
    effects = replica.received(1.0, 1, InstallSnapshot(2, 9, 1, 1, 4, many))
    assert (
        effects[-1] == Send(1, AppendResponse(2, 0, 0, True))
        and replica.raft.receiver.assembler is None
    )
