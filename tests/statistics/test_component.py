"""A node restores its statistics, and a fault of its folder does not keep it from serving."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest

from badgercart.statistics import snapshot, store
from standins import http1
from standins.demo import NodeProcess
from standins.fleet import Fleet, operators_file
from standins.traffic import draw_arrivals, send_arrivals

# Servers that stand still for longer look overloaded, so that the node sheds.
MAX_LAG_S = 0.2
HEALTH_INTERVAL_S = 0.01
MAX_ROUNDS = 10


@asynccontextmanager
async def measured_lag(address: str) -> AsyncIterator[list[float]]:
    """Ask for a node's health all the time; the list has how long it was held up at most (s)."""
    lag_s = [0.0]

    async def measure() -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        while True:
            started_s = time.monotonic()
            await asyncio.sleep(HEALTH_INTERVAL_S)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            await http1.read_message(reader)
            lag_s[0] = max(lag_s[0], time.monotonic() - started_s - HEALTH_INTERVAL_S)

    measuring = asyncio.create_task(measure())
    try:
        yield lag_s
    finally:
        measuring.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await measuring


async def serve_most(address: str) -> None:
    """Check that a node serves most requests.

    The servers and clients are in this process. Where it or the node was held up, the requests are
    sent again.
    """
    async with measured_lag(address) as lag_s:
        for _ in range(MAX_ROUNDS):
            results = await send_arrivals(address, list(draw_arrivals(1, 60.0, 1.0)))
            outcomes = Counter(result.outcome for result in results)
            if outcomes["served"] > len(results) / 2:
                return
            assert lag_s[0] > MAX_LAG_S, f"{outcomes}, held up for {lag_s[0]:.3f} s"
    raise AssertionError(f"not served in {MAX_ROUNDS} rounds, last {outcomes}")


async def run(
    folder: Path, starts: int, prepare: Callable[[Path], None], with_second_node: bool = False
) -> list[list[str]]:
    """Start a node repeatedly, send requests to it, and return its `learning` events by start."""
    fleet = await Fleet(3, 1).start()
    fleet.servers[0].service_time_factor = 5.0
    file, kept, events = folder / "node.toml", folder / "kept", []
    prepare(kept)
    text = operators_file(fleet.catalog.address) + f'[learning]\nfolder = "{kept}"\nevery_s = 0.5\n'
    file.write_text(text)
    try:
        for _ in range(starts):
            nodes = [NodeProcess(("http",)) for _ in range(2 if with_second_node else 1)]
            for node in nodes:
                await node.start(file)
            for node in nodes:
                await serve_most(node.fronts["http"])
            for node in nodes:
                assert await node.stop() == 0
                lines = [json.loads(line) for line in node.lines if line.startswith("{")]
                events.append(
                    [line["event"] for line in lines if line["event"].startswith("learning.")]
                )
    finally:
        await fleet.stop()
    return events


def folder_of(content: bytes | None = None) -> Callable[[Path], None]:
    def prepare(kept: Path) -> None:
        kept.mkdir()
        if content is not None:
            (kept / store.CURRENT_NAME).write_bytes(content)

    return prepare


def file_of_age(age_s: float, **changes: Any) -> Callable[[Path], None]:
    """Return a function that writes a file of a node of this fleet with this age."""

    def prepare(kept: Path) -> None:
        plain: dict[str, Any] = {
            "node": "demo", "fleet": "angyalfold/k2-fast,k3-slow",
            "saved_ms": (time.time() - age_s) * 1000,
            "classes": {"cab-lookup": {"usual": 80.0, "offered": 9.0, "beyond": 0.0}}, "kinds": {},
            "least": 40.0, "mean": 50.0, "answers": 60.0, "best_rate": 0.1, "carried": 0.01,
            "keys_total": 0.0, "keys": {}, "servers": [[1, 0.0, 4.0, 1.0, [0.9], [1.0]]],
        }  # fmt: skip
        data = snapshot.encode(msgspec.convert(plain | changes, snapshot.Snapshot))
        folder_of(data)(kept)

    return prepare


NEWER_VERSION = snapshot.HEADER.pack(snapshot.MAGIC, 9, 0, 0)


def test_a_restarted_node_restores_its_statistics(tmp_path: Path) -> None:
    events = asyncio.run(run(tmp_path, 2, folder_of()))
    assert events == [[], ["learning.restored"]]
    stored = store.load(store.Folder(tmp_path / "kept")).snapshot
    assert (
        stored is not None
        and len(stored.endpoints) == 3
        and max(endpoint.relative_latency for endpoint in stored.endpoints) > 1.5
    )
    assert (tmp_path / "kept" / store.CURRENT_NAME).stat().st_mode & 0o777 == 0o600


@pytest.mark.parametrize(
    ("prepare", "events", "content"),
    [
        (lambda kept: None, ["learning.off"], None),
        (folder_of(b"junk"), ["learning.unused"], None),
        (folder_of(NEWER_VERSION), ["learning.unused", "learning.off"], NEWER_VERSION),
        (file_of_age(5.0), ["learning.restored"], None),
        # Statistics of another node of the fleet are valid here as well.
        (file_of_age(5.0, node="another"), ["learning.restored"], None),
        (file_of_age(-600.0), ["learning.unused"], None),
        (file_of_age(40 * 86400.0), ["learning.unused"], None),
        (file_of_age(5.0, fleet="elsewhere/k9"), ["learning.unused"], None),
    ],
    ids=[
        "no folder",
        "junk",
        "a later version",
        "a good file of other servers",
        "another node's",
        "from the future",
        "too old",
        "another fleet's",
    ],
)
def test_a_node_serves_whatever_its_folder_contains(
    tmp_path: Path, prepare: Callable[[Path], None], events: list[str], content: bytes | None
) -> None:
    assert asyncio.run(run(tmp_path, 1, prepare)) == [events]
    if content is not None:
        assert (tmp_path / "kept" / store.CURRENT_NAME).read_bytes() == content


def test_two_nodes_never_share_a_folder(tmp_path: Path) -> None:
    assert asyncio.run(run(tmp_path, 1, folder_of(), with_second_node=True)) == [
        [],
        ["learning.off"],
    ]
