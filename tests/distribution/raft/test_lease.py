"""The leader's lease and the age of the data, derived from the voters' responses."""

from __future__ import annotations

import math

from badgercart.distribution.raft.lease import DataAge, LeaderLease
from badgercart.distribution.raft.state import RaftState, Role
from badgercart.distribution.replica_config import ReplicaGroup
from tests.distribution.raft.support import raft_state


def leading(*voters: str) -> tuple[RaftState, LeaderLease]:
    """Return the state and lease of replica `a`, elected at 1000 ms with a lease of 500 ms."""
    state, _, _ = raft_state(group=ReplicaGroup("a", voters, voters))
    state.role, state.now_ms = Role.LEADER, 1000.0
    lease = LeaderLease(state, duration_ms=500.0)
    lease.begin()
    return state, lease


def test_contact_is_when_the_majority_had_answered() -> None:
    state, lease = leading("a", "b", "c", "d", "e")
    lease.acknowledge("b", 1300.0)
    lease.acknowledge("c", 1200.0)
    state.now_ms = 1400.0
    assert lease.quorum_contact_ms() == 1200.0
    lease.acknowledge("d", 1350.0)
    assert lease.quorum_contact_ms() == 1300.0


def test_a_lease_expires_unless_a_majority_answers() -> None:
    state, lease = leading("a", "b", "c")
    state.now_ms = 1499.0
    assert not lease.expired()
    state.now_ms = 1500.0
    assert lease.expired()
    lease.acknowledge("c", 1400.0)
    assert not lease.expired()
    state.role, state.now_ms = Role.FOLLOWER, 9000.0
    assert not lease.expired()


def test_the_only_voter_never_loses_its_lease() -> None:
    state, lease = leading("a")
    state.now_ms = 1e9
    assert lease.quorum_contact_ms() == 1e9 and not lease.expired()


def test_a_leader_has_an_age_once_the_first_change_of_its_term_is_committed() -> None:
    state, lease = leading("a", "b", "c")
    state.term_start_index = 1
    age = DataAge(state, lease)
    assert age.age_ms(1200.0) == math.inf
    state.term_start_index = 0
    assert age.age_ms(1200.0) == 200.0
    state.now_ms = 1200.0
    age.leadership_lost()
    state.role = Role.FOLLOWER
    assert age.age_ms(1300.0) == 300.0


def test_an_older_observation_changes_nothing() -> None:
    state, lease = leading("a", "b", "c")
    state.role = Role.FOLLOWER
    age = DataAge(state, lease)
    age.observe(900.0)
    age.observe(700.0)
    assert age.age_ms(1000.0) == 100.0
