"""Messages to other nodes, until a driver sends them. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from badgercart.cluster.effects import Effect
from badgercart.cluster.member import ClusterMember


class Outbox:
    """Collects effects of the cluster protocol."""

    def __init__(self, member: ClusterMember) -> None:
        """Begin empty. `on_ready` may be set to what is called when messages wait."""
        self._member = member
        self._effects: list[Effect] = []
        self.on_ready: Callable[[], None] = lambda: None

    def __bool__(self) -> bool:
        """Return whether something waits."""
        return bool(self._effects)

    def add(self, now: float, topic: str, payload: bytes, recipient: str = "") -> None:
        """Add a message to every node, or only to `recipient` where it is named."""
        self._effects += self._member.send_value(now, topic, payload, recipient)

    def take(self) -> list[Effect]:
        """Return what waits, and forget it."""
        taken, self._effects = self._effects, []
        return taken
