"""Load on sockets keeps to its schedule, and a target that stalls is in the histogram."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest

from lab.arrivals import plan
from lab.load.calibrate import CalibrationError, calibrate, faults
from lab.load.driver import Driver, Told, measured, rows_of
from lab.load.ways import WAYS
from standins import http1
from standins.server import DispatchServer
from tests.lab.support import day

Answer = Callable[[int], Awaitable[bytes | None]]
SMALL = day(1.5, arrivals={"per_s": 80.0})


async def against(answer: Answer, connections: int = 1000) -> Told:
    """The whole plan in one process, to a target that answers its n-th request so; None: it hangs
    up."""
    count = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal count
        try:
            while True:
                await http1.read_message(reader)
                count += 1
                if (data := await answer(count)) is None:
                    return
                writer.write(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    driver = Driver(f"127.0.0.1:{port}", SMALL, 1, "http", connections)
    told = await driver.play(rows_of(plan(SMALL, 1), 0, 1), time.monotonic() + 0.05)
    server.close()
    return told


def test_a_stall_is_in_the_histogram_of_all_that_it_kept_waiting() -> None:
    """A target that answers one at a time and stalls once for 400 ms: a closed loop would show one
    slow answer."""
    until = 0.0

    async def answer(number: int) -> bytes:
        nonlocal until
        if number == 30:
            until = time.monotonic() + 0.4
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        return http1.answer(200)

    told = asyncio.run(against(answer))
    asked = plan(SMALL, 1)
    assert sorted(one.number for one in told.sent) == list(range(len(asked)))
    stalled = [one for one in told.sent if one.took > 100.0]
    assert len(stalled) >= 10  # all that came within most of it, at 80 a second
    figures = measured(SMALL, 1, told)
    assert (
        figures.times[0].get_value_at_percentile(100) == 0
    )  # nothing is counted before it is asked for
    assert figures.plain()["quantiles"]["p99"] > 200.0


def test_what_is_refused_fails_or_never_comes_is_told_apart() -> None:
    async def answer(number: int) -> bytes | None:
        return {0: http1.answer(503), 1: http1.answer(500), 2: None}.get(
            number % 4, http1.answer(200)
        )

    told = asyncio.run(against(answer))
    ends = {one.status for one in told.sent}
    assert ends == {0, 200, 500, 503} and len(told.sent) == len(plan(SMALL, 1))
    classes = measured(SMALL, 1, told).plain()["classes"]
    assert sum(cls["ends"].get("lost", 0) for cls in classes.values()) > 0
    assert sum(cls["ends"].get("refused", 0) for cls in classes.values()) > 0


def test_too_few_connections_make_it_say_that_it_fell_behind() -> None:
    async def answer(number: int) -> bytes:
        await asyncio.sleep(0.05)
        return http1.answer(200)

    told = asyncio.run(against(answer, connections=1))
    assert told.behind > 20 and told.worst_lag > 100.0


@pytest.mark.parametrize("way", ["http", "graphql"])
def test_stand_in_servers_take_each_way(way: str) -> None:
    async def run() -> list[int]:
        server = await DispatchServer("s", {"lookup": (1.0, 2.0), "assign": (1.0, 2.0)}).start()
        driver = Driver(server.address, SMALL, 1, way, 100)
        told = await driver.play(rows_of(plan(SMALL, 1), 0, 4), time.monotonic())
        server.stop()
        return [one.status for one in told.sent]

    assert set(asyncio.run(run())) == {200} and way in WAYS


def test_a_day_that_sockets_can_not_play_says_why() -> None:
    hard = day(2.0, [{"kind": "partition", "at_s": 1.0}], clients={"retries": 1})
    found = list(faults(hard))
    assert len(found) == 4 and "partition" in found[-1]
    with pytest.raises(CalibrationError, match="uniform law"):
        calibrate(hard, 1)
