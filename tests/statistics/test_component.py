"""A node gets back what it learned, and nothing that is wrong with its folder keeps it from
serving."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from badgercart.statistics import snapshot, store
from standins.demo import NodeProcess
from standins.fleet import Fleet, operators_file
from standins.traffic import arrivals, play


async def run(
    folder: Path, starts: int, prepare: Callable[[Path], None], also: bool = False
) -> list[list[str]]:
    """Start a node so often, send to it each time; what it logged of what was learned, by start."""
    fleet = await Fleet(3, 1).start()
    fleet.servers[0].slowness = 5.0
    file, kept, told = folder / "node.toml", folder / "kept", []
    prepare(kept)
    text = operators_file(fleet.catalog.address) + f'[learning]\nfolder = "{kept}"\nevery_s = 0.5\n'
    file.write_text(text)
    try:
        for _ in range(starts):
            nodes = [NodeProcess(("http",)) for _ in range(2 if also else 1)]
            for node in nodes:
                await node.start(file)
            for node in nodes:
                results = await play(node.fronts["http"], list(arrivals(1, 60.0, 1.0)))
                assert sum(result.outcome == "served" for result in results) > len(results) / 2
            for node in nodes:
                assert await node.stop() == 0
                lines = [json.loads(line) for line in node.lines if line.startswith("{")]
                told.append(
                    [line["event"] for line in lines if line["event"].startswith("learning.")]
                )
    finally:
        await fleet.stop()
    return told


def folder_of(content: bytes | None = None) -> Callable[[Path], None]:
    def prepare(kept: Path) -> None:
        kept.mkdir()
        if content is not None:
            (kept / store.CURRENT_NAME).write_bytes(content)

    return prepare


def aged_file(age: float, **changes: Any) -> Callable[[Path], None]:
    """A file of a node of this fleet, saved so many seconds ago."""

    def prepare(kept: Path) -> None:
        plain: dict[str, Any] = {
            "node": "demo", "fleet": "angyalfold/k2-fast,k3-slow", "saved_ms": (time.time() - age) * 1000,
            "classes": {"cab-lookup": {"usual": 80.0, "offered": 9.0, "beyond": 0.0}}, "kinds": {},
            "least": 40.0, "mean": 50.0, "answers": 60.0, "best_rate": 0.1, "carried": 0.01,
            "keys_total": 0.0, "keys": {}, "servers": [[1, 0.0, 4.0, 1.0, [0.9], [1.0]]],
        }  # fmt: skip
        data = snapshot.encode(msgspec.convert(plain | changes, snapshot.Snapshot))
        folder_of(data)(kept)

    return prepare


LATER = snapshot.HEADER.pack(snapshot.MAGIC, 9, 0, 0)


def test_a_restarted_node_takes_back_what_it_learned(tmp_path: Path) -> None:
    told = asyncio.run(run(tmp_path, 2, folder_of()))
    assert told == [[], ["learning.restored"]]
    kept = store.load(store.Folder(tmp_path / "kept")).snapshot
    assert (
        kept is not None
        and len(kept.endpoints) == 3
        and max(part.relative_latency for part in kept.endpoints) > 1.5
    )
    assert (tmp_path / "kept" / store.CURRENT_NAME).stat().st_mode & 0o777 == 0o600


@pytest.mark.parametrize(
    ("prepare", "told", "left"),
    [
        (lambda kept: None, ["learning.off"], None),
        (folder_of(b"junk"), ["learning.unused"], None),
        (folder_of(LATER), ["learning.unused", "learning.off"], LATER),
        (aged_file(5.0), ["learning.restored"], None),
        (
            aged_file(5.0, node="another"),
            ["learning.restored"],
            None,
        ),  # what it says of servers holds for us
        (aged_file(-600.0), ["learning.unused"], None),
        (aged_file(40 * 86400.0), ["learning.unused"], None),
        (aged_file(5.0, fleet="elsewhere/k9"), ["learning.unused"], None),
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
def test_a_node_serves_whatever_its_folder_holds(
    tmp_path: Path, prepare: Callable[[Path], None], told: list[str], left: bytes | None
) -> None:
    assert asyncio.run(run(tmp_path, 1, prepare)) == [told]
    if left is not None:
        assert (tmp_path / "kept" / store.CURRENT_NAME).read_bytes() == left


def test_two_nodes_never_share_a_folder(tmp_path: Path) -> None:
    assert asyncio.run(run(tmp_path, 1, folder_of(), also=True)) == [[], ["learning.off"]]
