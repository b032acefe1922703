"""The loop as a process: clean ends, plain messages, and Fatal when the module breaks."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from badgercart.policy.policy import Policy
from badgercart.simulator.server import serve
from tests.simulator.test_codec import EVENTS, SETTINGS

EMPTY = bytes.fromhex("00000001 00000014 40c06e2000000000 00000000")


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-B", "-m", "badgercart.simulator"],
        input=data,
        capture_output=True,
        check=False,
    )


def test_empty_batch_and_clean_end() -> None:
    done = run(EMPTY)
    assert (done.returncode, done.stdout, done.stderr) == (
        0,
        bytes.fromhex("00000001 0000000c 00000000"),
        b"",
    )


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (EMPTY[:7], b"header"),
        (EMPTY[:7] + b"\x02" + EMPTY[8:], b"shorter"),
        (EVENTS[:100], b"ends inside"),
        (EVENTS, b"instance 3 was never started"),
    ],
)
def test_malformed_input_ends_with_one_plain_line(data: bytes, words: bytes) -> None:
    done = run(data)
    assert done.returncode == 2
    assert done.stdout == b""
    assert words in done.stderr
    assert done.stderr.count(b"\n") == 1


def test_exception_in_the_module_is_reported_as_fatal(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: Policy, now: float, event: object) -> list[object]:
        raise KeyError("broken on purpose")

    monkeypatch.setattr(Policy, "handle", broken)
    text = json.dumps(SETTINGS).encode()
    born = b"\x01" + struct.pack(">QII", 9, 0, len(text)) + bytes(31)
    timer = b"\x07" + bytes(47)
    frame = struct.pack(">IIdI", 1, 164 + len(text), 1.0, 3) + EVENTS[20:68] + born + timer + text
    sink = io.BytesIO()
    serve(io.BytesIO(frame), sink)
    reply = sink.getvalue()
    assert reply[12 + 24] == 12
    assert b"KeyError: 'broken on purpose'" in reply
