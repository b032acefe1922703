"""The parts of the protocol by themselves: timers, suspicions, conflicts, probes, replays."""

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


def record(number: int, status: MemberStatus = MemberStatus.ALIVE, **more: int) -> MembershipRecord:
    incarnation, generation = more.get("incarnation", 0), more.get("generation", 1)
    address = ("127.0.0.1", 100 + number)
    return MembershipRecord(f"n{number}", incarnation, status, address, generation)


def context_of(members: int) -> ProtocolContext:
    """Return the context of the node n0, which knows n1, n2, ..."""
    local, table, rng = LocalNode(record(0)), MembershipTable(), random.Random(1)
    for number in range(members):
        table.merge(record(number), 0.0, "n0")
    sampler = PeerSampler(local, table, rng)
    timers, effects = TimerQueue(), EffectBuffer()
    return ProtocolContext(local, TIMING, rng, timers, table, sampler, LocalHealth(), effects)


def sender_of(context: ProtocolContext) -> PacketSender:
    return PacketSender(context, HybridLogicalClock(lambda: 0.0))


def bodies(effects: list[Effect]) -> list[object]:
    return [effect.packet.body for effect in effects if isinstance(effect, SendDatagram)]


def test_timers_run_in_the_order_of_their_times_and_of_their_setting() -> None:
    timers, rung = TimerQueue(), []
    for delay_ms, name in ((20.0, "c"), (10.0, "a"), (10.0, "b")):
        timers.after(delay_ms, lambda name=name: rung.append(name))  # type: ignore[misc]
    timers.advance(10.0)
    timers.run_due()
    assert rung == ["a", "b"] and timers.due_ms == 20.0
    timers.postpone(5.0)
    timers.advance(20.0)
    timers.run_due()
    assert rung == ["a", "b"] and timers.due_ms == 25.0


def test_a_suspicion_is_shorter_the_more_members_share_it() -> None:
    tracker = SuspicionTracker(TIMING)
    suspect = record(1, MemberStatus.SUSPECT)
    alone_ms = tracker.begin(suspect, 10, 0.0).expires_ms
    accusation = MembershipRecord("n1", 0, MemberStatus.SUSPECT, ("h", 1), 1, accuser="n2")
    shared = tracker.confirm(accusation)
    assert shared is not None and shared.expires_ms < alone_ms
    assert tracker.confirm(accusation) is None  # the same accuser again
    assert not tracker.has_expired("n1", shared.expires_ms - 1)
    assert tracker.has_expired("n1", shared.expires_ms)
    tracker.end("n1")
    assert not tracker.has_expired("n1", alone_ms)


def test_a_rival_is_one_that_answers_and_the_process_that_began_first_yields() -> None:
    conflicts = NameConflicts()
    assert conflicts.observe(record(0, generation=9), 5) is None  # perhaps what it was before
    conflict = conflicts.observe(record(0, generation=9, incarnation=1), 5)
    assert conflict is not None and conflict.generation == 9
    assert conflict.yields and conflicts.yields
    conflicts.observe(record(0, MemberStatus.DEAD, generation=9, incarnation=1), 5)
    assert not conflicts.yields
    conflicts.observe(record(0, generation=2), 5)
    conflict = conflicts.observe(record(0, generation=2, incarnation=1), 5)
    assert conflict is not None and not conflict.yields


@pytest.mark.parametrize("answered", [True, False])
def test_a_member_is_suspected_only_if_no_probe_of_a_period_is_answered(answered: bool) -> None:
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
    context.timers.run_due()  # the timeout: others are asked
    assert [type(body) for body in bodies(context.effects.take())] == [PingRequest, PingRequest]
    if answered:
        assert prober.receive_ack(ping.sequence)
    context.timers.advance(context.timers.due_ms)
    context.timers.run_due()
    assert suspected == ([] if answered else [probed])
    assert context.health.score == (0 if answered else 2)  # two helpers sent no `Nack`


def test_a_relay_tells_who_asked_of_an_answer_and_of_its_lack() -> None:
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


def test_the_replay_filter_takes_a_serial_once_for_each_process_and_is_bounded() -> None:
    accepted = ReplayFilter()
    assert accepted.accept("a", 1, 5) and not accepted.accept("a", 1, 5)
    assert accepted.accept("a", 2, 5) and accepted.accept("b", 1, 5)
    for generation in range(MAX_REPLAY_WINDOWS + 10):
        accepted.accept("c", generation, 1)
    assert len(accepted) == MAX_REPLAY_WINDOWS


def test_datagrams_are_read_within_the_rate() -> None:
    budget = DatagramBudget(0.0)
    for _ in range(MAX_DATAGRAMS_PER_S):
        budget.spend()
    assert budget.exhausted
    budget.refill(1 / MAX_DATAGRAMS_PER_S)
    assert not budget.exhausted
    budget.spend()
    assert budget.exhausted
