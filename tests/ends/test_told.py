"""Told after 6 s: whatever befalls watches and calls, no change is missed for longer.

A change counts as told 6 s after discovery had it and could be reached, and what a watch misses 6 s
after it fell silent. Calls that fail one by one, though another would get through, leave discovery
within reach.
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
from tests.ends.discovery import Service
from tests.ends.virtual import Loop
from tests.net import Nobody, config

TOLD, GRACE, MOVED = (
    6.0,
    0.5,
    4.0,
)  # s, by the pages: a change, a drain, a change behind SIGHUP at an agent
SOON = 0.001  # s
CHANGED = stable_id(b"s-1")
EARLY = 1.0  # s after the start


def entry(name: str, state: str = "active", started: int = 0) -> dict[str, Any]:
    return {
        "instanceId": name, "hostPort": f"10.0.0.{name[2:]}:9000", "zone": "a", "machineType": "m", "cell": 0,
        "lifecycle": state, "weight": 1.0, "startedAtMs": started,
    }  # fmt: skip


# What befalls a server, and whether it is listed before.
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
class Trouble:
    """What befalls the watch that is open, and the calls from then on."""

    watch: str
    at: float = EARLY  # s after the start
    calls: tuple[str, ...] = ()  # the next ones, one by one
    down: str = ""  # how all calls go for 8 s, before those; with `moved` all to the old address
    again: bool = False  # the next watch falls silent as well, behind its first line
    moved: float = 0.0  # s after which SIGHUP names another address
    after: tuple[float, ...] = (0.0,)  # s from then to the change


SWEEP = (SOON, 2.9, 4.4)
DOWN = 8.0
AROUND = (0.5, 7.999, 9.0)


def troubles() -> Iterator[tuple[str, Trouble]]:
    for at in (EARLY, 13.0):
        yield f"silent after {at:.0f} s", Trouble("silent", at, after=SWEEP)
        yield (
            f"silent after {at:.0f} s, twice running",
            Trouble("silent", at, again=True, after=SWEEP),
        )
    for how in (
        "ends instead",
        "half a list, then nothing",
        "a spoilt list",
        "a whole list in its place",
    ):
        yield how, Trouble(how)
        for fault in ("refused", "silent", "half a list, then nothing"):
            yield f"{how}, then twice {fault}", Trouble(how, calls=(fault,) * 2)
    for fault in FAULTS:
        yield f"silent, then {fault}", Trouble("silent", calls=(fault,), after=SWEEP)
        yield f"silent, then twice {fault}", Trouble("silent", calls=(fault,) * 2, after=SWEEP)
        yield f"down: {fault}", Trouble("ends", down=fault, after=AROUND)
        yield (
            f"down: {fault}, then silent",
            Trouble("ends", down=fault, calls=("silent",), after=AROUND),
        )
        yield (
            f"down: {fault}, then twice silent",
            Trouble("ends", down=fault, calls=("silent",) * 2, after=AROUND),
        )
        yield (
            f"silent, {fault}, moved",
            Trouble("silent", down=fault, moved=3.5, after=(SOON, 3.4, 3.6)),
        )
        late = Trouble(
            "silent", down="silent", calls=(fault,) * 2, moved=9.0, after=(SOON, 8.9, 9.1)
        )
        yield f"silent, down, moved, then twice {fault}", late


TROUBLES = dict(troubles())


class Fixed(random.Random):
    """Dice that always fall the same way."""

    def __init__(self, value: float) -> None:
        super().__init__(1)
        self.value = value

    def random(self) -> float:
        return self.value


LATEST = math.nextafter(1.0, 0.0)  # dice that have each call come as late as it may


@dataclass
class Carrier:
    """Servers that serve at once; when what was sent to the changed one."""

    world: World
    sent: list[float] = field(default_factory=list)

    def send(self, order: AttemptRequest) -> None:
        if order.endpoint_id == CHANGED:
            self.sent.append(self.world.loop.now)
        loop, join = self.world.loop, self.world.join
        loop.call_soon(
            join.attempt_ended,
            order.request_id,
            order.attempt,
            order.endpoint_id,
            AttemptResult.OK,
            1.0,
        )

    def cancel(self, request_id: int, attempt: int) -> None: ...

    def abandon_attempt(self, request_id: int, attempt: int) -> None: ...


class World:
    """A node's list, policy and traffic, and the service it follows."""

    def __init__(self, loop: Loop, listed: list[dict[str, Any]], pushed: bool, dice: float) -> None:
        self.loop, self.begun = loop, loop.now
        self.config = config(1)
        self.join = RequestPipeline(self.config.settings, 7, loop, lambda: loop.now * 1000)
        self.roster = EndpointTable(ListReader(self.config), self.join)
        self.roster.on_change.append(lambda member: self.note())
        self.carrier = Carrier(self)
        self.taken = math.inf  # when the change was taken up
        self.change: dict[str, Any] | None = None
        self.service = Service(loop, 1, {e["instanceId"]: e for e in listed})
        self.pace = (
            CallTiming.for_local_agent(GRACE * 1000) if pushed else CallTiming.for_shared_service()
        )
        self.discovery = Discovery(("d", 1), self.roster.accept, Fixed(dice), timing=self.pace)

    def know(self) -> None:
        told = {"generation": 1, "reset": True, "instances": list(self.service.members.values())}
        self.discovery.version = self.roster.accept(told, UpdateKind.CACHED)

    def note(self) -> None:
        if self.change is None or self.taken < math.inf:
            return
        member = self.roster.listed.get(CHANGED)
        if self.change["lifecycle"] != "active":
            done = member is None or member.entry.state is not EndpointState.READY
        else:
            done = member is not None and (
                not self.change["startedAtMs"] or member.entry.started_ms != 0
            )
        if done:
            self.taken = self.loop.now

    async def until(self, moment: float) -> None:
        await asyncio.sleep(max(0.0, moment - self.loop.now))

    async def ask(self, until: float) -> None:
        """Requests, all the time until then."""
        while self.loop.now < until:
            number = self.join.next_request_id()
            due = (self.loop.now + 5.0) * 1000
            intake = IncomingRequest(0, 0, 0, due, None, response_window_ms=5000.0)
            self.join.accept(number, intake, Nobody(), self.carrier)  # type: ignore[arg-type]
            await asyncio.sleep(0.05)


async def play(
    loop: Loop, trouble: Trouble, change: str, pushed: bool, after: float, dice: float
) -> float:
    """One cell at one time: s from when the change counts as told until it is taken up; infinite if
    never."""
    line, listed = CHANGES[change]
    world = World(loop, [entry("s-1")] * listed + [entry("s-2"), entry("s-3")], pushed, dice)
    service = world.service
    world.know()
    world.discovery.start()
    await world.until(world.begun + trouble.at)
    service.whole_first = trouble.watch == "a whole list in its place"
    while True:  # to just behind a line: silence is noticed latest then
        if any(
            line.timer is not None and line.timer.when() - loop.now > 1.96 for line in service.lines
        ):
            break
        await asyncio.sleep(0.02)
    since = loop.now
    if trouble.down:
        service.down = (since, math.inf if trouble.moved else since + DOWN, trouble.down)
    if not trouble.moved:
        service.faults = list(trouble.calls)
    world.change = line
    reachable = since + (DOWN if trouble.down else 0.0)
    had = since + after
    bound = max(had, reachable) + TOLD
    if trouble.watch in ("silent", "ends"):
        if trouble.watch == "silent":
            service.hush()
            if not trouble.down:
                silent = 3.1 if trouble.again and after > 3.0 else 0.0  # that one, or the next
                bound = max(since + silent + TOLD, had)  # what the watch misses
        else:
            for open_line in list(service.lines):
                open_line.end()
            if pushed and not trouble.calls:
                bound = (
                    max(had, reachable) + GRACE
                )  # at its return, what an agent has counts at once
        if trouble.again:
            loop.create_task(second(world))
        if trouble.moved:
            loop.create_task(move(world, since + trouble.moved, trouble.calls))
            bound = max(had, since + trouble.moved) + (MOVED if pushed else TOLD)
        await world.until(had)
        world.service.change(line)
    else:
        service.befall(trouble.watch, line)
    asking = None
    if line["lifecycle"] != "active":
        await world.until(bound - 0.3)
        asking = loop.create_task(world.ask(bound + 0.6))
    await world.until(bound + 0.6 + SOON)
    world.discovery.close()
    if asking is not None:
        await asking
    if line["lifecycle"] != "active" and any(at > bound + SOON for at in world.carrier.sent):
        return math.inf
    return world.taken - bound


async def second(world: World) -> None:
    """The next watch falls silent behind its first line."""
    calls = len(world.service.calls)
    while len(world.service.calls) == calls or not any(
        line.timer for line in world.service.lines if not line.mute
    ):
        await asyncio.sleep(0.01)
    world.service.hush()


async def move(world: World, at: float, faults: tuple[str, ...]) -> None:
    """SIGHUP: another service has the list, by numbers of its own."""
    await world.until(at)
    members = dict(world.service.members)
    world.service = Service(
        world.loop, 2, members, faults=list(faults), changes=list(world.service.changes)
    )
    world.discovery.move(("d", 2))


def on_a_clock(test: Any) -> Any:
    loop = Loop()
    try:
        return loop.run_until_complete(test(loop))
    finally:
        loop.close()


@pytest.mark.parametrize("pushed", [False, True], ids=["asked for", "pushed"])
@pytest.mark.parametrize("name", TROUBLES)
def test_a_change_is_taken_up_by_the_time_at_which_it_counts_as_told(
    name: str, pushed: bool
) -> None:
    trouble, broken = TROUBLES[name], []
    worst = [
        *product(("drain", "new"), trouble.after),
        *product(("gone", "back cold"), trouble.after[:1]),
    ]
    for change, after, dice in [
        *((*one, LATEST) for one in worst),
        ("drain", trouble.after[0], 0.0),
    ]:
        cell = partial(play, trouble=trouble, change=change, pushed=pushed, after=after, dice=dice)
        if (late := on_a_clock(cell)) > SOON:
            broken.append(f"{change}, {after} s after, dice at {dice:.1f}: {late:.3f} s late")
    assert not broken


@pytest.mark.parametrize("change", CHANGES)
def test_the_table_sees_a_change_that_is_never_taken_up(change: str) -> None:
    never = Trouble("silent", calls=("silent",) * 99)
    assert (
        on_a_clock(partial(play, trouble=never, change=change, pushed=False, after=0.0, dice=0.0))
        == math.inf
    )


# Calls a second that one node makes once discovery has been lost for long: the service bears them
# of all.
HELD, FAILED = 0.65, 1.05
RATES = {fault: FAILED for fault in FAULTS} | {
    "never up": HELD,
    "up late, then silent": HELD,
    "silent": HELD,
    "silent after its head": HELD,
    "half a list, then nothing": HELD,
    "ended behind its first line": FAILED,
}


@pytest.mark.parametrize("fault", RATES)
def test_the_service_is_spared_whatever_befalls_calls(fault: str) -> None:
    nodes, time = 20, 60.0

    async def test(loop: Loop) -> None:
        service = Service(loop, 1, {"s-1": entry("s-1")})
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

    on_a_clock(test)


@pytest.mark.parametrize(
    "pace",
    [
        CallTiming.for_shared_service(),
        CallTiming.for_local_agent(500.0),
        CallTiming.for_local_agent(2000.0),
    ],
)
def test_the_worst_sums_are_within_the_time(pace: CallTiming) -> None:
    """From the constants: a silent watch or an outage, and two calls behind it that say nothing."""
    call, rest, pause = (
        1.25 * pace.response_timeout_s,
        1.25 * pace.later_response_timeout_s,
        1.5 * pace.max_retry_delay_s,
    )
    assert WATCH_SILENCE_TIMEOUT_S + 1.5 * INITIAL_RETRY_DELAY_S + 2 * call < TOLD - 0.4
    assert max(rest, pause) + 2 * rest < TOLD - 0.3


def test_early_calls_come_soon_and_later_ones_spare_the_service() -> None:
    pace, tries = CallTiming.for_shared_service(), RetryState(Fixed(0.0))
    assert [tries.call_opened(pace) for _ in range(4)] == [1.0, 1.0, 1.5, 1.5]
    tries.list_received()
    assert tries.call_opened(pace) == 1.0
    tries = RetryState(Fixed(0.5))
    assert [tries.next_retry_delay_s(pace) for _ in range(7)] == [
        0.05,
        0.1,
        0.2,
        0.4,
        0.8,
        1.0,
        1.0,
    ]
    tries.watch_ended(0.9, pace)  # a watch that always ends at once is no news
    assert tries.next_retry_delay_s(pace) == 1.0
    tries.watch_ended(1.0, pace)
    assert tries.next_retry_delay_s(pace) == 0.05


def test_the_descriptors_kept_for_discovery_are_enough() -> None:
    """For the calls that are open at once, and one that is just closing."""
    assert descriptors.DISCOVERY >= MAX_OPEN_CALLS + 1
