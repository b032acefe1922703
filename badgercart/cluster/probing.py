"""SWIM failure detection: one member is probed each period, directly and indirectly. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from badgercart.cluster.context import ProtocolContext
from badgercart.cluster.membership_table import REACHABLE, MemberState, MemberStatus
from badgercart.cluster.messages import Ack, Nack, Ping, PingRequest
from badgercart.cluster.packet_sender import PacketSender
from badgercart.config import Address

# Indirect probes for other nodes that may be in flight at once.
MAX_RELAYED_PROBES = 1024
# Share of the probe timeout that a helper waits, so that its `Nack` arrives in time.
RELAY_TIMEOUT_SHARE = 0.8


@dataclass(slots=True)
class Probe:
    """The probe of the current period.

    Attributes:
        name: the probed member.
        sequence: the number by which acknowledgements are matched.
        helpers: how many members were asked for an indirect probe.
        nacks: how many helpers sent a `Nack`.
        acknowledged: whether a direct or indirect probe was acknowledged.
    """

    name: str
    sequence: int
    helpers: int = 0
    nacks: int = 0
    acknowledged: bool = False


@dataclass(slots=True, eq=False)
class Prober:
    """Probes every member once per round, and suspects those that do not acknowledge.

    Attributes:
        suspect: called with the name of a member that did not acknowledge.
        probe: the probe of the current period.
    """

    context: ProtocolContext
    sender: PacketSender
    suspect: Callable[[str], None]
    probe: Probe | None = None
    # The rest of the current round; the next member to probe is last.
    _round: list[str] = field(default_factory=list)

    def start(self) -> None:
        """Schedule the first probe period."""
        delay_ms = self.context.timing.probe_period_ms * self.context.rng.random()
        self.context.timers.after(delay_ms, self._begin_period)

    def add_member(self, name: str) -> None:
        """Insert a new member at a random position of the current round."""
        self._round.insert(self.context.rng.randint(0, len(self._round)), name)

    def abandon(self) -> None:
        """Abandon the current probe without a result."""
        self.probe = None

    def receive_ack(self, sequence: int) -> bool:
        """Record an acknowledgement; return whether it belongs to the current probe."""
        if self.probe is None or sequence != self.probe.sequence:
            return False
        self.probe.acknowledged = True
        return True

    def receive_nack(self, sequence: int) -> None:
        """Count a helper that got no acknowledgement, but is itself reachable."""
        if self.probe is not None and sequence == self.probe.sequence:
            self.probe.nacks += 1

    def _begin_period(self) -> None:
        context = self.context
        if self.probe is not None:
            self._conclude(self.probe)
        self.probe = None
        period_ms = context.health.scale(context.timing.probe_period_ms)
        context.timers.after(period_ms, self._begin_period)
        target = self._next_target()
        if target is not None:
            self._send_probe(target)

    def _conclude(self, probe: Probe) -> None:
        """Evaluate a finished probe, and adjust this node's own health score."""
        if probe.acknowledged:
            self.context.health.adjust(-1)
            return
        # Helpers that did not even send a `Nack` indicate that this node itself is partitioned.
        self.context.health.adjust(probe.helpers - probe.nacks if probe.helpers else 1)
        self.suspect(probe.name)

    def _next_target(self) -> MemberState | None:
        while (name := self._next_in_round()) is not None:
            state = self.context.table.members.get(name)
            if state is None or name == self.context.local.name:
                continue
            if state.status in REACHABLE:
                return state
        return None

    def _next_in_round(self) -> str | None:
        """Return the next name; each round has a new random order (SWIM, section 4.3)."""
        if not self._round:
            self._round = [state.record.name for state in self.context.peers.reachable()]
            self.context.rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _send_probe(self, target: MemberState) -> None:
        context = self.context
        self.probe = Probe(target.record.name, self.sender.next_sequence())
        first = target.record if target.status is MemberStatus.SUSPECT else None
        self.sender.send(target.record.address, Ping(self.probe.sequence), first)
        timeout_ms = context.health.scale(context.timing.probe_timeout_ms)
        context.timers.after(timeout_ms, partial(self._probe_indirectly, self.probe))

    def _probe_indirectly(self, probe: Probe) -> None:
        """Ask some members to probe a member that has not acknowledged yet."""
        state = self.context.table.members.get(probe.name)
        if probe is not self.probe or probe.acknowledged or state is None:
            return
        timing = self.context.timing
        helpers = self.context.peers.sample(timing.indirect_probes, excluding=probe.name)
        probe.helpers = len(helpers)
        host, port = state.record.address
        timeout_ms = timing.probe_timeout_ms * RELAY_TIMEOUT_SHARE
        request = PingRequest(probe.sequence, probe.name, host, port, timeout_ms)
        for helper in helpers:
            self.sender.send(helper.record.address, request)


@dataclass(slots=True, frozen=True)
class RelayedProbe:
    """The node that requested an indirect probe, and the sequence number of its request."""

    requester: Address
    sequence: int


@dataclass(slots=True, eq=False)
class ProbeRelay:
    """Probes members on behalf of other nodes."""

    context: ProtocolContext
    sender: PacketSender
    # By the sequence numbers of this node's own probes.
    _relayed: dict[int, RelayedProbe] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._relayed)

    def receive_request(self, request: PingRequest, requester: Address) -> None:
        """Probe a member, and report the result to the requester."""
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            return
        sequence = self.sender.next_sequence()
        self._relayed[sequence] = RelayedProbe(requester, request.sequence)
        self.sender.send((request.host, request.port), Ping(sequence))
        timeout_ms = min(request.timeout_ms, self.context.timing.probe_period_ms)
        self.context.timers.after(timeout_ms, partial(self._expire, sequence))

    def receive_ack(self, sequence: int) -> None:
        """Forward an acknowledgement to the requester."""
        relayed = self._relayed.pop(sequence, None)
        if relayed is not None:
            self.sender.send(relayed.requester, Ack(relayed.sequence))

    def _expire(self, sequence: int) -> None:
        relayed = self._relayed.pop(sequence, None)
        if relayed is not None:
            self.sender.send(relayed.requester, Nack(relayed.sequence))
