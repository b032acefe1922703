"""Elections: vote requests, granted votes, and the resulting role changes of a node."""

from __future__ import annotations

import math
import random

from badgercart.distribution.effects import EffectQueue, Persist, RecoveredState, Send
from badgercart.distribution.messages import VoteRequest, VoteResponse
from badgercart.distribution.raft.elections import Elections
from badgercart.distribution.raft.state import Peer, RaftState, Role
from badgercart.distribution.replica_config import ReplicaGroup
from tests.distribution.raft.support import VOTERS, change, raft_state

TIMEOUT_MS = 1000.0


class Transitions:
    """Role transitions that change the state like a node and record their calls."""

    def __init__(self, state: RaftState) -> None:
        self.state = state
        self.calls: list[str] = []

    def begin_term(self, term: int, voted_for: str) -> None:
        self.state.term, self.state.voted_for = term, voted_for
        self.calls.append(f"term {term}")

    def become_follower(self, term: int, leader: str) -> None:
        self.begin_term(term, "")
        self.state.role = Role.FOLLOWER

    def become_leader(self) -> None:
        self.calls.append("leader")


def elections(
    recovered: RecoveredState | None = None, group: ReplicaGroup | None = None
) -> tuple[Elections, RaftState, EffectQueue, Transitions]:
    state, _, effects = raft_state(recovered, group)
    state.peers = {name: Peer(name, number) for number, name in enumerate("bc", 1)}
    transitions = Transitions(state)
    election = Elections(state, TIMEOUT_MS, random.Random(1), transitions)
    election.start()
    return election, state, effects, transitions


def test_deadlines_are_drawn_from_one_to_two_timeouts() -> None:
    election, state, _, _ = elections()
    timeouts_ms = []
    for _ in range(200):
        state.now_ms += 10.0
        election.reset_deadline()
        timeouts_ms.append(election.deadline_ms - state.now_ms)
    assert TIMEOUT_MS <= min(timeouts_ms) < 1.1 * TIMEOUT_MS
    assert 1.9 * TIMEOUT_MS < max(timeouts_ms) <= 2 * TIMEOUT_MS


def test_a_learner_never_becomes_a_candidate() -> None:
    election, _, _, _ = elections(group=ReplicaGroup("a", ("b", "c"), VOTERS))
    assert election.deadline_ms == math.inf


def test_a_pre_vote_asks_for_the_next_term_and_begins_none() -> None:
    election, state, effects, transitions = elections(
        RecoveredState(term=4, changes=(change(1, 3),))
    )
    election.pre_campaign()
    request = VoteRequest(5, 3, 1, True)
    assert effects.take() == [Send(1, request), Send(2, request)]
    assert state.term == 4 and transitions.calls == []


def test_a_majority_of_pre_votes_begins_a_term_and_a_majority_of_votes_wins_it() -> None:
    election, state, effects, transitions = elections()
    election.pre_campaign()
    effects.take()
    election.handle_vote_response(state.peers["b"], VoteResponse(1, True, True))
    assert transitions.calls == ["term 1"] and state.role is Role.CANDIDATE
    request = VoteRequest(1, 0, 0, False)
    assert effects.take() == [Persist(1, "a", 0, (), 0), Send(1, request), Send(2, request)]
    election.handle_vote_response(state.peers["b"], VoteResponse(1, True, True))
    assert transitions.calls == ["term 1"], "a delayed pre-vote does not count as a vote"
    election.handle_vote_response(state.peers["c"], VoteResponse(1, True, False))
    assert transitions.calls == ["term 1", "leader"]


def test_one_vote_is_granted_per_term_and_only_to_an_up_to_date_log() -> None:
    election, state, effects, _ = elections(RecoveredState(term=2, changes=(change(1, 2),)))
    state.now_ms = TIMEOUT_MS
    election.handle_vote_request(state.peers["b"], VoteRequest(3, 1, 9, False))
    assert effects.take() == [Persist(3, "", 1, (), 0), Send(1, VoteResponse(3, False, False))]
    election.handle_vote_request(state.peers["b"], VoteRequest(3, 2, 1, False))
    assert effects.take() == [Persist(3, "b", 1, (), 0), Send(1, VoteResponse(3, True, False))]
    election.handle_vote_request(state.peers["c"], VoteRequest(3, 2, 1, False))
    assert effects.take() == [Send(2, VoteResponse(3, False, False))]


def test_a_response_of_a_later_term_ends_the_campaign() -> None:
    election, state, effects, transitions = elections()
    election.campaign()
    effects.take()
    election.handle_vote_response(state.peers["b"], VoteResponse(7, False, False))
    assert state.term == 7 and state.role is Role.FOLLOWER
    assert effects.take() == [Persist(7, "", 0, (), 0)] and transitions.calls[-1] == "term 7"
