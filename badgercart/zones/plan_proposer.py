"""A node as a proposer: its own ballot, the votes for it, and their commit. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgercart.zones.consensus_messages import (
    ROUND_TOPIC,
    Ballot,
    ProcessId,
    encode_message,
    split_commit,
    split_plan,
    voter_mark,
)
from badgercart.zones.consensus_state import (
    Effect,
    EpochCounter,
    LeaseSettings,
    ProposalSuperseded,
    ProposerTurn,
    SendMessage,
)
from badgercart.zones.errors import PlanTooLargeError
from badgercart.zones.plan_codec import encode_plan
from badgercart.zones.plan_voter import PlanVoter
from badgercart.zones.traffic_plan import Plan


@dataclass(slots=True)
class Proposal:
    """This node's own ballot."""

    ballot: Ballot
    plan: Plan
    round_began_at: float  # ms on our clock
    won_at: float  # when a round had a majority last, or the first proposal began
    votes: dict[str, bytes] = field(default_factory=dict)  # marks by name, of this round
    committed_votes: int = 0  # named in this round's last commit; 0: it is not committed


class PlanProposer:
    """Owns the node's proposal and the number of votes that it needs."""

    def __init__(
        self,
        process: ProcessId,
        settings: LeaseSettings,
        voter: PlanVoter,
        epochs: EpochCounter,
        turn: ProposerTurn,
    ) -> None:
        """Begin without a proposal. The node is the first to vote for what it proposes."""
        self._process, self._settings = process, settings
        self._voter, self._epochs, self._turn = voter, epochs, turn
        self.proposal: Proposal | None = None
        self.electorate = 1  # nodes that there may be: more than half of them have to vote

    def tick(self, now: float) -> list[Effect]:
        """Renew, commit or give up the proposal, as its time comes."""
        proposal = self.proposal
        if proposal is None:
            return []
        if now - proposal.won_at >= self._settings.lease_ms:
            return [self.withdraw(now, proposal)]
        if now - proposal.round_began_at >= self._settings.renew_ms:
            return self.renew(now, proposal)
        if 0 < proposal.committed_votes < len(proposal.votes):
            return self._commit(proposal)
        return []

    def withdraw(self, now: float, proposal: Proposal) -> ProposalSuperseded:
        """Give up, and wait for our turn anew: two nodes that went on at once would never end."""
        self.proposal = None
        self._turn.restart(now)
        return ProposalSuperseded(proposal.ballot.epoch)

    def propose(self, now: float, plan: Plan, electorate: int) -> list[Effect]:
        """Propose a plan under a new epoch; an earlier one of ours stays in force meanwhile.

        Raises:
            PlanTooLargeError: the plan does not fit into its register updates.
        """
        if not self._turn.may_vote(now):
            return []
        won_at = self.proposal.won_at if self.proposal is not None else now
        ballot = Ballot(self._epochs.next(), plan.digest, 1)
        self.proposal = Proposal(ballot, plan, now, won_at)
        self._voter.keep(plan)
        try:
            chunks = self._plan_messages(plan)
        except PlanTooLargeError:
            self.proposal = None
            raise
        self.electorate = electorate
        return chunks + self._open_round(now, self.proposal)

    def on_request(self, digest: bytes, author: str) -> list[Effect]:
        """Send the proposed plan again to a node that lost a piece of it."""
        if self.proposal is None or digest != self.proposal.ballot.digest:
            return []
        return self._plan_messages(self.proposal.plan, author)

    def on_vote(self, now: float, author: str, ballot: Ballot, incarnation: int) -> list[Effect]:
        """Count a vote, or give up where another plan has this epoch or a later one."""
        self._epochs.observe(ballot.epoch)
        proposal = self.proposal
        if proposal is not None and _supersedes(ballot, proposal.ballot):
            return [self.withdraw(now, proposal)]
        return self.count_vote(now, author, ballot, incarnation)

    def superseded_by(self, now: float, epoch: int) -> list[Effect]:
        """Give up where this node accepted a later epoch than its own."""
        if self.proposal is None or self.proposal.ballot.epoch >= epoch:
            return []
        return [self.withdraw(now, self.proposal)]

    def renew(self, now: float, proposal: Proposal) -> list[Effect]:
        """Begin the next round, which renews the lease."""
        ballot = proposal.ballot
        proposal.ballot = Ballot(ballot.epoch, ballot.digest, ballot.round + 1)
        proposal.round_began_at, proposal.committed_votes = now, 0
        proposal.votes.clear()
        return self._open_round(now, proposal)

    def count_vote(self, now: float, name: str, ballot: Ballot, incarnation: int) -> list[Effect]:
        """Count a vote for the current round, and commit the round once a majority voted for it.

        Votes that come after the commit are named with the next tick.
        """
        proposal = self.proposal
        if proposal is None or ballot != proposal.ballot:
            return []
        if now - proposal.round_began_at >= self._settings.lease_ms:
            return []
        proposal.votes[name] = voter_mark(name, incarnation)
        has_majority = 2 * len(proposal.votes) > self.electorate
        if not has_majority or proposal.committed_votes:
            return []
        proposal.won_at = now
        return self._commit(proposal)

    def _open_round(self, now: float, proposal: Proposal) -> list[Effect]:
        """Tell of a round, and vote for it."""
        ballot = proposal.ballot
        effects: list[Effect] = [SendMessage(ROUND_TOPIC, encode_message(ballot))]
        self._voter.accepted.accept(now, self._process.name, ballot)
        return effects + self.count_vote(now, self._process.name, ballot, self._process.incarnation)

    def _commit(self, proposal: Proposal) -> list[Effect]:
        """Name the voters, and put the plan in force here."""
        proposal.committed_votes = len(proposal.votes)
        messages = split_commit(proposal.ballot, proposal.votes.values())
        effects: list[Effect] = [SendMessage(topic, payload) for topic, payload in messages]
        return effects + self._voter.activate(proposal.ballot, self._process.name)

    def _plan_messages(self, plan: Plan, recipient: str = "") -> list[Effect]:
        """Return the messages that carry a plan, for all nodes or for one."""
        chunks = split_plan(plan.digest, encode_plan(plan))
        return [SendMessage(topic, payload, recipient) for topic, payload in chunks]


def _supersedes(voted: Ballot, own: Ballot) -> bool:
    """Return whether a node that voted so can't vote for our own ballot any more."""
    return voted.epoch >= own.epoch and voted.proposal != own.proposal
