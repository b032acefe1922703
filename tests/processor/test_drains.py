"""Tests what happens if a server begins to drain between an answer and its use.

A proxy that observes the age of answers sends nothing to the server from 500 ms after the node was
informed. A proxy that uses old answers is noticed at the response phase and counted; it loses its
fallbacks, and then its requests are shed. The processor can't prevent that it sends to the server,
but the settings limit how often.
"""

from __future__ import annotations

import asyncio
import time

from badgercart.frontends.processor.settings import OldAnswers
from standins import http1
from standins.proxy import Proxy
from standins.server import DispatchServer
from tests.net import WAIT_S, run
from tests.processors import ProcessorHarness, site_with_processor

WORK_MS = {"find": (1.0, 1.0)}
DRAIN_GRACE_S = 0.5


async def two_servers(harness: ProcessorHarness) -> list[DispatchServer]:
    """Start two servers and list them."""
    # They have capacity for all requests of a test: how often a full server rejects would depend on
    # the speed of the machine.
    servers = [
        await DispatchServer(f"s-{number}", WORK_MS, cores=64, zone="a", machine_type="m").start()
        for number in (1, 2)
    ]
    harness.apply_entries(*(server.entry() for server in servers), reset=True)
    return servers


async def get_through(proxy: Proxy, name: str) -> int:
    """Send a request through a proxy and return the status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    head = {"request-id": name, "request-timeout": "8000m"}
    writer.write(http1.request("GET", "/find/cab7", head))
    async with asyncio.timeout(WAIT_S):
        answer = await http1.read_message(reader)
    writer.close()
    return answer.status


def test_a_proxy_that_observes_the_age_sends_nothing_after_the_drain_grace() -> None:
    async def test() -> None:
        async with site_with_processor(fallbacks=0, answer_age_ms=100.0) as harness:
            first, second = await two_servers(harness)
            # 40 concurrent requests may exceed the concurrency limit of the remaining server. Shedding
            # is disabled, since it would depend on the speed of the machine.
            harness.pipeline.policy.overload.refresh = lambda *args: ""  # type: ignore[method-assign]
            harness.pipeline.policy.overload.concurrency.limit = 1e9
            waiting: asyncio.Queue[str] = asyncio.Queue()
            release = asyncio.Event()

            async def hold(endpoint: str) -> None:
                if not release.is_set():
                    waiting.put_nowait(endpoint)
                    await release.wait()

            proxy = await Proxy(harness.address, before_send=hold).start()
            asking = [asyncio.ensure_future(get_through(proxy, f"r-{i}")) for i in range(40)]
            chosen = [await asyncio.wait_for(waiting.get(), WAIT_S) for _ in asking]
            assert first.address in chosen  # some routes name the server that begins to drain
            informed_at = time.monotonic()
            harness.apply_entries(first.entry("leaving"))
            await asyncio.sleep(DRAIN_GRACE_S + 0.05)  # in real time, by which the grace is defined
            release.set()
            assert await asyncio.gather(*asking) == [200] * 40
            assert [
                request
                for request in first.received_requests
                if request.received_at_s > informed_at + DRAIN_GRACE_S
            ] == []
            assert proxy.asked_again == 40 and len(second.received_requests) == 40
            await proxy.stop()
            await harness.settled()
            assert harness.calls.old_answers.proxies["proxy-1"].old == 0

    run(test())


def test_a_proxy_that_uses_old_answers_is_noticed_and_its_requests_are_shed() -> None:
    async def test() -> None:
        rule = OldAnswers(no_fallbacks_after=2, refuse_after=4, refuse_for_ms=60000.0)
        async with site_with_processor(
            fallbacks=1, old_answers=rule, drain_grace_ms=50.0, answer_age_ms=50.0
        ) as harness:
            first, _ = await two_servers(harness)
            proxy = await Proxy(harness.address).start()
            good = await Proxy(harness.address, name="proxy-2").start()
            harness.apply_entries(first.entry("leaving"))
            await asyncio.sleep(0.06)
            proxy.stuck = first.address
            statuses = [await get_through(proxy, f"r-{i}") for i in range(8)]
            assert statuses == [200] * 4 + [503] * 4
            rows = harness.calls.proxy_rows()
            assert (rows["proxy-1"]["old"], rows["proxy-1"]["drained"]) == (4, 4)
            assert rows["proxy-1"]["standing"] == "refused"
            assert len(first.received_requests) == 4  # as many as the settings allow
            assert await get_through(good, "r-9") == 200  # other proxies are not affected
            assert harness.calls.proxy_rows()["proxy-2"]["standing"] == "good"
            # The load was counted for the server that was used.
            assert harness.pipeline.policy.overload.concurrency.current == 0
            await proxy.stop()
            await good.stop()
            await harness.settled()

    run(test())


def test_a_response_of_an_unlisted_server_counts_for_no_server() -> None:
    async def test() -> None:
        async with site_with_processor(fallbacks=0) as harness:
            first, second = await two_servers(harness)
            unlisted = await DispatchServer("x", WORK_MS).start()
            proxy = await Proxy(harness.address).start()
            proxy.stuck = unlisted.address
            assert await get_through(proxy, "r-1") == 200
            await proxy.stop()
            await harness.settled()
            assert not first.received_requests and not second.received_requests
            assert harness.calls.proxy_rows()["proxy-1"]["old"] == 1

    run(test())


def test_a_fallback_is_used_if_the_first_endpoint_refuses_connections() -> None:
    async def test() -> None:
        async with site_with_processor(fallbacks=1) as harness:
            first, second = await two_servers(harness)
            first.stop()
            proxy = await Proxy(harness.address).start()
            assert [await get_through(proxy, f"r-{i}") for i in range(6)] == [200] * 6
            assert len(second.received_requests) == 6
            await proxy.stop()
            await harness.settled()

    run(test())
