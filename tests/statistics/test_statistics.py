"""What was learned fades as stated, gives nothing that the rules forbid, and survives what a disk
can do."""

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
from tests.capture.support import SETTINGS, Saturday
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
MEMORIES = st.builds(
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


def day(seed: int = 1, requests: int = 500) -> Saturday:
    made = Saturday(seed)
    made.play(requests)
    return made


def floats(memory: PolicyStatistics) -> list[float]:
    plain = msgspec.to_builtins(memory)
    found: list[float] = []

    def walk(value: Any) -> None:
        if isinstance(value, dict):
            for inner in value.values():
                walk(inner)
        elif isinstance(value, list | tuple):
            for inner in value:
                walk(inner)
        else:
            found.append(float(value))

    walk(plain)
    return found


@settings(max_examples=200, deadline=None)
@given(MEMORIES, st.floats(0, 1e5), st.floats(0, 1e5))
def test_ageing_in_two_steps_is_ageing_in_one(
    memory: PolicyStatistics, first: float, second: float
) -> None:
    once = decay_statistics(memory, first + second, SETTINGS)
    twice = decay_statistics(decay_statistics(memory, first, SETTINGS), second, SETTINGS)
    marginal = {
        key
        for key, count in {**once.key_counts, **twice.key_counts}.items()
        if abs(count - 0.5) < 1e-9
    }
    for one in (once, twice):
        one.key_counts = {
            key: count for key, count in one.key_counts.items() if key not in marginal
        }
    assert floats(once) == pytest.approx(floats(twice), rel=1e-9, abs=1e-12)
    assert floats(decay_statistics(memory, -5.0, SETTINGS)) == floats(
        decay_statistics(memory, 0.0, SETTINGS)
    )


@settings(max_examples=50, deadline=None)
@given(MEMORIES)
def test_after_endless_time_nothing_is_left_but_what_a_new_policy_assumes(
    memory: PolicyStatistics,
) -> None:
    policy, fresh = Policy(SETTINGS, 1), Policy(SETTINGS, 1)
    import_statistics(policy, decay_statistics(memory, 1e15, SETTINGS))
    lines = [
        Endpoint(n, 0, n % 2, 0, EndpointState.READY, 2.0, 777.0) for n in (*memory.endpoints, 5, 6)
    ]
    for one in (policy, fresh):
        one.handle(1000.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, lines))
    assert policy.fleet.latency.typical_ms == pytest.approx(
        fresh.fleet.latency.typical_ms
    ) and policy.fleet.latency.kind_ratios.keys() <= {0, 1}
    assert (
        all(pace == pytest.approx(1.0) for pace in policy.fleet.latency.kind_ratios.values())
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
@given(MEMORIES, st.integers(0, 1 << 30))
def test_a_restored_fleet_never_gets_what_the_rules_forbid(
    memory: PolicyStatistics, seed: int
) -> None:
    policy, rng = Policy(SETTINGS, seed), random.Random(seed)
    import_statistics(policy, memory)
    numbers = [*memory.endpoints, 11, 12]
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


def test_a_server_that_started_anew_keeps_nothing_and_one_that_did_not_keeps_all() -> None:
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
    same, anew = policy.fleet.endpoints.by_id[1], policy.fleet.endpoints.by_id[2]
    assert (
        same.relative_latency,
        same.health[0].failure_rate,
        same.health[0].consecutive_ejections,
    ) == (4.0, 0.9, 2)
    assert (anew.relative_latency, anew.health[0].failure_rate, anew.recent_attempts) == (
        1.0,
        0.0,
        0.0,
    )
    assert same.health[0].ejected_until_ms and policy.fleet.outliers.ejected == {1}
    gone = Endpoint(1, 0, 0, 0, EndpointState.GONE, 2.0, 777.0)
    policy.handle(6001.0, EndpointUpdate(UpdateKind.DELTA, 2, [gone]))
    policy.handle(
        6002.0, EndpointUpdate(UpdateKind.DELTA, 3, [replace(gone, state=EndpointState.READY)])
    )
    assert policy.fleet.endpoints.by_id[1].relative_latency == 1.0  # given back once


def test_what_the_first_whole_list_does_not_name_is_forgotten() -> None:
    """A fleet replaced meanwhile keeps nothing, and a server that comes back later would get what
    is not aged."""
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
    cached = [
        Endpoint(1, 0, 0, 0, EndpointState.READY, 2.0, 777.0)
    ]  # the list kept from before names one still
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


def test_a_day_goes_through_a_file_and_back() -> None:
    made = day()
    memory = export_statistics(made.join.policy)
    assert (
        max(known.relative_latency for known in memory.endpoints.values()) > 2
        and memory.samples > 10
    )
    snapshot = make_snapshot(memory, CONFIG, 1e12, 5e11)
    back = extract_statistics(decode(encode(snapshot)), CONFIG, 5e11)
    assert back == memory
    policy = Policy(SETTINGS, 2)
    import_statistics(policy, back)
    assert (
        policy.fleet.latency.typical_ms == made.join.policy.fleet.latency.typical_ms
        and policy.overload.throughput.best_latency_ms
        == made.join.policy.overload.throughput.best_latency_ms
    )
    with pytest.raises(ValueError, match="it is of 1 classes"):
        import_statistics(policy, PolicyStatistics([1.0], [1.0, 1.0]))


def test_classes_kinds_and_fleets_are_known_by_their_names() -> None:
    snapshot = make_snapshot(export_statistics(day().join.policy), CONFIG, 1e12, 0.0)
    turned = replace(CONFIG, classes={b"b": 0, b"a": 1}, kinds={"k1": 0, "k0": 1})
    with pytest.raises(SnapshotError, match="another fleet"):
        extract_statistics(snapshot, turned, 0.0)
    turned = replace(turned, kinds=CONFIG.kinds)
    memory = extract_statistics(snapshot, turned, 0.0)
    assert memory.typical_latency_ms == [
        snapshot.classes["b"].typical_latency_ms,
        snapshot.classes["a"].typical_latency_ms,
    ]
    other = extract_statistics(snapshot, replace(CONFIG, classes={b"a": 0, b"new": 1}), 0.0)
    assert other.typical_latency_ms[1] == SETTINGS.classes[1].latency_objective_ms / 4
    assert all(known.failure_rates[1] == 0.0 for known in other.endpoints.values())


# The file.


def packed(body: bytes, version: int = VERSION) -> bytes:
    return HEADER.pack(MAGIC, version, len(body), zlib.crc32(body)) + body


GOOD = msgspec.to_builtins(
    make_snapshot(export_statistics(day(2, 100).join.policy), CONFIG, 1e12, 0.0)
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
def test_a_value_that_can_not_be_is_named(name: str, value: Any, words: str) -> None:
    with pytest.raises(SnapshotError) as caught:
        decode(packed(msgspec.msgpack.encode(GOOD | {name: value})))
    assert words in str(caught.value)


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=200), st.booleans())
def test_no_bytes_crash_the_reader(data: bytes, framed: bool) -> None:
    try:
        decode(packed(data) if framed else data)
    except SnapshotError as error:
        assert str(error)


def test_versions_and_damage_are_told_apart(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    good = packed(msgspec.msgpack.encode(GOOD))
    assert decode(good).node == CONFIG.name
    with pytest.raises(NewerVersionError, match="version 9"):
        decode(packed(b"later", 9))
    for spoilt, words in (
        (good[:-1], "bytes, not"),
        (good[:8], "cut off"),
        (b"PNG" + good, "no file"),
        (good[:20] + bytes([good[20] ^ 1]) + good[21:], "checksum"),
        (packed(b"", 0), "nothing reads version 0"),
    ):
        with pytest.raises(SnapshotError, match=words):
            decode(spoilt)
    recorded = decode(
        (HERE / "version-1.learned").read_bytes()
    )  # every later version has to read it
    assert recorded.endpoints and recorded.classes.keys() == {"a", "b"}
    file, text, again = (tmp_path / name for name in ("learned", "a.json", "b"))
    file.write_bytes(good)
    assert (
        main(["learned", "check", str(file)]) == 0 and main(["learned", "show", str(tmp_path)]) == 0
    )
    assert "slowness" in capsys.readouterr().out
    assert main(["learned", "convert", str(file), "-o", str(text)]) == 0
    assert main(["learned", "convert", str(text), "-o", str(again), "--to", "file"]) == 0
    assert decode(again.read_bytes()) == decode(good)
    file.write_bytes(packed(b"", 9))
    assert main(["learned", "check", str(file)]) == 1 and "version 9" in capsys.readouterr().err


# The disk.


class Cut(Exception):
    """The power is gone."""


class Disk:
    """A folder in memory: what was not synced may be lost, in part, and renames in any number.

    `fails`: the call that ends in an error; `dies`: the call at which the power goes; both counted
    from 0.
    """

    def __init__(
        self, rng: random.Random, fails: int = -1, dies: int = -1, short: bool = False
    ) -> None:
        self.rng, self.fails, self.dies, self.short = rng, fails, dies, short
        self.inodes: dict[int, tuple[bytes, bytes]] = {}  # content: as seen, as synced
        self.names: dict[str, int] = {}
        self.durable: dict[str, int] = {}
        self.moves: list[dict[str, int]] = []  # the folder after each change that is not synced
        self.numbers = itertools.count()
        self.calls = 0

    def call(self) -> None:
        self.calls += 1
        if self.calls - 1 == self.dies:
            raise Cut
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
        self.moves.append(self.names)
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
        self.moves.append(names)

    def sync_folder(self) -> None:
        self.call()
        self.durable, self.moves = self.names, []

    def after_power_loss(self) -> Disk:
        """What a reader may find: some of the changes of the folder, and of unsynced bytes any
        part."""
        left = Disk(self.rng)
        left.names = self.rng.choice([self.durable, *self.moves])
        for number, (seen, synced) in self.inodes.items():
            kept = seen[: self.rng.randrange(len(seen) + 1)]
            if kept and self.rng.random() < 0.5:  # or a block of it is what lay there before
                kept = kept[:-1] + bytes([kept[-1] ^ 0xFF])
            left.inodes[number] = (synced if synced else kept,) * 2
        return left


def snapshots(count: int) -> list[bytes]:
    return [
        packed(msgspec.msgpack.encode(GOOD | {"least": float(n), "node": f"n{n}"}))
        for n in range(count)
    ]


def test_the_power_may_go_at_any_call_and_the_old_or_the_new_is_found() -> None:
    made, found = snapshots(4), set[str]()
    probe = Disk(random.Random(0))
    store.save(probe, made[0])
    calls = probe.calls + 1
    for turn in range(40):
        for dies in range(calls):
            rng = random.Random(turn * 100 + dies)
            disk = Disk(rng, short=turn % 2 == 1)
            store.save(disk, made[0])
            store.save(disk, made[1])
            disk.calls, disk.dies = 0, dies
            with pytest.raises(Cut):
                store.save(disk, made[2])
                raise Cut
            loaded = store.load(disk.after_power_loss())
            assert loaded.snapshot is not None, (turn, dies, loaded.faults)
            found.add(loaded.snapshot.node)
            assert loaded.snapshot.node in ("n1", "n2"), (turn, dies)
    assert found == {"n1", "n2"}


def test_a_call_that_fails_keeps_what_was_there() -> None:
    made = snapshots(2)
    for fails in range(8):
        disk = Disk(random.Random(fails))
        store.save(disk, made[0])
        disk.calls, disk.fails = 0, fails
        try:
            store.save(disk, made[1])
        except OSError as error:
            assert error.errno == 28
        loaded = store.load(disk)
        assert loaded.snapshot is not None and loaded.snapshot.node in ("n0", "n1")
        disk.fails = -1
        store.save(disk, made[1])
        assert (again := store.load(disk).snapshot) is not None and again.node == "n1"


KILLED = """
import os, signal, sys
from pathlib import Path
from badgercart.statistics import store
from tests.statistics.test_memory import snapshots
left = int(sys.argv[2])
class Killing(store.Folder):
    pass
def counted(plain):
    def call(self, *args):
        global left
        left -= 1
        if left < 0:
            if plain.__name__ == "write":
                os.write(args[0], args[1][: len(args[1]) // 2])
            os.kill(os.getpid(), signal.SIGKILL)
        return plain(self, *args)
    return call
for name in ("create", "write", "sync", "rename", "sync_folder"):
    setattr(Killing, name, counted(getattr(store.Folder, name)))
for data in snapshots(50):
    store.save(Killing(Path(sys.argv[1])), data)
"""


def test_sigkill_at_any_point_leaves_a_whole_file(tmp_path: Path) -> None:
    """`BADGERCART_RUNS=500` kills it at 500 points."""
    rng = random.Random(3)
    for point in range(int(os.environ.get("BADGERCART_RUNS", "6"))):
        folder = tmp_path / str(point)
        folder.mkdir()
        killed = subprocess.run(
            [sys.executable, "-c", KILLED, str(folder), str(rng.randrange(7, 250))],
            cwd=HERE.parent.parent,
            capture_output=True,
            text=True,
        )
        assert killed.returncode == -9, killed.stderr
        loaded = store.load(store.Folder(folder))
        assert loaded.snapshot is not None and not loaded.faults
        there = [
            folder / name
            for name in (store.CURRENT_NAME, store.PREVIOUS_NAME)
            if (folder / name).exists()
        ]
        assert there and all(path.stat().st_mode & 0o777 == 0o600 for path in there)


def test_a_folder_is_one_process_s(tmp_path: Path) -> None:
    lock = store.FolderLock(tmp_path)
    code = (
        "from badgercart.statistics.store import FolderLock; from pathlib import Path; "
        f"FolderLock(Path({str(tmp_path)!r}))"
    )
    other = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert other.returncode == 1 and "another node has this folder" in other.stderr
    lock.release()
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_the_prefix_is_as_documented() -> None:
    assert struct.calcsize(HEADER.format) == 14 and packed(b"x")[:6] == b"BLRN\0\x01"
