"""The leader's side of log replication: sends changes to peers and advances the commit index."""

from __future__ import annotations

import math
from collections.abc import Iterator

from badgercart.distribution.errors import ConnectionRejectedError
from badgercart.distribution.messages import AppendEntries, AppendResponse, Change, InstallSnapshot
from badgercart.distribution.raft.lease import DataAge, LeaderLease
from badgercart.distribution.raft.snapshot import snapshot_parts
from badgercart.distribution.raft.state import Peer, RaftState


class Replication:
    """Sends the log, or a snapshot, to all peers while this replica leads.

    At most one message per peer is in flight, because the next one depends on the response to it.

    Attributes:
        heartbeat_due_ms: when the next heartbeat has to be sent; infinite while not leading.
    """

    __slots__ = ("_age", "_heartbeat_interval_ms", "_lease", "_state", "heartbeat_due_ms")

    def __init__(
        self,
        state: RaftState,
        lease: LeaderLease,
        age: DataAge,
        heartbeat_interval_ms: float,
    ) -> None:
        self._state = state
        self._lease = lease
        self._age = age
        self._heartbeat_interval_ms = heartbeat_interval_ms
        self.heartbeat_due_ms = math.inf

    def begin(self) -> None:
        """Start replication as the leader of a new term."""
        self.schedule_heartbeat()
        for peer in self._state.peers.values():
            peer.progress.begin_term()

    def end(self) -> None:
        """Stop sending heartbeats, since leadership was lost."""
        self.heartbeat_due_ms = math.inf

    def forget_progress(self) -> None:
        """Discard the progress of all peers, which is valid only for the term that ended."""
        for peer in self._state.peers.values():
            peer.progress.end_term()

    def schedule_heartbeat(self) -> None:
        """Schedule the next heartbeat one interval from now."""
        self.heartbeat_due_ms = self._state.now_ms + self._heartbeat_interval_ms

    def broadcast(self, heartbeat: bool = False) -> None:
        """Send each peer the changes that it lacks, or a heartbeat if requested."""
        for peer in self._state.peers.values():
            self.send_to(peer, heartbeat)

    def send_to(self, peer: Peer, heartbeat: bool = False) -> None:
        """Send a peer the changes that it lacks, or a heartbeat if requested."""
        log, progress = self._state.log, peer.progress
        if not self._state.is_leader or progress.in_flight or peer.stalled:
            return
        if progress.commit_index is None:
            # The response to an empty message tells the peer's commit index.
            self._send_append(peer, log.commit_index, ())
            return
        after_index = max(progress.commit_index, min(log.commit_index, progress.match_index))
        if after_index < log.compacted_index:
            self._send_snapshot(peer, heartbeat)
        elif progress.match_index < log.last_index:
            self._send_append(peer, after_index, log.batch_after(after_index))
        elif heartbeat or progress.sent_commit_index < log.commit_index:
            self._send_append(peer, after_index, ())

    def _send_append(self, peer: Peer, after_index: int, changes: tuple[Change, ...]) -> None:
        state = self._state
        peer.progress.sent_commit_index = state.log.commit_index
        age_ms = self._age.age_ms(state.now_ms)
        message = AppendEntries(state.term, after_index, changes, state.log.commit_index, age_ms)
        self._send(peer, message)

    def _send(self, peer: Peer, message: AppendEntries | InstallSnapshot) -> None:
        peer.progress.in_flight = True
        peer.progress.sent_at_ms = self._state.now_ms
        self._state.request(peer, message)

    def _send_snapshot(self, peer: Peer, heartbeat: bool) -> None:
        """Send the next part of a snapshot of all topics.

        Each snapshot in progress keeps a copy of all topics, so their number is limited.
        """
        progress = peer.progress
        if progress.snapshot_parts is None and self._may_begin_snapshot():
            progress.snapshot_parts = self._new_snapshot()
        part = None if progress.snapshot_parts is None else next(progress.snapshot_parts, None)
        if part is not None:
            self._send(peer, part)
            return
        progress.snapshot_parts = None
        if heartbeat:
            self._send_append(peer, self._state.log.commit_index, ())

    def _may_begin_snapshot(self) -> bool:
        peers = self._state.peers.values()
        under_way = sum(peer.progress.snapshot_parts is not None for peer in peers)
        return under_way < self._state.limits.max_concurrent_snapshots

    def _new_snapshot(self) -> Iterator[InstallSnapshot]:
        state = self._state
        index = state.log.commit_index
        return snapshot_parts(state.machine.topics, state.term, index, state.log.term_at(index))

    def handle_append_response(self, peer: Peer, response: AppendResponse) -> None:
        """Update the progress of a peer and send what follows. Raises ConnectionRejectedError."""
        self._check_response(peer, response)
        progress = peer.progress
        progress.in_flight = False
        self._lease.acknowledge(peer.name, progress.sent_at_ms)
        if response.rejected:
            progress.commit_index = progress.match_index = response.commit_index
            progress.snapshot_parts = None
        else:
            progress.commit_index = max(progress.commit_index or 0, response.commit_index)
            progress.match_index = max(progress.match_index, response.match_index)
        if self.advance_commit_index():
            self.broadcast()
        behind = progress.commit_index < self._state.log.compacted_index
        if progress.snapshot_parts is not None and behind:
            self._send_snapshot(peer, False)
        else:
            progress.snapshot_parts = None
            self.send_to(peer)

    def _check_response(self, peer: Peer, response: AppendResponse) -> None:
        indices = response.match_index, response.commit_index
        possible = min(indices) >= 0 and max(indices) <= self._state.log.last_index
        if not peer.progress.in_flight or not possible:
            raise ConnectionRejectedError("stray", f"{peer.name!r} says what can't be of its log")

    def advance_commit_index(self) -> bool:
        """Commit what a majority of the voters has on disk; return whether anything was committed.

        Changes of earlier terms are committed only together with a later change of the leader's own
        term (Raft paper, section 5.4.2).
        """
        log = self._state.log
        matches = [self._match_index(voter) for voter in self._state.group.voters]
        index = sorted(matches, reverse=True)[len(matches) // 2]
        if index <= log.commit_index or log.term_at(index) != self._state.term:
            return False
        self._state.commit_to(index)
        return True

    def _match_index(self, voter: str) -> int:
        if voter == self._state.group.local:
            return self._state.log.last_index
        peer = self._state.peers.get(voter)
        return 0 if peer is None else peer.progress.match_index
