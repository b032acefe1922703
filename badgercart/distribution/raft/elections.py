"""Election timeouts, pre-votes and votes."""

from __future__ import annotations

import math
import random
from typing import Protocol

from badgercart.distribution.messages import VoteRequest, VoteResponse
from badgercart.distribution.raft.state import Peer, RaftState, Role


class RoleTransitions(Protocol):
    """Changes of term and role, which affect all parts of a Raft node."""

    def begin_term(self, term: int, voted_for: str) -> None:
        """Enter a later term. The caller must persist it."""

    def become_follower(self, term: int, leader: str) -> None:
        """Follow in this term or a later one. The caller must persist a later term."""

    def become_leader(self) -> None:
        """Become the leader of the current term."""


class Elections:
    """Decides when this replica becomes a candidate, and for which candidate it votes.

    A replica grants at most one vote per term, and only to a candidate whose log is at least as up
    to date as its own. It grants no vote within the election timeout after its last contact with a
    leader.

    Attributes:
        deadline_ms: when this replica starts a pre-vote unless a leader contacts it before.
        leader_contact_at_ms: when a message of the current term's leader came last.
        votes: the replicas that granted their vote or pre-vote in the current election.
    """

    __slots__ = (
        "_random",
        "_state",
        "_timeout_ms",
        "_transitions",
        "deadline_ms",
        "leader_contact_at_ms",
        "votes",
    )

    def __init__(
        self,
        state: RaftState,
        timeout_ms: float,
        rng: random.Random,
        transitions: RoleTransitions,
    ) -> None:
        self._state = state
        self._timeout_ms = timeout_ms
        self._random = rng
        self._transitions = transitions
        self.deadline_ms = math.inf
        self.leader_contact_at_ms = -math.inf
        self.votes: set[str] = set()

    def start(self) -> None:
        """Begin after the process has started.

        A vote granted before the restart may support a leader whose lease still runs, so the start
        counts as contact with a leader: no vote is granted for one election timeout.
        """
        state = self._state
        self.leader_contact_at_ms = state.now_ms
        if state.group.voters == (state.group.local,):
            self.campaign()
        else:
            self.reset_deadline()

    def reset_deadline(self) -> None:
        """Draw a new election timeout. A learner has none: it never becomes a candidate."""
        timeout_ms = self._timeout_ms * (1 + self._random.random())
        self.deadline_ms = self._state.now_ms + timeout_ms if self._state.is_voter else math.inf

    def stop_waiting(self) -> None:
        """Clear the election deadline, since this replica leads."""
        self.deadline_ms = math.inf

    def record_leader_contact(self) -> None:
        """Record a message from the leader of the current term."""
        self.leader_contact_at_ms = self._state.now_ms
        self.reset_deadline()

    def pre_campaign(self) -> None:
        """Start a pre-vote, which asks whether a majority would vote and changes no term."""
        self._state.role, self._state.leader = Role.PRE_CANDIDATE, ""
        self._request_votes()

    def campaign(self) -> None:
        """Start an election in a new term. The own vote is persisted before requests are sent."""
        state = self._state
        state.role, state.leader = Role.CANDIDATE, ""
        self._transitions.begin_term(state.term + 1, state.group.local)
        state.persist_term()
        self._request_votes()

    def _request_votes(self) -> None:
        state = self._state
        self.reset_deadline()
        self.votes = {state.group.local}
        if state.is_majority(len(self.votes)):
            self._win()
            return
        for voter in state.group.voters:
            peer = state.peers.get(voter)
            if peer is not None:
                self.request_vote(peer)

    def request_vote(self, peer: Peer) -> None:
        """Request the vote or pre-vote of a peer. Learners are skipped."""
        state = self._state
        if not state.group.is_voter(peer.name):
            return
        pre_vote = state.role is Role.PRE_CANDIDATE
        term = state.term + 1 if pre_vote else state.term
        log = state.log
        state.request(peer, VoteRequest(term, log.last_term, log.last_index, pre_vote))

    def handle_vote_request(self, peer: Peer, request: VoteRequest) -> None:
        """Respond to a request for a vote or a pre-vote."""
        state = self._state
        if self._has_leader() or not state.is_voter or not state.group.is_voter(peer.name):
            state.send(peer, VoteResponse(state.term, False, request.pre_vote))
        elif request.pre_vote:
            self._answer_pre_vote(peer, request)
        else:
            self._answer_vote(peer, request)

    def _has_leader(self) -> bool:
        silence_ms = self._state.now_ms - self.leader_contact_at_ms
        return self._state.is_leader or silence_ms < self._timeout_ms

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._state.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    def _answer_pre_vote(self, peer: Peer, request: VoteRequest) -> None:
        state = self._state
        granted = self._is_up_to_date(request) and request.term > state.term
        term = request.term if granted else state.term
        state.send(peer, VoteResponse(term, granted, True))

    def _answer_vote(self, peer: Peer, request: VoteRequest) -> None:
        state = self._state
        before = state.term, state.voted_for
        if request.term > state.term:
            self._transitions.become_follower(request.term, "")
        granted = (
            self._is_up_to_date(request)
            and request.term == state.term
            and state.voted_for in ("", peer.name)
        )
        if granted:
            state.voted_for = peer.name
            self.reset_deadline()
        if (state.term, state.voted_for) != before:
            state.persist_term()
        state.send(peer, VoteResponse(state.term, granted, False))

    def handle_vote_response(self, peer: Peer, response: VoteResponse) -> None:
        """Count a granted vote or pre-vote, or step down if the response has a later term."""
        state = self._state
        # A granted pre-vote carries the requested term, which no replica has entered yet.
        is_entered_term = not (response.pre_vote and response.granted)
        if response.term > state.term and is_entered_term:
            self._transitions.become_follower(response.term, "")
            state.persist_term()
            return
        if not response.granted or not self._answers_our_request(response):
            return
        if state.group.is_voter(peer.name):
            self.votes.add(peer.name)
        if state.is_majority(len(self.votes)):
            self._win()

    def _answers_our_request(self, response: VoteResponse) -> bool:
        state = self._state
        if state.role is Role.PRE_CANDIDATE:
            return response.pre_vote and response.term == state.term + 1
        if state.role is Role.CANDIDATE:
            return not response.pre_vote and response.term == state.term
        return False

    def _win(self) -> None:
        if self._state.role is Role.PRE_CANDIDATE:
            self.campaign()
        else:
            self._transitions.become_leader()
