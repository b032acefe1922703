"""What the figures of many processes are made of: bytes that the service writes, times of a change,
churn."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest

from benchmarks.scale.processes import Mark, Service, between, entries, memory, processor, times
from lab.trial.processes import NodeProcess
from tests.net import WAIT_S, run


def test_all_that_the_service_writes_is_counted() -> None:
    async def play() -> None:
        service = await Service(entries(50)).start()
        assert isinstance(service, Service)
        reader, writer = await asyncio.open_connection(service.host, service.port)
        writer.write(b"GET /catalog/members HTTP/1.1\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        came = len(head) + len(await reader.readexactly(length))
        assert came == service.bytes > 50 * 100
        writer.write(b"GET /catalog/members?watch=1&from=1 HTTP/1.1\r\n\r\n")
        came += len(await reader.readuntil(b"\r\n\r\n")) + len(await reader.readuntil(b"\n\r\n"))
        service.change(service.entries["s-7"] | {"lifecycle": "leaving"})
        change = await reader.readuntil(b"\n\r\n")
        assert b"s-7" in change and came + len(change) == service.bytes
        writer.close()
        service.stop()

    run(asyncio.wait_for(play(), WAIT_S))


def test_a_second_of_a_node_is_that_of_those_who_ran_all_along() -> None:
    lasting, killed = (NodeProcess(name, Path("none")) for name in ("n0", "n1"))
    killed.lives = 2
    before = Mark(10.0, 1000, 1.0, {("n0", 0): 5.0, ("n1", 1): 7.0})
    after = Mark(12.0, 5000, 1.5, {("n0", 0): 5.4, ("n1", 2): 0.1})
    found = between(before, after, [lasting])
    assert found == pytest.approx({"bytes": 2000.0, "service": 250.0, "node": 200.0})


def test_times_are_those_of_the_median_node_and_of_the_last_of_each_change() -> None:
    told = [[1.0, 2.0, 9.0], [1.0, 3.0, 5.0], [2.0, 2.0, 30.0]]
    assert times(told, "") == {
        "told to half": 2.0, "told to the last": 9.0, "told to the last, worst": 30.0,
    }  # fmt: skip


def test_processor_and_memory_are_read_of_a_process_by_its_id() -> None:
    assert processor(os.getpid()) > 0 and memory(os.getpid()) > 1 << 20
    with pytest.raises(OSError):
        processor(1 << 30)
