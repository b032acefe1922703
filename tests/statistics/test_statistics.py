"""Decay of statistics, their restoration, the snapshot file, and saves on a failing disk."""

from __future__ import annotations

import itertools
import math
import os
import random
import struct
import subprocess
import sys
import zlib
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.app.cli import main
from badgercart.policy.actions import Send
from badgercart.policy.endpoint import Endpoint, EndpointState, EndpointStatistics
from badgercart.policy.events import EndpointUpdate, Request, UpdateKind
from badgercart.policy.policy import Policy
from badgercart.policy.statistics import PolicyStatistics, export_statistics, import_statistics
from badgercart.statistics import store
from badgercart.statistics.ageing import decay_statistics
from badgercart.statistics.errors import NewerVersionError, SnapshotError
from badgercart.statistics.snapshot import (
    HEADER,
    MAGIC,
    VERSION,
    decode,
    encode,
    extract_statistics,
    make_snapshot,
)
from tests.capture.support import SETTINGS, SimulatedTraffic
from tests.net import config

HERE = Path(__file__).parent
CONFIG = replace(
    config(("127.0.0.1", 1)),
    settings=SETTINGS,
    classes={b"a": 0, b"b": 1},
    kinds={"k0": 0, "k1": 1},
    zones={"z": 0},
)
FLOATS = st.floats(0.01, 100)
SHARES = st.tuples(st.floats(0, 1), st.floats(0, 1))
STATISTICS = st.builds(
    PolicyStatistics,
    typical_latency_ms=st.lists(FLOATS, min_size=2, max_size=2),
    offered=st.lists(FLOATS, min_size=4, max_size=4),
    kind_ratios=st.dictionaries(st.integers(0, 1), FLOATS),
    best_latency_ms=FLOATS,
    mean_latency_ms=FLOATS,
    samples=st.floats(0, 100),
    best_rate=FLOATS,
    best_rate_per_endpoint=FLOATS,
    key_counts=st.dictionaries(st.integers(1, 1 << 60), FLOATS, max_size=5),
    keyed_requests=FLOATS,
    endpoints=st.dictionaries(
        st.integers(1, 1 << 60),
        st.builds(
            EndpointStatistics,
            started_ms=st.sampled_from((0.0, 777.0)),
            relative_latency=FLOATS,
            recent_attempts=FLOATS,
            failure_rates=SHARES,
            consecutive_ejections=SHARES,
        ),
        max_size=4,
    ),
)


def played_traffic(seed: int = 1, requests: int = 500) -> SimulatedTraffic:
    traffic = SimulatedTraffic(seed)
    traffic.play(requests)
    return traffic


def all_numbers(statistics: PolicyStatistics) -> list[float]:
    numbers: list[float] = []

    def collect(value: Any) -> None:
        if isinstance(value, dict):
            for inner in value.values():
                collect(inner)
        elif isinstance(value, list | tuple):
            for inner in value:
                collect(inner)
        else:
            numbers.append(float(value))

    collect(msgspec.to_builtins(statistics))
    return numbers


@settings(max_examples=200, deadline=None)
@given(STATISTICS, st.floats(0, 1e5), st.floats(0, 1e5))
def test_decay_in_two_steps_equals_decay_in_one(
    statistics: PolicyStatistics, first: float, second: float
) -> None:
    once = decay_statistics(statistics, first + second, SETTINGS)
    twice = decay_statistics(decay_statistics(statistics, first, SETTINGS), second, SETTINGS)
    marginal = {
        key
        for key, count in {**once.key_counts, **twice.key_counts}.items()
        if abs(count - 0.5) < 1e-9
    }
    for one in (once, twice):
        one.key_counts = {
            key: count for key, count in one.key_counts.items() if key not in marginal
        }
    assert all_numbers(once) == pytest.approx(all_numbers(twice), rel=1e-9, abs=1e-12)
    assert all_numbers(decay_statistics(statistics, -5.0, SETTINGS)) == all_numbers(
        decay_statistics(statistics, 0.0, SETTINGS)
    )


@settings(max_examples=50, deadline=None)
@given(STATISTICS)
def test_after_a_very_long_time_only_the_priors_are_left(
    statistics: PolicyStatistics,
) -> None:
    policy, fresh = Policy(SETTINGS, 1), Policy(SETTINGS, 1)
    import_statistics(policy, decay_statistics(statistics, 1e15, SETTINGS))
    entries = [
        Endpoint(n, 0, n % 2, 0, EndpointState.READY, 2.0, 777.0)
        for n in (*statistics.endpoints, 5, 6)
    ]
    for one in (policy, fresh):
        one.handle(1000.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    assert policy.fleet.latency.typical_ms == pytest.approx(
        fresh.fleet.latency.typical_ms
    ) and policy.fleet.latency.kind_ratios.keys() <= {0, 1}
    assert (
        all(ratio == pytest.approx(1.0) for ratio in policy.fleet.latency.kind_ratios.values())
        and policy.overload.throughput.samples == 0
    )
    assert (
        policy.overload.throughput.best_rate == fresh.overload.throughput.best_rate == 0
        and not policy.key_traffic.counts
        and not policy.fleet.outliers.ejected
    )
    for server in policy.fleet.endpoints.by_id.values():
        assert server.relative_latency == pytest.approx(1.0) and not any(
            h.failure_rate > 1e-9 or h.consecutive_ejections for h in server.health
        )


@settings(max_examples=100, deadline=None)
@given(STATISTICS, st.integers(0, 1 << 30))
def test_with_restored_statistics_requests_go_to_ready_endpoints_only(
    statistics: PolicyStatistics, seed: int
) -> None:
    policy, rng = Policy(SETTINGS, seed), random.Random(seed)
    import_statistics(policy, statistics)
    numbers = [*statistics.endpoints, 11, 12]
    states = {
        n: rng.choice((EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE))
        for n in numbers
    }
    policy.handle(
        1e5,
        EndpointUpdate(
            UpdateKind.SNAPSHOT,
            1,
            [Endpoint(n, 0, 0, 0, state, 2.0, 777.0) for n, state in states.items()],
        ),
    )
    sent = 0
    for number in range(1, 60):
        now = 1e5 + number
        for action in policy.handle(now, Request(number, number % 2, now + 1000.0, key=number % 3)):
            if isinstance(action, Send):
                sent += 1
                assert states[action.endpoint_id] is EndpointState.READY
    assert sent or all(state is not EndpointState.READY for state in states.values())


def test_statistics_are_restored_unless_the_endpoint_has_restarted() -> None:
    known = EndpointStatistics(777.0, 4.0, 3.0, (0.9, 0.1), (2.0, 0.0))
    policy = Policy(SETTINGS, 1)
    import_statistics(
        policy, PolicyStatistics([90.0, 80.0], [1.0] * 4, endpoints={1: known, 2: known, 3: known})
    )
    entries = [
        Endpoint(n, 0, 0, 0, EndpointState.READY, 2.0, started)
        for n, started in ((1, 777.0), (2, 5000.0))
    ]
    policy.handle(6000.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    same, restarted = policy.fleet.endpoints.by_id[1], policy.fleet.endpoints.by_id[2]
    assert (
        same.relative_latency,
        same.health[0].failure_rate,
        same.health[0].consecutive_ejections,
    ) == (4.0, 0.9, 2)
    assert (
        restarted.relative_latency,
        restarted.health[0].failure_rate,
        restarted.recent_attempts,
    ) == (1.0, 0.0, 0.0)
    assert same.health[0].ejected_until_ms and policy.fleet.outliers.ejected == {1}
    gone = Endpoint(1, 0, 0, 0, EndpointState.GONE, 2.0, 777.0)
    policy.handle(6001.0, EndpointUpdate(UpdateKind.DELTA, 2, [gone]))
    policy.handle(
        6002.0, EndpointUpdate(UpdateKind.DELTA, 3, [replace(gone, state=EndpointState.READY)])
    )
    assert policy.fleet.endpoints.by_id[1].relative_latency == 1.0  # they are restored only once


def test_statistics_of_endpoints_missing_in_the_first_snapshot_are_dropped() -> None:
    """Otherwise an endpoint that returns later would get statistics that have not decayed."""
    known = EndpointStatistics(777.0, 4.0, 3.0, (0.9, 0.1), (2.0, 0.0))
    policy, fresh = Policy(SETTINGS, 1), Policy(SETTINGS, 1)
    import_statistics(
        policy,
        PolicyStatistics(
            list(fresh.fleet.latency.typical_ms),
            [0.0] * 4,
            endpoints={n: known for n in range(1, 6)},
        ),
    )
    others = [Endpoint(n, 0, 0, 0, EndpointState.READY, 2.0, 777.0) for n in range(11, 16)]
    # The cached list from before the restart still has one of the endpoints.
    cached = [Endpoint(1, 0, 0, 0, EndpointState.READY, 2.0, 777.0)]
    for one in (policy, fresh):
        one.handle(6000.0, EndpointUpdate(UpdateKind.CACHED, 0, cached))
    assert policy.fleet.endpoints.by_id[1].relative_latency == 4.0
    for one in (policy, fresh):
        one.handle(6001.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, others))
    assert not policy.fleet.endpoints.restorable and {
        s.relative_latency for s in policy.fleet.endpoints.by_id.values()
    } == {1.0}
    back = Endpoint(2, 0, 0, 0, EndpointState.READY, 2.0, 777.0)
    policy.handle(3_600_000.0, EndpointUpdate(UpdateKind.DELTA, 2, [back]))
    assert (
        policy.fleet.endpoints.by_id[2].relative_latency == 1.0
        and not policy.fleet.outliers.ejected
    )


def test_statistics_are_the_same_after_encoding_and_decoding() -> None:
    traffic = played_traffic()
    statistics = export_statistics(traffic.join.policy)
    assert (
        max(known.relative_latency for known in statistics.endpoints.values()) > 2
        and statistics.samples > 10
    )
    snapshot = make_snapshot(statistics, CONFIG, 1e12, 5e11)
    decoded = extract_statistics(decode(encode(snapshot)), CONFIG, 5e11)
    assert decoded == statistics
    policy = Policy(SETTINGS, 2)
    import_statistics(policy, decoded)
    assert (
        policy.fleet.latency.typical_ms == traffic.join.policy.fleet.latency.typical_ms
        and policy.overload.throughput.best_latency_ms
        == traffic.join.policy.overload.throughput.best_latency_ms
    )
    with pytest.raises(ValueError, match="it is of 1 classes"):
        import_statistics(policy, PolicyStatistics([1.0], [1.0, 1.0]))


def test_classes_kinds_and_fleets_are_identified_by_name() -> None:
    snapshot = make_snapshot(export_statistics(played_traffic().join.policy), CONFIG, 1e12, 0.0)
    reordered = replace(CONFIG, classes={b"b": 0, b"a": 1}, kinds={"k1": 0, "k0": 1})
    with pytest.raises(SnapshotError, match="another fleet"):
        extract_statistics(snapshot, reordered, 0.0)
    reordered = replace(reordered, kinds=CONFIG.kinds)
    statistics = extract_statistics(snapshot, reordered, 0.0)
    assert statistics.typical_latency_ms == [
        snapshot.classes["b"].typical_latency_ms,
        snapshot.classes["a"].typical_latency_ms,
    ]
    other = extract_statistics(snapshot, replace(CONFIG, classes={b"a": 0, b"new": 1}), 0.0)
    assert other.typical_latency_ms[1] == SETTINGS.classes[1].latency_objective_ms / 4
    assert all(known.failure_rates[1] == 0.0 for known in other.endpoints.values())


# The file.


def framed_file(body: bytes, version: int = VERSION) -> bytes:
    return HEADER.pack(MAGIC, version, len(body), zlib.crc32(body)) + body


VALID_CONTENT = msgspec.to_builtins(
    make_snapshot(export_statistics(played_traffic(2, 100).join.policy), CONFIG, 1e12, 0.0)
)


@pytest.mark.parametrize(
    ("name", "value", "words"),
    [
        ("least", math.nan, ">= 0.0 - at `$.least`"),
        ("least", -1.0, "`float` >= 0"),
        ("best_rate", math.inf, "<= 1"),
        ("kinds", {"k0": 1e9}, "<= 1000"),
        ("kinds", {"k0": math.nan}, "$.kinds[...]"),
        ("saved_ms", "yesterday", "Expected `float`, got `str`"),
        ("servers", [[1, 0.0, 1.0, 0.0, [0.5], [0.0]]], "is not of 2 classes"),
        ("servers", [[1, 0.0, 1.0, 0.0, [math.nan, 0.0], [0.0, 0.0]]], "$.servers[0][4][0]"),
        ("servers", [[0, 0.0, 1.0, 0.0, [0.5, 0.0], [0.0, 0.0]]], "`int` >= 1"),
        ("classes", {"a": {"usual": 1.0}}, "missing required field `offered`"),
    ],
)
def test_an_invalid_value_is_named(name: str, value: Any, words: str) -> None:
    with pytest.raises(SnapshotError) as caught:
        decode(framed_file(msgspec.msgpack.encode(VALID_CONTENT | {name: value})))
    assert words in str(caught.value)


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=200), st.booleans())
def test_any_bytes_are_decoded_or_rejected(data: bytes, framed: bool) -> None:
    try:
        decode(framed_file(data) if framed else data)
    except SnapshotError as error:
        assert str(error)


def test_newer_versions_and_corrupt_files_are_rejected_with_the_reason(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    valid = framed_file(msgspec.msgpack.encode(VALID_CONTENT))
    assert decode(valid).node == CONFIG.name
    with pytest.raises(NewerVersionError, match="version 9"):
        decode(framed_file(b"later", 9))
    for corrupt, words in (
        (valid[:-1], "bytes, not"),
        (valid[:8], "cut off"),
        (b"PNG" + valid, "no file"),
        (valid[:20] + bytes([valid[20] ^ 1]) + valid[21:], "checksum"),
        (framed_file(b"", 0), "nothing reads version 0"),
    ):
        with pytest.raises(SnapshotError, match=words):
            decode(corrupt)
    # Every later version has to read this file.
    recorded = decode((HERE / "version-1.learned").read_bytes())
    assert recorded.endpoints and recorded.classes.keys() == {"a", "b"}
    file, text, again = (tmp_path / name for name in ("learned", "a.json", "b"))
    file.write_bytes(valid)
    assert (
        main(["learned", "check", str(file)]) == 0 and main(["learned", "show", str(tmp_path)]) == 0
    )
    assert "slowness" in capsys.readouterr().out
    assert main(["learned", "convert", str(file), "-o", str(text)]) == 0
    assert main(["learned", "convert", str(text), "-o", str(again), "--to", "file"]) == 0
    assert decode(again.read_bytes()) == decode(valid)
    file.write_bytes(framed_file(b"", 9))
    assert main(["learned", "check", str(file)]) == 1 and "version 9" in capsys.readouterr().err


# The disk.


class PowerLoss(Exception):
    """The simulated machine has lost power."""


class SimulatedDisk:
    """A folder in statistics that may lose parts of unsynced content, and any unsynced renames.

    Attributes:
        fails: the number of the call that raises OSError, from 0; -1: none.
        dies: the number of the call at which the power is lost, from 0; -1: none.
        short: whether a write accepts only a part of the data.
        inodes: the content of each file as seen by readers, and as synced.
        names: the files of the folder.
        durable: the files of the folder as synced.
        unsynced: the files of the folder after each change that is not synced.
    """

    def __init__(
        self, rng: random.Random, fails: int = -1, dies: int = -1, short: bool = False
    ) -> None:
        self.rng, self.fails, self.dies, self.short = rng, fails, dies, short
        self.inodes: dict[int, tuple[bytes, bytes]] = {}
        self.names: dict[str, int] = {}
        self.durable: dict[str, int] = {}
        self.unsynced: list[dict[str, int]] = []
        self.numbers = itertools.count()
        self.calls = 0

    def call(self) -> None:
        self.calls += 1
        if self.calls - 1 == self.dies:
            raise PowerLoss
        if self.calls - 1 == self.fails:
            raise OSError(28, "No space left on device")

    def read(self, name: str) -> bytes | None:
        return self.inodes[self.names[name]][0] if name in self.names else None

    def exists(self, name: str) -> bool:
        return name in self.names

    def create(self, name: str) -> int:
        self.call()
        inode = next(self.numbers)
        self.inodes[inode] = b"", b""
        self.names = self.names | {name: inode}
        self.unsynced.append(self.names)
        return inode

    def write(self, handle: int, data: bytes) -> int:
        self.call()
        if self.short:
            data = data[: max(1, len(data) // 3)]
        seen, synced = self.inodes[handle]
        self.inodes[handle] = seen + data, synced
        return len(data)

    def sync(self, handle: int) -> None:
        self.call()
        self.inodes[handle] = self.inodes[handle][0], self.inodes[handle][0]

    def close(self, handle: int) -> None:
        pass

    def rename(self, old: str, new: str) -> None:
        self.call()
        names = dict(self.names)
        names[new] = names.pop(old)
        self.names = names
        self.unsynced.append(names)

    def sync_folder(self) -> None:
        self.call()
        self.durable, self.unsynced = self.names, []

    def after_power_loss(self) -> SimulatedDisk:
        """Return what a reader may find: some unsynced renames, and any part of unsynced bytes."""
        remaining = SimulatedDisk(self.rng)
        remaining.names = self.rng.choice([self.durable, *self.unsynced])
        for number, (seen, synced) in self.inodes.items():
            kept = seen[: self.rng.randrange(len(seen) + 1)]
            # A block of it may also be what was on the disk before.
            if kept and self.rng.random() < 0.5:
                kept = kept[:-1] + bytes([kept[-1] ^ 0xFF])
            remaining.inodes[number] = (synced if synced else kept,) * 2
        return remaining


def snapshot_files(count: int) -> list[bytes]:
    return [
        framed_file(msgspec.msgpack.encode(VALID_CONTENT | {"least": float(n), "node": f"n{n}"}))
        for n in range(count)
    ]


def test_after_a_power_loss_at_any_call_the_old_or_the_new_file_is_found() -> None:
    files, found = snapshot_files(4), set[str]()
    probe = SimulatedDisk(random.Random(0))
    store.save(probe, files[0])
    calls = probe.calls + 1
    for run in range(40):
        for dies in range(calls):
            rng = random.Random(run * 100 + dies)
            disk = SimulatedDisk(rng, short=run % 2 == 1)
            store.save(disk, files[0])
            store.save(disk, files[1])
            disk.calls, disk.dies = 0, dies
            with pytest.raises(PowerLoss):
                store.save(disk, files[2])
                raise PowerLoss
            loaded = store.load(disk.after_power_loss())
            assert loaded.snapshot is not None, (run, dies, loaded.faults)
            found.add(loaded.snapshot.node)
            assert loaded.snapshot.node in ("n1", "n2"), (run, dies)
    assert found == {"n1", "n2"}


def test_a_failed_call_keeps_the_stored_snapshot() -> None:
    files = snapshot_files(2)
    for fails in range(8):
        disk = SimulatedDisk(random.Random(fails))
        store.save(disk, files[0])
        disk.calls, disk.fails = 0, fails
        try:
            store.save(disk, files[1])
        except OSError as error:
            assert error.errno == 28
        loaded = store.load(disk)
        assert loaded.snapshot is not None and loaded.snapshot.node in ("n0", "n1")
        disk.fails = -1
        store.save(disk, files[1])
        assert (again := store.load(disk).snapshot) is not None and again.node == "n1"


KILLED_PROGRAM = """
import os, signal, sys
from pathlib import Path
from badgercart.statistics import store
from tests.statistics.test_statistics import snapshot_files
calls_left = int(sys.argv[2])
class KillingFolder(store.Folder):
    pass
def counted(method):
    def call(self, *args):
        global calls_left
        calls_left -= 1
        if calls_left < 0:
            if method.__name__ == "write":
                os.write(args[0], args[1][: len(args[1]) // 2])
            os.kill(os.getpid(), signal.SIGKILL)
        return method(self, *args)
    return call
for name in ("create", "write", "sync", "rename", "sync_folder"):
    setattr(KillingFolder, name, counted(getattr(store.Folder, name)))
for data in snapshot_files(50):
    store.save(KillingFolder(Path(sys.argv[1])), data)
"""


def test_sigkill_at_any_point_leaves_a_valid_file(tmp_path: Path) -> None:
    """`BADGERCART_RUNS=500` kills the process at 500 points."""
    rng = random.Random(3)
    for point in range(int(os.environ.get("BADGERCART_RUNS", "6"))):
        folder = tmp_path / str(point)
        folder.mkdir()
        killed = subprocess.run(
            [sys.executable, "-c", KILLED_PROGRAM, str(folder), str(rng.randrange(7, 250))],
            cwd=HERE.parent.parent,
            capture_output=True,
            text=True,
        )
        assert killed.returncode == -9, killed.stderr
        loaded = store.load(store.Folder(folder))
        assert loaded.snapshot is not None and not loaded.faults
        paths = [
            folder / name
            for name in (store.CURRENT_NAME, store.PREVIOUS_NAME)
            if (folder / name).exists()
        ]
        assert paths and all(path.stat().st_mode & 0o777 == 0o600 for path in paths)


def test_a_folder_is_locked_by_one_process(tmp_path: Path) -> None:
    lock = store.FolderLock(tmp_path)
    code = (
        "from badgercart.statistics.store import FolderLock; from pathlib import Path; "
        f"FolderLock(Path({str(tmp_path)!r}))"
    )
    other = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert other.returncode == 1 and "another node has this folder" in other.stderr
    lock.release()
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_the_header_is_as_documented() -> None:
    assert struct.calcsize(HEADER.format) == 14 and framed_file(b"x")[:6] == b"BLRN\0\x01"
