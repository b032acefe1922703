"""The proposer role of a node: its own ballot, the votes for it, and the commit. No I/O."""

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
    """This node's own ballot. Times are in ms on the node's clock.

    Attributes:
        ballot: the ballot of the current round.
        plan: the proposed plan.
        round_started_at_ms: when the current round started.
        majority_at_ms: when a round last got a majority, or when the first proposal started.
        votes: the marks of the current round's voters, by name.
        committed_votes: the number of voters named in the current round's last commit; 0 before the
            first commit.
    """

    ballot: Ballot
    plan: Plan
    round_started_at_ms: float
    majority_at_ms: float
    votes: dict[str, bytes] = field(default_factory=dict)
    committed_votes: int = 0


class PlanProposer:
    """Owns the node's proposal.

    Attributes:
        proposal: the current proposal.
        electorate: the number of nodes of which more than half must vote.
    """

    def __init__(
        self,
        process: ProcessId,
        settings: LeaseSettings,
        voter: PlanVoter,
        epochs: EpochCounter,
        turn: ProposerTurn,
    ) -> None:
        """Start without a proposal. The node is the first voter for its own proposals."""
        self._process, self._settings = process, settings
        self._voter, self._epochs, self._turn = voter, epochs, turn
        self.proposal: Proposal | None = None
        self.electorate = 1

    def tick(self, now_ms: float) -> list[Effect]:
        """Renew, commit or withdraw the proposal when that is due."""
        proposal = self.proposal
        if proposal is None:
            return []
        if now_ms - proposal.majority_at_ms >= self._settings.lease_ms:
            return [self.withdraw(now_ms, proposal)]
        if now_ms - proposal.round_started_at_ms >= self._settings.renew_ms:
            return self.renew(now_ms, proposal)
        if 0 < proposal.committed_votes < len(proposal.votes):
            return self._commit(proposal)
        return []

    def withdraw(self, now_ms: float, proposal: Proposal) -> ProposalSuperseded:
        """Withdraw the proposal, and wait again, so that two proposers do not compete forever."""
        self.proposal = None
        self._turn.restart(now_ms)
        return ProposalSuperseded(proposal.ballot.epoch)

    def propose(self, now_ms: float, plan: Plan, electorate: int) -> list[Effect]:
        """Propose a plan in a new epoch; the node's previous plan stays in force meanwhile.

        Raises:
            PlanTooLargeError: the plan does not fit into its register updates.
        """
        if not self._turn.may_vote(now_ms):
            return []
        majority_at_ms = self.proposal.majority_at_ms if self.proposal is not None else now_ms
        ballot = Ballot(self._epochs.next(), plan.digest, 1)
        self.proposal = Proposal(ballot, plan, now_ms, majority_at_ms)
        self._voter.keep(plan)
        try:
            chunks = self._plan_messages(plan)
        except PlanTooLargeError:
            self.proposal = None
            raise
        self.electorate = electorate
        return chunks + self._open_round(now_ms, self.proposal)

    def on_request(self, digest: bytes, author: str) -> list[Effect]:
        """Send the proposed plan again to a node that has lost a chunk of it."""
        if self.proposal is None or digest != self.proposal.ballot.digest:
            return []
        return self._plan_messages(self.proposal.plan, author)

    def on_vote(self, now_ms: float, author: str, ballot: Ballot, incarnation: int) -> list[Effect]:
        """Count a vote, or withdraw the proposal if the vote shows that it is superseded."""
        self._epochs.observe(ballot.epoch)
        proposal = self.proposal
        if proposal is not None and _supersedes(ballot, proposal.ballot):
            return [self.withdraw(now_ms, proposal)]
        return self.count_vote(now_ms, author, ballot, incarnation)

    def superseded_by(self, now_ms: float, epoch: int) -> list[Effect]:
        """Withdraw the proposal if this node has accepted a later epoch."""
        if self.proposal is None or self.proposal.ballot.epoch >= epoch:
            return []
        return [self.withdraw(now_ms, self.proposal)]

    def renew(self, now_ms: float, proposal: Proposal) -> list[Effect]:
        """Start the next round, which renews the lease."""
        ballot = proposal.ballot
        proposal.ballot = Ballot(ballot.epoch, ballot.digest, ballot.round + 1)
        proposal.round_started_at_ms, proposal.committed_votes = now_ms, 0
        proposal.votes.clear()
        return self._open_round(now_ms, proposal)

    def count_vote(
        self, now_ms: float, name: str, ballot: Ballot, incarnation: int
    ) -> list[Effect]:
        """Count a vote for the current round, and commit the round once a majority has voted.

        Votes that arrive after the commit are committed at the next tick.
        """
        proposal = self.proposal
        if proposal is None or ballot != proposal.ballot:
            return []
        if now_ms - proposal.round_started_at_ms >= self._settings.lease_ms:
            return []
        proposal.votes[name] = voter_mark(name, incarnation)
        has_majority = 2 * len(proposal.votes) > self.electorate
        if not has_majority or proposal.committed_votes:
            return []
        proposal.majority_at_ms = now_ms
        return self._commit(proposal)

    def _open_round(self, now_ms: float, proposal: Proposal) -> list[Effect]:
        """Announce a round, and vote for it."""
        ballot = proposal.ballot
        effects: list[Effect] = [SendMessage(ROUND_TOPIC, encode_message(ballot))]
        self._voter.accepted.accept(now_ms, self._process.name, ballot)
        return effects + self.count_vote(
            now_ms, self._process.name, ballot, self._process.incarnation
        )

    def _commit(self, proposal: Proposal) -> list[Effect]:
        """Send a commit that names the voters, and activate the plan on this node."""
        proposal.committed_votes = len(proposal.votes)
        messages = split_commit(proposal.ballot, proposal.votes.values())
        effects: list[Effect] = [SendMessage(topic, payload) for topic, payload in messages]
        return effects + self._voter.activate(proposal.ballot, self._process.name)

    def _plan_messages(self, plan: Plan, recipient: str = "") -> list[Effect]:
        """Return the messages with the chunks of a plan, for all nodes or for one."""
        chunks = split_plan(plan.digest, encode_plan(plan))
        return [SendMessage(topic, payload, recipient) for topic, payload in chunks]


def _supersedes(voted: Ballot, own: Ballot) -> bool:
    """Return whether the voter of a ballot can no longer vote for this node's own ballot."""
    return voted.epoch >= own.epoch and voted.proposal != own.proposal
