"""The voter role of a node: accepts ballots, and activates committed plans. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from badgercart.zones.consensus_messages import (
    REQUEST_TOPIC,
    VOTE_TOPIC,
    Ballot,
    Commit,
    PlanChunk,
    Vote,
    encode_message,
)
from badgercart.zones.consensus_state import (
    AcceptedBallots,
    Effect,
    EpochCounter,
    ExpiryReason,
    LeaseSettings,
    PlanLease,
    ProposerTurn,
    SendMessage,
)
from badgercart.zones.plan_store import PlanStore
from badgercart.zones.traffic_plan import Plan


class PlanVoter:
    """Owns the node's votes, the known plans, and the lease of the plan in force.

    Attributes:
        accepted: the node's votes.
        lease: the plan in force.
        plans: the known plans.
        pending: the proposer and the ballot of a round whose plan is not complete.
    """

    def __init__(
        self,
        incarnation: int,
        settings: LeaseSettings,
        decode: Callable[[bytes], Plan],
        epochs: EpochCounter,
        turn: ProposerTurn,
    ) -> None:
        """Start without votes or plans. `epochs` and `turn` are shared with the proposer role."""
        self._incarnation, self._epochs, self._turn = incarnation, epochs, turn
        self.accepted = AcceptedBallots()
        self.lease = PlanLease(settings)
        self.plans = PlanStore(decode)
        self.pending: tuple[str, Ballot] | None = None

    def keep(self, plan: Plan) -> None:
        """Store a plan that this node proposes."""
        self.plans.add(plan.digest, plan, self._plans_in_use())

    def on_round(self, now_ms: float, author: str, ballot: Ballot) -> list[Effect]:
        """Vote for a round, or send its author the ballot that supersedes it."""
        if not self._turn.may_vote(now_ms):
            self._epochs.observe(ballot.epoch)
            return []
        if not self.accepted.allows(author, ballot, self._epochs.highest):
            last = self.accepted.last
            return [] if last is None or ballot == last else [self._vote(last, author)]
        self._turn.restart(now_ms)
        self._epochs.observe(ballot.epoch)
        if ballot.digest not in self.plans:
            return self._await_plan(author, ballot)
        self.pending = None
        self.accepted.accept(now_ms, author, ballot)
        return [self._vote(ballot, author)]

    def _await_plan(self, author: str, ballot: Ballot) -> list[Effect]:
        """Wait for the chunks of a plan, and request them if the next round arrives first."""
        awaited_before = self.pending is not None and self.pending[1].proposal == ballot.proposal
        self.pending = author, ballot
        return [SendMessage(REQUEST_TOPIC, ballot.digest, author)] if awaited_before else []

    def _vote(self, ballot: Ballot, recipient: str) -> SendMessage:
        return SendMessage(VOTE_TOPIC, encode_message(Vote(ballot, self._incarnation)), recipient)

    def on_chunk(self, number: int, chunk: PlanChunk) -> tuple[str, Ballot] | None:
        """Add a chunk of a plan; return the pending round if its plan is complete now.

        Raises:
            InvalidPlanError: the chunks are not a valid plan.
        """
        if not self.plans.add_chunk(number, chunk, self._plans_in_use()):
            return None
        if self.pending is None or self.pending[1].digest != chunk.digest:
            return None
        return self.pending

    def on_commit(self, now_ms: float, author: str, commit: Commit, mark: bytes) -> list[Effect]:
        """Activate a plan that a majority accepted, if the commit names this process."""
        self._epochs.observe(commit.ballot.epoch)
        if author != self.accepted.proposer or not commit.names(mark):
            return []
        self._turn.restart(now_ms)
        return self.activate(commit.ballot, author, now_ms)

    def activate(self, ballot: Ballot, proposer: str, now_ms: float | None = None) -> list[Effect]:
        """Activate a committed plan if this node accepted its ballot, which starts the lease."""
        accepted_at_ms = self.accepted.accepted_at_ms.get(ballot)
        plan = self.plans.get(ballot.digest)
        if accepted_at_ms is None or plan is None:
            return []
        activated = self.lease.grant(ballot, plan, proposer, accepted_at_ms, now_ms)
        return [activated] if activated is not None else []

    def forget(self, reason: ExpiryReason) -> list[Effect]:
        """Drop all plans, also the one in force, but no votes, or an epoch could get two plans."""
        self.plans.clear()
        self.pending = None
        return self.lease.revoke(reason)

    def _plans_in_use(self) -> set[bytes]:
        active = self.lease.active
        ballots = (self.accepted.last, active.ballot if active is not None else None)
        return {ballot.digest for ballot in ballots if ballot is not None}
