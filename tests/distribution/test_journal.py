"""The journal on a real disk: crashes at every byte and at every call, spoilt records,
compaction."""

from __future__ import annotations

import itertools
import os
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from badgercart.distribution import journal as module
from badgercart.distribution.effects import Keep, KeepAll, Recovered, Send
from badgercart.distribution.journal import Journal, JournalError, record, replay
from badgercart.distribution.messages import Change, Entry, Hello, Propose, Proposed
from badgercart.distribution.store import Store, Timing
from badgercart.distribution.topic import Topic
from tests.distribution.broken import draw
from tests.distribution.orders import change
from tests.distribution.test_properties import SMALL, play

KEPT = (
    Keep(1, "", 0, (), 0),
    Keep(1, "a", 0, (change(1, 1), change(1, 2)), 0),
    Keep(2, "", 2, (), 1),
    Keep(2, "", 1, (change(2, 2), change(2, 3), Change(2, 4, "", ())), 1),
    Keep(3, "b", 4, (), 3),
    Keep(3, "b", 4, (change(3, 5),), 4),
)


def told(recovered: Recovered) -> tuple[Any, ...]:
    """What a store begins with, whether it stood in a snapshot or behind it."""
    topics = {
        name: Topic(t.number, (Entry(*pair) for pair in t.entries.items()))
        for name, t in recovered.topics.items()
    }
    for each in recovered.changes:
        if each.topic:
            topics.setdefault(each.topic, Topic()).change(each.entries)
    seen = tuple(sorted((name, topic.number, topic.digest) for name, topic in topics.items()))
    last = recovered.index + len(recovered.changes)
    return recovered.term, recovered.voted, recovered.committed, last, seen


def written(folder: Path, kept: tuple[Keep, ...] = KEPT) -> list[int]:
    """A journal of these; how long it was after each."""
    journal = Journal(folder)
    journal.recover()
    sizes = [journal.size]
    for each in kept:
        journal.keep(each)
        sizes.append(journal.size)
    journal.close()
    return sizes


def recovered(folder: Path) -> Recovered:
    journal = Journal(folder)
    try:
        return journal.recover()
    finally:
        journal.close()


def test_what_was_kept_is_there(tmp_path: Path) -> None:
    written(tmp_path)
    found = recovered(tmp_path)
    assert found == replay(Recovered(), KEPT)
    assert (found.term, found.voted, found.committed) == (3, "b", 4)
    assert [each.term for each in found.changes] == [1, 2, 2, 2, 3]


def test_a_new_folder_holds_nothing(tmp_path: Path) -> None:
    assert recovered(tmp_path / "new" / "one") == Recovered()


def test_cut_at_every_byte_a_prefix_is_recovered_and_gone_on_from(tmp_path: Path) -> None:
    sizes = written(tmp_path / "whole")
    data = (tmp_path / "whole" / "journal.0").read_bytes()
    assert len(data) == sizes[-1]
    for length in range(len(data) + 1):
        folder = tmp_path / str(length)
        folder.mkdir()
        (folder / "journal.0").write_bytes(data[:length])
        whole = sum(size <= length for size in sizes[1:])
        assert recovered(folder) == replay(Recovered(), KEPT[:whole]), length
        journal = Journal(folder)
        before = journal.recover()
        last = len(before.changes)
        journal.keep(Keep(9, "z", last, (change(9, last + 1),), before.committed))
        journal.close()
        after = recovered(folder)
        assert (after.term, after.voted, after.changes[-1]) == (9, "z", change(9, last + 1))


def test_zeros_behind_the_last_record_are_cut_off(tmp_path: Path) -> None:
    """As some file systems leave them: the file's length was written, its last bytes were not."""
    written(tmp_path)
    with (tmp_path / "journal.0").open("ab") as file:
        file.write(bytes(500))
    assert recovered(tmp_path) == replay(Recovered(), KEPT)


def test_a_spoilt_byte_starts_nothing_unless_it_is_the_last_records(tmp_path: Path) -> None:
    sizes = written(tmp_path / "whole")
    data = (tmp_path / "whole" / "journal.0").read_bytes()
    folder = tmp_path / "spoilt"
    folder.mkdir()
    for place in range(len(data)):
        (folder / "journal.0").write_bytes(
            data[:place] + bytes([data[place] ^ 0x41]) + data[place + 1 :]
        )
        if place >= sizes[-2]:
            assert recovered(folder) == replay(Recovered(), KEPT[:-1])
        else:
            with pytest.raises(JournalError, match=r"journal\.0: the record at byte \d+ is spoilt"):
                recovered(folder)
            assert (folder / "journal.0").stat().st_size == len(data), "nothing is cut off then"


def test_a_spoilt_snapshot_starts_nothing(tmp_path: Path) -> None:
    compacted(tmp_path)
    data = (tmp_path / "snapshot").read_bytes()
    for place in range(0, len(data), 7):
        (tmp_path / "snapshot").write_bytes(
            data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :]
        )
        with pytest.raises(JournalError, match="snapshot: it is spoilt"):
            recovered(tmp_path)
    for length in range(len(data)):
        (tmp_path / "snapshot").write_bytes(data[:length])
        with pytest.raises(JournalError, match="snapshot: it is spoilt"):
            recovered(tmp_path)


def state() -> Recovered:
    """What KEPT comes to, with what is in force in its topics."""
    topic = Topic()
    for each in (change(1, 1), change(2, 2), change(2, 3)):
        topic.change(each.entries)
    return Recovered(3, "b", 4, 4, 2, {"t": topic}, (change(3, 5),))


def compacted(folder: Path) -> None:
    written(folder)
    journal = Journal(folder)
    journal.recover()
    journal.compact(state())
    journal.close()


def test_a_snapshot_stands_for_all_that_was_kept_before(tmp_path: Path) -> None:
    written(tmp_path)
    before = recovered(tmp_path)
    journal = Journal(tmp_path)
    journal.recover()
    journal.compact(state())
    journal.keep(Keep(3, "b", 5, (change(3, 6),), 5))
    journal.close()
    found = recovered(tmp_path)
    assert told(before)[:3] == (3, "b", 4) and told(found)[3] == 6
    assert (found.index, found.index_term, found.committed) == (4, 2, 5)
    assert found.topics["t"].number == 3 and found.changes == (change(3, 5), change(3, 6))
    assert sorted(p.name for p in tmp_path.iterdir()) == ["journal.1", "lock", "snapshot"]


def test_a_leaders_state_takes_the_place_of_all(tmp_path: Path) -> None:
    written(tmp_path)
    journal = Journal(tmp_path)
    journal.recover()
    topic = Topic(40, (Entry("k", b"v"),))
    journal.keep(KeepAll(Recovered(7, "", 90, 90, 6, {"u": topic})))
    journal.close()
    found = recovered(tmp_path)
    assert (found.term, found.committed, found.index_term, list(found.topics)) == (7, 90, 6, ["u"])


class Crash(OSError):
    pass


def calls(monkeypatch: pytest.MonkeyPatch, fail_at: int, partly: bool) -> list[str]:
    """Of the disk: all are noted, and the one of that number fails, a write with half of it
    done."""
    seen: list[str] = []

    def wrap(name: str) -> None:
        real = getattr(os, name)

        def call(*told: Any, **more: Any) -> Any:
            seen.append(name)
            if len(seen) == fail_at:
                if name == "write" and partly:
                    real(told[0], bytes(told[1])[: len(told[1]) // 2])
                raise Crash(f"call {fail_at}, {name}, fails")
            return real(*told, **more)

        monkeypatch.setattr(module.os, name, call)

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
            written(folder)
            journal = Journal(folder)
            journal.recover()
            with monkeypatch.context() as patch:
                calls(patch, fail_at, partly)
                try:
                    if what == "keep":
                        journal.keep(Keep(4, "", 5, (change(4, 6),), 4))
                    else:
                        journal.compact(state())
                    done = True
                except Crash:
                    done = False
            if not done:
                with pytest.raises(JournalError, match="nothing is kept any more"):
                    journal.keep(Keep(5, "", 5, (), 4))
            journal.close()
            if done:
                assert fail_at > 2
                break
            yield folder, partly


def test_a_keep_that_fails_at_any_call_is_there_or_not_and_ends_the_journal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = told(replay(Recovered(), KEPT))
    after = told(replay(Recovered(), [*KEPT, Keep(4, "", 5, (change(4, 6),), 4)]))
    found = [told(recovered(folder)) for folder, _ in crashes(tmp_path, monkeypatch, "keep")]
    assert len(found) == 4 and set(found) <= {before, after}


def test_a_compaction_that_fails_at_any_call_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    whole = told(state())
    assert whole == told(replay(Recovered(), KEPT))
    tried = 0
    for folder, _ in crashes(tmp_path, monkeypatch, "compact"):
        tried += 1
        assert told(recovered(folder)) == whole, folder.name
        names = sorted(path.name for path in folder.iterdir())
        assert names in (
            ["journal.0", "lock"],
            ["journal.1", "lock", "snapshot"],
        ), "nothing is left lying"
    assert tried > 10


def test_a_keep_is_synced_before_it_returns(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path)
    journal.recover()
    seen = calls(monkeypatch, -1, False)
    journal.keep(KEPT[1])
    assert seen == ["write", "fsync"]
    del seen[:]
    journal.compact(state())
    assert seen.index("replace") > seen.index("fsync")
    assert seen[-2:] == ["open", "fsync"], "the folder's new name is synced last"
    before = seen[: seen.index("replace")]
    assert before.count("fsync") == 3, "the snapshot, the new journal and its name are there before"
    journal.close()


def test_short_writes_are_gone_on_with(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = os.write
    monkeypatch.setattr(module.os, "write", lambda handle, data: real(handle, bytes(data)[:3]))
    written(tmp_path)
    assert recovered(tmp_path) == replay(Recovered(), KEPT)


def test_a_folder_is_one_processs(tmp_path: Path) -> None:
    journal = Journal(tmp_path)
    with pytest.raises(JournalError, match="another process has it"):
        Journal(tmp_path)
    journal.close()
    Journal(tmp_path).close()


def test_nothing_is_kept_before_it_was_looked_at_and_after_it_was_closed(tmp_path: Path) -> None:
    journal = Journal(tmp_path)
    with pytest.raises(JournalError, match="not recovered"):
        journal.keep(KEPT[0])
    journal.recover()
    journal.close()
    with pytest.raises(JournalError, match="closed"):
        journal.keep(KEPT[0])


def test_what_this_program_can_not_have_written_starts_nothing(tmp_path: Path) -> None:
    first = record(module._encode(module._First(1, 0)))

    def kept(*told: Keep) -> bytes:
        bodies = [module._Kept(k.term, k.voted, k.behind, k.changes, k.committed) for k in told]
        return first + b"".join(record(module._encode(body)) for body in bodies)

    for data, words in (
        (record(module._encode(module._First(2, 0))), "is of version 2, this program's is 1"),
        (record(module._encode(module._First(1, 5))), "it says that it is generation 5"),
        (record(b"\xc1"), r"journal\.0: "),
        (first + record(module._encode("word")), r"journal\.0: "),
        (kept(Keep(1, "", 3, (change(1, 4),), 0)), "record 1 is put behind 3, of 0 to 0"),
        (kept(Keep(1, "", 0, (change(1, 2),), 0)), "has a gap before place 2"),
        (kept(Keep(1, "", 0, (change(1, 1),), 2)), "record 1 goes back"),
        (kept(Keep(2, "", 0, (), 0), Keep(1, "", 0, (), 0)), "record 2 goes back, from term 2"),
        (
            kept(Keep(1, "", 0, (change(1, 1),), 1), Keep(2, "", 0, (change(2, 1),), 1)),
            "put behind 0",
        ),
    ):
        (tmp_path / "journal.0").write_bytes(data)
        with pytest.raises(JournalError, match=words):
            recovered(tmp_path)


def test_a_journal_that_is_gone_starts_nothing(tmp_path: Path) -> None:
    compacted(tmp_path)
    (tmp_path / "journal.1").unlink()
    with pytest.raises(JournalError, match=r"journal\.1: it is gone"):
        recovered(tmp_path)


def run(store: Store, journal: Journal, effects: list[Any]) -> list[Any]:
    for effect in effects:
        if isinstance(effect, Keep | KeepAll):
            journal.keep(effect)
    if journal.over:
        journal.compact(store.state())
    return effects


def test_a_store_and_its_journal_stay_small_and_come_back_whole(tmp_path: Path) -> None:
    answered = most = 0
    for start in range(5):
        journal = Journal(tmp_path, floor=2000)
        store = Store("a", ("a",), ("a",), Timing(), random.Random(1), journal.recover())
        run(store, journal, store.start(0.0))
        store.accepted(0.0, 1)
        store.received(0.0, 1, Hello("operator", False))
        assert store.number("t") == answered
        for number in range(200):
            entries = (Entry(f"k{number % 9}", b"%d %d" % (start, number)),)
            effects = run(
                store, journal, store.received(1.0, 1, Propose(number, "t", entries, answered))
            )
            answered += 1
            assert Send(1, Proposed(number, answered, "", "")) in effects
            most = max(most, sum(path.stat().st_size for path in tmp_path.iterdir()))
        journal.close()
    assert answered == 1000 and most < 20_000


@pytest.mark.parametrize("seed", [1, 2])
def test_a_group_keeps_its_promises_on_real_disks(tmp_path: Path, seed: int) -> None:
    folders = itertools.count()

    class Reopened:
        """A process's journal: each start opens the folder anew."""

        def __init__(self) -> None:
            self.folder = tmp_path / str(next(folders))
            self.journal: Journal | None = None

        def recover(self) -> Recovered:
            if self.journal is not None:
                self.journal.close()
            self.journal = Journal(self.folder, floor=500)
            return self.journal.recover()

        def __getattr__(self, name: str) -> Any:
            return getattr(self.journal, name)

    play(3, 0, SMALL, seed, draw(seed), disk_class=Reopened)  # type: ignore[arg-type]
