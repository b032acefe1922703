"""The server as a process: its exit status, its error messages, and fatal records."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from badgercart.policy.policy import Policy
from badgercart.simulator.server import serve
from tests.simulator.test_codec import EVENTS_FRAME, SETTINGS

EMPTY_BATCH = bytes.fromhex("00000001 00000014 40c06e2000000000 00000000")


def run_simulator(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-B", "-m", "badgercart.simulator"],
        input=data,
        capture_output=True,
        check=False,
    )


def test_an_empty_batch_is_answered_and_the_end_of_input_is_no_error() -> None:
    done = run_simulator(EMPTY_BATCH)
    assert (done.returncode, done.stdout, done.stderr) == (
        0,
        bytes.fromhex("00000001 0000000c 00000000"),
        b"",
    )


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (EMPTY_BATCH[:7], b"header"),
        (EMPTY_BATCH[:7] + b"\x02" + EMPTY_BATCH[8:], b"shorter"),
        (EVENTS_FRAME[:100], b"ends inside"),
        (EVENTS_FRAME, b"instance 3 was never started"),
    ],
)
def test_malformed_input_ends_with_one_line_on_standard_error(data: bytes, words: bytes) -> None:
    done = run_simulator(data)
    assert done.returncode == 2
    assert done.stdout == b""
    assert words in done.stderr
    assert done.stderr.count(b"\n") == 1


def test_an_exception_of_the_policy_is_reported_as_fatal(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: Policy, now_ms: float, event: object) -> list[object]:
        raise KeyError("broken on purpose")

    monkeypatch.setattr(Policy, "handle", broken)
    text = json.dumps(SETTINGS).encode()
    started = b"\x01" + struct.pack(">QII", 9, 0, len(text)) + bytes(31)
    timer = b"\x07" + bytes(47)
    frame = (
        struct.pack(">IIdI", 1, 164 + len(text), 1.0, 3)
        + EVENTS_FRAME[20:68]
        + started
        + timer
        + text
    )
    sink = io.BytesIO()
    serve(io.BytesIO(frame), sink)
    reply = sink.getvalue()
    assert reply[12 + 24] == 12
    assert b"KeyError: 'broken on purpose'" in reply
