"""The connections of a replica, and the process at the other end of each."""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.distribution.errors import ConnectionRejectedError
from badgercart.distribution.messages import Hello
from badgercart.distribution.raft.state import Peer
from badgercart.distribution.replica_config import ReplicaGroup


@dataclass(slots=True)
class Connection:
    """One connection to another replica, a follower or an operator.

    Attributes:
        number: identifies the connection.
        opened_at_ms: when it was opened.
        dialled: the name of the replica that was dialled; empty for an accepted connection.
        name: the name in the received Hello; empty before that.
        peer: the replica at the other end; None for followers and operators.
        stalled: whether its write buffer is over the driver's high-water mark.
    """

    number: int
    opened_at_ms: float
    dialled: str = ""
    name: str = ""
    peer: Peer | None = None
    stalled: bool = False


class ConnectionTable:
    """All open connections by number."""

    __slots__ = ("_group", "by_number")

    def __init__(self, group: ReplicaGroup) -> None:
        self._group = group
        self.by_number: dict[int, Connection] = {}

    def is_open(self, number: int) -> bool:
        """Return whether a connection is open."""
        return number in self.by_number

    def identify(self, connection: Connection, hello: Hello) -> None:
        """Identify the other end of a connection by its Hello. Raises ConnectionRejectedError."""
        self._check_hello(connection, hello)
        connection.name = hello.name
        if hello.is_replica:
            connection.peer = Peer(hello.name, connection.number, connection.stalled)

    def _check_hello(self, connection: Connection, hello: Hello) -> None:
        if connection.name:
            raise ConnectionRejectedError("stray", "it said Hello twice")
        if connection.dialled and (not hello.is_replica or hello.name != connection.dialled):
            detail = f"{hello.name!r} answers where {connection.dialled!r} was dialled"
            raise ConnectionRejectedError("stray", detail)
        is_other = hello.name in self._group.members and hello.name != self._group.local
        if hello.is_replica and not is_other:
            detail = f"{hello.name!r} is not another of the stores {self._group.members}"
            raise ConnectionRejectedError("stray", detail)

    def set_stalled(self, connection: Connection, stalled: bool) -> None:
        """Record whether a connection's write buffer is over the high-water mark."""
        connection.stalled = stalled
        if connection.peer is not None:
            connection.peer.stalled = stalled

    def dialled_or_connected(self) -> set[str]:
        """Return the names of the replicas that are connected or being dialled."""
        names = {connection.dialled for connection in self.by_number.values()}
        names |= {
            connection.peer.name
            for connection in self.by_number.values()
            if connection.peer is not None
        }
        return names

    @staticmethod
    def timeout_reason(connection: Connection, now_ms: float, timeout_ms: float) -> str:
        """Return which message of a connection has timed out, as a text; empty: none."""
        if not connection.name:
            has_timed_out = now_ms - connection.opened_at_ms >= timeout_ms
            return "it has not said Hello" if has_timed_out else ""
        if connection.peer is None or connection.peer.awaiting_reply_since_ms is None:
            return ""
        has_timed_out = now_ms - connection.peer.awaiting_reply_since_ms >= timeout_ms
        return f"{connection.name!r} has not answered" if has_timed_out else ""
