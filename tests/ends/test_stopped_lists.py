"""Long lists that stop arriving, or arrive slowly: by when the next call is opened, and what is kept."""

from __future__ import annotations

import asyncio
import json
import random
from functools import partial
from typing import Any

import pytest

from badgercart.discovery.backoff import OLDEST_CALL_TIMEOUT_S, CallTiming
from badgercart.discovery.catalog import (
    LIST_SILENCE_TIMEOUT_S,
    MIN_TRANSFER_BYTES_PER_S,
    WATCH_SILENCE_TIMEOUT_S,
    Discovery,
)
from tests.ends.discovery import HEAD, ScriptedDiscovery, WatchTransport, chunk
from tests.ends.test_list_change_delay import (
    GRACE_S,
    INJECTED_FAULTS,
    LATEST,
    TOLERANCE_S,
    entry,
    play,
    run_on_virtual_time,
)
from tests.ends.virtual import VirtualLoop

# At the rate that is waited for, this takes longer than a change may go unknown.
LONG_BYTES = 10 * MIN_TRANSFER_BYTES_PER_S
PADDING = "x" * LONG_BYTES
HALF_LISTS = [name for name in INJECTED_FAULTS if "half a list" in name]
TIMINGS = {
    "asked for": CallTiming.for_shared_service(),
    "pushed": CallTiming.for_local_agent(GRACE_S * 1000),
}


@pytest.fixture
def _long_lists(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the scripted service pad each list."""
    text = ScriptedDiscovery.text

    def padded(self: ScriptedDiscovery, whole: bool, since: int = 0) -> bytes:
        return (
            json.dumps({"padding": PADDING} | json.loads(text(self, whole, since))).encode() + b"\n"
        )

    monkeypatch.setattr(ScriptedDiscovery, "text", padded)


@pytest.mark.usefixtures("_long_lists")
@pytest.mark.parametrize("pushed", [False, True], ids=["asked for", "pushed"])
@pytest.mark.parametrize("name", HALF_LISTS)
def test_a_change_behind_half_of_a_long_list_is_applied_by_the_time_at_which_it_counts_as_known(
    name: str, pushed: bool
) -> None:
    # Guards against a silence that is excused by the bytes that came before it.
    injected_fault = INJECTED_FAULTS[name]
    for change in ("drain", "new"):
        case = partial(
            play,
            injected_fault=injected_fault,
            change=change,
            pushed=pushed,
            after=injected_fault.after[0],
            dice=LATEST,
        )
        assert run_on_virtual_time(case) <= TOLERANCE_S


class SlowDiscovery(ScriptedDiscovery):
    """A service that sends each list in parts, `gap_s` apart."""

    list_bytes = LONG_BYTES
    part_bytes = MIN_TRANSFER_BYTES_PER_S
    gap_s = 1.0
    first_call_parts: int | None = None  # after which it stops; None: all

    def answer(self, line: WatchTransport) -> None:
        whole = "watch" not in line.path
        padding = "x" * self.list_bytes
        text = json.dumps({"padding": padding} | json.loads(self.text(True))).encode() + b"\n"
        length = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
        line.say(length if whole else HEAD)
        parts = [text[at : at + self.part_bytes] for at in range(0, len(text), self.part_bytes)]
        if len(self.calls) == 1:
            parts = parts[: self.first_call_parts]
        for number, part in enumerate(parts):
            data = part if whole else chunk(part)
            self.loop.call_later(number * self.gap_s, line.say, data)


async def count_lists(
    service: SlowDiscovery, timing: CallTiming, version: int | None, seconds: float
) -> int:
    """Follow a service for so long; return how many lists have arrived."""
    versions: list[int] = []

    def apply_list(raw: dict[str, Any]) -> int:
        versions.append(int(raw["generation"]))
        return versions[-1]

    discovery = Discovery(("d", 1), apply_list, random.Random(1), timing=timing)
    discovery.version = version
    discovery.start()
    await asyncio.sleep(seconds)
    discovery.close()
    return len(versions)


@pytest.mark.parametrize("version", [None, 1], ids=["snapshot", "watch"])
@pytest.mark.parametrize("timing", TIMINGS)
def test_the_next_call_is_opened_soon_after_a_long_list_has_stopped(
    timing: str, version: int | None
) -> None:
    # Guards against a call that is waited for as long as its list might have taken.
    async def test(loop: VirtualLoop) -> None:
        service = SlowDiscovery(loop, 1, {"s-1": entry("s-1")})
        service.part_bytes, service.gap_s = LONG_BYTES // 10, 0.0
        service.first_call_parts = 8
        await count_lists(service, TIMINGS[timing], version, 5.0)
        (first_s, _), (second_s, _) = service.calls[:2]
        longest_s = max(LIST_SILENCE_TIMEOUT_S, TIMINGS[timing].response_timeout_s * 1.25)
        assert second_s - first_s <= longest_s + TOLERANCE_S

    run_on_virtual_time(test)


@pytest.mark.parametrize("version", [None, 1], ids=["snapshot", "watch"])
@pytest.mark.parametrize("timing", TIMINGS)
@pytest.mark.parametrize("gap_s", [0.1, LIST_SILENCE_TIMEOUT_S - TOLERANCE_S])
def test_a_long_list_that_goes_on_arriving_is_fetched_once(
    gap_s: float, timing: str, version: int | None
) -> None:
    # Guards against a time limit that has a sound slow list fetched again.
    async def test(loop: VirtualLoop) -> None:
        service = SlowDiscovery(loop, 1, {"s-1": entry("s-1")})
        service.gap_s = gap_s
        service.part_bytes = int(gap_s * MIN_TRANSFER_BYTES_PER_S) + 1
        assert await count_lists(service, TIMINGS[timing], version, 10.5) == 1
        # The watch follows the snapshot.
        assert len(service.calls) == (1 if version else 2)

    run_on_virtual_time(test)


@pytest.mark.parametrize("version", [None, 1], ids=["snapshot", "watch"])
@pytest.mark.parametrize("timing", TIMINGS)
def test_a_list_that_arrives_below_the_rate_that_is_waited_for_arrives_all_the_same(
    timing: str, version: int | None
) -> None:
    # Guards against a sound slow list that is fetched for ever.
    async def test(loop: VirtualLoop) -> None:
        service = SlowDiscovery(loop, 1, {"s-1": entry("s-1")})
        service.part_bytes = MIN_TRANSFER_BYTES_PER_S // 3
        list_s = service.list_bytes / service.part_bytes * service.gap_s
        assert list_s / 2 >= OLDEST_CALL_TIMEOUT_S
        assert await count_lists(service, TIMINGS[timing], version, list_s + 1.0) == 1

    run_on_virtual_time(test)


def test_a_stopped_list_leaves_time_for_two_calls_that_hang() -> None:
    # Guards against a limit on silence that is longer than the time from which a change counts as known.
    for timing in TIMINGS.values():
        waits_s = [LIST_SILENCE_TIMEOUT_S, timing.response_timeout_s * 1.25]
        assert WATCH_SILENCE_TIMEOUT_S + 2 * max(waits_s) < 6.0
    assert LIST_SILENCE_TIMEOUT_S < WATCH_SILENCE_TIMEOUT_S
