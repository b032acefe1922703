"""The journal on a real disk: crashes at every byte and call, spoilt records, compaction."""

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

KEPT = (
    Persist(1, "", 0, (), 0),
    Persist(1, "a", 0, (change(1, 1), change(1, 2)), 0),
    Persist(2, "", 2, (), 1),
    Persist(2, "", 1, (change(2, 2), change(2, 3), Change(2, 4, "", ())), 1),
    Persist(3, "b", 4, (), 3),
    Persist(3, "b", 4, (change(3, 5),), 4),
)


def summary(recover: RecoveredState) -> tuple[Any, ...]:
    """What a replica begins with, whether it stood in a snapshot or behind it."""
    topics = {
        name: Topic(t.version, (Entry(*pair) for pair in t.entries.items()))
        for name, t in recover.topics.items()
    }
    for each in recover.changes:
        if each.topic:
            topics.setdefault(each.topic, Topic()).apply(each.entries)
    seen = tuple(sorted((name, topic.version, topic.digest) for name, topic in topics.items()))
    last = recover.snapshot_index + len(recover.changes)
    return recover.term, recover.voted_for, recover.commit_index, last, seen


def write_journal(folder: Path, records_of: tuple[Persist, ...] = KEPT) -> list[int]:
    """A journal of these; how long it was after each."""
    journal = Journal(folder)
    journal.recover()
    sizes = [journal.journal_bytes]
    for each in records_of:
        journal.persist(each)
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
    found = recover(tmp_path)
    assert found == replay(RecoveredState(), KEPT)
    assert (found.term, found.voted_for, found.commit_index) == (3, "b", 4)
    assert [each.term for each in found.changes] == [1, 2, 2, 2, 3]


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
        whole = sum(size <= length for size in sizes[1:])
        assert recover(folder) == replay(RecoveredState(), KEPT[:whole]), length
        journal = Journal(folder)
        before = journal.recover()
        last = len(before.changes)
        journal.persist(Persist(9, "z", last, (change(9, last + 1),), before.commit_index))
        journal.close()
        after = recover(folder)
        assert (after.term, after.voted_for, after.changes[-1]) == (9, "z", change(9, last + 1))


def test_zeros_behind_the_last_record_are_cut_off(tmp_path: Path) -> None:
    """As some file systems leave them: the file's length was written, its last bytes were not."""
    write_journal(tmp_path)
    with (tmp_path / "journal.0").open("ab") as file:
        file.write(bytes(500))
    assert recover(tmp_path) == replay(RecoveredState(), KEPT)


def test_a_damaged_byte_is_an_error_unless_it_is_in_the_last_record(tmp_path: Path) -> None:
    sizes = write_journal(tmp_path / "whole")
    data = (tmp_path / "whole" / "journal.0").read_bytes()
    folder = tmp_path / "spoilt"
    folder.mkdir()
    for place in range(len(data)):
        (folder / "journal.0").write_bytes(
            data[:place] + bytes([data[place] ^ 0x41]) + data[place + 1 :]
        )
        if place >= sizes[-2]:
            assert recover(folder) == replay(RecoveredState(), KEPT[:-1])
        else:
            with pytest.raises(JournalError, match=r"journal\.0: the record at byte \d+ is spoilt"):
                recover(folder)
            assert (folder / "journal.0").stat().st_size == len(data), "nothing is cut off then"


def test_a_damaged_snapshot_is_an_error(tmp_path: Path) -> None:
    write_compacted(tmp_path)
    data = (tmp_path / "snapshot").read_bytes()
    for place in range(0, len(data), 7):
        (tmp_path / "snapshot").write_bytes(
            data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :]
        )
        with pytest.raises(JournalError, match="snapshot: it is spoilt"):
            recover(tmp_path)
    for length in range(len(data)):
        (tmp_path / "snapshot").write_bytes(data[:length])
        with pytest.raises(JournalError, match="snapshot: it is spoilt"):
            recover(tmp_path)


def state() -> RecoveredState:
    """What KEPT comes to, with what is in force in its topics."""
    topic = Topic()
    for each in (change(1, 1), change(2, 2), change(2, 3)):
        topic.apply(each.entries)
    return RecoveredState(3, "b", 4, 4, 2, {"t": topic}, (change(3, 5),))


def write_compacted(folder: Path) -> None:
    write_journal(folder)
    journal = Journal(folder)
    journal.recover()
    journal.compact(state())
    journal.close()


def test_a_snapshot_replaces_all_that_was_persisted_before(tmp_path: Path) -> None:
    write_journal(tmp_path)
    before = recover(tmp_path)
    journal = Journal(tmp_path)
    journal.recover()
    journal.compact(state())
    journal.persist(Persist(3, "b", 5, (change(3, 6),), 5))
    journal.close()
    found = recover(tmp_path)
    assert summary(before)[:3] == (3, "b", 4) and summary(found)[3] == 6
    assert (found.snapshot_index, found.snapshot_term, found.commit_index) == (4, 2, 5)
    assert found.topics["t"].version == 3 and found.changes == (change(3, 5), change(3, 6))
    assert sorted(p.name for p in tmp_path.iterdir()) == ["journal.1", "lock", "snapshot"]


def test_a_leaders_snapshot_replaces_everything(tmp_path: Path) -> None:
    write_journal(tmp_path)
    journal = Journal(tmp_path)
    journal.recover()
    topic = Topic(40, (Entry("k", b"v"),))
    journal.persist(PersistSnapshot(RecoveredState(7, "", 90, 90, 6, {"u": topic})))
    journal.close()
    found = recover(tmp_path)
    assert (found.term, found.commit_index, found.snapshot_term, list(found.topics)) == (
        7,
        90,
        6,
        ["u"],
    )


class Crash(OSError):
    pass


def calls(monkeypatch: pytest.MonkeyPatch, fail_at: int, partly: bool) -> list[str]:
    """Note all calls of the disk and have the one of that number fail, a write half done."""
    seen: list[str] = []

    def wrap(name: str) -> None:
        real = getattr(os, name)

        def call(*summary: Any, **more: Any) -> Any:
            seen.append(name)
            if len(seen) == fail_at:
                if name == "write" and partly:
                    real(summary[0], bytes(summary[1])[: len(summary[1]) // 2])
                raise Crash(f"call {fail_at}, {name}, fails")
            return real(*summary, **more)

        monkeypatch.setattr(os, name, call)

    for name in ("open", "write", "fsync", "replace"):
        wrap(name)
    return seen


def crashes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, what: str
) -> Iterator[tuple[Path, bool]]:
    """Folders in which `keep` or `compact` crashed, at each of its calls."""
    for partly in (False, True):
        for fail_at in range(1, 100):
            folder = tmp_path / f"{what} {partly} {fail_at}"
            write_journal(folder)
            journal = Journal(folder)
            journal.recover()
            with monkeypatch.context() as patch:
                calls(patch, fail_at, partly)
                try:
                    if what == "keep":
                        journal.persist(Persist(4, "", 5, (change(4, 6),), 4))
                    else:
                        journal.compact(state())
                    done = True
                except Crash:
                    done = False
            if not done:
                with pytest.raises(JournalError, match="nothing is kept any more"):
                    journal.persist(Persist(5, "", 5, (), 4))
            journal.close()
            if done:
                assert fail_at > 2
                break
            yield folder, partly


def test_a_persist_that_fails_at_any_call_is_whole_or_absent_and_ends_the_journal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = summary(replay(RecoveredState(), KEPT))
    after = summary(replay(RecoveredState(), [*KEPT, Persist(4, "", 5, (change(4, 6),), 4)]))
    found = [summary(recover(folder)) for folder, _ in crashes(tmp_path, monkeypatch, "keep")]
    assert len(found) == 4 and set(found) <= {before, after}


def test_a_compaction_that_fails_at_any_call_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    whole = summary(state())
    assert whole == summary(replay(RecoveredState(), KEPT))
    tried = 0
    for folder, _ in crashes(tmp_path, monkeypatch, "compact"):
        tried += 1
        assert summary(recover(folder)) == whole, folder.name
        names = sorted(path.name for path in folder.iterdir())
        assert names in (
            ["journal.0", "lock"],
            ["journal.1", "lock", "snapshot"],
        ), "nothing is left lying"
    assert tried > 10


def test_a_persist_is_synced_before_it_returns(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path)
    journal.recover()
    seen = calls(monkeypatch, -1, False)
    journal.persist(KEPT[1])
    assert seen == ["write", "fsync"]
    del seen[:]
    journal.compact(state())
    assert seen.index("replace") > seen.index("fsync")
    assert seen[-2:] == ["open", "fsync"], "the folder's new name is synced last"
    before = seen[: seen.index("replace")]
    assert before.count("fsync") == 3, "the snapshot, the new journal and its name are there before"
    journal.close()


def test_short_writes_are_continued(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = os.write
    monkeypatch.setattr(os, "write", lambda handle, data: real(handle, bytes(data)[:3]))
    write_journal(tmp_path)
    assert recover(tmp_path) == replay(RecoveredState(), KEPT)


def test_a_folder_belongs_to_one_process(tmp_path: Path) -> None:
    journal = Journal(tmp_path)
    with pytest.raises(JournalError, match="another process has it"):
        Journal(tmp_path)
    journal.close()
    Journal(tmp_path).close()


def test_nothing_is_persisted_before_recovery_or_after_close(tmp_path: Path) -> None:
    journal = Journal(tmp_path)
    with pytest.raises(JournalError, match="not recovered"):
        journal.persist(KEPT[0])
    journal.recover()
    journal.close()
    with pytest.raises(JournalError, match="closed"):
        journal.persist(KEPT[0])


def test_records_this_program_can_not_have_written_are_errors(tmp_path: Path) -> None:
    first = encode_record(encode(JournalHeader(1, 0)))

    def records_of(*summary: Persist) -> bytes:
        bodies = [
            PersistRecord(k.term, k.voted_for, k.after_index, k.changes, k.commit_index)
            for k in summary
        ]
        return first + b"".join(encode_record(encode(body)) for body in bodies)

    for data, words in (
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
        with pytest.raises(JournalError, match=words):
            recover(tmp_path)


def test_a_missing_journal_is_an_error(tmp_path: Path) -> None:
    write_compacted(tmp_path)
    (tmp_path / "journal.1").unlink()
    with pytest.raises(JournalError, match=r"journal\.1: it is gone"):
        recover(tmp_path)


def run(replica: Replica, journal: Journal, effects: list[Any]) -> list[Any]:
    for effect in effects:
        if isinstance(effect, Persist | PersistSnapshot):
            journal.persist(effect)
    if journal.needs_compaction:
        journal.compact(replica.recoverable_state())
    return effects


def test_a_replica_and_its_journal_stay_small_and_recover(tmp_path: Path) -> None:
    answered = most = 0
    for start in range(5):
        journal = Journal(tmp_path, min_compaction_bytes=2000)
        replica = Replica(
            ReplicaGroup("a", ("a",), ("a",)), ReplicaTiming(), random.Random(1), journal.recover()
        )
        run(replica, journal, replica.start(0.0))
        replica.accepted(0.0, 1)
        replica.received(0.0, 1, Hello("operator", False))
        assert replica.publisher.topics.version("t") == answered
        for number in range(200):
            entries = (Entry(f"k{number % 9}", b"%d %d" % (start, number)),)
            effects = run(
                replica, journal, replica.received(1.0, 1, Propose(number, "t", entries, answered))
            )
            answered += 1
            assert Send(1, ProposeResponse(number, answered, "", "")) in effects
            most = max(most, sum(path.stat().st_size for path in tmp_path.iterdir()))
        journal.close()
    assert answered == 1000 and most < 20_000


@pytest.mark.parametrize("seed", [1, 2])
def test_a_group_keeps_its_invariants_on_real_disks(tmp_path: Path, seed: int) -> None:
    folders = itertools.count()

    class Reopened:
        """A process's journal: each start opens the folder anew."""

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
