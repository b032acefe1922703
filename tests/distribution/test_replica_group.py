"""A group of replicas with lagging, isolated and stopped members and with two leaders."""

from __future__ import annotations

import random

import pytest

from badgercart.distribution.effects import LogEvent, Persist, RecoveredState, Send
from badgercart.distribution.messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    Hello,
    InstallSnapshot,
    Message,
    VoteRequest,
    VoteResponse,
)
from badgercart.distribution.raft.state import Role
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaLimits, ReplicaTiming
from tests.distribution.scenarios import change, replica_with_leader
from tests.distribution.simulation import Group, SimulatedFollower


def group_with_leader(
    count: int = 3, learners: int = 0, limits: ReplicaLimits | None = None, seed: int = 1
) -> tuple[Group, str]:
    """Return a group that has converged on a leader, with a follower at each replica."""
    group = Group(count, learners, seed, limits=limits)
    for name in group.names:
        group.processes[f"at {name}"] = SimulatedFollower(group, f"at {name}", name, ("t", "u"))
    assert group.run(5000.0, lambda: bool(group.leader()) and group.has_converged())
    return group, group.leader()


def follower(group: Group, store: str) -> SimulatedFollower:
    process = group.processes[f"at {store}"]
    assert isinstance(process, SimulatedFollower)
    return process


def put(group: Group, store: str, key: str, value: bytes = b"", expected: int = -1) -> int:
    return group.operator.propose(store, "t", [Entry(key, value)], expected)


def response_error(group: Group, request_id: int) -> str | None:
    """Return the error of a response: empty if committed; None without a response."""
    answer = group.operator.responses.get(request_id)
    return None if answer is None else answer.error


def test_a_committed_change_reaches_all_replicas_and_subscribers() -> None:
    group, leader = group_with_leader(3, 2)
    request_id = put(group, leader, "k", b"v")
    assert group.run(500.0, lambda: response_error(group, request_id) == "")
    assert group.run(
        500.0,
        lambda: all(follower(group, n).topics["t"].entries == {"k": b"v"} for n in group.names),
    )
    assert group.operator.responses[request_id].version == 1


def test_a_following_replica_names_the_leader_to_a_proposer() -> None:
    group, leader = group_with_leader()
    other = next(name for name in group.names if name != leader)
    request_id = put(group, other, "k")
    group.run(100.0)
    answer = group.operator.responses[request_id]
    assert (answer.error, answer.detail) == ("not-leading", leader)


def test_of_two_that_think_they_lead_only_one_commits() -> None:
    group, first = group_with_leader()
    # This proposal connects the operator.
    group.operator.propose(first, "u", ())
    group.run(100.0)
    group.pause(first)
    # The paused leader receives this proposal when it wakes, still as leader of its term.
    first_request = put(group, first, "k", b"of the first")
    assert group.run(5000.0, lambda: group.leader() not in ("", first))
    second = group.leader()
    request_id = put(group, second, "k", b"of the second")
    assert group.run(1000.0, lambda: response_error(group, request_id) == "")
    assert group.state(first).is_leader and group.state(second).is_leader
    group.wake(first)
    assert group.run(1000.0, lambda: response_error(group, first_request) is not None)
    assert (
        response_error(group, first_request) == "not-leading" and not group.state(first).is_leader
    )
    group.restore_and_converge()
    assert follower(group, first).topics["t"].entries == {"k": b"of the second"}


def test_a_leader_cut_off_from_the_majority_steps_down_with_proposals_unknown() -> None:
    group, first = group_with_leader()
    others = [name for name in group.names if name != first]
    for name in others:
        group.cuts |= {(first, name), (name, first)}
    started_at_ms = group.now_ms
    pending_request = put(group, first, "k", b"1")
    assert group.run(5000.0, lambda: not group.state(first).is_leader)
    assert (
        group.now_ms - started_at_ms
        <= group.timing.election_timeout_ms + group.timing.heartbeat_interval_ms
    )
    group.run(100.0)
    assert response_error(group, pending_request) == "unknown"
    late_request = put(group, first, "k", b"2")
    assert group.run(5000.0, lambda: group.leader() in others)
    group.run(100.0)
    assert response_error(group, late_request) == "not-leading"
    group.restore_and_converge()
    assert [topic.version for topic in group.replica(first).topics.values()] == []


def test_without_a_majority_nothing_commits_and_subscribers_see_the_age_grow() -> None:
    group, leader = group_with_leader()
    request_id = put(group, leader, "k", b"v")
    group.run(1500.0)
    assert response_error(group, request_id) == ""
    survivor = next(name for name in group.names if name != leader)
    for name in group.names:
        if name != survivor:
            group.kill(name)
    ages = []
    for _ in range(5):
        group.run(2000.0)
        ages.append(follower(group, survivor).age_ms)
        assert response_error(group, put(group, survivor, "k", b"never")) is None
    assert ages == sorted(ages) and ages[-1] - ages[0] == pytest.approx(8000.0, abs=1.0)
    group.run(100.0)
    assert {a.error for s, a in group.operator.responses.items() if s != request_id} == {
        "not-leading"
    }
    assert follower(group, survivor).topics["t"].entries == {"k": b"v"}
    assert group.state(survivor).role is not Role.LEADER
    group.restore_and_converge()
    group.run(2000.0)
    assert follower(group, survivor).age_ms < 1000.0


def test_a_replica_that_lags_gets_the_log_or_else_a_snapshot() -> None:
    for count, needs_snapshot in ((5, False), (40, True)):
        group, leader = group_with_leader(limits=ReplicaLimits(max_log_changes=8))
        lagging = next(name for name in group.names if name != leader)
        received: list[Message] = []

        def record(
            source: str,
            to: str,
            message: Message,
            lagging: str = lagging,
            received: list[Message] = received,
        ) -> bool:
            if to == lagging:
                received.append(message)
            return False

        group.kill(lagging)
        for number in range(count):
            request_id = put(group, leader, f"k{number % 7}", b"%d" % number)
            group.run(100.0)
            assert response_error(group, request_id) == ""
        group.drop_message = record
        group.restart(lagging)
        group.restore_and_converge()
        assert any(isinstance(message, InstallSnapshot) for message in received) is needs_snapshot
        assert group.leader() == leader
        assert follower(group, lagging).topics["t"].version == count


def test_a_replica_back_from_a_partition_deposes_nobody() -> None:
    group, leader = group_with_leader()
    isolated = next(name for name in group.names if name != leader)
    term = group.state(leader).term
    group.isolate(isolated)
    group.run(30_000.0)
    assert group.state(isolated).term == term, "the isolated replica has entered new terms"
    group.heal()
    group.run(10_000.0)
    assert group.leader() == leader and group.state(leader).term == term
    group.restore_and_converge()


def test_all_changes_survive_a_restart_of_all_replicas() -> None:
    group, leader = group_with_leader()
    request_ids = [put(group, leader, f"k{number}", b"v") for number in range(20)]
    assert group.run(
        1000.0, lambda: all(response_error(group, request_id) == "" for request_id in request_ids)
    )
    for name in group.names:
        group.kill(name)
    for name in group.names:
        group.restart(name)
    group.restore_and_converge()
    assert len(group.replica(leader).topics["t"].entries) == 20


def test_learners_replicate_without_voting_or_counting() -> None:
    group, leader = group_with_leader(3, 3)
    for name in group.names[:3]:
        if name != leader:
            group.kill(name)
    request_id = put(group, leader, "k", b"v")
    group.run(10_000.0)
    assert response_error(group, request_id) == "unknown" and not group.leader()
    assert all(group.state(name).term == group.state(leader).term for name in group.names[3:])


def test_a_leader_begins_its_term_with_an_empty_change() -> None:
    group, leader = group_with_leader()
    first = group.state(leader).log.changes[0]
    assert (first.topic, first.entries, first.term) == ("", (), group.state(leader).term)
    assert group.replica(leader).topics == {}


# A single replica.


def test_a_vote_is_persisted_before_it_is_sent() -> None:
    replica = replica_with_leader(RecoveredState(), Replica)
    replica.tick(1000.0)
    effects = replica.received(1001.0, 1, VoteRequest(1, 0, 0, False))
    kinds = [type(effect) for effect in effects]
    assert kinds == [Persist, Send]
    assert (effects[0].term, effects[0].voted_for) == (1, "a")  # type: ignore[union-attr]
    assert effects[1] == Send(1, VoteResponse(1, True, False))


def test_a_voter_with_recent_leader_contact_grants_no_vote_or_pre_vote() -> None:
    replica = replica_with_leader(RecoveredState(), Replica)
    replica.received(1500.0, 1, AppendEntries(1, 0, (), 0))
    replica.accepted(1501.0, 2)
    replica.received(1501.0, 2, Hello("c", True))
    for pre_vote in (True, False):
        effects = replica.received(2400.0, 2, VoteRequest(2, 9, 9, pre_vote))
        assert effects == [Send(2, VoteResponse(1, False, pre_vote))]
    assert replica.raft.state.term == 1
    assert replica.received(2500.0, 2, VoteRequest(2, 9, 9, True)) == [
        Send(2, VoteResponse(2, True, True))
    ]
    assert replica.raft.state.term == 1, "a pre-vote request begins no term"


def test_a_restarted_voter_votes_for_nobody_until_a_lease_has_passed() -> None:
    """Before the restart it may have followed a leader whose lease still runs."""
    replica = replica_with_leader(RecoveredState(), Replica)
    assert replica.received(999.0, 1, VoteRequest(1, 5, 5, False)) == [
        Send(1, VoteResponse(0, False, False))
    ]
    assert replica.received(1000.0, 1, VoteRequest(1, 5, 5, False))[-1] == Send(
        1, VoteResponse(1, True, False)
    )


def test_a_change_is_persisted_before_it_is_acknowledged() -> None:
    replica = replica_with_leader(RecoveredState(), Replica)
    effects = replica.received(5.0, 1, AppendEntries(1, 0, (change(1, 1),), 0))
    assert [type(e) for e in effects] == [LogEvent, Persist, Persist, Send]
    assert effects[-1] == Send(1, AppendResponse(1, 1, 0, False))


def test_changes_behind_a_gap_are_rejected() -> None:
    replica = replica_with_leader(RecoveredState(1, "", 0, 0, 0, {}, ()), Replica)
    effects = replica.received(5.0, 1, AppendEntries(1, 3, (change(1, 4),), 4))
    assert effects[-1] == Send(1, AppendResponse(1, 0, 0, True))
    assert replica.raft.state.log.last_index == 0 and not any(
        isinstance(effect, Persist) for effect in effects
    )


def test_voters_and_the_replica_itself_must_be_members() -> None:
    with pytest.raises(ValueError, match="among the stores"):
        ReplicaGroup("x", ("a",), ("a",))


def test_a_learner_neither_gets_nor_gives_nor_counts_as_a_vote() -> None:
    names = ("a", "b", "c", "d", "e")

    def connected(name: str, other: str) -> Replica:
        made = Replica(
            ReplicaGroup(name, names[:3], names),
            ReplicaTiming(),
            random.Random(1),
            RecoveredState(),
        )
        made.start(0.0)
        made.accepted(0.0, 1)
        made.received(0.0, 1, Hello(other, True))
        return made

    for name, other in (("a", "d"), ("d", "a")):
        for pre_vote in (True, False):
            replica = connected(name, other)
            effects = replica.received(5000.0, 1, VoteRequest(1, 5, 5, pre_vote))
            assert (
                effects == [Send(1, VoteResponse(0, False, pre_vote))]
                and replica.raft.state.term == 0
            )
    replica = connected("a", "d")
    assert not [
        e for e in replica.tick(5000.0) if isinstance(e, Send)
    ], "a learner gets no vote request"
    replica.received(5000.0, 1, VoteResponse(1, True, True))
    assert replica.raft.state.term == 0 and replica.raft.elections.votes == {"a"}
    replica = connected("d", "a")
    replica.tick(50_000.0)
    assert replica.raft.state.term == 0 and replica.raft.state.role is Role.FOLLOWER


def test_a_new_term_begins_with_a_new_lease() -> None:
    group, leader = group_with_leader()
    others = [name for name in group.names if name != leader]
    for name in others:
        group.pause(name)
    assert group.run(5000.0, lambda: not group.state(leader).is_leader)
    group.ticking_replicas = {leader}
    group.run(5000.0)
    for name in others:
        group.wake(name)
    term = group.state(leader).term
    assert group.run(10_000.0, lambda: group.state(leader).is_leader)
    new_term = group.state(leader).term
    group.run(5000.0)
    assert group.state(leader).is_leader and group.state(leader).term == new_term > term
