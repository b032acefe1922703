"""No change of the endpoint list is missed for longer than 6 s, whatever happens to discovery.

A change counts as known 6 s after discovery had it and could be reached; what a watch misses counts
6 s after the watch fell silent. Calls that fail one by one, while another one would succeed, leave
discovery within reach.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import product
from typing import Any

import pytest

from badgercart.core import descriptors
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.identifiers import stable_id
from badgercart.core.ports import AttemptRequest, IncomingRequest
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.discovery.backoff import (
    INITIAL_RETRY_DELAY_S,
    MAX_OPEN_CALLS,
    CallTiming,
    RetryState,
)
from badgercart.discovery.catalog import WATCH_SILENCE_TIMEOUT_S, Discovery
from badgercart.discovery.entries import ListReader
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptResult, UpdateKind
from tests.ends.discovery import ScriptedDiscovery
from tests.ends.virtual import VirtualLoop
from tests.net import NullFrontend, config

# The time within which a change counts as known, the grace period of a drain, and the time for a
# change after a SIGHUP that names another agent, by the operators' pages.
KNOWN_AFTER_S = 6.0
GRACE_S = 0.5
KNOWN_AFTER_MOVE_S = 4.0
TOLERANCE_S = 0.001
CHANGED = stable_id(b"s-1")
EARLY_S = 1.0  # after the start


def entry(name: str, state: str = "active", started: int = 0) -> dict[str, Any]:
    return {
        "instanceId": name, "hostPort": f"10.0.0.{name[2:]}:9000", "zone": "a", "machineType": "m", "cell": 0,
        "lifecycle": state, "weight": 1.0, "startedAtMs": started,
    }  # fmt: skip


# What happens to a server, and whether it is listed before.
CHANGES: dict[str, tuple[dict[str, Any], bool]] = {
    "drain": (entry("s-1", "leaving"), True),
    "gone": (entry("s-1", "left"), True),
    "new": (entry("s-1"), False),
    "back cold": (entry("s-1", started=1_700_000_000_000), True),
}
FAULTS = (
    "refused", "never up", "up late, then silent", "silent", "503", "429", "closed before its head",
    "closed in its head", "closed after its head", "silent after its head", "half a list, then nothing",
    "a spoilt list",
)  # fmt: skip


@dataclass(frozen=True)
class InjectedFault:
    """What happens to the open watch, and to calls from then on."""

    watch: str
    at: float = EARLY_S  # s after the start
    calls: tuple[str, ...] = ()  # the faults of the next calls, one each
    down: str = ""  # the fault of all calls for 8 s before; with `moved`, of all to the old address
    again: bool = False  # the next watch falls silent as well, after its first line
    moved: float = 0.0  # s until SIGHUP names another address
    after: tuple[float, ...] = (0.0,)  # s until the change


DELAYS_S = (TOLERANCE_S, 2.9, 4.4)
DOWN_S = 8.0
AROUND_OUTAGE_S = (0.5, 7.999, 9.0)


def injected_faults() -> Iterator[tuple[str, InjectedFault]]:
    for at in (EARLY_S, 13.0):
        yield f"silent after {at:.0f} s", InjectedFault("silent", at, after=DELAYS_S)
        yield (
            f"silent after {at:.0f} s, twice running",
            InjectedFault("silent", at, again=True, after=DELAYS_S),
        )
    for how in (
        "ends instead",
        "half a list, then nothing",
        "a spoilt list",
        "a whole list in its place",
    ):
        yield how, InjectedFault(how)
        for fault in ("refused", "silent", "half a list, then nothing"):
            yield f"{how}, then twice {fault}", InjectedFault(how, calls=(fault,) * 2)
    for fault in FAULTS:
        yield f"silent, then {fault}", InjectedFault("silent", calls=(fault,), after=DELAYS_S)
        yield (
            f"silent, then twice {fault}",
            InjectedFault("silent", calls=(fault,) * 2, after=DELAYS_S),
        )
        yield f"down: {fault}", InjectedFault("ends", down=fault, after=AROUND_OUTAGE_S)
        yield (
            f"down: {fault}, then silent",
            InjectedFault("ends", down=fault, calls=("silent",), after=AROUND_OUTAGE_S),
        )
        yield (
            f"down: {fault}, then twice silent",
            InjectedFault("ends", down=fault, calls=("silent",) * 2, after=AROUND_OUTAGE_S),
        )
        yield (
            f"silent, {fault}, moved",
            InjectedFault("silent", down=fault, moved=3.5, after=(TOLERANCE_S, 3.4, 3.6)),
        )
        late = InjectedFault(
            "silent", down="silent", calls=(fault,) * 2, moved=9.0, after=(TOLERANCE_S, 8.9, 9.1)
        )
        yield f"silent, down, moved, then twice {fault}", late


INJECTED_FAULTS = dict(injected_faults())


class FixedRandom(random.Random):
    """A random generator that always draws the same value."""

    def __init__(self, value: float) -> None:
        super().__init__(1)
        self.value = value

    def random(self) -> float:
        return self.value


LATEST = math.nextafter(1.0, 0.0)  # has each call start as late as it may


@dataclass
class ScriptedTransport:
    """A transport whose attempts succeed at once; records when the changed server got one."""

    world: World
    sent: list[float] = field(default_factory=list)

    def send(self, attempt: AttemptRequest) -> None:
        if attempt.endpoint_id == CHANGED:
            self.sent.append(self.world.loop.now)
        loop, join = self.world.loop, self.world.join
        loop.call_soon(
            join.attempt_ended,
            attempt.request_id,
            attempt.attempt,
            attempt.endpoint_id,
            AttemptResult.OK,
            1.0,
        )

    def cancel(self, request_id: int, attempt: int) -> None: ...

    def abandon_attempt(self, request_id: int, attempt: int) -> None: ...


class World:
    """The endpoint list, policy and traffic of a node, and the discovery service it follows."""

    def __init__(
        self, loop: VirtualLoop, listed: list[dict[str, Any]], pushed: bool, dice: float
    ) -> None:
        self.loop, self.begun = loop, loop.now
        self.config = config(1)
        self.join = RequestPipeline(self.config.settings, 7, loop, lambda: loop.now * 1000)
        self.roster = EndpointTable(ListReader(self.config), self.join)
        self.roster.on_change.append(lambda endpoint: self.note())
        self.transport = ScriptedTransport(self)
        self.taken = math.inf  # when the change was applied
        self.change: dict[str, Any] | None = None
        self.service = ScriptedDiscovery(loop, 1, {e["instanceId"]: e for e in listed})
        self.call_timing = (
            CallTiming.for_local_agent(GRACE_S * 1000)
            if pushed
            else CallTiming.for_shared_service()
        )
        self.discovery = Discovery(
            ("d", 1), self.roster.accept, FixedRandom(dice), timing=self.call_timing
        )

    def know(self) -> None:
        snapshot = {
            "generation": 1,
            "reset": True,
            "instances": list(self.service.members.values()),
        }
        self.discovery.version = self.roster.accept(snapshot, UpdateKind.CACHED)

    def note(self) -> None:
        if self.change is None or self.taken < math.inf:
            return
        endpoint = self.roster.listed.get(CHANGED)
        if self.change["lifecycle"] != "active":
            done = endpoint is None or endpoint.entry.state is not EndpointState.READY
        else:
            done = endpoint is not None and (
                not self.change["startedAtMs"] or endpoint.entry.started_ms != 0
            )
        if done:
            self.taken = self.loop.now

    async def until(self, moment: float) -> None:
        await asyncio.sleep(max(0.0, moment - self.loop.now))

    async def ask(self, until: float) -> None:
        """Send requests until then."""
        while self.loop.now < until:
            number = self.join.next_request_id()
            due = (self.loop.now + 5.0) * 1000
            request = IncomingRequest(0, 0, 0, due, None, response_window_ms=5000.0)
            self.join.accept(number, request, NullFrontend(), self.transport)  # type: ignore[arg-type]
            await asyncio.sleep(0.05)


async def play(
    loop: VirtualLoop,
    injected_fault: InjectedFault,
    change: str,
    pushed: bool,
    after: float,
    dice: float,
) -> float:
    """Play one case; return the s from when the change counts as known until it is applied.

    The result is infinite where it never is.
    """
    line, listed = CHANGES[change]
    world = World(loop, [entry("s-1")] * listed + [entry("s-2"), entry("s-3")], pushed, dice)
    service = world.service
    world.know()
    world.discovery.start()
    await world.until(world.begun + injected_fault.at)
    service.whole_first = injected_fault.watch == "a whole list in its place"
    # Until just after a line of the watch: that is when its silence is noticed last.
    while True:
        if any(
            line.timer is not None and line.timer.when() - loop.now > 1.96 for line in service.lines
        ):
            break
        await asyncio.sleep(0.02)
    since = loop.now
    if injected_fault.down:
        service.down = (
            since,
            math.inf if injected_fault.moved else since + DOWN_S,
            injected_fault.down,
        )
    if not injected_fault.moved:
        service.faults = list(injected_fault.calls)
    world.change = line
    reachable = since + (DOWN_S if injected_fault.down else 0.0)
    had = since + after
    bound = max(had, reachable) + KNOWN_AFTER_S
    if injected_fault.watch in ("silent", "ends"):
        if injected_fault.watch == "silent":
            service.silence_watches()
            if not injected_fault.down:
                silent = (
                    3.1 if injected_fault.again and after > 3.0 else 0.0
                )  # of this watch, or of the next one
                bound = max(since + silent + KNOWN_AFTER_S, had)  # the change that the watch misses
        else:
            for open_line in list(service.lines):
                open_line.end()
            if pushed and not injected_fault.calls:
                # When an agent recovers, what it has counts at once.
                bound = max(had, reachable) + GRACE_S
        if injected_fault.again:
            loop.create_task(second(world))
        if injected_fault.moved:
            loop.create_task(move(world, since + injected_fault.moved, injected_fault.calls))
            bound = max(had, since + injected_fault.moved) + (
                KNOWN_AFTER_MOVE_S if pushed else KNOWN_AFTER_S
            )
        await world.until(had)
        world.service.change(line)
    else:
        service.replace_update(injected_fault.watch, line)
    asking = None
    if line["lifecycle"] != "active":
        await world.until(bound - 0.3)
        asking = loop.create_task(world.ask(bound + 0.6))
    await world.until(bound + 0.6 + TOLERANCE_S)
    world.discovery.close()
    if asking is not None:
        await asking
    if line["lifecycle"] != "active" and any(
        at > bound + TOLERANCE_S for at in world.transport.sent
    ):
        return math.inf
    return world.taken - bound


async def second(world: World) -> None:
    """Have the next watch fall silent after its first line."""
    calls = len(world.service.calls)
    while len(world.service.calls) == calls or not any(
        line.timer for line in world.service.lines if not line.mute
    ):
        await asyncio.sleep(0.01)
    world.service.silence_watches()


async def move(world: World, at: float, faults: tuple[str, ...]) -> None:
    """Move to another service by SIGHUP, which numbers the changes of the list by itself."""
    await world.until(at)
    members = dict(world.service.members)
    world.service = ScriptedDiscovery(
        world.loop, 2, members, faults=list(faults), changes=list(world.service.changes)
    )
    world.discovery.move(("d", 2))


def run_on_virtual_time(test: Any) -> Any:
    """Run a test on a loop of virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(test(loop))
    finally:
        loop.close()


@pytest.mark.parametrize("pushed", [False, True], ids=["asked for", "pushed"])
@pytest.mark.parametrize("name", INJECTED_FAULTS)
def test_a_change_is_applied_by_the_time_at_which_it_counts_as_known(
    name: str, pushed: bool
) -> None:
    injected_fault, broken = INJECTED_FAULTS[name], []
    worst = [
        *product(("drain", "new"), injected_fault.after),
        *product(("gone", "back cold"), injected_fault.after[:1]),
    ]
    for change, after, dice in [
        *((*one, LATEST) for one in worst),
        ("drain", injected_fault.after[0], 0.0),
    ]:
        cell = partial(
            play,
            injected_fault=injected_fault,
            change=change,
            pushed=pushed,
            after=after,
            dice=dice,
        )
        if (late := run_on_virtual_time(cell)) > TOLERANCE_S:
            broken.append(f"{change}, {after} s after, dice at {dice:.1f}: {late:.3f} s late")
    assert not broken


@pytest.mark.parametrize("change", CHANGES)
def test_the_cases_notice_a_change_that_is_never_applied(change: str) -> None:
    never = InjectedFault("silent", calls=("silent",) * 99)
    assert (
        run_on_virtual_time(
            partial(play, injected_fault=never, change=change, pushed=False, after=0.0, dice=0.0)
        )
        == math.inf
    )


# Limits of the calls per second of one node while discovery is unreachable for long, as the service
# gets the calls of all nodes: of calls that get no response, and of calls that fail.
UNANSWERED_PER_S = 0.65
FAILED_PER_S = 1.05
RATES = {fault: FAILED_PER_S for fault in FAULTS} | {
    "never up": UNANSWERED_PER_S,
    "up late, then silent": UNANSWERED_PER_S,
    "silent": UNANSWERED_PER_S,
    "silent after its head": UNANSWERED_PER_S,
    "half a list, then nothing": UNANSWERED_PER_S,
    "ended behind its first line": FAILED_PER_S,
}


@pytest.mark.parametrize("fault", RATES)
def test_the_rate_of_calls_to_the_service_is_limited_whatever_happens_to_them(fault: str) -> None:
    nodes, time = 20, 60.0

    async def test(loop: VirtualLoop) -> None:
        service = ScriptedDiscovery(loop, 1, {"s-1": entry("s-1")})
        followers = [
            Discovery(("d", 1), lambda raw: int(raw["generation"]), random.Random(seed))
            for seed in range(nodes)
        ]
        for follower in followers:
            follower.version = 1
            follower.start()
        await asyncio.sleep(5.0)
        assert len(service.lines) == len(service.calls) == nodes
        service.down = (loop.now, math.inf, fault)
        for line in list(service.lines):
            line.end()
        await asyncio.sleep(10.0)
        before = len(service.calls)
        await asyncio.sleep(time)
        assert (len(service.calls) - before) / nodes / time < RATES[fault]
        assert all(len(follower.calls) <= MAX_OPEN_CALLS for follower in followers)
        assert len(service.lines) <= MAX_OPEN_CALLS * nodes
        for follower in followers:
            follower.close()
        await asyncio.sleep(0.01)
        assert not service.lines

    run_on_virtual_time(test)


@pytest.mark.parametrize(
    "timing",
    [
        CallTiming.for_shared_service(),
        CallTiming.for_local_agent(500.0),
        CallTiming.for_local_agent(2000.0),
    ],
)
def test_the_sums_of_the_timeouts_are_within_the_limit(timing: CallTiming) -> None:
    """The worst cases are a silent watch or an outage, and then two calls without a response."""
    call, rest, pause = (
        1.25 * timing.response_timeout_s,
        1.25 * timing.later_response_timeout_s,
        1.5 * timing.max_retry_delay_s,
    )
    assert WATCH_SILENCE_TIMEOUT_S + 1.5 * INITIAL_RETRY_DELAY_S + 2 * call < KNOWN_AFTER_S - 0.4
    assert max(rest, pause) + 2 * rest < KNOWN_AFTER_S - 0.3


def test_the_delays_between_calls_grow_with_each_failure() -> None:
    timing, tries = CallTiming.for_shared_service(), RetryState(FixedRandom(0.0))
    assert [tries.call_opened(timing) for _ in range(4)] == [1.0, 1.0, 1.5, 1.5]
    tries.list_received()
    assert tries.call_opened(timing) == 1.0
    tries = RetryState(FixedRandom(0.5))
    assert [tries.next_retry_delay_s(timing) for _ in range(7)] == [
        0.05,
        0.1,
        0.2,
        0.4,
        0.8,
        1.0,
        1.0,
    ]
    tries.watch_ended(0.9, timing)  # a watch that ends at once is no success
    assert tries.next_retry_delay_s(timing) == 1.0
    tries.watch_ended(1.0, timing)
    assert tries.next_retry_delay_s(timing) == 0.05


def test_the_descriptors_reserved_for_discovery_are_enough() -> None:
    """They are for the calls that are open at once, and one that is just closing."""
    assert descriptors.DISCOVERY_DESCRIPTORS >= MAX_OPEN_CALLS + 1
