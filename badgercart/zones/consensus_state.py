"""Small pieces of state of the plan consensus, each with one owner, and its effects. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from badgercart.zones.consensus_messages import MAX_NUMBER, Ballot
from badgercart.zones.traffic_plan import Plan

EPOCHS_PER_MS = 1 << 12  # of the wall clock: each process has its own of them
MAX_EPOCH_LEAD = 86_400_000 * EPOCHS_PER_MS  # that an epoch may be ahead of our clock: a day
REMEMBERED_BALLOTS = 8  # of which a node knows when it accepted them


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Times of the consensus."""

    lease_ms: float = 4000.0  # from when a node accepted a round
    margin_ms: float = 100.0  # by which the lease is shorter on the node's own clock
    renew_ms: float = 1000.0  # between two rounds
    # Silence of the proposer after which the first other node proposes; a multiple for each next
    # one.
    patience_ms: float = 2000.0


# Effects.


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Tell every node at once, or only `recipient` where it is named."""

    topic: str
    payload: bytes
    recipient: str = ""


@dataclass(slots=True, frozen=True)
class PlanActivated:
    """A plan is in force on this node from now on."""

    epoch: int
    plan: Plan
    proposer: str


class ExpiryReason(StrEnum):
    """Why a plan is in force no longer, in the words that operators see."""

    LEASE = "its lease is over"
    TOPOLOGY = "the geography changed"


@dataclass(slots=True, frozen=True)
class PlanExpired:
    """No plan is in force on this node any more."""

    epoch: int
    reason: ExpiryReason


@dataclass(slots=True, frozen=True)
class ProposalSuperseded:
    """This node's own proposal came to nothing."""

    epoch: int


Effect = SendMessage | PlanActivated | PlanExpired | ProposalSuperseded


# State.


class EpochCounter:
    """The highest epoch that was heard of, and new ones.

    Epochs follow the wall clock, since a majority that was restarted remembers none and must not
    use one again. Their last bits are those of the process, since two processes that have heard of
    the same epochs would pick the same next one.
    """

    def __init__(self, process_mark: bytes, wall_ms: Callable[[], float]) -> None:
        """Begin with no epoch. `wall_ms` gives Unix ms."""
        self.highest = 0
        self._own_bits = int.from_bytes(process_mark, "big") % EPOCHS_PER_MS
        self._wall_ms = wall_ms

    def observe(self, epoch: int) -> None:
        """Take over an epoch that another node named."""
        self.highest = max(self.highest, epoch)

    def next(self) -> int:
        """Return a new epoch, above all that were heard of."""
        at_ms = max(self.highest // EPOCHS_PER_MS + 1, int(self._wall_ms()))
        self.highest = at_ms * EPOCHS_PER_MS + self._own_bits
        return self.highest

    def limit(self) -> int:
        """Return the epoch from which on a ballot is not believed."""
        present = max(self.highest, int(self._wall_ms()) * EPOCHS_PER_MS)
        return min(MAX_NUMBER, present + MAX_EPOCH_LEAD)


class ProposerTurn:
    """Whose turn it is to propose, by how long no proposer was heard."""

    def __init__(self, settings: LeaseSettings) -> None:
        """Begin before the first tick, when the node neither votes nor proposes."""
        self._settings = settings
        self._began_at: float | None = None
        self._heard_at = float("-inf")

    def begin(self, now: float) -> None:
        """Take over the time of the first tick; later calls change nothing."""
        if self._began_at is None:
            self._began_at = self._heard_at = now

    def restart(self, now: float) -> None:
        """Take over that a proposer was heard, or that we gave up: wait anew."""
        self._heard_at = now

    def may_vote(self, now: float) -> bool:
        """Return whether what a previous process of our name accepted is void by now."""
        return self._began_at is not None and now - self._began_at >= self._settings.lease_ms

    def has_come(self, now: float, rank: int) -> bool:
        """Return whether the node with this rank, by name among those in reach, may propose."""
        silent_ms = now - self._heard_at
        return self.may_vote(now) and silent_ms >= self._settings.patience_ms * (1 + rank)


class AcceptedBallots:
    """The ballots that this node accepted: its votes."""

    def __init__(self) -> None:
        """Begin without any vote."""
        self.last: Ballot | None = None
        self.proposer = ""  # of the last one
        self.accepted_at: dict[Ballot, float] = {}  # ms on our clock, the latest last

    def allows(self, author: str, ballot: Ballot, highest_epoch: int) -> bool:
        """Return whether a ballot may be accepted.

        One plan an epoch at most, by one proposer, and its rounds only forward. A process without
        any vote accepts no epoch below the highest one that it has heard of.
        """
        last = self.last
        if last is None:
            return ballot.epoch >= highest_epoch
        if ballot.epoch > last.epoch:
            return True
        same_proposal = ballot.proposal == last.proposal and author == self.proposer
        return same_proposal and ballot.round > last.round

    def accept(self, now: float, author: str, ballot: Ballot) -> None:
        """Vote for a ballot."""
        self.last, self.proposer = ballot, author
        self.accepted_at[ballot] = now
        while len(self.accepted_at) > REMEMBERED_BALLOTS:
            del self.accepted_at[next(iter(self.accepted_at))]


@dataclass(slots=True)
class ActivePlan:
    """The plan in force."""

    ballot: Ballot
    plan: Plan
    proposer: str
    expires_at: float  # ms on our clock


class PlanLease:
    """The plan in force on this node, and until when."""

    def __init__(self, settings: LeaseSettings) -> None:
        """Begin without a plan."""
        self._settings = settings
        self.active: ActivePlan | None = None

    def grant(
        self,
        ballot: Ballot,
        plan: Plan,
        proposer: str,
        accepted_at: float,
        now: float | None = None,
    ) -> PlanActivated | None:
        """Put a committed plan in force, or prolong it; return the effect if it is another plan.

        Args:
            ballot: the committed ballot.
            plan: its plan.
            proposer: who proposed it.
            accepted_at: when this node accepted the ballot; the lease runs from then on.
            now: ms on our clock; None: the node commits its own ballot, and the lease can't be
            over.
        """
        active = self.active
        if active is not None and ballot.epoch < active.ballot.epoch:
            return None
        expires_at = accepted_at + self._settings.lease_ms - self._settings.margin_ms
        if now is not None and now >= expires_at:
            return None
        if active is not None and active.ballot.proposal == ballot.proposal:
            if expires_at > active.expires_at:
                active.ballot, active.expires_at = ballot, expires_at
            return None
        self.active = ActivePlan(ballot, plan, proposer, expires_at)
        return PlanActivated(ballot.epoch, plan, proposer)

    def expire(self, now: float) -> list[Effect]:
        """End the plan in force if its lease is over."""
        if self.active is None or now < self.active.expires_at:
            return []
        return self.revoke(ExpiryReason.LEASE)

    def revoke(self, reason: ExpiryReason) -> list[Effect]:
        """End the plan in force, if there is one."""
        active, self.active = self.active, None
        return [PlanExpired(active.ballot.epoch, reason)] if active is not None else []
