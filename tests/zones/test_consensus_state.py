"""Unit tests of the epochs, turns, votes and leases of the plan consensus."""

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
    """Return a ballot on a plan."""
    return Ballot(epoch, digest, round_number)


def test_epochs_grow_with_the_wall_clock_and_differ_by_process() -> None:
    """Two processes must not choose the same epoch, and a restarted majority must not reuse one."""
    one = EpochCounter(ProcessId("n0", 1).mark, lambda: 1000.0)
    other = EpochCounter(ProcessId("n1", 1).mark, lambda: 1000.0)
    assert one.next() != other.next()
    assert one.highest // EPOCHS_PER_MS == 1000
    # The next epoch is above the last one even if the clock has not advanced.
    assert one.next() // EPOCHS_PER_MS == 1001
    one.observe(5000 * EPOCHS_PER_MS)
    assert one.next() // EPOCHS_PER_MS == 5001
    assert one.limit() > one.highest


def test_a_node_waits_before_it_votes_and_proposes() -> None:
    """Votes of an earlier process must have expired, and nodes must not propose all at once."""
    turn = ProposerTurn(SETTINGS)
    assert not turn.may_vote(1e9)
    turn.start(0.0)
    turn.start(50.0)  # only the first call counts
    assert not turn.may_vote(3999.0)
    assert turn.may_vote(4000.0)
    assert turn.may_propose(4000.0, 1)
    assert not turn.may_propose(4000.0, 2)
    turn.restart(4000.0)
    assert not turn.may_propose(5999.0, 0)
    assert turn.may_propose(6000.0, 0)


def test_votes_allow_one_plan_and_proposer_per_epoch_and_growing_rounds() -> None:
    """A vote for a second plan of an epoch could put two plans in force."""
    accepted = AcceptedBallots()
    assert accepted.allows("n0", ballot(5), 5)
    assert not accepted.allows("n0", ballot(4), 5)
    accepted.accept(10.0, "n0", ballot(5))
    assert accepted.allows("n0", ballot(5, 2), 5)
    assert not accepted.allows("n1", ballot(5, 2), 5)
    assert not accepted.allows("n0", ballot(5, 1), 5)
    assert not accepted.allows("n0", ballot(5, 2, bytes(8)), 5)
    assert accepted.allows("n1", ballot(6, 1, bytes(8)), 6)


def test_a_lease_runs_from_the_vote_is_extended_and_expires() -> None:
    """A late commit, an older epoch or an expired lease must not keep a plan in force."""
    lease = PlanLease(SETTINGS)
    assert lease.grant(ballot(5), PLAN, "n0", 0.0, 3900.0) is None  # the lease has expired
    assert lease.grant(ballot(5), PLAN, "n0", 0.0, 10.0) == PlanActivated(5, PLAN, "n0")
    assert lease.grant(ballot(5, 2), PLAN, "n0", 1000.0, 1010.0) is None  # the same plan
    assert lease.active is not None
    assert lease.active.expires_at_ms == 4900.0
    assert lease.grant(ballot(4), PLAN, "n1", 2000.0, 2000.0) is None  # an older epoch
    assert lease.expire(4899.0) == []
    assert lease.expire(4900.0) == [PlanExpired(5, ExpiryReason.LEASE)]
    assert lease.active is None
    assert lease.revoke(ExpiryReason.TOPOLOGY) == []
