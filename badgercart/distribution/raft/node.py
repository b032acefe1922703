"""The Raft node of one replica: its roles and terms, and the coordination of its parts."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from badgercart.distribution.errors import ConnectionRejectedError
from badgercart.distribution.messages import (
    MESSAGE_LABELS,
    AppendEntries,
    AppendResponse,
    Change,
    Entry,
    InstallSnapshot,
    Message,
    VoteRequest,
    VoteResponse,
)
from badgercart.distribution.raft.elections import Elections
from badgercart.distribution.raft.lease import DataAge, LeaderLease
from badgercart.distribution.raft.log_receiver import LogReceiver
from badgercart.distribution.raft.replication import Replication
from badgercart.distribution.raft.state import Peer, RaftState, Role
from badgercart.distribution.replica_config import ReplicaTiming


class RaftNode:
    """Raft (Ongaro, Ousterhout, 2014) with pre-votes and a leader lease, without I/O.

    Its guarantees, and how each is kept:

    - There is at most one leader per term: a replica grants one vote per term, and persists it
      before it sends it.
    - A leader has every committed change: votes go only to a candidate whose log is at least as up
      to date as the voter's.
    - A committed change is never lost: a majority has it on disk, with every change before it, in
      the term of the leader that wrote it.
    - A leader steps down if no majority has responded within the lease duration.

    Effects are queued in the order in which they must be executed.
    """

    def __init__(self, state: RaftState, timing: ReplicaTiming, rng: random.Random) -> None:
        self.state = state
        self.lease = LeaderLease(state, timing.election_timeout_ms)
        self.age = DataAge(state, self.lease)
        self.elections = Elections(state, timing.election_timeout_ms, rng, self)
        self.replication = Replication(state, self.lease, self.age, timing.heartbeat_interval_ms)
        self.receiver = LogReceiver(state, self.elections, self.age, self)
        self._handlers: dict[type[Message], Callable[[Peer, Any], None]] = {
            VoteRequest: self.elections.handle_vote_request,
            VoteResponse: self.elections.handle_vote_response,
            AppendEntries: self.receiver.handle_append,
            InstallSnapshot: self.receiver.handle_snapshot,
            AppendResponse: self._handle_append_response,
        }

    @property
    def due_ms(self) -> float:
        """When `tick` has to be called next."""
        return min(self.elections.deadline_ms, self.replication.heartbeat_due_ms)

    # Events.

    def tick(self) -> None:
        """Handle expired timers: step down, start a pre-vote, send heartbeats."""
        self.check_lease()
        if self.state.now_ms >= self.elections.deadline_ms:
            self.elections.pre_campaign()
        if self.state.now_ms >= self.replication.heartbeat_due_ms:
            self.replication.schedule_heartbeat()
            self.replication.broadcast(heartbeat=True)

    def check_lease(self) -> None:
        """Step down if the lease has expired. Must be called before any step that needs to lead."""
        if self.lease.expired():
            self.state.effects.log_event("store-stands-down", {"term": self.state.term})
            self.become_follower(self.state.term, "")

    def receive(self, peer: Peer, message: Message) -> None:
        """Handle a message from a peer. Raises ConnectionRejectedError if it is invalid."""
        handler = self._handlers.get(type(message))
        if handler is None:
            detail = f"{MESSAGE_LABELS[type(message)]} is not for a store to say"
            raise ConnectionRejectedError("stray", detail)
        handler(peer, message)

    def peer_connected(self, peer: Peer) -> None:
        """Add a peer that has just sent its Hello."""
        self.state.peers[peer.name] = peer
        if self.state.is_leader:
            self.replication.send_to(peer, heartbeat=True)
        elif self.state.role is not Role.FOLLOWER:
            self.elections.request_vote(peer)

    def peer_disconnected(self, peer: Peer) -> None:
        """Remove a peer whose connection is gone."""
        if self.state.peers.get(peer.name) is not peer:
            return
        del self.state.peers[peer.name]
        if peer.name == self.state.leader:
            self.receiver.drop_snapshot()

    def _handle_append_response(self, peer: Peer, response: AppendResponse) -> None:
        state = self.state
        if response.term > state.term:
            self.become_follower(response.term, "")
            state.persist_term()
        elif state.is_leader and response.term == state.term:
            self.replication.handle_append_response(peer, response)

    # Proposals.

    def append(self, topic: str, entries: tuple[Entry, ...]) -> int:
        """Append a change to the log, as the leader, and return its log index."""
        state = self.state
        change = Change(state.term, state.log.last_index + 1, topic, entries)
        state.append(state.log.last_index, (change,))
        state.machine.change_appended(change)
        return change.index

    def replicate(self, heartbeat: bool = False) -> None:
        """Commit what a majority has persisted, and send the peers the changes that they lack."""
        self.replication.advance_commit_index()
        self.replication.broadcast(heartbeat)

    # Roles.

    def begin_term(self, term: int, voted_for: str) -> None:
        """Enter a later term. The caller must persist it."""
        self.state.term, self.state.voted_for = term, voted_for
        self.receiver.begin_term()

    def become_follower(self, term: int, leader: str) -> None:
        """Follow in this term or a later one. The caller must persist a later term.

        Args:
            term: the term to follow in.
            leader: the leader of that term; empty if it is not known.
        """
        state = self.state
        if term > state.term:
            self.begin_term(term, "")
        if state.is_leader:
            self._step_down()
        if leader and leader != state.leader:
            fields = {"term": state.term, "leader": leader}
            state.effects.log_event("store-following", fields)
        state.role, state.leader = Role.FOLLOWER, leader
        self.elections.votes.clear()

    def _step_down(self) -> None:
        self.age.leadership_lost()
        self.replication.end()
        self.state.machine.leadership_lost()
        self.replication.forget_progress()
        self.elections.reset_deadline()

    def become_leader(self) -> None:
        """Lead the current term, and append an empty change to the log.

        The empty change is needed to commit the changes that earlier leaders left in the log.
        """
        state = self.state
        state.role, state.leader = Role.LEADER, state.group.local
        self.elections.stop_waiting()
        fields = {"term": state.term, "index": state.log.last_index}
        state.effects.log_event("store-leading", fields)
        self.replication.begin()
        self.lease.begin()
        state.machine.leadership_gained(state.log.uncommitted())
        state.term_start_index = state.log.last_index + 1
        self.append("", ())
        self.replicate(heartbeat=True)
