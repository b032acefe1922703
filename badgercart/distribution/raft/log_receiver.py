"""The follower's side of log replication."""

from __future__ import annotations

from badgercart.distribution.errors import ConnectionRejectedError, SnapshotError
from badgercart.distribution.messages import AppendEntries, AppendResponse, Change, InstallSnapshot
from badgercart.distribution.raft.elections import Elections, RoleTransitions
from badgercart.distribution.raft.lease import DataAge
from badgercart.distribution.raft.snapshot import SnapshotAssembler
from badgercart.distribution.raft.state import Peer, RaftState, Role


class LogReceiver:
    """Receives changes and snapshots from the leader of the current term.

    Attributes:
        assembler: the parts received of an unfinished snapshot; None without one.
        verified_index: the log index up to which this log is known to match the leader's.
    """

    __slots__ = (
        "_age",
        "_elections",
        "_state",
        "_transitions",
        "assembler",
        "verified_index",
    )

    def __init__(
        self,
        state: RaftState,
        elections: Elections,
        age: DataAge,
        transitions: RoleTransitions,
    ) -> None:
        self._state = state
        self._elections = elections
        self._age = age
        self._transitions = transitions
        self.assembler: SnapshotAssembler | None = None
        self.verified_index = state.log.commit_index

    def begin_term(self) -> None:
        """Discard state of the earlier leader: only committed changes are in every leader's log."""
        self.verified_index = self._state.log.commit_index
        self.assembler = None
        for peer in self._state.peers.values():
            peer.leader_acked_at_ms = None

    def drop_snapshot(self) -> None:
        """Discard the parts of an unfinished snapshot."""
        self.assembler = None

    def _accept_leader(self, peer: Peer, term: int) -> bool:
        """Follow a leader of this term or a later one, and reject a leader of an earlier one.

        The rejection carries the current term.

        Raises:
            ConnectionRejectedError: the peer claims to lead a term that this replica leads.
        """
        state = self._state
        if term < state.term:
            state.send(peer, AppendResponse(state.term, 0, state.log.commit_index, True))
            return False
        if state.is_leader and term == state.term:
            detail = f"{peer.name!r} leads term {term}, which is ours"
            raise ConnectionRejectedError("two-leaders", detail)
        is_later = term > state.term
        if is_later or state.role is not Role.FOLLOWER or state.leader != peer.name:
            self._transitions.become_follower(term, peer.name)
        if is_later:
            state.persist_term()
        self._elections.record_leader_contact()
        return True

    def _commit(self, leader_commit_index: int) -> None:
        """Commit what the leader has committed, as far as this log is known to match its log."""
        self._state.commit_to(min(leader_commit_index, self.verified_index))

    def _respond(self, peer: Peer, rejected: bool) -> None:
        state = self._state
        peer.leader_acked_at_ms = state.now_ms
        commit_index = state.log.commit_index
        response = AppendResponse(state.term, self.verified_index, commit_index, rejected)
        state.send(peer, response)

    def handle_append(self, peer: Peer, message: AppendEntries) -> None:
        """Append the changes that this log lacks. Raises ConnectionRejectedError."""
        expected = range(message.after_index + 1, message.after_index + 1 + len(message.changes))
        if any(
            change.index != index for change, index in zip(message.changes, expected, strict=True)
        ):
            detail = f"the changes behind {message.after_index} have other places"
            raise ConnectionRejectedError("malformed", detail)
        if not self._accept_leader(peer, message.term):
            return
        self.assembler = None
        self._commit(message.commit_index)
        log = self._state.log
        if message.after_index > log.commit_index:
            self._respond(peer, rejected=True)
            return
        self._append_new_changes(peer, message.changes)
        end_index = message.after_index + len(message.changes)
        self.verified_index = max(self.verified_index, end_index)
        self._commit(message.commit_index)
        # The leader sent this message after it got our previous response. So the data was at most
        # `age_ms` old when that response was sent.
        if peer.leader_acked_at_ms is not None and log.commit_index >= message.commit_index:
            self._age.observe(peer.leader_acked_at_ms - message.age_ms)
        self._respond(peer, rejected=False)

    def _append_new_changes(self, peer: Peer, changes: tuple[Change, ...]) -> None:
        """Replace the tail of the log from the first change that differs.

        Changes after the ones that match stay: they may have come in a later message, and may be
        committed.

        Raises:
            ConnectionRejectedError: a committed change would be replaced.
        """
        log = self._state.log
        for position, change in enumerate(changes):
            if change.index <= log.compacted_index or log.matches(change.index, change.term):
                continue
            if change.index <= log.commit_index:
                fields = {"store": peer.name, "index": change.index}
                self._state.effects.log_event("store-fork", fields)
                detail = f"place {change.index} is in force here with another change"
                raise ConnectionRejectedError("fork", detail)
            self._state.append(change.index - 1, changes[position:])
            break

    def handle_snapshot(self, peer: Peer, part: InstallSnapshot) -> None:
        """Receive a part of a snapshot of all topics; the last part installs the snapshot.

        Raises:
            ConnectionRejectedError: the snapshot is invalid, or the sender can't be the leader.
        """
        if not self._accept_leader(peer, part.term):
            return
        assembler = self._assembler_for(part)
        if assembler is None:
            self.assembler = None
            self._respond(peer, rejected=True)
            return
        is_last = part.part == part.parts
        try:
            assembler.add(part, self._state.limits)
            if is_last:
                assembler.verify(self._state.machine.topics)
        except SnapshotError as error:
            self.assembler = None
            fields = {"store": peer.name, "why": str(error)}
            self._state.effects.log_event("store-state-refused", fields)
            raise ConnectionRejectedError("spoilt", str(error)) from error
        if is_last:
            self.assembler = None
            if part.last_index > self._state.log.commit_index:
                self._install(part, assembler)
        self._respond(peer, rejected=False)

    def _assembler_for(self, part: InstallSnapshot) -> SnapshotAssembler | None:
        """Return the assembler that a part belongs to; None if it doesn't follow the last part."""
        if part.part == 1 and 0 < part.parts <= self._state.limits.max_snapshot_parts:
            self.assembler = SnapshotAssembler(part)
            return self.assembler
        if self.assembler is not None and self.assembler.continues_with(part):
            return self.assembler
        return None

    def _install(self, part: InstallSnapshot, assembler: SnapshotAssembler) -> None:
        state = self._state
        state.log.install_snapshot(part.last_index, part.last_term)
        self.verified_index = max(self.verified_index, part.last_index)
        state.persist_snapshot(assembler.topics)
        state.machine.install_snapshot(assembler.topics)
