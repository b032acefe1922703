"""The ejection file: whole or unusable, also where two processes change it at once."""

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
    store, other = EjectionFile(tmp_path), EjectionFile(tmp_path)
    assert store.read() is None and not store.has_changed()
    store.write(STATE)
    assert not store.has_changed() and other.has_changed()
    assert other.read() == STATE and not other.has_changed()
    assert [path.name for path in tmp_path.iterdir()] == [store.path.name]


@given(st.integers(0, len(encode(STATE)) - 1), st.integers(0, 255))
def test_a_truncated_or_altered_file_is_unusable(at: int, byte: int) -> None:
    whole = encode(STATE)
    with pytest.raises(CorruptFileError):
        decode(whole[:at])
    if whole[at] != byte:
        with pytest.raises(CorruptFileError):
            decode(whole[:at] + bytes([byte]) + whole[at + 1 :])


@pytest.mark.parametrize(
    "line",
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
def test_a_file_with_other_content_is_unusable(line: bytes) -> None:
    with pytest.raises(CorruptFileError):
        decode(b"%b\n%b\n" % (checksum(line), line))


def test_a_lock_that_is_never_released_is_an_error(tmp_path: Path) -> None:
    store, pauses = EjectionFile(tmp_path), list[float]()
    with store.lock(), pytest.raises(BlockingIOError), EjectionFile(tmp_path).lock(pauses.append):
        pass
    assert pauses
    with EjectionFile(tmp_path).lock(pauses.append):
        pass


WRITER = textwrap.dedent("""
    import sys
    from pathlib import Path
    from badgercart.ejection.ledger import EjectionLedger
    from badgercart.ejection.ejection_file import EjectionFile
    store = EjectionFile(Path(sys.argv[1]))
    for number in range(int(sys.argv[3])):
        while True:  # two that come again at once may keep it from each other beyond a call's wait
            try:
                with store.lock():
                    ledger = EjectionLedger(0.0)
                    if (state := store.read()) is not None:
                        ledger.adopt(state)
                    store.write(ledger.with_ejected(f"{sys.argv[2]}-{number}", 1.0))
                break
            except BlockingIOError:
                continue
        print(number, flush=True)
""")


def writer(tmp_path: Path, name: str, count: int) -> subprocess.Popen[str]:
    command = [sys.executable, "-B", "-c", WRITER, str(tmp_path), name, str(count)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def test_two_processes_undo_nothing_of_each_other(tmp_path: Path) -> None:
    both = [writer(tmp_path, name, 50) for name in "ab"]
    for one in both:
        one.communicate()
        assert one.returncode == 0
    state = EjectionFile(tmp_path).read()
    assert state is not None and len(state.ejected) == 100


def test_a_process_killed_while_writing_leaves_a_whole_file(tmp_path: Path) -> None:
    for round_ in range(8):
        one = writer(tmp_path, f"r{round_}", 10_000)
        assert one.stdout is not None
        for _ in range(1 + 7 * round_):
            one.stdout.readline()
        os.kill(one.pid, signal.SIGKILL)
        one.communicate()
        state = EjectionFile(tmp_path).read()
        assert (
            state is not None and f"r{round_}-{7 * round_}" in state.ejected
        )  # each that was said is kept
    with EjectionFile(tmp_path).lock():  # and the lock of the dead one is free
        assert EjectionLedger(0.0).state.ejected == {}
