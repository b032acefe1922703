"""The figures of many processes: bytes of the service, delays of changes, and costs of nodes."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest

from benchmarks.scale.processes import (
    CountingCatalog,
    Usage,
    delay_statistics,
    make_entries,
    processor_s,
    rates,
    resident_bytes,
)
from lab.trial.processes import NodeProcess
from tests.net import WAIT_S, run


def test_all_bytes_of_the_service_are_counted() -> None:
    async def scenario() -> None:
        service = await CountingCatalog(make_entries(50)).start()
        assert isinstance(service, CountingCatalog)
        reader, writer = await asyncio.open_connection(service.host, service.port)
        writer.write(b"GET /catalog/members HTTP/1.1\r\n\r\n")
        header = await reader.readuntil(b"\r\n\r\n")
        length = int(header.lower().partition(b"content-length: ")[2].split()[0])
        received_bytes = len(header) + len(await reader.readexactly(length))
        assert received_bytes == service.written_bytes > 50 * 100
        writer.write(b"GET /catalog/members?watch=1&from=1 HTTP/1.1\r\n\r\n")
        received_bytes += len(await reader.readuntil(b"\r\n\r\n")) + len(
            await reader.readuntil(b"\n\r\n")
        )
        service.change(service.entries["s-7"] | {"lifecycle": "leaving"})
        change = await reader.readuntil(b"\n\r\n")
        assert b"s-7" in change and received_bytes + len(change) == service.written_bytes
        writer.close()
        service.stop()

    run(asyncio.wait_for(scenario(), WAIT_S))


def test_the_rate_of_a_node_counts_only_nodes_without_a_restart() -> None:
    running, killed = (NodeProcess(name, Path("none")) for name in ("n0", "n1"))
    killed.lives = 2
    before = Usage(10.0, 1000, 1.0, {("n0", 0): 5.0, ("n1", 1): 7.0})
    after = Usage(12.0, 5000, 1.5, {("n0", 0): 5.4, ("n1", 2): 0.1})
    result = rates(before, after, [running])
    assert result == pytest.approx({"bytes": 2000.0, "service": 250.0, "node": 200.0})


def test_delays_are_those_of_the_median_node_and_of_the_last_of_each_change() -> None:
    delays_ms = [[1.0, 2.0, 9.0], [1.0, 3.0, 5.0], [2.0, 2.0, 30.0]]
    assert delay_statistics(delays_ms, "") == {
        "told to half": 2.0, "told to the last": 9.0, "told to the last, worst": 30.0,
    }  # fmt: skip


def test_processor_time_and_memory_are_read_by_process_id() -> None:
    assert processor_s(os.getpid()) > 0 and resident_bytes(os.getpid()) > 1 << 20
    with pytest.raises(OSError):
        processor_s(1 << 30)
