"""Applies committed changes to the topics, and responds to their proposals."""

from __future__ import annotations

from badgercart.distribution.connections import ConnectionTable
from badgercart.distribution.effects import EffectQueue
from badgercart.distribution.messages import Change, ProposeResponse
from badgercart.distribution.proposals import PendingProposal, Proposals
from badgercart.distribution.publisher import Publisher
from badgercart.distribution.topic import Topic


class TopicStateMachine:
    """The state machine of a replica's Raft node; implements `raft.state.StateMachine`."""

    __slots__ = ("_connections", "_effects", "_proposals", "_publisher")

    def __init__(
        self,
        publisher: Publisher,
        proposals: Proposals,
        connections: ConnectionTable,
        effects: EffectQueue,
    ) -> None:
        self._publisher = publisher
        self._proposals = proposals
        self._connections = connections
        self._effects = effects

    @property
    def topics(self) -> dict[str, Topic]:
        """All topics as of the commit index."""
        return self._publisher.topics.by_name

    def apply(self, change: Change, is_leader: bool) -> None:
        """Apply a committed change, publish it, and respond to its proposals on this replica."""
        if change.topic:
            self._effects.extend(self._publisher.apply(change))
        if not is_leader:
            return
        self._proposals.uncommitted.remove(change)
        for proposal in self._proposals.take_decided(change.index):
            version = self._publisher.topics.version(proposal.topic)
            self._respond(proposal, version, "", "")

    def _respond(self, proposal: PendingProposal, version: int, error: str, detail: str) -> None:
        if self._connections.is_open(proposal.connection):
            response = ProposeResponse(proposal.request_id, version, error, detail)
            self._effects.send(proposal.connection, response)

    def install_snapshot(self, topics: dict[str, Topic]) -> None:
        """Replace all topics and publish the differences."""
        self._publisher.replace_topics(topics)

    def change_appended(self, change: Change) -> None:
        """Track a change that this leader has appended to its log."""
        self._proposals.uncommitted.add(change)

    def leadership_gained(self, uncommitted: list[Change]) -> None:
        """Track the uncommitted changes that earlier leaders left."""
        self._proposals.uncommitted.clear()
        for change in uncommitted:
            self._proposals.uncommitted.add(change)

    def leadership_lost(self) -> None:
        """Respond `unknown` to all pending proposals: each may or may not be committed later."""
        for proposal in self._proposals.take_all():
            self._respond(proposal, 0, "unknown", "the term ended before it was decided")
        self._proposals.uncommitted.clear()
