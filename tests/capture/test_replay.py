"""A capture replays to the same decisions on any hash seed, and faults of a file are reported."""

from __future__ import annotations

import ast
import os
import pickle
import subprocess
import sys
import tempfile
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import badgercart.policy
from badgercart.app.cli import main
from badgercart.capture import codec, format, policy_state, writer
from badgercart.capture.codec import CodecError, decode_event, dump_policy, load_policy
from badgercart.capture.format import FormatError, RecordKind, Segment, SegmentEnding
from badgercart.capture.replay import (
    decide,
    find_segments,
    initial_policy,
    read_events,
    replay,
    replay_all,
)
from badgercart.capture.settings import CaptureSettings
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Settings
from tests.capture.support import CLASSES, SimulatedTraffic, captured


@pytest.fixture(scope="module")
def capture_folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return a folder with a capture in several segments."""
    folder = tmp_path_factory.mktemp("day")
    traffic, capture = captured(folder, requests=3200, segment_bytes=1 << 14)
    assert capture.segment_number >= 3 and traffic.answers > 1000
    return folder


def test_a_capture_in_segments_replays_identically_on_any_hash_seed(capture_folder: Path) -> None:
    reports = list(replay_all(find_segments([str(capture_folder)])))
    assert all(
        report.identical and report.ending is SegmentEnding.WHOLE for report in reports
    ), reports
    assert sum(report.events for report in reports) > 2000 and not any(
        report.lost_events for report in reports
    )
    for seed in ("0", "1", "4711"):
        done = subprocess.run(
            [sys.executable, "-m", "badgercart", "capture", "replay", str(capture_folder)],
            env=os.environ | {"PYTHONHASHSEED": seed}, capture_output=True, text=True,
        )  # fmt: skip
        assert done.returncode == 0 and done.stdout.endswith("identical\n"), done.stderr


def test_the_capture_changes_no_decision(tmp_path: Path) -> None:
    plain, (recorded, _) = SimulatedTraffic(5), captured(tmp_path, 5, 800, segment_bytes=1 << 30)
    plain.play(800)
    assert plain.join.policy.__dict__.keys() == recorded.join.policy.__dict__.keys()
    assert (
        plain.answers == recorded.answers
        and plain.join.policy.overload.error_rate.attempts
        == recorded.join.policy.overload.error_rate.attempts
    )
    assert plain.join.policy.random.getstate() == recorded.join.policy.random.getstate()


def test_a_state_of_an_older_version_is_continued(capture_folder: Path) -> None:
    """Continue a state whose policy had another layout.

    It kept the endpoints without virtual nodes in a plain dict and all quota buckets in a list, and
    it decayed the statistics of all endpoints.
    """
    segment = Segment(find_segments([str(capture_folder)])[1].read_bytes())
    old = policy_state.stored_values(load_policy(segment.header["state"]))
    del old["buckets"], old["touched"], old["leaked"]
    old["quota_used"], old["unplaced"] = [3.0, 3.0], dict.fromkeys(old["ready"][:3])
    segment.header |= {"state": policy_state.dump_values(old), "module": {"rules.py": "another"}}
    policy, events = initial_policy(segment), 0
    assert (
        policy.fleet.endpoints.active == policy.fleet.endpoints.by_id.keys()
        and len(policy.fleet.virtual_nodes.pending) == 3
    )
    for item in read_events(segment):
        assert decide(policy, item.now_ms, item.event) is not None
        events += 1
    assert events > 300 and not policy.fleet.virtual_nodes.pending


def test_a_differing_decision_is_reported_by_its_event_number(
    capture_folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = find_segments([str(capture_folder)])[0]
    original_handle = Policy.handle
    calls = 0

    def drop_an_action(self: Policy, now: float, event: object) -> list[object]:
        nonlocal calls
        calls += 1
        actions = original_handle(self, now, event)  # type: ignore[arg-type]
        return actions[:-1] if calls == 500 else actions  # type: ignore[return-value]

    monkeypatch.setattr(Policy, "handle", drop_an_action)
    report = replay(path)
    while report.difference is None:  # an event without actions shows no difference
        calls = 498 - report.events % 7
        report = replay(path)
    assert report.difference.event_number == report.events - 1 and not report.identical
    assert main(["capture", "replay", str(capture_folder)]) in (0, 1)


def test_a_file_truncated_at_any_byte_keeps_the_complete_records_before_it(
    capture_folder: Path, tmp_path: Path
) -> None:
    data = find_segments([str(capture_folder)])[1].read_bytes()
    offsets = [record.offset for record in Segment(data).records()]
    first_offset = offsets[0]
    for size in [*range(first_offset - 40, first_offset + 400), *range(len(data) - 60, len(data))]:
        try:
            segment = Segment(data[:size])
        except FormatError:
            assert size < first_offset
            continue
        records = list(segment.records())
        assert [record.offset for record in records] == [
            offset for offset in offsets if offset < segment.usable_bytes
        ]
        assert segment.ending is SegmentEnding.TORN and segment.usable_bytes <= size
    path = tmp_path / "torn.bcap"
    path.write_bytes(data[: first_offset + (len(data) - first_offset) * 4 // 5])
    report = replay(path)
    assert report.identical and report.ending is SegmentEnding.TORN and report.events > 100
    assert main(["capture", "verify", str(path)]) == 1
    repaired = tmp_path / "mended.bcap"
    assert main(["capture", "repair", str(path), "-o", str(repaired)]) == 0
    assert (
        main(["capture", "verify", str(repaired)]) == 0 and replay(repaired).events == report.events
    )


@settings(max_examples=200, deadline=None)
@given(position=st.floats(0, 0.999999), bit=st.integers(0, 7))
def test_a_flipped_bit_is_detected_wherever_it_is(position: float, bit: int) -> None:
    global _SEGMENT_DATA
    if not _SEGMENT_DATA:
        with tempfile.TemporaryDirectory() as folder:
            captured(Path(folder), 3, 60)
            _SEGMENT_DATA = find_segments([folder])[0].read_bytes()
    corrupt = bytearray(_SEGMENT_DATA)
    corrupt[int(position * len(corrupt))] ^= 1 << bit
    try:
        segment = Segment(bytes(corrupt))
    except FormatError:
        return
    records = list(segment.records())
    assert segment.ending is not SegmentEnding.WHOLE
    assert all(
        _SEGMENT_DATA[record.offset : record.offset + 9 + len(record.payload)][9:] == record.payload
        for record in records
    )


# The segment of the test above, captured once.
_SEGMENT_DATA = b""


def test_a_file_that_is_not_a_capture_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "x.bcap"
    for data, message in (
        (b"", "cut off"),
        (b"x" * 100, "no capture"),
        (b"BCAP\0\x09" + bytes(8), "format 9 is not read here"),
        (b"BCAP\0\x01" + bytes(4), "cut off"),
        (b"BCAP\0\x01\0\0\0\x01\0\0\0\x01\x80", "damaged"),
    ):
        path.write_bytes(data)
        (report,) = replay_all([path])
        assert message in report.faults[0] and not report.identical
    assert main(["capture", "info", str(path)]) == 1
    assert main(["capture", "replay", str(tmp_path / "empty")]) == 1


def test_a_slow_disk_makes_a_counted_gap_after_which_replay_continues(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    enqueue, stalled_chunks, gaps = writer.DiskWriter.enqueue, [], []
    capture_settings = CaptureSettings.model_construct(folder="", buffer_bytes=1 << 14)
    traffic = SimulatedTraffic(2)
    capture = writer.CaptureWriter(
        capture_settings, tmp_path, "n", traffic.join.policy, 2, gaps.append, fail_on_error
    )
    traffic.join.decision_log = capture.record_event
    with monkeypatch.context() as patch:

        def stall(self: writer.DiskWriter, segment: str, data: bytes) -> None:
            stalled_chunks.append((segment, data))
            self.queued_bytes += len(data)

        patch.setattr(writer.DiskWriter, "enqueue", stall)
        traffic.play(600)
        # The buffer may exceed its limit by one batch.
        assert (
            capture.lost_events > 300
            and capture.disk.queued_bytes + capture.buffered_bytes
            <= capture.max_buffered_bytes + 8000
        )
    for segment, data in stalled_chunks:  # the disk recovers
        capture.disk.queued_bytes -= len(data)
        enqueue(capture.disk, segment, data)
    while capture.disk.queued_bytes:
        capture.disk.thread.join(0.01)
    # From here on the buffer is large enough.
    capture.settings = CaptureSettings.model_construct(folder="")
    traffic.play(300)
    capture.close()
    reports = list(replay_all(find_segments([str(tmp_path)])))
    assert (
        all(report.identical and report.ending is SegmentEnding.WHOLE for report in reports)
        and len(reports) == 2
    )
    assert sum(report.lost_events for report in reports) == sum(gaps) > 300
    assert reports[1].events > 250 and traffic.answers > 800


def fail_on_error(error: OSError) -> None:
    raise AssertionError(str(error))


def test_an_unwritable_folder_switches_the_capture_off_and_nothing_else(
    tmp_path: Path,
) -> None:
    folder = tmp_path / "gone"
    folder.mkdir()
    traffic = SimulatedTraffic(1)
    failures: list[OSError] = []
    capture = writer.CaptureWriter(
        CaptureSettings.model_construct(folder=""), folder, "n", traffic.join.policy, 1, lambda lost: None,
        lambda error: (failures.append(error), setattr(traffic.join, "decision_log", None)),
    )  # fmt: skip
    traffic.join.decision_log = capture.record_event
    folder.rmdir()
    capture.flush()
    capture.disk.thread.join(5)
    traffic.play(300)
    assert (
        len(failures) == 1 and isinstance(failures[0], FileNotFoundError) and traffic.answers > 280
    )


def test_the_ring_keeps_to_its_size_and_keeps_the_newest_segments(tmp_path: Path) -> None:
    _, capture = captured(tmp_path, 1, 2500, segment_bytes=1 << 13, keep_bytes=1 << 17)
    kept = find_segments([str(tmp_path)])
    assert sum(path.stat().st_size for path in kept) <= 1 << 17
    assert kept[-1].name == capture.segment and capture.segment_number > len(kept)
    assert all(report.identical for report in replay_all(kept))


def test_a_state_can_not_run_code() -> None:
    class CodeExecution:
        def __reduce__(self) -> tuple[object, tuple[str]]:
            return os.system, ("true",)

    for state in (
        pickle.dumps(CodeExecution()),
        pickle.dumps(print),
        pickle.dumps({1}),
        b"junk",
        b"",
    ):
        with pytest.raises(CodecError):
            load_policy(state)
    policy = Policy(Settings(CLASSES), 1)
    assert load_policy(dump_policy(policy)).random.getstate() == policy.random.getstate()


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=60))
def test_bytes_that_are_not_an_event_are_reported(data: bytes) -> None:
    try:
        decode_event(data)
    except CodecError as error:
        assert str(error).startswith("no event")


def test_the_policy_depends_on_nothing_but_its_events_and_its_seed() -> None:
    """Search its files for sources of time or randomness; a new one has to be captured first."""
    known = {"random.Random", "hash"}
    used: set[str] = set()
    for path in Path(str(badgercart.policy.__file__)).parent.glob("*.py"):
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if isinstance(node, ast.Import | ast.ImportFrom):
                names = [alias.name for alias in node.names]
                source = getattr(node, "module", None)
                used |= {f"{source}.{name}" if source else name for name in names} & {
                    "time", "os", "uuid", "secrets", "datetime", "threading", "time.time", "time.monotonic",
                    "random.random", "random.choice",
                }  # fmt: skip
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Name)
                and node.func.id in ("id", "hash")
            ):
                used.add(node.func.id)
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and node.value.id == "random"
            ):
                used.add(f"random.{node.attr}")
    assert used <= known


def test_the_numbers_of_events_and_actions_are_the_stored_ones() -> None:
    names = [kind.__name__ for kind in (*codec.EVENTS, *codec.ACTIONS)]
    assert names == [
        "EndpointUpdate",
        "Request",
        "ResponseStarted",
        "AttemptEnded",
        "AttemptRerouted",
        "RetryDecisionDue",
        "HealthCheckResult",
        "TimerFired",
        "PeerMessage",
        "RequestCancelled",
        "RequestCompleted",
        "SettingsChanged",
        "ClusterView",
        "TrafficPlan",
        "DeadlineExceeded",
        "Send",
        "Shed",
        "Fail",
        "CancelAttempt",
        "SetTimer",
        "HealthCheck",
        "Subscribe",
        "Log",
    ]
    assert [kind.value for kind in RecordKind] == [1, 2, 3, 4, 5, 6] and format.FORMAT_VERSION == 2
