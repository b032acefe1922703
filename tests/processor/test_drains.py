"""Between answer and send a server begins to drain: a proxy that keeps to the age, and one that
does not.

What is shown: (1) a proxy that keeps to the age sends nothing to the server from 500 ms after the
node was told; (2) one that uses old answers is found out at the response phase, counted, loses its
fallbacks and then is refused. That it sends there at all can't be prevented from here; how often is
bounded by the rule.
"""

from __future__ import annotations

import asyncio
import time

from badgercart.frontends.processor.settings import OldAnswers
from standins import http1
from standins.proxy import Proxy
from standins.server import DispatchServer
from tests.net import WAIT_S, run
from tests.processors import Bench, site_with_processor

WORK = {"find": (1.0, 1.0)}
GRACE = 0.5  # s


async def two_servers(bench: Bench) -> list[DispatchServer]:
    # With room for all that a test sends at once: a full server's refusals would follow the
    # machine's pace.
    servers = [
        await DispatchServer(f"s-{number}", WORK, cores=64, zone="a", kind="m").start()
        for number in (1, 2)
    ]
    bench.lists(*(server.entry() for server in servers), reset=True)
    return servers


async def get(proxy: Proxy, name: str) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    head = {"request-id": name, "request-timeout": "8000m"}
    writer.write(http1.request("GET", "/find/cab7", head))
    async with asyncio.timeout(WAIT_S):
        answer = await http1.read_message(reader)
    writer.close()
    return answer.status


def test_a_proxy_that_keeps_to_the_age_sends_nothing_after_the_grace() -> None:
    async def test() -> None:
        async with site_with_processor(fallbacks=0, answer_age_ms=100.0) as bench:
            first, second = await two_servers(bench)
            # 40 at once on the server that is left may be more than its need: the cut is another
            # matter here, and it follows the machine's pace.
            bench.join.policy.overload.refresh = lambda *told: ""  # type: ignore[method-assign]
            bench.join.policy.overload.concurrency.limit = 1e9
            held: asyncio.Queue[str] = asyncio.Queue()
            release = asyncio.Event()

            async def hold(endpoint: str) -> None:
                if not release.is_set():
                    held.put_nowait(endpoint)
                    await release.wait()

            proxy = await Proxy(bench.address, before_send=hold).start()
            asking = [asyncio.ensure_future(get(proxy, f"r-{i}")) for i in range(40)]
            chosen = [await asyncio.wait_for(held.get(), WAIT_S) for _ in asking]
            assert first.address in chosen  # some were told to go where nothing may go soon
            told = time.monotonic()
            bench.lists(first.entry("leaving"))
            await asyncio.sleep(
                GRACE + 0.05
            )  # the grace itself, on the clock that the rule is about
            release.set()
            assert await asyncio.gather(*asking) == [200] * 40
            assert [seen for seen in first.seen if seen.at > told + GRACE] == []
            assert proxy.asked_again == 40 and len(second.seen) == 40
            await proxy.stop()
            await bench.settled()
            assert bench.calls.account.proxies["proxy-1"].old == 0

    run(test())


def test_a_proxy_that_holds_old_answers_is_found_out_and_refused() -> None:
    async def test() -> None:
        rule = OldAnswers(no_fallbacks_after=2, refuse_after=4, refuse_for_ms=60000.0)
        async with site_with_processor(
            fallbacks=1, old_answers=rule, grace=50.0, answer_age_ms=50.0
        ) as bench:
            first, _ = await two_servers(bench)
            proxy = await Proxy(bench.address).start()
            good = await Proxy(bench.address, name="proxy-2").start()
            bench.lists(first.entry("leaving"))
            await asyncio.sleep(0.06)
            proxy.stuck = first.address
            statuses = [await get(proxy, f"r-{i}") for i in range(8)]
            assert statuses == [200] * 4 + [503] * 4
            rows = bench.calls.rows()
            assert (rows["proxy-1"]["old"], rows["proxy-1"]["drained"]) == (4, 4)
            assert rows["proxy-1"]["standing"] == "refused"
            assert len(first.seen) == 4  # what the rule lets through, and no more
            assert await get(good, "r-9") == 200  # others are none the worse
            assert bench.calls.rows()["proxy-2"]["standing"] == "good"
            # The server that was used is the one that its load was counted for.
            assert bench.join.policy.overload.concurrency.current == 0
            await proxy.stop()
            await good.stop()
            await bench.settled()

    run(test())


def test_an_answer_to_a_server_that_nobody_listed_counts_for_no_server() -> None:
    async def test() -> None:
        async with site_with_processor(fallbacks=0) as bench:
            first, second = await two_servers(bench)
            stranger = await DispatchServer("x", WORK).start()
            proxy = await Proxy(bench.address).start()
            proxy.stuck = stranger.address
            assert await get(proxy, "r-1") == 200
            await proxy.stop()
            await bench.settled()
            assert not first.seen and not second.seen
            assert bench.calls.rows()["proxy-1"]["old"] == 1

    run(test())


def test_a_fallback_is_used_where_the_first_refuses_connections() -> None:
    async def test() -> None:
        async with site_with_processor(fallbacks=1) as bench:
            first, second = await two_servers(bench)
            first.stop()
            proxy = await Proxy(bench.address).start()
            assert [await get(proxy, f"r-{i}") for i in range(6)] == [200] * 6
            assert len(second.seen) == 6
            await proxy.stop()
            await bench.settled()

    run(test())
