"""One traffic plan at a time, by a majority and under a lease. No I/O.

A plan has an epoch; a ballot is an epoch, the plan's digest and a round. The proposer tells every
node of the plan and of a round; each node that accepts it votes; once more than half of the
electorate has voted, the proposer names the voters in a commit. Each round renews the lease. What
holds:

- Two plans of one epoch are never in force. A node accepts one plan an epoch at most, more than
  half of the electorate must accept it, and two such halves share a node. A process accepts nothing
  before a lease has passed since its start, since its predecessor may have voted.
- No node acts by a plan past its lease. The lease runs on the node's own clock from when it
  accepted the round, which is before the proposer counted it, and only a commit that names this
  very process starts it. A message that arrives late, from a queue or after a node was suspended,
  starts none.
- Epochs follow the wall clock where that is ahead of all that was heard of, and end in bits of the
  process: a majority that was restarted remembers no epoch and must not use one again.
- When a proposer falls silent, the next node by name proposes, each after waiting its turn. Epochs
  only grow, so a node that was suspended finds its proposal superseded, and counts no vote for a
  round that it began a lease ago.

A replicated log was not chosen, since nothing has to be remembered once it is superseded. Neither
was a leader without a majority, since two halves of a partition would each have one.
"""

from __future__ import annotations

import functools
from collections.abc import Callable

import msgspec

from badgercart.zones.consensus_messages import (
    CHUNK_TOPICS,
    COMMIT_TOPICS,
    REQUEST_TOPIC,
    ROUND_TOPIC,
    VOTE_TOPIC,
    Ballot,
    ProcessId,
    decode_ballot,
    decode_chunk,
    decode_commit,
    decode_vote,
)
from badgercart.zones.consensus_state import (
    ActivePlan,
    Effect,
    EpochCounter,
    ExpiryReason,
    LeaseSettings,
    ProposerTurn,
)
from badgercart.zones.errors import ZonesError
from badgercart.zones.plan_proposer import PlanProposer, Proposal
from badgercart.zones.plan_voter import PlanVoter
from badgercart.zones.traffic_plan import Plan

_Handler = Callable[[float, str, bytes], list[Effect]]  # now, author, payload


class PlanConsensus:
    """One node's part in the consensus. Every call returns the effects to carry out.

    Times are in ms on the node's clock.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        settings: LeaseSettings,
        decode: Callable[[bytes], Plan],
        wall_ms: Callable[[], float],
    ) -> None:
        """Begin before the first tick.

        Args:
            name: the node's name.
            incarnation: of the node's process.
            settings: times of leases and rounds.
            decode: makes a plan of bytes, or raises InvalidPlanError.
            wall_ms: gives Unix ms.
        """
        self.process = ProcessId(name, incarnation)
        self.rejected_count = 0  # messages that can't be right
        self.epochs = EpochCounter(self.process.mark, wall_ms)
        self.turn = ProposerTurn(settings)
        self.voter = PlanVoter(incarnation, settings, decode, self.epochs, self.turn)
        self.proposer = PlanProposer(self.process, settings, self.voter, self.epochs, self.turn)
        self._handlers: dict[str, _Handler] = {
            ROUND_TOPIC: self._on_round,
            VOTE_TOPIC: self._on_vote,
            REQUEST_TOPIC: self._on_request,
            **dict.fromkeys(COMMIT_TOPICS, self._on_commit),
            **{
                topic: functools.partial(self._on_chunk, number)
                for number, topic in enumerate(CHUNK_TOPICS)
            },
        }

    @property
    def active(self) -> ActivePlan | None:
        """The plan in force on this node."""
        return self.voter.lease.active

    @property
    def epoch(self) -> int:
        """The epoch of the plan in force; 0: there is none."""
        return self.active.ballot.epoch if self.active is not None else 0

    def lease_left_ms(self, now: float) -> float:
        """Return for how long the plan in force holds if it is not renewed."""
        return self.active.expires_at - now if self.active is not None else 0.0

    @property
    def proposal(self) -> Proposal | None:
        """This node's own proposal."""
        return self.proposer.proposal

    def tick(self, now: float) -> list[Effect]:
        """Do what time brings: end a lease, renew or give up a proposal."""
        self.turn.begin(now)
        return self.voter.lease.expire(now) + self.proposer.tick(now)

    def may_propose(self, now: float, rank: int) -> bool:
        """Return whether this node may propose, by its rank among those in reach, from 0."""
        return self.proposal is None and self.turn.has_come(now, rank)

    def propose(self, now: float, plan: Plan, electorate: int) -> list[Effect]:
        """Propose a plan; more than half of `electorate` nodes have to vote for it.

        Raises:
            PlanTooLargeError: the plan does not fit into its register updates.
        """
        return self.proposer.propose(now, plan, electorate)

    def receive(self, now: float, author: str, topic: str, payload: bytes) -> list[Effect]:
        """Take over another node's message; what can't be right is ignored and counted."""
        if author == self.process.name:
            return []  # of an earlier process with this node's name
        try:
            return self._handlers[topic](now, author, payload)
        except (msgspec.MsgspecError, ZonesError):
            self.rejected_count += 1
            return []

    def forget(self, reason: ExpiryReason) -> list[Effect]:
        """Forget plans and proposal, since what they rest on holds no longer."""
        self.proposer.proposal = None
        return self.voter.forget(reason)

    def _on_round(self, now: float, author: str, payload: bytes) -> list[Effect]:
        return self._consider(now, author, self._checked(decode_ballot(payload)))

    def _consider(self, now: float, author: str, ballot: Ballot) -> list[Effect]:
        """Vote for a round; a proposal of ours under an earlier epoch is given up for it."""
        effects = self.voter.on_round(now, author, ballot)
        if self.voter.accepted.last != ballot:
            return effects
        return self.proposer.superseded_by(now, ballot.epoch) + effects

    def _on_vote(self, now: float, author: str, payload: bytes) -> list[Effect]:
        vote = decode_vote(payload)
        return self.proposer.on_vote(now, author, self._checked(vote.ballot), vote.incarnation)

    def _on_request(self, _now: float, author: str, payload: bytes) -> list[Effect]:
        return self.proposer.on_request(payload, author)

    def _on_commit(self, now: float, author: str, payload: bytes) -> list[Effect]:
        commit = decode_commit(payload)
        self._checked(commit.ballot)
        return self.voter.on_commit(now, author, commit, self.process.mark)

    def _on_chunk(self, number: int, now: float, _author: str, payload: bytes) -> list[Effect]:
        waiting = self.voter.on_chunk(number, decode_chunk(payload))
        return self._consider(now, *waiting) if waiting is not None else []

    def _checked(self, ballot: Ballot) -> Ballot:
        ballot.check(self.epochs.limit())
        return ballot
