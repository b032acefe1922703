"""Real processes: what a peer still writes or reads goes on, and what has stopped ends in time.

A final answer may come half a second after its client's time, and 50 ms later on sockets (the page
of the standing test, and of the protocol).
"""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

import pytest

from lab.trial.platform_node import PlatformNode
from standins import http1
from standins.crowd import IDEMPOTENT, KEYED, UNSAFE, request, request_head
from standins.planned_answers import AnswerPlan
from tests.net import run
from tests.pressure.support import deployed

LATEST_S = 0.5 + 0.05  # after the client's time
LONG_ANSWER_S = 15.0
END_S = 5.0  # of a process that has nothing left to do
# A part of an answer may wait this long at the node: for the first tenth of a second a short one is
# held back, so that it can be sent as a whole.
PASS_ON_S = 0.3
TIMES_MS = (150, 250, 700, 790, 1300, 1900)
EFFECTS = (IDEMPOTENT, KEYED, UNSAFE)
FRAMINGS = {"chunked": {"chunked": 1}, "until close": {"until_close": 1}, "length": {}}
OPEN_ENDED = ("chunked", "until close")


@dataclass(slots=True)
class Outcome:
    """What came of a request; times in s since its last byte was written."""

    status: int = 0  # 0: no head came
    first_byte_s: float = 0.0  # of the body
    ended_s: float = 0.0
    body_bytes: int = 0
    whole: bool = False


async def parts(head: http1.Message, reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the parts of a response's body until it is whole."""
    if head.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            yield await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
        await reader.readuntil(b"\r\n")
        return
    left = int(head.headers["content-length"])
    while left:
        part = await reader.read(left)
        if not part:
            raise asyncio.IncompleteReadError(part, left)
        left -= len(part)
        yield part


async def receive(reader: asyncio.StreamReader, sent_s: float) -> Outcome:
    """Receive a response until it is whole, or its connection ends."""
    outcome = Outcome()
    try:
        async with asyncio.timeout(LONG_ANSWER_S):
            head = await http1.read_head(reader)
            outcome.status = head.status
            async for part in parts(head, reader):
                outcome.first_byte_s = outcome.first_byte_s or time.monotonic() - sent_s
                outcome.body_bytes += len(part)
            outcome.whole = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    outcome.ended_s = time.monotonic() - sent_s
    return outcome


async def ask(port: int, request_class: str, plan: AnswerPlan, timeout_ms: int) -> Outcome:
    """Send a request on a connection of its own, and receive its response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        sent_s = time.monotonic()
        writer.write(request(request_class, plan, timeout_ms))
        return await receive(reader, sent_s)
    finally:
        writer.transport.abort()


async def ask_all(
    port: int, plan: AnswerPlan, times_ms: Sequence[int] = TIMES_MS
) -> dict[tuple[str, int], Outcome]:
    """Ask for the same answer at once for each effect and each client's time."""
    cases = [(effect, timeout_ms) for effect in EFFECTS for timeout_ms in times_ms]
    outcomes = await asyncio.gather(*(ask(port, case[0], plan, case[1]) for case in cases))
    return dict(zip(cases, outcomes, strict=True))


def planned(framing: str, **plan: int) -> AnswerPlan:
    """Return the plan of an answer in a framing."""
    return AnswerPlan(**(FRAMINGS[framing] | plan))


SHORT_TIMES_MS = (700, 750, 790)
USUAL_TIMES_MS = (1300, 1900)


@dataclass(slots=True, frozen=True)
class SoundAnswer:
    """An answer that its server writes slowly, and the times of clients that ask for it (ms)."""

    plan: dict[str, int]
    times_ms: tuple[int, ...]


# Pauses end before the client's time, span it, or begin after it.
SOUND_ANSWERS = {
    "long lumps": SoundAnswer(
        {"body_bytes": 174_000, "piece": 58_000, "interval": 800},
        (*SHORT_TIMES_MS, *USUAL_TIMES_MS),
    ),
    "short lumps": SoundAnswer(
        {"body_bytes": 150_000, "piece": 15_000, "interval": 500},
        (*SHORT_TIMES_MS, *USUAL_TIMES_MS),
    ),
    "quick lumps": SoundAnswer(
        {"body_bytes": 100_000, "piece": 10_000, "interval": 300}, (150, 250, *SHORT_TIMES_MS)
    ),
    "small first lump": SoundAnswer(
        {"body_bytes": 66_000, "piece": 33_000, "interval": 900}, (*SHORT_TIMES_MS, *USUAL_TIMES_MS)
    ),
    "late body": SoundAnswer(
        {"body_bytes": 150_000, "body_delay": 650, "piece": 8192, "interval": 10},
        (500, *SHORT_TIMES_MS, *USUAL_TIMES_MS),
    ),
    "trickle": SoundAnswer(
        {"body_bytes": 80_000, "piece": 1000, "interval": 50},
        (150, 250, *SHORT_TIMES_MS, *USUAL_TIMES_MS),
    ),
}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("answer", SOUND_ANSWERS)
def test_an_answer_that_its_server_still_writes_is_not_cut_off(
    answer: str, framing: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with deployed(tmp_path) as deployment:
            sound = SOUND_ANSWERS[answer]
            plan = planned(framing, **sound.plan)
            outcomes = await ask_all(deployment.node.port, plan, sound.times_ms)
            broken = {case: got for case, got in outcomes.items() if not got.whole}
            assert not broken, (broken, deployment.node.lines)
            assert {got.body_bytes for got in outcomes.values()} == {plan.body_bytes}

    run(test())


@pytest.mark.parametrize("framing", OPEN_ENDED)
@pytest.mark.parametrize(("first_bytes", "gap_ms"), [(8, 600), (2000, 600), (40_000, 900)])
def test_the_first_bytes_of_an_answer_are_passed_on_while_its_server_pauses(
    first_bytes: int, gap_ms: int, framing: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with deployed(tmp_path) as deployment:
            plan = planned(framing, body_bytes=2 * first_bytes, piece=first_bytes, interval=gap_ms)
            outcomes = await ask_all(deployment.node.port, plan, (1300,))
            late = {case: got for case, got in outcomes.items() if got.first_byte_s > PASS_ON_S}
            assert not late

    run(test())


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("given_bytes", [0, 8, 2000, 20_000, 58_000])
def test_a_short_answer_whose_server_has_stopped_ends_in_time(
    given_bytes: int, framing: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with deployed(tmp_path) as deployment:
            plan = planned(framing, body_bytes=60_000, hang_after=given_bytes)
            outcomes = await ask_all(deployment.node.port, plan)
            late = {
                case: got
                for case, got in outcomes.items()
                if got.ended_s > case[1] / 1000 + LATEST_S
            }
            assert not late, deployment.node.lines
            # What is not whole can be told from what is.
            assert not any(got.whole and got.status == 200 for got in outcomes.values())

    run(test())


async def ask_a_process_that_ends(node: PlatformNode, plan: AnswerPlan) -> list[Outcome]:
    """Ask for an answer, tell the node to end while its server writes, and expect that it ends."""
    asking = asyncio.ensure_future(ask_all(node.port, plan, (1300,)))
    await asyncio.sleep(0.5)
    node.signal(signal.SIGTERM)
    outcomes = await asking
    assert await asyncio.wait_for(node.process.wait(), END_S) == 0
    return [*outcomes.values()]


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_process_that_is_told_to_end_lets_servers_finish_what_they_write(
    framing: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with deployed(tmp_path) as deployment:
            plan = planned(framing, body_bytes=290_000, piece=58_000, interval=800)
            outcomes = await ask_a_process_that_ends(deployment.node, plan)
            assert all(got.whole and got.body_bytes == 290_000 for got in outcomes)

    run(test())


@pytest.mark.parametrize("framing", OPEN_ENDED)
def test_a_process_that_is_told_to_end_does_not_wait_for_a_server_that_has_stopped(
    framing: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with deployed(tmp_path) as deployment:
            plan = planned(framing, body_bytes=60_000, hang_after=8)
            outcomes = await ask_a_process_that_ends(deployment.node, plan)
            assert all(got.ended_s < 1.3 + LATEST_S for got in outcomes)

    run(test())


async def upload(
    port: int, body_bytes: int, timeout_ms: int, plan: AnswerPlan, chunked: bool, effect: str
) -> Outcome:
    """Send a request with a long body as fast as its connection takes it, and receive its response."""
    loop = asyncio.get_running_loop()
    fields = {"Transfer-Encoding": "chunked"} if chunked else {"Content-Length": str(body_bytes)}
    body = bytes(body_bytes)
    if chunked:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (body_bytes, body)
    with closing(socket.create_connection(("127.0.0.1", port))) as sock:
        sock.setblocking(False)
        head = request_head(effect, plan, timeout_ms, fields)
        await loop.sock_sendall(sock, head + b"\r\n" + body)
        sent_s = time.monotonic()
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            return await receive(reader, sent_s)
        finally:
            writer.transport.abort()


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("megabytes", [1, 5, 12, 24, 32])
def test_a_request_that_is_read_slowly_has_its_answer_in_time(
    megabytes: int, chunked: bool, tmp_path: Path
) -> None:
    async def test() -> None:
        async with deployed(tmp_path) as deployment:
            plan = AnswerPlan(read_rate=max(500_000, megabytes * 125_000))
            cases = [
                (effect, time_ms) for effect in (KEYED, UNSAFE) for time_ms in (250, 750, 1300)
            ]
            outcomes = await asyncio.gather(
                *(
                    upload(
                        deployment.node.port, megabytes * 1_000_000, time_ms, plan, chunked, effect
                    )
                    for effect, time_ms in cases
                )
            )
            late = {
                case: got
                for case, got in zip(cases, outcomes, strict=True)
                if got.ended_s > case[1] / 1000 + LATEST_S or not got.whole
            }
            assert not late, deployment.node.lines

    run(test())


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize(
    ("megabytes", "rate"), [(2, 6_000_000), (12, 25_000_000), (24, 30_000_000)]
)
def test_a_long_request_that_is_read_in_time_is_served(
    megabytes: int, rate: int, chunked: bool, tmp_path: Path
) -> None:
    async def test() -> None:
        async with deployed(tmp_path) as deployment:
            plan = AnswerPlan(read_rate=rate)
            got = await upload(
                deployment.node.port, megabytes * 1_000_000, 1300, plan, chunked, KEYED
            )
            assert got.status == 200, (got, deployment.node.lines)

    run(test())
