"""The journal on a real disk: crashes at each byte and system call, corruption, compaction."""

from __future__ import annotations

import itertools
import os
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from badgercart.distribution.effects import Persist, PersistSnapshot, RecoveredState, Send
from badgercart.distribution.errors import JournalError
from badgercart.distribution.journal import Journal
from badgercart.distribution.journal_format import JournalHeader, PersistRecord, encode, replay
from badgercart.distribution.messages import Change, Entry, Hello, Propose, ProposeResponse
from badgercart.distribution.record_file import encode_record
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaTiming
from badgercart.distribution.topic import Topic
from tests.distribution.mutants import draw_steps
from tests.distribution.scenarios import change
from tests.distribution.test_properties import SMALL_LIMITS, run_steps

RECORDS = (
    Persist(1, "", 0, (), 0),
    Persist(1, "a", 0, (change(1, 1), change(1, 2)), 0),
    Persist(2, "", 2, (), 1),
    Persist(2, "", 1, (change(2, 2), change(2, 3), Change(2, 4, "", ())), 1),
    Persist(3, "b", 4, (), 3),
    Persist(3, "b", 4, (change(3, 5),), 4),
)


def summary(recovered: RecoveredState) -> tuple[Any, ...]:
    """Summarize recovered state, whether it was in the snapshot or in the journal."""
    topics = {
        name: Topic(t.version, (Entry(*pair) for pair in t.entries.items()))
        for name, t in recovered.topics.items()
    }
    for later_change in recovered.changes:
        if later_change.topic:
            topics.setdefault(later_change.topic, Topic()).apply(later_change.entries)
    topic_summaries = tuple(
        sorted((name, topic.version, topic.digest) for name, topic in topics.items())
    )
    last_index = recovered.snapshot_index + len(recovered.changes)
    return recovered.term, recovered.voted_for, recovered.commit_index, last_index, topic_summaries


def write_journal(folder: Path, records: tuple[Persist, ...] = RECORDS) -> list[int]:
    """Write a journal with these records, and return its size after each."""
    journal = Journal(folder)
    journal.recover()
    sizes = [journal.journal_bytes]
    for record in records:
        journal.persist(record)
        sizes.append(journal.journal_bytes)
    journal.close()
    return sizes


def recover(folder: Path) -> RecoveredState:
    journal = Journal(folder)
    try:
        return journal.recover()
    finally:
        journal.close()


def test_what_was_persisted_is_recovered(tmp_path: Path) -> None:
    write_journal(tmp_path)
    recovered = recover(tmp_path)
    assert recovered == replay(RecoveredState(), RECORDS)
    assert (recovered.term, recovered.voted_for, recovered.commit_index) == (3, "b", 4)
    assert [each.term for each in recovered.changes] == [1, 2, 2, 2, 3]


def test_a_new_folder_recovers_to_nothing(tmp_path: Path) -> None:
    assert recover(tmp_path / "new" / "one") == RecoveredState()


def test_a_journal_cut_at_any_byte_recovers_a_prefix_and_continues(tmp_path: Path) -> None:
    sizes = write_journal(tmp_path / "whole")
    data = (tmp_path / "whole" / "journal.0").read_bytes()
    assert len(data) == sizes[-1]
    for length in range(len(data) + 1):
        folder = tmp_path / str(length)
        folder.mkdir()
        (folder / "journal.0").write_bytes(data[:length])
        valid_count = sum(size <= length for size in sizes[1:])
        assert recover(folder) == replay(RecoveredState(), RECORDS[:valid_count]), length
        journal = Journal(folder)
        before = journal.recover()
        last = len(before.changes)
        journal.persist(Persist(9, "z", last, (change(9, last + 1),), before.commit_index))
        journal.close()
        after = recover(folder)
        assert (after.term, after.voted_for, after.changes[-1]) == (9, "z", change(9, last + 1))


def test_zeros_after_the_last_record_are_truncated(tmp_path: Path) -> None:
    """Some file systems leave zeros after a crash: the length was written, the data was not."""
    write_journal(tmp_path)
    with (tmp_path / "journal.0").open("ab") as file:
        file.write(bytes(500))
    assert recover(tmp_path) == replay(RecoveredState(), RECORDS)


def test_a_damaged_byte_is_an_error_unless_it_is_in_the_last_record(tmp_path: Path) -> None:
    sizes = write_journal(tmp_path / "whole")
    data = (tmp_path / "whole" / "journal.0").read_bytes()
    folder = tmp_path / "spoilt"
    folder.mkdir()
    for position in range(len(data)):
        (folder / "journal.0").write_bytes(
            data[:position] + bytes([data[position] ^ 0x41]) + data[position + 1 :]
        )
        if position >= sizes[-2]:
            assert recover(folder) == replay(RecoveredState(), RECORDS[:-1])
        else:
            with pytest.raises(JournalError, match=r"journal\.0: the record at byte \d+ is spoilt"):
                recover(folder)
            assert (folder / "journal.0").stat().st_size == len(
                data
            ), "a corrupt journal must not be truncated"


def test_a_damaged_snapshot_is_an_error(tmp_path: Path) -> None:
    write_compacted(tmp_path)
    data = (tmp_path / "snapshot").read_bytes()
    for position in range(0, len(data), 7):
        (tmp_path / "snapshot").write_bytes(
            data[:position] + bytes([data[position] ^ 1]) + data[position + 1 :]
        )
        with pytest.raises(JournalError, match="snapshot: it is spoilt"):
            recover(tmp_path)
    for length in range(len(data)):
        (tmp_path / "snapshot").write_bytes(data[:length])
        with pytest.raises(JournalError, match="snapshot: it is spoilt"):
            recover(tmp_path)


def compacted_state() -> RecoveredState:
    """Return the state after all of RECORDS, with committed changes applied to the topics."""
    topic = Topic()
    for committed_change in (change(1, 1), change(2, 2), change(2, 3)):
        topic.apply(committed_change.entries)
    return RecoveredState(3, "b", 4, 4, 2, {"t": topic}, (change(3, 5),))


def write_compacted(folder: Path) -> None:
    write_journal(folder)
    journal = Journal(folder)
    journal.recover()
    journal.compact(compacted_state())
    journal.close()


def test_a_snapshot_replaces_all_that_was_persisted_before(tmp_path: Path) -> None:
    write_journal(tmp_path)
    before = recover(tmp_path)
    journal = Journal(tmp_path)
    journal.recover()
    journal.compact(compacted_state())
    journal.persist(Persist(3, "b", 5, (change(3, 6),), 5))
    journal.close()
    recovered = recover(tmp_path)
    assert summary(before)[:3] == (3, "b", 4) and summary(recovered)[3] == 6
    assert (recovered.snapshot_index, recovered.snapshot_term, recovered.commit_index) == (4, 2, 5)
    assert recovered.topics["t"].version == 3 and recovered.changes == (change(3, 5), change(3, 6))
    assert sorted(p.name for p in tmp_path.iterdir()) == ["journal.1", "lock", "snapshot"]


def test_a_leaders_snapshot_replaces_everything(tmp_path: Path) -> None:
    write_journal(tmp_path)
    journal = Journal(tmp_path)
    journal.recover()
    topic = Topic(40, (Entry("k", b"v"),))
    journal.persist(PersistSnapshot(RecoveredState(7, "", 90, 90, 6, {"u": topic})))
    journal.close()
    recovered = recover(tmp_path)
    assert (
        recovered.term,
        recovered.commit_index,
        recovered.snapshot_term,
        list(recovered.topics),
    ) == (
        7,
        90,
        6,
        ["u"],
    )


class CrashError(OSError):
    """A simulated failure of a disk call."""


def record_disk_calls(
    monkeypatch: pytest.MonkeyPatch, fail_at: int, writes_half: bool
) -> list[str]:
    """Record all disk calls, and let one fail: `fail_at`, a write optionally after half of it."""
    calls: list[str] = []

    def wrap(name: str) -> None:
        real = getattr(os, name)

        def call(*arguments: Any, **keywords: Any) -> Any:
            calls.append(name)
            if len(calls) == fail_at:
                if name == "write" and writes_half:
                    real(arguments[0], bytes(arguments[1])[: len(arguments[1]) // 2])
                raise CrashError(f"call {fail_at}, {name}, fails")
            return real(*arguments, **keywords)

        monkeypatch.setattr(os, name, call)

    for name in ("open", "write", "fsync", "replace"):
        wrap(name)
    return calls


def crashes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, operation: str
) -> Iterator[tuple[Path, bool]]:
    """Yield folders in which `persist` or `compact` crashed, once at each of its disk calls."""
    for writes_half in (False, True):
        for fail_at in range(1, 100):
            folder = tmp_path / f"{operation} {writes_half} {fail_at}"
            write_journal(folder)
            journal = Journal(folder)
            journal.recover()
            with monkeypatch.context() as patch:
                record_disk_calls(patch, fail_at, writes_half)
                try:
                    if operation == "keep":
                        journal.persist(Persist(4, "", 5, (change(4, 6),), 4))
                    else:
                        journal.compact(compacted_state())
                    completed = True
                except CrashError:
                    completed = False
            if not completed:
                with pytest.raises(JournalError, match="nothing is kept any more"):
                    journal.persist(Persist(5, "", 5, (), 4))
            journal.close()
            if completed:
                assert fail_at > 2
                break
            yield folder, writes_half


def test_a_persist_that_fails_at_any_call_is_complete_or_absent_and_ends_the_journal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = summary(replay(RecoveredState(), RECORDS))
    after = summary(replay(RecoveredState(), [*RECORDS, Persist(4, "", 5, (change(4, 6),), 4)]))
    recovered = [summary(recover(folder)) for folder, _ in crashes(tmp_path, monkeypatch, "keep")]
    assert len(recovered) == 4 and set(recovered) <= {before, after}


def test_a_compaction_that_fails_at_any_call_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    expected = summary(compacted_state())
    assert expected == summary(replay(RecoveredState(), RECORDS))
    crash_count = 0
    for folder, _ in crashes(tmp_path, monkeypatch, "compact"):
        crash_count += 1
        assert summary(recover(folder)) == expected, folder.name
        names = sorted(path.name for path in folder.iterdir())
        assert names in (
            ["journal.0", "lock"],
            ["journal.1", "lock", "snapshot"],
        ), "no stale file is left"
    assert crash_count > 10


def test_a_persist_is_synced_before_it_returns(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path)
    journal.recover()
    calls = record_disk_calls(monkeypatch, -1, False)
    journal.persist(RECORDS[1])
    assert calls == ["write", "fsync"]
    del calls[:]
    journal.compact(compacted_state())
    assert calls.index("replace") > calls.index("fsync")
    assert calls[-2:] == ["open", "fsync"], "the rename is synced last"
    before = calls[: calls.index("replace")]
    assert (
        before.count("fsync") == 3
    ), "the snapshot, the new journal and its name are synced before the rename"
    journal.close()


def test_short_writes_are_continued(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = os.write
    monkeypatch.setattr(os, "write", lambda handle, data: real(handle, bytes(data)[:3]))
    write_journal(tmp_path)
    assert recover(tmp_path) == replay(RecoveredState(), RECORDS)


def test_a_folder_is_locked_by_one_process(tmp_path: Path) -> None:
    journal = Journal(tmp_path)
    with pytest.raises(JournalError, match="another process has it"):
        Journal(tmp_path)
    journal.close()
    Journal(tmp_path).close()


def test_nothing_is_persisted_before_recovery_or_after_close(tmp_path: Path) -> None:
    journal = Journal(tmp_path)
    with pytest.raises(JournalError, match="not recovered"):
        journal.persist(RECORDS[0])
    journal.recover()
    journal.close()
    with pytest.raises(JournalError, match="closed"):
        journal.persist(RECORDS[0])


def test_inconsistent_records_are_errors(tmp_path: Path) -> None:
    first = encode_record(encode(JournalHeader(1, 0)))

    def records_of(*persisted: Persist) -> bytes:
        bodies = [
            PersistRecord(
                record.term,
                record.voted_for,
                record.after_index,
                record.changes,
                record.commit_index,
            )
            for record in persisted
        ]
        return first + b"".join(encode_record(encode(body)) for body in bodies)

    for data, expected_text in (
        (encode_record(encode(JournalHeader(2, 0))), "is of version 2, this program's is 1"),
        (encode_record(encode(JournalHeader(1, 5))), "it says that it is generation 5"),
        (encode_record(b"\xc1"), r"journal\.0: "),
        (first + encode_record(encode("word")), r"journal\.0: "),
        (records_of(Persist(1, "", 3, (change(1, 4),), 0)), "record 1 is put behind 3, of 0 to 0"),
        (records_of(Persist(1, "", 0, (change(1, 2),), 0)), "has a gap before place 2"),
        (records_of(Persist(1, "", 0, (change(1, 1),), 2)), "record 1 goes back"),
        (
            records_of(Persist(2, "", 0, (), 0), Persist(1, "", 0, (), 0)),
            "record 2 goes back, from term 2",
        ),
        (
            records_of(
                Persist(1, "", 0, (change(1, 1),), 1), Persist(2, "", 0, (change(2, 1),), 1)
            ),
            "put behind 0",
        ),
    ):
        (tmp_path / "journal.0").write_bytes(data)
        with pytest.raises(JournalError, match=expected_text):
            recover(tmp_path)


def test_a_missing_journal_is_an_error(tmp_path: Path) -> None:
    write_compacted(tmp_path)
    (tmp_path / "journal.1").unlink()
    with pytest.raises(JournalError, match=r"journal\.1: it is gone"):
        recover(tmp_path)


def execute(replica: Replica, journal: Journal, effects: list[Any]) -> list[Any]:
    for effect in effects:
        if isinstance(effect, Persist | PersistSnapshot):
            journal.persist(effect)
    if journal.needs_compaction:
        journal.compact(replica.recoverable_state())
    return effects


def test_a_replica_and_its_journal_stay_small_and_recover(tmp_path: Path) -> None:
    version = max_folder_bytes = 0
    for restart in range(5):
        journal = Journal(tmp_path, min_compaction_bytes=2000)
        replica = Replica(
            ReplicaGroup("a", ("a",), ("a",)), ReplicaTiming(), random.Random(1), journal.recover()
        )
        execute(replica, journal, replica.start(0.0))
        replica.accepted(0.0, 1)
        replica.received(0.0, 1, Hello("operator", False))
        assert replica.publisher.topics.version("t") == version
        for number in range(200):
            entries = (Entry(f"k{number % 9}", b"%d %d" % (restart, number)),)
            effects = execute(
                replica, journal, replica.received(1.0, 1, Propose(number, "t", entries, version))
            )
            version += 1
            assert Send(1, ProposeResponse(number, version, "", "")) in effects
            max_folder_bytes = max(
                max_folder_bytes, sum(path.stat().st_size for path in tmp_path.iterdir())
            )
        journal.close()
    assert version == 1000 and max_folder_bytes < 20_000


@pytest.mark.parametrize("seed", [1, 2])
def test_a_group_keeps_its_invariants_on_real_disks(tmp_path: Path, seed: int) -> None:
    folders = itertools.count()

    class Reopened:
        """The journal of one process, whose folder is opened again at each start."""

        def __init__(self) -> None:
            self.folder = tmp_path / str(next(folders))
            self.journal: Journal | None = None

        def recover(self) -> RecoveredState:
            if self.journal is not None:
                self.journal.close()
            self.journal = Journal(self.folder, min_compaction_bytes=500)
            return self.journal.recover()

        def __getattr__(self, name: str) -> Any:
            return getattr(self.journal, name)

    run_steps(3, 0, SMALL_LIMITS, seed, draw_steps(seed), disk_class=Reopened)  # type: ignore[arg-type]
