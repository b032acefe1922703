"""Epochs, turns, votes and leases of the plan consensus, each by itself."""

from __future__ import annotations

from badgercart.zones.consensus_messages import Ballot, ProcessId
from badgercart.zones.consensus_state import (
    EPOCHS_PER_MS,
    AcceptedBallots,
    EpochCounter,
    ExpiryReason,
    PlanActivated,
    PlanExpired,
    PlanLease,
    ProposerTurn,
)
from tests.zones.support import SETTINGS, plan

PLAN = plan(1)


def ballot(epoch: int, round_number: int = 1, digest: bytes = PLAN.digest) -> Ballot:
    return Ballot(epoch, digest, round_number)


def test_epochs_grow_with_the_wall_clock_and_differ_by_process() -> None:
    one = EpochCounter(ProcessId("n0", 1).mark, lambda: 1000.0)
    other = EpochCounter(ProcessId("n1", 1).mark, lambda: 1000.0)
    assert one.next() != other.next()
    assert one.highest // EPOCHS_PER_MS == 1000
    assert one.next() // EPOCHS_PER_MS == 1001  # above the last one, though the clock stands still
    one.observe(5000 * EPOCHS_PER_MS)
    assert one.next() // EPOCHS_PER_MS == 5001
    assert one.limit() > one.highest


def test_a_node_waits_a_lease_before_it_votes_and_its_turn_before_it_proposes() -> None:
    turn = ProposerTurn(SETTINGS)
    assert not turn.may_vote(1e9)
    turn.begin(0.0)
    turn.begin(50.0)  # only the first call counts
    assert not turn.may_vote(3999.0)
    assert turn.may_vote(4000.0)
    assert turn.has_come(4000.0, 1)
    assert not turn.has_come(4000.0, 2)
    turn.restart(4000.0)
    assert not turn.has_come(5999.0, 0)
    assert turn.has_come(6000.0, 0)


def test_one_plan_an_epoch_by_one_proposer_and_rounds_only_forward() -> None:
    accepted = AcceptedBallots()
    assert accepted.allows("n0", ballot(5), 5)
    assert not accepted.allows("n0", ballot(4), 5)
    accepted.accept(10.0, "n0", ballot(5))
    assert accepted.allows("n0", ballot(5, 2), 5)
    assert not accepted.allows("n1", ballot(5, 2), 5)
    assert not accepted.allows("n0", ballot(5, 1), 5)
    assert not accepted.allows("n0", ballot(5, 2, bytes(8)), 5)
    assert accepted.allows("n1", ballot(6, 1, bytes(8)), 6)


def test_a_lease_runs_from_the_vote_is_prolonged_and_ends() -> None:
    lease = PlanLease(SETTINGS)
    assert lease.grant(ballot(5), PLAN, "n0", 0.0, 3900.0) is None  # it came too late
    assert lease.grant(ballot(5), PLAN, "n0", 0.0, 10.0) == PlanActivated(5, PLAN, "n0")
    assert lease.grant(ballot(5, 2), PLAN, "n0", 1000.0, 1010.0) is None  # the same plan
    assert lease.active is not None
    assert lease.active.expires_at == 4900.0
    assert lease.grant(ballot(4), PLAN, "n1", 2000.0, 2000.0) is None  # an older epoch
    assert lease.expire(4899.0) == []
    assert lease.expire(4900.0) == [PlanExpired(5, ExpiryReason.LEASE)]
    assert lease.active is None
    assert lease.revoke(ExpiryReason.TOPOLOGY) == []
