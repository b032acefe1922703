"""Consensus on one traffic plan at a time, by a majority and under a lease. No I/O.

A plan has an epoch; a ballot consists of an epoch, the plan's digest and a round. The proposer
sends the plan and a round to every node; each node that accepts the round votes for it. Once more
than half of the electorate has voted, the proposer names the voters in a commit. Each round renews
the lease. The invariants are:

- Two plans of one epoch are never in force. A node accepts at most one plan per epoch, more than
  half of the electorate must accept it, and any two majorities share a node. A process accepts
  nothing until a lease has passed since its start, since its predecessor may have voted.
- No node uses a plan after its lease. The lease runs on the node's own clock from the time it
  accepted the round, which is before the proposer counted the vote, and only a commit that names
  this process starts it. A message that arrives late, because it was queued or the node was
  suspended, does not start a lease.
- Epochs follow the wall clock if it is ahead of all observed epochs, and their lowest bits identify
  the process: a majority that was restarted remembers no epoch and must not reuse one.
- When the proposer is silent, the other nodes propose in the order of their names, each after a
  longer wait. Epochs only grow, so a node that was suspended finds its proposal superseded, and it
  counts no vote for a round that it started more than a lease ago.

A replicated log is not needed, since nothing has to be remembered once it is superseded. A leader
without a majority would not suffice, since both sides of a partition would have one.
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

# Called with the time (ms), the author and the payload of a message.
_Handler = Callable[[float, str, bytes], list[Effect]]


class PlanConsensus:
    """One node in the consensus. Every call returns the effects to execute.

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
        """Start before the first tick.

        Args:
            name: the node's name.
            incarnation: identifies the node's process.
            settings: the durations of leases and rounds.
            decode: decodes a plan, or raises InvalidPlanError.
            wall_ms: returns the Unix time in ms.
        """
        self.process = ProcessId(name, incarnation)
        self.rejected_count = 0  # invalid messages
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
        """The epoch of the plan in force; 0 if there is none."""
        return self.active.ballot.epoch if self.active is not None else 0

    def lease_left_ms(self, now_ms: float) -> float:
        """Return the remaining lease of the plan in force."""
        return self.active.expires_at_ms - now_ms if self.active is not None else 0.0

    @property
    def proposal(self) -> Proposal | None:
        """This node's own proposal."""
        return self.proposer.proposal

    def tick(self, now_ms: float) -> list[Effect]:
        """End an expired lease, and renew, commit or withdraw the proposal."""
        self.turn.start(now_ms)
        return self.voter.lease.expire(now_ms) + self.proposer.tick(now_ms)

    def may_propose(self, now_ms: float, rank: int) -> bool:
        """Return whether this node may propose, by its rank among the reachable nodes, from 0."""
        return self.proposal is None and self.turn.may_propose(now_ms, rank)

    def propose(self, now_ms: float, plan: Plan, electorate: int) -> list[Effect]:
        """Propose a plan, for which more than half of `electorate` nodes must vote.

        Raises:
            PlanTooLargeError: the plan does not fit into its register updates.
        """
        return self.proposer.propose(now_ms, plan, electorate)

    def receive(self, now_ms: float, author: str, topic: str, payload: bytes) -> list[Effect]:
        """Process another node's message; an invalid one is ignored and counted."""
        if author == self.process.name:
            return []  # from an earlier process with this node's name
        try:
            return self._handlers[topic](now_ms, author, payload)
        except (msgspec.MsgspecError, ZonesError):
            self.rejected_count += 1
            return []

    def forget(self, reason: ExpiryReason) -> list[Effect]:
        """Drop all plans and the proposal, since their topology has changed."""
        self.proposer.proposal = None
        return self.voter.forget(reason)

    def _on_round(self, now_ms: float, author: str, payload: bytes) -> list[Effect]:
        return self._consider(now_ms, author, self._checked(decode_ballot(payload)))

    def _consider(self, now_ms: float, author: str, ballot: Ballot) -> list[Effect]:
        """Vote for a round, and withdraw this node's proposal if it has an earlier epoch."""
        effects = self.voter.on_round(now_ms, author, ballot)
        if self.voter.accepted.last != ballot:
            return effects
        return self.proposer.superseded_by(now_ms, ballot.epoch) + effects

    def _on_vote(self, now_ms: float, author: str, payload: bytes) -> list[Effect]:
        vote = decode_vote(payload)
        return self.proposer.on_vote(now_ms, author, self._checked(vote.ballot), vote.incarnation)

    def _on_request(self, _now_ms: float, author: str, payload: bytes) -> list[Effect]:
        return self.proposer.on_request(payload, author)

    def _on_commit(self, now_ms: float, author: str, payload: bytes) -> list[Effect]:
        commit = decode_commit(payload)
        self._checked(commit.ballot)
        return self.voter.on_commit(now_ms, author, commit, self.process.mark)

    def _on_chunk(self, number: int, now_ms: float, _author: str, payload: bytes) -> list[Effect]:
        pending = self.voter.on_chunk(number, decode_chunk(payload))
        return self._consider(now_ms, *pending) if pending is not None else []

    def _checked(self, ballot: Ballot) -> Ballot:
        ballot.check(self.epochs.limit())
        return ballot
