"""The ejection file is complete or rejected, also if two processes change it concurrently."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import textwrap
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.core.checksummed_file import CorruptFileError, checksum
from badgercart.ejection.ejection_file import EjectionFile, decode, encode
from badgercart.ejection.ledger import MAX_EJECTED, EjectionLedger, EjectionState, Reinstatement

STATE = EjectionState(
    {"s-1": 5.0}, {"s-2": Reinstatement(1.0, 2.0)}, {"s-1": None, "s-2": None, "s-3": None}
)


def test_a_written_state_is_read_back(tmp_path: Path) -> None:
    """Check that a written state is read back, and that other readers notice the change."""
    ejection_file, other = EjectionFile(tmp_path), EjectionFile(tmp_path)
    assert ejection_file.read() is None and not ejection_file.has_changed()
    ejection_file.write(STATE)
    assert not ejection_file.has_changed() and other.has_changed()
    assert other.read() == STATE and not other.has_changed()
    assert [path.name for path in tmp_path.iterdir()] == [ejection_file.path.name]


@given(st.integers(0, len(encode(STATE)) - 1), st.integers(0, 255))
def test_a_truncated_or_altered_file_is_unusable(position: int, byte: int) -> None:
    """Check that a file cut off anywhere or with any byte changed is rejected."""
    content = encode(STATE)
    with pytest.raises(CorruptFileError):
        decode(content[:position])
    if content[position] != byte:
        with pytest.raises(CorruptFileError):
            decode(content[:position] + bytes([byte]) + content[position + 1 :])


@pytest.mark.parametrize(
    "body",
    [
        b'{"format":2,"bans":{},"freed":{},"names":[]}',
        b'{"format":1,"bans":{"a":NaN},"freed":{},"names":[]}',
        b'{"format":1,"bans":{"a":"x"},"freed":{},"names":[]}',
        b'{"format":1,"bans":[],"freed":{},"names":[]}',
        b'{"format":1,"bans":{},"freed":{"a":[1]},"names":[]}',
        b"[]",
        b'{"format":1,"bans":{%b},"freed":{},"names":[]}'
        % b",".join(b'"%d":1' % i for i in range(MAX_EJECTED + 1)),
    ],
)
def test_a_file_with_other_content_is_unusable(body: bytes) -> None:
    """Check that content of another form is rejected in spite of a right checksum."""
    with pytest.raises(CorruptFileError):
        decode(b"%b\n%b\n" % (checksum(body), body))


def test_a_lock_that_is_never_released_is_an_error(tmp_path: Path) -> None:
    """Check that waiting for a held lock pauses, then fails, and that a released lock is free."""
    ejection_file, pauses = EjectionFile(tmp_path), list[float]()
    with (
        ejection_file.lock(),
        pytest.raises(BlockingIOError),
        EjectionFile(tmp_path).lock(pauses.append),
    ):
        pass
    assert pauses
    with EjectionFile(tmp_path).lock(pauses.append):
        pass


WRITER = textwrap.dedent("""
    import sys
    from pathlib import Path
    from badgercart.ejection.ledger import EjectionLedger
    from badgercart.ejection.ejection_file import EjectionFile
    ejection_file = EjectionFile(Path(sys.argv[1]))
    for number in range(int(sys.argv[3])):
        # Two processes in a loop may keep the lock from each other for longer than one call waits.
        while True:
            try:
                with ejection_file.lock():
                    ledger = EjectionLedger(0.0)
                    if (state := ejection_file.read()) is not None:
                        ledger.adopt(state)
                    ejection_file.write(ledger.with_ejected(f"{sys.argv[2]}-{number}", 1.0))
                break
            except BlockingIOError:
                continue
        print(number, flush=True)
""")


def start_writer(tmp_path: Path, name: str, count: int) -> subprocess.Popen[str]:
    """Start a process that ejects `count` servers, one after another."""
    command = [sys.executable, "-B", "-c", WRITER, str(tmp_path), name, str(count)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def test_concurrent_processes_do_not_lose_changes(tmp_path: Path) -> None:
    """Check that two processes that write at once keep the ejections of both."""
    writers = [start_writer(tmp_path, name, 50) for name in "ab"]
    for process in writers:
        process.communicate()
        assert process.returncode == 0
    state = EjectionFile(tmp_path).read()
    assert state is not None and len(state.ejected) == 100


def test_a_process_killed_while_writing_leaves_a_complete_file(tmp_path: Path) -> None:
    """Check that a killed writer leaves its reported ejections in the file and a free lock."""
    for attempt in range(8):
        process = start_writer(tmp_path, f"r{attempt}", 10_000)
        assert process.stdout is not None
        for _ in range(1 + 7 * attempt):
            process.stdout.readline()
        os.kill(process.pid, signal.SIGKILL)
        process.communicate()
        state = EjectionFile(tmp_path).read()
        # Every ejection that the process has reported is persisted.
        assert state is not None and f"r{attempt}-{7 * attempt}" in state.ejected
    # The lock of the killed process was released.
    with EjectionFile(tmp_path).lock():
        assert EjectionLedger(0.0).state.ejected == {}
