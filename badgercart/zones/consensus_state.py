"""The state of the plan consensus, in parts with one owner each, and its effects. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from badgercart.zones.consensus_messages import MAX_EPOCH_OR_ROUND, Ballot
from badgercart.zones.traffic_plan import Plan

# Epochs for each ms of the wall clock; each process uses its own one of them.
EPOCHS_PER_MS = 1 << 12
# Epochs may be ahead of this node's wall clock by up to a day.
MAX_LEAD_EPOCHS = 86_400_000 * EPOCHS_PER_MS
# Accepted ballots of which a node remembers the time.
MAX_REMEMBERED_BALLOTS = 8


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Durations of the consensus.

    Attributes:
        lease_ms: how long a plan is in force after a node accepted a round.
        margin_ms: how much earlier the lease ends on the node's own clock.
        renew_ms: the interval between two rounds.
        proposer_timeout_ms: the silence of the proposer after which the first other node proposes;
            each further node waits this long in addition.
    """

    lease_ms: float = 4000.0
    margin_ms: float = 100.0
    renew_ms: float = 1000.0
    proposer_timeout_ms: float = 2000.0


# Effects.


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to every node, or only to `recipient` if it is not empty."""

    topic: str
    payload: bytes
    recipient: str = ""


@dataclass(slots=True, frozen=True)
class PlanActivated:
    """A plan came into force on this node."""

    epoch: int
    plan: Plan
    proposer: str


class ExpiryReason(StrEnum):
    """Why a plan is no longer in force; operators see the values."""

    LEASE = "its lease is over"
    TOPOLOGY = "the geography changed"


@dataclass(slots=True, frozen=True)
class PlanExpired:
    """The plan in force on this node ended, and no other plan replaced it."""

    epoch: int
    reason: ExpiryReason


@dataclass(slots=True, frozen=True)
class ProposalSuperseded:
    """This node's own proposal failed."""

    epoch: int


Effect = SendMessage | PlanActivated | PlanExpired | ProposalSuperseded


# State.


class EpochCounter:
    """The highest epoch that was observed, and the source of new epochs.

    Epochs follow the wall clock, since a majority that was restarted remembers no epoch and must
    not reuse one. Their lowest bits identify the process, since two processes that have observed
    the same epochs would otherwise choose the same next one.
    """

    def __init__(self, process_mark: bytes, wall_ms: Callable[[], float]) -> None:
        """Start without an epoch. `wall_ms` returns the Unix time in ms."""
        self.highest = 0
        self._own_bits = int.from_bytes(process_mark, "big") % EPOCHS_PER_MS
        self._wall_ms = wall_ms

    def observe(self, epoch: int) -> None:
        """Record an epoch that another node used."""
        self.highest = max(self.highest, epoch)

    def next(self) -> int:
        """Return a new epoch above all that were observed."""
        epoch_ms = max(self.highest // EPOCHS_PER_MS + 1, int(self._wall_ms()))
        self.highest = epoch_ms * EPOCHS_PER_MS + self._own_bits
        return self.highest

    def limit(self) -> int:
        """Return the epoch from which a ballot is rejected as too far ahead of the wall clock."""
        present = max(self.highest, int(self._wall_ms()) * EPOCHS_PER_MS)
        return min(MAX_EPOCH_OR_ROUND, present + MAX_LEAD_EPOCHS)


class ProposerTurn:
    """Decides whether this node may propose, by how long the proposer has been silent."""

    def __init__(self, settings: LeaseSettings) -> None:
        """Start before the first tick, when the node neither votes nor proposes."""
        self._settings = settings
        self._started_at_ms: float | None = None
        self._proposer_heard_at_ms = float("-inf")

    def start(self, now_ms: float) -> None:
        """Record the time of the first tick; later calls have no effect."""
        if self._started_at_ms is None:
            self._started_at_ms = self._proposer_heard_at_ms = now_ms

    def restart(self, now_ms: float) -> None:
        """Restart the wait, since a proposer was heard or this node withdrew its proposal."""
        self._proposer_heard_at_ms = now_ms

    def may_vote(self, now_ms: float) -> bool:
        """Return whether all votes of a previous process of this node must have expired."""
        return (
            self._started_at_ms is not None
            and now_ms - self._started_at_ms >= self._settings.lease_ms
        )

    def may_propose(self, now_ms: float, rank: int) -> bool:
        """Return whether the node with this rank, by name among the reachable, may propose."""
        silent_ms = now_ms - self._proposer_heard_at_ms
        return self.may_vote(now_ms) and silent_ms >= self._settings.proposer_timeout_ms * (
            1 + rank
        )


class AcceptedBallots:
    """The ballots that this node accepted: its votes.

    Attributes:
        last: the ballot accepted last.
        proposer: the proposer of the last ballot.
        accepted_at_ms: when recent ballots were accepted, on this node's clock; the latest is last.
    """

    def __init__(self) -> None:
        """Start without any vote."""
        self.last: Ballot | None = None
        self.proposer = ""
        self.accepted_at_ms: dict[Ballot, float] = {}

    def allows(self, author: str, ballot: Ballot, highest_epoch: int) -> bool:
        """Return whether a ballot may be accepted.

        A node accepts at most one plan per epoch, by one proposer, and only growing rounds. A
        process without any vote accepts no epoch below the highest one that it has observed.
        """
        last = self.last
        if last is None:
            return ballot.epoch >= highest_epoch
        if ballot.epoch > last.epoch:
            return True
        same_proposal = ballot.proposal == last.proposal and author == self.proposer
        return same_proposal and ballot.round > last.round

    def accept(self, now_ms: float, author: str, ballot: Ballot) -> None:
        """Vote for a ballot."""
        self.last, self.proposer = ballot, author
        self.accepted_at_ms[ballot] = now_ms
        while len(self.accepted_at_ms) > MAX_REMEMBERED_BALLOTS:
            del self.accepted_at_ms[next(iter(self.accepted_at_ms))]


@dataclass(slots=True)
class ActivePlan:
    """The plan in force; the lease expires at `expires_at_ms` on this node's clock."""

    ballot: Ballot
    plan: Plan
    proposer: str
    expires_at_ms: float


class PlanLease:
    """The plan in force on this node, under its lease."""

    def __init__(self, settings: LeaseSettings) -> None:
        """Start without a plan."""
        self._settings = settings
        self.active: ActivePlan | None = None

    def grant(
        self,
        ballot: Ballot,
        plan: Plan,
        proposer: str,
        accepted_at_ms: float,
        now_ms: float | None = None,
    ) -> PlanActivated | None:
        """Activate a committed plan, or extend its lease; return the effect of a new plan.

        Args:
            ballot: the committed ballot.
            plan: its plan.
            proposer: the proposer of the ballot.
            accepted_at_ms: when this node accepted the ballot, which starts the lease.
            now_ms: the time on the node's clock; None if the node commits its own ballot, whose
                lease cannot have expired.
        """
        active = self.active
        if active is not None and ballot.epoch < active.ballot.epoch:
            return None
        expires_at_ms = accepted_at_ms + self._settings.lease_ms - self._settings.margin_ms
        if now_ms is not None and now_ms >= expires_at_ms:
            return None
        if active is not None and active.ballot.proposal == ballot.proposal:
            if expires_at_ms > active.expires_at_ms:
                active.ballot, active.expires_at_ms = ballot, expires_at_ms
            return None
        self.active = ActivePlan(ballot, plan, proposer, expires_at_ms)
        return PlanActivated(ballot.epoch, plan, proposer)

    def expire(self, now_ms: float) -> list[Effect]:
        """End the plan in force if its lease has expired."""
        if self.active is None or now_ms < self.active.expires_at_ms:
            return []
        return self.revoke(ExpiryReason.LEASE)

    def revoke(self, reason: ExpiryReason) -> list[Effect]:
        """End the plan in force, if any."""
        active, self.active = self.active, None
        return [PlanExpired(active.ballot.epoch, reason)] if active is not None else []
