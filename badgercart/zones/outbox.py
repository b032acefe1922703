"""Messages to other nodes that wait for a driver to send them. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from badgercart.cluster.effects import Effect
from badgercart.cluster.member import ClusterMember


class Outbox:
    """Collects effects of the cluster protocol.

    Attributes:
        on_ready: called when messages wait; set by the driver.
    """

    def __init__(self, member: ClusterMember) -> None:
        """Start empty."""
        self._member = member
        self._effects: list[Effect] = []
        self.on_ready: Callable[[], None] = lambda: None

    def __bool__(self) -> bool:
        """Return whether messages wait."""
        return bool(self._effects)

    def add(self, now_ms: float, topic: str, payload: bytes, recipient: str = "") -> None:
        """Add a message to every node, or only to `recipient` if it is not empty."""
        self._effects += self._member.send_value(now_ms, topic, payload, recipient)

    def take(self) -> list[Effect]:
        """Remove and return the waiting effects."""
        taken, self._effects = self._effects, []
        return taken
