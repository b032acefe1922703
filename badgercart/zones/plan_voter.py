"""A node as a voter: accepts ballots, and acts by plans that a majority accepted. No I/O."""

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
    """Owns the node's votes, the plans that it knows, and the lease of the one in force."""

    def __init__(
        self,
        incarnation: int,
        settings: LeaseSettings,
        decode: Callable[[bytes], Plan],
        epochs: EpochCounter,
        turn: ProposerTurn,
    ) -> None:
        """Begin without votes or plans. `epochs` and `turn` are shared with the proposer."""
        self._incarnation, self._epochs, self._turn = incarnation, epochs, turn
        self.accepted = AcceptedBallots()
        self.lease = PlanLease(settings)
        self.plans = PlanStore(decode)
        # a proposer's round whose plan is incomplete
        self.pending: tuple[str, Ballot] | None = None

    def keep(self, plan: Plan) -> None:
        """Know a plan from now on."""
        self.plans.add(plan.digest, plan, self._plans_in_use())

    def on_round(self, now: float, author: str, ballot: Ballot) -> list[Effect]:
        """Vote for a round unless it is outdone; then tell its author the ballot that outdid it."""
        if not self._turn.may_vote(now):
            self._epochs.observe(ballot.epoch)
            return []
        if not self.accepted.allows(author, ballot, self._epochs.highest):
            last = self.accepted.last
            return [] if last is None or ballot == last else [self._vote(last, author)]
        self._turn.restart(now)
        self._epochs.observe(ballot.epoch)
        if ballot.digest not in self.plans:
            return self._await_plan(author, ballot)
        self.pending = None
        self.accepted.accept(now, author, ballot)
        return [self._vote(ballot, author)]

    def _await_plan(self, author: str, ballot: Ballot) -> list[Effect]:
        """Wait for the chunks of a plan; ask for them once a second round comes without them."""
        awaited_before = self.pending is not None and self.pending[1].proposal == ballot.proposal
        self.pending = author, ballot
        return [SendMessage(REQUEST_TOPIC, ballot.digest, author)] if awaited_before else []

    def _vote(self, ballot: Ballot, recipient: str) -> SendMessage:
        return SendMessage(VOTE_TOPIC, encode_message(Vote(ballot, self._incarnation)), recipient)

    def on_chunk(self, number: int, chunk: PlanChunk) -> tuple[str, Ballot] | None:
        """Keep a piece of a plan; return the round that waited for the plan, if it is complete now.

        Raises:
            InvalidPlanError: the pieces make no plan.
        """
        if not self.plans.add_chunk(number, chunk, self._plans_in_use()):
            return None
        if self.pending is None or self.pending[1].digest != chunk.digest:
            return None
        return self.pending

    def on_commit(self, now: float, author: str, commit: Commit, mark: bytes) -> list[Effect]:
        """Act by a plan that a majority accepted, where the commit names this very process."""
        self._epochs.observe(commit.ballot.epoch)
        if author != self.accepted.proposer or not commit.names(mark):
            return []
        self._turn.restart(now)
        return self.activate(commit.ballot, author, now)

    def activate(self, ballot: Ballot, proposer: str, now: float | None = None) -> list[Effect]:
        """Put a committed plan in force where this node accepted it; its lease runs from then."""
        accepted_at = self.accepted.accepted_at.get(ballot)
        plan = self.plans.get(ballot.digest)
        if accepted_at is None or plan is None:
            return []
        activated = self.lease.grant(ballot, plan, proposer, accepted_at, now)
        return [activated] if activated is not None else []

    def forget(self, reason: ExpiryReason) -> list[Effect]:
        """Forget all plans, also the one in force. Votes stay, or an epoch could have two plans."""
        self.plans.clear()
        self.pending = None
        return self.lease.revoke(reason)

    def _plans_in_use(self) -> set[bytes]:
        active = self.lease.active
        ballots = (self.accepted.last, active.ballot if active is not None else None)
        return {ballot.digest for ballot in ballots if ballot is not None}
