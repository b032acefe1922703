"""One plan an epoch at most, no node past its lease: in random runs, with mistakes put in."""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import pytest

from badgercart.zones.consensus_messages import (
    CHUNK_TOPICS,
    COMMIT_TOPICS,
    MAX_NUMBER,
    ROUND_TOPIC,
    VOTE_TOPIC,
    VOTER_MARK_BYTES,
    Ballot,
    Commit,
    ProcessId,
)
from badgercart.zones.consensus_state import (
    EPOCHS_PER_MS,
    AcceptedBallots,
    EpochCounter,
    PlanActivated,
    ProposalSuperseded,
    SendMessage,
)
from badgercart.zones.plan_codec import decode_plan
from badgercart.zones.plan_consensus import PlanConsensus
from badgercart.zones.plan_proposer import PlanProposer, Proposal
from badgercart.zones.plan_store import MAX_PLANS
from badgercart.zones.plan_voter import PlanVoter
from tests.zones.support import SETTINGS, TOPOLOGY, BrokenInvariantError, Cluster, plan, play

RUNS = int(os.environ.get("BADGERCART_RUNS", "60"))


@pytest.mark.parametrize("part", range(4))
def test_random_runs_break_no_invariant_and_end_in_one_plan_for_all(part: int) -> None:
    for seed in range(part, RUNS, 4):
        cluster = play(seed)
        cluster.run(cluster.now + 15_000.0)
        active = {ballot.proposal for ballot in cluster.acting().values()}
        assert len(active) == 1, seed
        assert len(cluster.acting()) == len(cluster.names), seed
        assert len(cluster.digests) > 0


# Mistakes, each put in the place of one method of a node's consensus.


def any_ballot_of_an_epoch(accepted: AcceptedBallots, _author: str, ballot: Ballot, _: int) -> bool:
    return accepted.last is None or ballot.epoch >= accepted.last.epoch


def half_is_enough(proposer: PlanProposer, *vote: Any) -> Any:
    proposer.electorate -= 1 if proposer.electorate % 2 == 0 else 2
    try:
        return PlanProposer.count_vote(proposer, *vote)
    finally:
        proposer.electorate += 1 if proposer.electorate % 2 == 1 else 2


def one_is_enough(proposer: PlanProposer, *vote: Any) -> Any:
    had, proposer.electorate = proposer.electorate, 1
    try:
        return PlanProposer.count_vote(proposer, *vote)
    finally:
        proposer.electorate = had


def unnamed_nodes_act_too(
    voter: PlanVoter, now: float, author: str, commit: Commit, mark: bytes
) -> Any:
    voter.accepted.accepted_at.setdefault(commit.ballot, now)
    voter.accepted.proposer = author
    named = Commit(commit.ballot, commit.voter_marks + mark)
    return PlanVoter.on_commit(voter, now, author, named, mark)


def lease_from_the_commit(
    voter: PlanVoter, now: float, author: str, commit: Commit, mark: bytes
) -> Any:
    if commit.ballot in voter.accepted.accepted_at:
        voter.accepted.accepted_at[commit.ballot] = now
    return PlanVoter.on_commit(voter, now, author, commit, mark)


def lease_for_ever(consensus: PlanConsensus, now: float) -> Any:
    lease = consensus.voter.lease
    held, lease.active = lease.active, None
    effects = PlanConsensus.tick(consensus, now)
    lease.active = lease.active or held
    return effects


def the_same_epoch_again(epochs: EpochCounter) -> Any:
    had, epochs._wall_ms = epochs.highest, lambda: 0.0
    epochs.highest = max(epochs.highest - EPOCHS_PER_MS, 0)
    try:
        return EpochCounter.next(epochs)
    finally:
        epochs.highest = max(had, epochs.highest)


def votes_of_any_round(
    proposer: PlanProposer, now: float, name: str, ballot: Ballot, incarnation: int
) -> Any:
    current = proposer.proposal.ballot if proposer.proposal else ballot
    return PlanProposer.count_vote(proposer, now, name, current, incarnation)


def renewals_that_open_no_round(proposer: PlanProposer, now: float, proposal: Proposal) -> Any:
    """The proposer renews by itself: it counts the last round's voters once more."""
    votes = dict(proposal.votes)
    effects = PlanProposer.renew(proposer, now, proposal)
    proposal.votes.update(votes)
    accepted_at = proposer._voter.accepted.accepted_at
    for ballot in list(accepted_at):
        accepted_at[ballot] = now
    return effects


def an_old_epoch_takes_over(
    voter: PlanVoter, ballot: Ballot, proposer: str, now: float | None = None
) -> Any:
    voter.lease.active = None
    voter.accepted.accepted_at.setdefault(ballot, 0.0 if now is None else now)
    return PlanVoter.activate(voter, ballot, proposer, now)


# By name: the part, its method, and what stands in its place.
MISTAKES: dict[str, tuple[str, str, Callable[..., Any]]] = {
    "any ballot of an epoch": ("voter.accepted", "allows", any_ballot_of_an_epoch),
    "half is enough": ("proposer", "count_vote", half_is_enough),
    "one is enough": ("proposer", "count_vote", one_is_enough),
    "unnamed nodes act too": ("voter", "on_commit", unnamed_nodes_act_too),
    "lease from the commit": ("voter", "on_commit", lease_from_the_commit),
    "lease for ever": ("", "tick", lease_for_ever),
    "renewals that open no round": ("proposer", "renew", renewals_that_open_no_round),
    "the same epoch again": ("epochs", "next", the_same_epoch_again),
    "votes of any round": ("proposer", "count_vote", votes_of_any_round),
    "an old epoch takes over": ("voter", "activate", an_old_epoch_takes_over),
}


def mistaken(name: str, *arguments: Any) -> PlanConsensus:
    """Return a consensus with one mistake."""
    made: Any = PlanConsensus(*arguments)
    path, method, mistake = MISTAKES[name]
    part = made
    for attribute in path.split(".") if path else ():
        part = getattr(part, attribute)
    setattr(part, method, partial(mistake, part))
    consensus: PlanConsensus = made
    return consensus


@pytest.mark.parametrize("name", MISTAKES)
def test_a_mistake_put_in_on_purpose_is_found(name: str) -> None:
    for seed in range(300):
        try:
            play(seed, partial(mistaken, name), 60)
        except (BrokenInvariantError, AssertionError):
            return
    pytest.fail("300 random runs did not find it")


# Single steps.


def consensus_of(name: str = "n1") -> PlanConsensus:
    made = PlanConsensus(name, 7, SETTINGS, lambda data: decode_plan(data, TOPOLOGY), lambda: 0.0)
    made.tick(0.0)
    return made


def proposal_of_n0(first_epoch: int = 1) -> tuple[PlanConsensus, list[SendMessage]]:
    """Return n0, which has proposed, and its messages."""
    first = consensus_of("n0")
    first.epochs.highest = first_epoch - 1  # its clock says nothing
    effects = first.propose(5000.0, plan(1), 3)
    return first, [effect for effect in effects if isinstance(effect, SendMessage)]


def test_a_plan_is_accepted_once_it_is_whole_and_active_once_a_commit_names_this_process() -> None:
    first, messages = proposal_of_n0()
    other = consensus_of()
    answers = [
        other.receive(5000.0, "n0", message.topic, message.payload)
        for message in reversed(messages)  # the round first
    ]
    (vote,) = [effect for effects in answers for effect in effects]
    assert isinstance(vote, SendMessage)
    assert vote.recipient == "n0"
    assert vote.topic == VOTE_TOPIC
    won = first.receive(5100.0, "n1", VOTE_TOPIC, vote.payload)
    commit = next(effect for effect in won if isinstance(effect, SendMessage))
    assert any(isinstance(effect, PlanActivated) for effect in won)
    assert commit.topic == COMMIT_TOPICS[0]
    (activated,) = other.receive(5200.0, "n0", commit.topic, commit.payload)
    assert isinstance(activated, PlanActivated)
    assert first.proposal
    assert activated.epoch == first.proposal.ballot.epoch
    assert activated.plan == plan(1)
    assert other.active is not None
    assert other.active.expires_at == 5000.0 + SETTINGS.lease_ms - SETTINGS.margin_ms
    third = consensus_of("n2")  # it accepted the round late: this commit does not name it
    for message in messages:
        third.receive(5100.0, "n0", message.topic, message.payload)
    assert third.receive(5200.0, "n0", commit.topic, commit.payload) == []
    assert third.active is None


def test_a_node_that_resumes_counts_no_earlier_votes_and_finds_itself_superseded() -> None:
    first, messages = proposal_of_n0()
    other = consensus_of()
    vote = next(
        effect
        for message in messages
        for effect in other.receive(5000.0, "n0", message.topic, message.payload)
    )
    assert isinstance(vote, SendMessage)
    late = 5000.0 + SETTINGS.lease_ms
    assert first.receive(late, "n1", VOTE_TOPIC, vote.payload) == []
    assert first.active is None
    assert any(isinstance(effect, ProposalSuperseded) for effect in first.tick(late))


def test_a_process_that_started_accepts_nothing_before_a_lease_has_passed() -> None:
    first, messages = proposal_of_n0()
    other = consensus_of()
    early = [
        effect
        for message in messages
        for effect in other.receive(SETTINGS.lease_ms - 1, "n0", message.topic, message.payload)
    ]
    assert early == []
    assert other.voter.accepted.last is None
    assert other.epochs.highest == first.epochs.highest


def test_a_proposer_of_an_old_epoch_is_told_the_one_that_superseded_it() -> None:
    first, messages = proposal_of_n0(first_epoch=50 * EPOCHS_PER_MS)
    other = consensus_of()
    for message in messages:
        other.receive(5000.0, "n0", message.topic, message.payload)
    old = msgspec.msgpack.encode(Ballot(3, bytes(8), 1))
    (answer,) = other.receive(5001.0, "n2", ROUND_TOPIC, old)
    rival = consensus_of("n2")
    rival.propose(5000.0, plan(2), 3)
    assert isinstance(answer, SendMessage)
    assert answer.recipient == "n2"
    (superseded,) = rival.receive(5002.0, "n1", VOTE_TOPIC, answer.payload)
    assert isinstance(superseded, ProposalSuperseded)
    assert rival.epochs.highest == first.epochs.highest
    assert rival.proposal is None


def test_invalid_messages_are_ignored_and_tables_are_bounded() -> None:
    other = consensus_of()
    invalid = [
        (ROUND_TOPIC, b"junk"),
        (ROUND_TOPIC, msgspec.msgpack.encode(Ballot(0, bytes(8), 1))),
        (VOTE_TOPIC, b""),
        (ROUND_TOPIC, msgspec.msgpack.encode(Ballot(MAX_NUMBER, bytes(8), 1))),
        (ROUND_TOPIC, msgspec.msgpack.encode(Ballot(1, b"short", 1))),
        (COMMIT_TOPICS[3], b"\x93"),
        (CHUNK_TOPICS[0], msgspec.msgpack.encode((bytes(8), 1, b"no plan"))),
    ]
    for topic, payload in invalid:
        assert other.receive(5000.0, "n0", topic, payload) == []
    assert other.rejected_count == len(invalid)
    assert other.epochs.highest == 0
    for number in range(100):
        digest = number.to_bytes(8, "big")
        chunk = msgspec.msgpack.encode((digest, 2, b"half"))
        other.receive(5000.0, "n0", CHUNK_TOPICS[0], chunk)
    assert other.voter.plans.incomplete_count == MAX_PLANS
    for number in range(100):
        other.voter.plans.add(number.to_bytes(8, "big"), plan(1))
    assert len(other.voter.plans) <= MAX_PLANS + 2
    assert ProcessId("n1", 1).mark != ProcessId("n1", 2).mark
    assert len(ProcessId("n1", 1).mark) == VOTER_MARK_BYTES


def test_two_halves_have_no_plan_between_them_once_the_lease_is_over() -> None:
    cluster = Cluster(4, 1, delay_ms=5.0)
    cluster.loss_share = cluster.late_share = 0.0
    cluster.run(12_000.0)
    assert len(cluster.acting()) == 4
    cluster.cut({"n0", "n1"})
    cluster.run(cluster.now + SETTINGS.lease_ms + 200.0)
    assert cluster.acting() == {}
    cluster.cut_links.clear()
    cluster.run(cluster.now + 8000.0)
    assert len(cluster.acting()) == 4
