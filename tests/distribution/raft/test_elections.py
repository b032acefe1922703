"""Elections alone: who is asked, who is voted for, and what a node is told of it."""

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
    """Changes the state as a node does, and notes what it was told."""

    def __init__(self, state: RaftState) -> None:
        self.state = state
        self.told: list[str] = []

    def begin_term(self, term: int, voted_for: str) -> None:
        self.state.term, self.state.voted_for = term, voted_for
        self.told.append(f"term {term}")

    def become_follower(self, term: int, leader: str) -> None:
        self.begin_term(term, "")
        self.state.role = Role.FOLLOWER

    def become_leader(self) -> None:
        self.told.append("leader")


def elections(
    recovered: RecoveredState | None = None, group: ReplicaGroup | None = None
) -> tuple[Elections, RaftState, EffectQueue, Transitions]:
    state, _, effects = raft_state(recovered, group)
    state.peers = {name: Peer(name, number) for number, name in enumerate("bc", 1)}
    transitions = Transitions(state)
    made = Elections(state, TIMEOUT_MS, random.Random(1), transitions)
    made.start()
    return made, state, effects, transitions


def test_deadlines_are_drawn_from_one_to_two_timeouts() -> None:
    made, state, _, _ = elections()
    drawn = []
    for _ in range(200):
        state.now_ms += 10.0
        made.reset_deadline()
        drawn.append(made.deadline_ms - state.now_ms)
    assert TIMEOUT_MS <= min(drawn) < 1.1 * TIMEOUT_MS
    assert 1.9 * TIMEOUT_MS < max(drawn) <= 2 * TIMEOUT_MS


def test_a_learner_never_stands() -> None:
    made, _, _, _ = elections(group=ReplicaGroup("a", ("b", "c"), VOTERS))
    assert made.deadline_ms == math.inf


def test_a_pre_vote_asks_for_the_next_term_and_begins_none() -> None:
    made, state, effects, transitions = elections(RecoveredState(term=4, changes=(change(1, 3),)))
    made.pre_campaign()
    request = VoteRequest(5, 3, 1, True)
    assert effects.take() == [Send(1, request), Send(2, request)]
    assert state.term == 4 and transitions.told == []


def test_a_majority_of_pre_votes_begins_a_term_and_a_majority_of_votes_wins_it() -> None:
    made, state, effects, transitions = elections()
    made.pre_campaign()
    effects.take()
    made.handle_vote_response(state.peers["b"], VoteResponse(1, True, True))
    assert transitions.told == ["term 1"] and state.role is Role.CANDIDATE
    request = VoteRequest(1, 0, 0, False)
    assert effects.take() == [Persist(1, "a", 0, (), 0), Send(1, request), Send(2, request)]
    made.handle_vote_response(state.peers["b"], VoteResponse(1, True, True))
    assert transitions.told == ["term 1"], "a late pre-vote is no vote"
    made.handle_vote_response(state.peers["c"], VoteResponse(1, True, False))
    assert transitions.told == ["term 1", "leader"]


def test_one_vote_is_given_a_term_and_only_to_a_log_that_holds_ours() -> None:
    made, state, effects, _ = elections(RecoveredState(term=2, changes=(change(1, 2),)))
    state.now_ms = TIMEOUT_MS
    made.handle_vote_request(state.peers["b"], VoteRequest(3, 1, 9, False))
    assert effects.take() == [Persist(3, "", 1, (), 0), Send(1, VoteResponse(3, False, False))]
    made.handle_vote_request(state.peers["b"], VoteRequest(3, 2, 1, False))
    assert effects.take() == [Persist(3, "b", 1, (), 0), Send(1, VoteResponse(3, True, False))]
    made.handle_vote_request(state.peers["c"], VoteRequest(3, 2, 1, False))
    assert effects.take() == [Send(2, VoteResponse(3, False, False))]


def test_a_response_of_a_later_term_ends_the_campaign() -> None:
    made, state, effects, transitions = elections()
    made.campaign()
    effects.take()
    made.handle_vote_response(state.peers["b"], VoteResponse(7, False, False))
    assert state.term == 7 and state.role is Role.FOLLOWER
    assert effects.take() == [Persist(7, "", 0, (), 0)] and transitions.told[-1] == "term 7"
