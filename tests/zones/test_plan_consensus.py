"""Invariants of the plan consensus in random runs, also of implementations with injected bugs."""

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
    MAX_EPOCH_OR_ROUND,
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
    """All nodes use one plan once the random faults have ended."""
    for seed in range(part, RUNS, 4):
        cluster = play(seed)
        cluster.run(cluster.now_ms + 15_000.0)
        active = {ballot.proposal for ballot in cluster.acting().values()}
        assert len(active) == 1, seed
        assert len(cluster.acting()) == len(cluster.names), seed
        assert len(cluster.digests) > 0


# Injected bugs, each of which replaces one method of a node's consensus.


def any_ballot_of_an_epoch(accepted: AcceptedBallots, _author: str, ballot: Ballot, _: int) -> bool:
    """Accept several plans of one epoch."""
    return accepted.last is None or ballot.epoch >= accepted.last.epoch


def half_is_enough(proposer: PlanProposer, *vote: Any) -> Any:
    """Commit with half of the electorate instead of more than half."""
    proposer.electorate -= 1 if proposer.electorate % 2 == 0 else 2
    try:
        return PlanProposer.count_vote(proposer, *vote)
    finally:
        proposer.electorate += 1 if proposer.electorate % 2 == 1 else 2


def one_is_enough(proposer: PlanProposer, *vote: Any) -> Any:
    """Commit with a single vote."""
    electorate, proposer.electorate = proposer.electorate, 1
    try:
        return PlanProposer.count_vote(proposer, *vote)
    finally:
        proposer.electorate = electorate


def unnamed_nodes_act_too(
    voter: PlanVoter, now_ms: float, author: str, commit: Commit, mark: bytes
) -> Any:
    """Activate a plan on nodes that the commit does not name."""
    voter.accepted.accepted_at_ms.setdefault(commit.ballot, now_ms)
    voter.accepted.proposer = author
    forged = Commit(commit.ballot, commit.voter_marks + mark)
    return PlanVoter.on_commit(voter, now_ms, author, forged, mark)


def lease_from_the_commit(
    voter: PlanVoter, now_ms: float, author: str, commit: Commit, mark: bytes
) -> Any:
    """Start the lease at the commit instead of the vote."""
    if commit.ballot in voter.accepted.accepted_at_ms:
        voter.accepted.accepted_at_ms[commit.ballot] = now_ms
    return PlanVoter.on_commit(voter, now_ms, author, commit, mark)


def lease_for_ever(consensus: PlanConsensus, now_ms: float) -> Any:
    """Never end a lease."""
    lease = consensus.voter.lease
    active, lease.active = lease.active, None
    effects = PlanConsensus.tick(consensus, now_ms)
    lease.active = lease.active or active
    return effects


def the_same_epoch_again(epochs: EpochCounter) -> Any:
    """Reuse epochs after a restart."""
    highest, epochs._wall_ms = epochs.highest, lambda: 0.0
    epochs.highest = max(epochs.highest - EPOCHS_PER_MS, 0)
    try:
        return EpochCounter.next(epochs)
    finally:
        epochs.highest = max(highest, epochs.highest)


def votes_of_any_round(
    proposer: PlanProposer, now_ms: float, name: str, ballot: Ballot, incarnation: int
) -> Any:
    """Count votes of earlier rounds."""
    current = proposer.proposal.ballot if proposer.proposal else ballot
    return PlanProposer.count_vote(proposer, now_ms, name, current, incarnation)


def renewals_that_open_no_round(proposer: PlanProposer, now_ms: float, proposal: Proposal) -> Any:
    """Renew the lease without a new round, by counting the voters of the last round again."""
    votes = dict(proposal.votes)
    effects = PlanProposer.renew(proposer, now_ms, proposal)
    proposal.votes.update(votes)
    accepted_at_ms = proposer._voter.accepted.accepted_at_ms
    for ballot in list(accepted_at_ms):
        accepted_at_ms[ballot] = now_ms
    return effects


def an_old_epoch_takes_over(
    voter: PlanVoter, ballot: Ballot, proposer: str, now_ms: float | None = None
) -> Any:
    """Replace a plan by one of an older epoch."""
    voter.lease.active = None
    voter.accepted.accepted_at_ms.setdefault(ballot, 0.0 if now_ms is None else now_ms)
    return PlanVoter.activate(voter, ballot, proposer, now_ms)


# By name: the path of the object, its method, and the replacement.
BUGS: dict[str, tuple[str, str, Callable[..., Any]]] = {
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


def consensus_with_bug(name: str, *arguments: Any) -> PlanConsensus:
    """Return a consensus with one injected bug."""
    untyped: Any = PlanConsensus(*arguments)
    path, method, replacement = BUGS[name]
    target = untyped
    for attribute in path.split(".") if path else ():
        target = getattr(target, attribute)
    setattr(target, method, partial(replacement, target))
    consensus: PlanConsensus = untyped
    return consensus


@pytest.mark.parametrize("name", BUGS)
def test_an_injected_bug_is_detected(name: str) -> None:
    """The simulation is only meaningful if it detects each of these bugs."""
    for seed in range(300):
        try:
            play(seed, partial(consensus_with_bug, name), 60)
        except (BrokenInvariantError, AssertionError):
            return
    pytest.fail("300 random runs did not detect the bug")


# Single messages.


def consensus_of(name: str = "n1") -> PlanConsensus:
    """Return the consensus of a node after its first tick."""
    consensus = PlanConsensus(
        name, 7, SETTINGS, lambda data: decode_plan(data, TOPOLOGY), lambda: 0.0
    )
    consensus.tick(0.0)
    return consensus


def proposal_of_n0(first_epoch: int = 1) -> tuple[PlanConsensus, list[SendMessage]]:
    """Return the consensus of n0, which has proposed a plan, and its messages."""
    first = consensus_of("n0")
    first.epochs.highest = first_epoch - 1  # its wall clock is at 0
    effects = first.propose(5000.0, plan(1), 3)
    return first, [effect for effect in effects if isinstance(effect, SendMessage)]


def test_a_plan_is_accepted_when_complete_and_activated_by_a_commit() -> None:
    """A node votes only with the complete plan, and only a commit that names it activates it."""
    first, messages = proposal_of_n0()
    other = consensus_of()
    answers = [
        other.receive(5000.0, "n0", message.topic, message.payload)
        for message in reversed(messages)  # the round arrives before the plan
    ]
    (vote,) = [effect for effects in answers for effect in effects]
    assert isinstance(vote, SendMessage)
    assert vote.recipient == "n0"
    assert vote.topic == VOTE_TOPIC
    effects = first.receive(5100.0, "n1", VOTE_TOPIC, vote.payload)
    commit = next(effect for effect in effects if isinstance(effect, SendMessage))
    assert any(isinstance(effect, PlanActivated) for effect in effects)
    assert commit.topic == COMMIT_TOPICS[0]
    (activated,) = other.receive(5200.0, "n0", commit.topic, commit.payload)
    assert isinstance(activated, PlanActivated)
    assert first.proposal
    assert activated.epoch == first.proposal.ballot.epoch
    assert activated.plan == plan(1)
    assert other.active is not None
    assert other.active.expires_at_ms == 5000.0 + SETTINGS.lease_ms - SETTINGS.margin_ms
    # The third node accepted the round late, so this commit does not name it.
    third = consensus_of("n2")
    for message in messages:
        third.receive(5100.0, "n0", message.topic, message.payload)
    assert third.receive(5200.0, "n0", commit.topic, commit.payload) == []
    assert third.active is None


def test_a_resumed_proposer_counts_no_old_votes() -> None:
    """Votes older than a lease do not count, and the proposal is withdrawn."""
    first, messages = proposal_of_n0()
    other = consensus_of()
    vote = next(
        effect
        for message in messages
        for effect in other.receive(5000.0, "n0", message.topic, message.payload)
    )
    assert isinstance(vote, SendMessage)
    late_ms = 5000.0 + SETTINGS.lease_ms
    assert first.receive(late_ms, "n1", VOTE_TOPIC, vote.payload) == []
    assert first.active is None
    assert any(isinstance(effect, ProposalSuperseded) for effect in first.tick(late_ms))


def test_a_process_that_started_accepts_nothing_before_a_lease_has_passed() -> None:
    """An earlier process of the node may have voted for another plan."""
    first, messages = proposal_of_n0()
    other = consensus_of()
    effects = [
        effect
        for message in messages
        for effect in other.receive(SETTINGS.lease_ms - 1, "n0", message.topic, message.payload)
    ]
    assert effects == []
    assert other.voter.accepted.last is None
    assert other.epochs.highest == first.epochs.highest


def test_a_proposer_of_an_old_epoch_learns_the_newer_one() -> None:
    """A superseded proposer withdraws, and continues from the newer epoch."""
    first, messages = proposal_of_n0(first_epoch=50 * EPOCHS_PER_MS)
    other = consensus_of()
    for message in messages:
        other.receive(5000.0, "n0", message.topic, message.payload)
    old_ballot = msgspec.msgpack.encode(Ballot(3, bytes(8), 1))
    (answer,) = other.receive(5001.0, "n2", ROUND_TOPIC, old_ballot)
    rival = consensus_of("n2")
    rival.propose(5000.0, plan(2), 3)
    assert isinstance(answer, SendMessage)
    assert answer.recipient == "n2"
    (superseded,) = rival.receive(5002.0, "n1", VOTE_TOPIC, answer.payload)
    assert isinstance(superseded, ProposalSuperseded)
    assert rival.epochs.highest == first.epochs.highest
    assert rival.proposal is None


def test_invalid_messages_are_ignored_and_tables_are_bounded() -> None:
    """Invalid messages are counted, and chunks of endless plans cannot fill the memory."""
    other = consensus_of()
    invalid = [
        (ROUND_TOPIC, b"junk"),
        (ROUND_TOPIC, msgspec.msgpack.encode(Ballot(0, bytes(8), 1))),
        (VOTE_TOPIC, b""),
        (ROUND_TOPIC, msgspec.msgpack.encode(Ballot(MAX_EPOCH_OR_ROUND, bytes(8), 1))),
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


def test_without_a_majority_no_plan_is_in_force_after_the_lease() -> None:
    """Neither half of a cluster may use a plan; healing the partition restores one."""
    cluster = Cluster(4, 1, delay_ms=5.0)
    cluster.loss_share = cluster.late_share = 0.0
    cluster.run(12_000.0)
    assert len(cluster.acting()) == 4
    cluster.cut({"n0", "n1"})
    cluster.run(cluster.now_ms + SETTINGS.lease_ms + 200.0)
    assert cluster.acting() == {}
    cluster.cut_links.clear()
    cluster.run(cluster.now_ms + 8000.0)
    assert len(cluster.acting()) == 4
