"""Election timeouts, pre-votes and votes."""

from __future__ import annotations

import math
import random
from typing import Protocol

from badgercart.distribution.messages import VoteRequest, VoteResponse
from badgercart.distribution.raft.state import Peer, RaftState, Role


class RoleTransitions(Protocol):
    """Changes of term and role, which concern all parts of a node."""

    def begin_term(self, term: int, voted_for: str) -> None:
        """Enter a later term; the caller has to persist it."""

    def become_follower(self, term: int, leader: str) -> None:
        """Follow in this term or a later one; the caller has to persist a later one."""

    def become_leader(self) -> None:
        """Lead the current term."""


class Elections:
    """Decides when this replica stands for leader, and for whom it votes.

    At most one vote is given a term, only for a log that holds at least all of this one's, and none
    while a leader was heard within the election timeout.
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
        self.deadline_ms = math.inf  # when this replica asks for votes unless it hears a leader
        self.leader_contact_at_ms = -math.inf
        self.votes: set[str] = set()  # of those who would have, or have, this replica as leader

    def start(self) -> None:
        """Begin after a start.

        A vote that was given before may be of use to a leader whose lease runs: none is given for
        that long.
        """
        state = self._state
        self.leader_contact_at_ms = state.now_ms
        if state.group.voters == (state.group.local,):
            self.campaign()
        else:
            self.reset_deadline()

    def reset_deadline(self) -> None:
        """Wait for a leader, for a random time; a learner waits for ever."""
        timeout_ms = self._timeout_ms * (1 + self._random.random())
        self.deadline_ms = self._state.now_ms + timeout_ms if self._state.is_voter else math.inf

    def stop_waiting(self) -> None:
        """Set no deadline, as the leader."""
        self.deadline_ms = math.inf

    def record_leader_contact(self) -> None:
        """Note a message of this term's leader."""
        self.leader_contact_at_ms = self._state.now_ms
        self.reset_deadline()

    def pre_campaign(self) -> None:
        """Ask whether a majority would vote for this replica, which changes no term."""
        self._state.role, self._state.leader = Role.PRE_CANDIDATE, ""
        self._request_votes()

    def campaign(self) -> None:
        """Stand for leader in a new term, with the own vote on disk before another is asked for."""
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
        """Ask a peer for its vote or pre-vote, if it has one."""
        state = self._state
        if not state.group.is_voter(peer.name):
            return
        pre_vote = state.role is Role.PRE_CANDIDATE
        term = state.term + 1 if pre_vote else state.term
        log = state.log
        state.request(peer, VoteRequest(term, log.last_term, log.last_index, pre_vote))

    def handle_vote_request(self, peer: Peer, request: VoteRequest) -> None:
        """Answer a peer that asks for a vote or a pre-vote."""
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
        """Count a vote or pre-vote for this replica."""
        state = self._state
        # A granted pre-vote names the term that was asked for, which nobody has begun.
        begun = not (response.pre_vote and response.granted)
        if response.term > state.term and begun:
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
