"""The load driver keeps to its schedule, and a stall of the target shows in the response times."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest

from lab.arrivals import plan_requests
from lab.load.calibrate import CalibrationError, calibrate, problems_of
from lab.load.driver import Driver, LoadResults, measured, rows_of
from lab.load.request_writers import REQUEST_WRITERS
from standins import http1
from standins.server import DispatchServer
from tests.lab.support import day

Answer = Callable[[int], Awaitable[bytes | None]]
SMALL_DAY = day(1.5, arrivals={"per_s": 80.0})


async def send_plan(answer: Answer, connections: int = 1000) -> LoadResults:
    """Send the plan from one process to a target that answers its n-th request with `answer(n)`.

    The target closes the connection where that is None.
    """
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
    driver = Driver(f"127.0.0.1:{port}", SMALL_DAY, 1, "http", connections)
    results = await driver.play(rows_of(plan_requests(SMALL_DAY, 1), 0, 1), time.monotonic() + 0.05)
    server.close()
    return results


def test_a_stall_shows_in_the_times_of_all_requests_that_it_delayed() -> None:
    """The target stalls once for 400 ms.

    A closed loop would show one slow response only; an open loop delays all requests of that time.
    """
    stalled_until_s = 0.0

    async def answer(number: int) -> bytes:
        nonlocal stalled_until_s
        if number == 30:
            stalled_until_s = time.monotonic() + 0.4
        await asyncio.sleep(max(0.0, stalled_until_s - time.monotonic()))
        return http1.response(200)

    results = asyncio.run(send_plan(answer))
    requests = plan_requests(SMALL_DAY, 1)
    assert sorted(result.number for result in results.sent) == list(range(len(requests)))
    stalled = [result for result in results.sent if result.took_ms > 100.0]
    assert len(stalled) >= 10  # most of those sent meanwhile, at 80 per second
    figures = measured(SMALL_DAY, 1, results)
    # No request is counted before it is sent.
    assert figures.latencies[0].get_value_at_percentile(100) == 0
    assert figures.to_dict()["quantiles"]["p99"] > 200.0


def test_shed_failed_and_lost_requests_are_distinguished() -> None:
    async def answer(number: int) -> bytes | None:
        return {0: http1.response(503), 1: http1.response(500), 2: None}.get(
            number % 4, http1.response(200)
        )

    results = asyncio.run(send_plan(answer))
    statuses = {result.status for result in results.sent}
    assert statuses == {0, 200, 500, 503} and len(results.sent) == len(plan_requests(SMALL_DAY, 1))
    classes = measured(SMALL_DAY, 1, results).to_dict()["classes"]
    assert sum(cls["ends"].get("lost", 0) for cls in classes.values()) > 0
    assert sum(cls["ends"].get("refused", 0) for cls in classes.values()) > 0


def test_too_few_connections_are_reported_as_lag() -> None:
    async def answer(number: int) -> bytes:
        await asyncio.sleep(0.05)
        return http1.response(200)

    results = asyncio.run(send_plan(answer, connections=1))
    assert results.behind > 20 and results.worst_lag > 100.0


@pytest.mark.parametrize("way", ["http", "graphql"])
def test_stand_in_servers_take_each_way(way: str) -> None:
    async def run() -> list[int]:
        server = await DispatchServer("s", {"lookup": (1.0, 2.0), "assign": (1.0, 2.0)}).start()
        driver = Driver(server.address, SMALL_DAY, 1, way, 100)
        results = await driver.play(rows_of(plan_requests(SMALL_DAY, 1), 0, 4), time.monotonic())
        server.stop()
        return [result.status for result in results.sent]

    assert set(asyncio.run(run())) == {200} and way in REQUEST_WRITERS


def test_an_experiment_that_sockets_do_not_support_is_rejected_with_reasons() -> None:
    unsupported = day(2.0, [{"kind": "partition", "at_s": 1.0}], clients={"retries": 1})
    problems = list(problems_of(unsupported))
    assert len(problems) == 4 and "partition" in problems[-1]
    with pytest.raises(CalibrationError, match="uniform law"):
        calibrate(unsupported, 1)
