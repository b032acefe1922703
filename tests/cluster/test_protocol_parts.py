"""Unit tests of timers, suspicions, name conflicts, probes, replays and the rate limit."""

from __future__ import annotations

import random

import pytest

from badgercart.cluster.context import LocalNode, PeerSampler, ProtocolContext
from badgercart.cluster.datagram_socket import MAX_DATAGRAMS_PER_S, DatagramBudget
from badgercart.cluster.effects import Effect, EffectBuffer, SendDatagram
from badgercart.cluster.hybrid_logical_clock import HybridLogicalClock
from badgercart.cluster.local_health import LocalHealth
from badgercart.cluster.membership_table import MembershipRecord, MembershipTable, MemberStatus
from badgercart.cluster.messages import Ack, Nack, Ping, PingRequest
from badgercart.cluster.name_conflicts import NameConflicts
from badgercart.cluster.packet_sender import PacketSender
from badgercart.cluster.probing import Prober, ProbeRelay
from badgercart.cluster.replay_filter import MAX_REPLAY_WINDOWS, ReplayFilter
from badgercart.cluster.suspicion import SuspicionTracker
from badgercart.cluster.timers import TimerQueue
from badgercart.cluster.timing import SwimTiming

TIMING = SwimTiming(probe_period_ms=1000.0, probe_timeout_ms=500.0)


def record(
    number: int, status: MemberStatus = MemberStatus.ALIVE, **numbers: int
) -> MembershipRecord:
    """Return a membership record of the node with this number."""
    incarnation, generation = numbers.get("incarnation", 0), numbers.get("generation", 1)
    address = ("127.0.0.1", 100 + number)
    return MembershipRecord(f"n{number}", incarnation, status, address, generation)


def context_of(members: int) -> ProtocolContext:
    """Return the context of the node n0 in a cluster of n0, n1, n2, and so on."""
    local, table, rng = LocalNode(record(0)), MembershipTable(), random.Random(1)
    for number in range(members):
        table.merge(record(number), 0.0, "n0")
    sampler = PeerSampler(local, table, rng)
    timers, effects = TimerQueue(), EffectBuffer()
    return ProtocolContext(local, TIMING, rng, timers, table, sampler, LocalHealth(), effects)


def sender_of(context: ProtocolContext) -> PacketSender:
    """Return a packet sender with a wall clock that stands still."""
    return PacketSender(context, HybridLogicalClock(lambda: 0.0))


def bodies(effects: list[Effect]) -> list[object]:
    """Return the bodies of the datagrams among these effects."""
    return [effect.packet.body for effect in effects if isinstance(effect, SendDatagram)]


def test_timers_run_in_order_of_due_time_then_of_creation() -> None:
    """Postponed timers keep their order and run later."""
    timers, called = TimerQueue(), []
    for delay_ms, name in ((20.0, "c"), (10.0, "a"), (10.0, "b")):
        timers.after(delay_ms, lambda name=name: called.append(name))  # type: ignore[misc]
    timers.advance(10.0)
    timers.run_due()
    assert called == ["a", "b"] and timers.due_ms == 20.0
    timers.postpone(5.0)
    timers.advance(20.0)
    timers.run_due()
    assert called == ["a", "b"] and timers.due_ms == 25.0


def test_a_suspicion_is_shorter_with_more_accusers() -> None:
    """A second accuser shortens a suspicion; the same accuser again does not."""
    tracker = SuspicionTracker(TIMING)
    suspect = record(1, MemberStatus.SUSPECT)
    unconfirmed_ms = tracker.begin(suspect, 10, 0.0).expires_ms
    accusation = MembershipRecord("n1", 0, MemberStatus.SUSPECT, ("h", 1), 1, accuser="n2")
    confirmed = tracker.confirm(accusation)
    assert confirmed is not None and confirmed.expires_ms < unconfirmed_ms
    assert tracker.confirm(accusation) is None  # the same accuser again
    assert not tracker.has_expired("n1", confirmed.expires_ms - 1)
    assert tracker.has_expired("n1", confirmed.expires_ms)
    tracker.end("n1")
    assert not tracker.has_expired("n1", unconfirmed_ms)


def test_a_rival_raises_its_incarnation_and_the_older_process_yields() -> None:
    """A rival that raises its incarnation is alive; it stops being one when it is dead."""
    conflicts = NameConflicts()
    # A first record may be of an earlier process of this node.
    assert conflicts.observe(record(0, generation=9), 5) is None
    conflict = conflicts.observe(record(0, generation=9, incarnation=1), 5)
    assert conflict is not None and conflict.generation == 9
    assert conflict.yields and conflicts.yields
    conflicts.observe(record(0, MemberStatus.DEAD, generation=9, incarnation=1), 5)
    assert not conflicts.yields
    conflicts.observe(record(0, generation=2), 5)
    conflict = conflicts.observe(record(0, generation=2, incarnation=1), 5)
    assert conflict is not None and not conflict.yields


@pytest.mark.parametrize("acknowledged", [True, False])
def test_a_member_is_suspected_only_without_any_acknowledgement(acknowledged: bool) -> None:
    """An acknowledgement of an indirect probe suffices within the period."""
    context = context_of(4)
    suspected: list[str] = []
    prober = Prober(context, sender_of(context), suspected.append)
    prober.start()
    context.timers.advance(context.timers.due_ms)
    context.timers.run_due()
    (ping,) = bodies(context.effects.take())
    assert isinstance(ping, Ping) and prober.probe is not None
    probed = prober.probe.name
    context.timers.advance(context.timers.due_ms)
    context.timers.run_due()  # the timeout, after which indirect probes are requested
    assert [type(body) for body in bodies(context.effects.take())] == [PingRequest, PingRequest]
    if acknowledged:
        assert prober.receive_ack(ping.sequence)
    context.timers.advance(context.timers.due_ms)
    context.timers.run_due()
    assert suspected == ([] if acknowledged else [probed])
    # Without an acknowledgement, the score is 2: neither helper sent a `Nack`.
    assert context.health.score == (0 if acknowledged else 2)


def test_a_relay_reports_acknowledgements_and_timeouts() -> None:
    """The requester gets an `Ack` or, after the timeout, a `Nack` with its own number."""
    context = context_of(3)
    relay = ProbeRelay(context, sender_of(context))
    requester = ("127.0.0.1", 102)
    for sequence in (7, 8):
        relay.receive_request(PingRequest(sequence, "n1", "127.0.0.1", 101, 400.0), requester)
    first, second = bodies(context.effects.take())
    assert isinstance(first, Ping) and isinstance(second, Ping) and len(relay) == 2
    relay.receive_ack(first.sequence)
    assert bodies(context.effects.take()) == [Ack(7)]
    context.timers.advance(400.0)
    context.timers.run_due()
    assert bodies(context.effects.take()) == [Nack(8)] and len(relay) == 0


def test_the_replay_filter_accepts_a_serial_once_per_process() -> None:
    """A restarted process may use its serials again, and the number of windows is bounded."""
    accepted = ReplayFilter()
    assert accepted.accept("a", 1, 5) and not accepted.accept("a", 1, 5)
    assert accepted.accept("a", 2, 5) and accepted.accept("b", 1, 5)
    for generation in range(MAX_REPLAY_WINDOWS + 10):
        accepted.accept("c", generation, 1)
    assert len(accepted) == MAX_REPLAY_WINDOWS


def test_datagrams_are_read_within_the_rate_limit() -> None:
    """After the burst of one second, only the refilled tokens may be used."""
    budget = DatagramBudget(0.0)
    for _ in range(MAX_DATAGRAMS_PER_S):
        budget.spend()
    assert budget.exhausted
    budget.refill(1 / MAX_DATAGRAMS_PER_S)
    assert not budget.exhausted
    budget.spend()
    assert budget.exhausted
