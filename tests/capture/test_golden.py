"""Captures written by an earlier text of the program are read to the same values, and written the
same.

`format-1.bcap` and `rainy-saturday.bcap` (see `test_streams.py`) pin days as a node captured them;
these files pin every kind of event, action and note, and a policy's state.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from badgercart.capture.codec import (
    decode_actions,
    decode_settings,
    dump_policy,
    encode_actions,
    encode_settings,
    load_policy,
)
from badgercart.capture.edit import differences
from badgercart.capture.explain import explain
from badgercart.capture.format import RecordKind, Segment, SegmentEnding, read_index
from badgercart.capture.replay import CapturedEvent, decide, initial_policy, read_events, replay
from badgercart.capture.streams import NoteReplayer
from badgercart.capture.words import show
from badgercart.policy.events import HealthCheckResult, Request
from tests.capture.golden_parts import (
    ACTIONS,
    ENTRIES,
    EVENTS,
    SETTINGS,
    decisions,
    format_1,
    format_2,
    notes,
    values,
)

GOLDEN = Path(__file__).parent / "golden"


def read(name: str) -> list[CapturedEvent]:
    return list(read_events(Segment((GOLDEN / name).read_bytes())))


def test_a_segment_of_every_kind_is_written_with_the_same_bytes() -> None:
    assert format_2() == (GOLDEN / "format-2.bin").read_bytes()


def test_events_of_format_1_are_encoded_with_the_same_bytes() -> None:
    assert format_1() == (GOLDEN / "format-1.bin").read_bytes()


@pytest.mark.parametrize("name", ["format-1.bin", "format-2.bin"])
def test_events_are_read_to_the_same_values(name: str) -> None:
    told = read(name)
    probe = HealthCheckResult(11, 1, 1.5, [0.25])  # type: ignore[arg-type]  # its numbers are read as they stand
    expected = [probe if isinstance(event, HealthCheckResult) else event for event in EVENTS]
    assert [item.event for item in told] == expected
    assert [item.now_ms for item in told] == [100.0 + at for at in range(len(EVENTS))]
    assert [type(item.event) for item in told] == [type(event) for event in EVENTS]


def test_every_field_comes_back_at_its_place() -> None:
    told = [item.event for item in read("format-2.bin")]
    assert values(told[0]) == (1, 7, ENTRIES)
    assert [values(line) for line in ENTRIES] == [
        (11, 0, 0, 2, 0, 2.0, 0.0),
        (9223372036854775807, 1, 1, 3, 2, 0.5, 777.25),
        (13, -1, 0, 0, 1, 1.0, 5.0),
    ]
    assert values(told[4]) == (1, 0, 1400.5, 0, 0, 0.0, False, 0, False, None, True)
    assert values(told[5]) == (
        2, 1, 1900.0, 18446744073709551615, 1, 0.75, True, 3, True, frozenset({5, 11, 13}), False
    )  # fmt: skip
    assert [values(event) for event in told[6:8]] == [(2, 2000.0), (1, 0, 11, 12.5)]
    assert [values(event) for event in told[8:16]] == [
        (1, 11, result % 2 == 0, result, result, 3.5, (), False, False) for result in range(1, 9)
    ]
    assert [values(event) for event in told[16:24]] == [
        (2, 11, False, 4, 1, 9.0, (0.5, 2.0), True, True),
        (2, 0, 11, 6, 4.25, 13),
        (2, True),
        (11, 1, 1.5, [0.25]),
        (1152921504606846976,),
        (3, b"\x00\xffpost"),
        (2,),
        (2,),
    ]
    assert values(told[24]) == (SETTINGS, frozenset({0, 2}), frozenset({1}), frozenset({0, 1}))
    assert values(told[25]) == (4, 1, 5, (0.25, 0.5), ((11, 0.75), (13, 0.125)))
    assert values(told[26]) == (
        ((0.5, 0.25), (0.0, 1.0)), (0.125, 0.0), frozenset({1}), frozenset({0, 1}), (0.5, 0.0)
    )  # fmt: skip


def test_actions_are_read_to_the_same_values() -> None:
    told = read("format-2.bin")
    assert [decode_actions(item.captured_actions or b"") for item in told] == [
        decisions(at) for at in range(len(told))
    ]
    every = [values(action) for actions in ACTIONS[:2] for action in actions or ()]
    assert every == [
        (1, 11, 580.0, ()),
        (2, 13, 750.0, (11, 9223372036854775807)),
        (3, 0.0),
        (4, 599.5),
        (5,),
        (2, 1),
        (12.25, 1152921504606846976),
        (11,),
        (),
        ("shedding on: x 0.50, errors 0.2",),
    ]


def test_settings_stand_under_their_stored_names() -> None:
    stored = Segment((GOLDEN / "format-2.bin").read_bytes()).header["settings"]
    assert decode_settings(stored) == SETTINGS and encode_settings(SETTINGS)["classes"][1] == {
        "aim": 750.0, "deadline": 1900.0, "worth": 8.0, "effect": "keyed", "group": "cell", "window": 6000.0,
        "late_value": 0.25, "in_order": True,
    }  # fmt: skip
    assert {name: value for name, value in stored.items() if name != "classes"} == {
        "zone": 1, "group_size": 3, "me": 2, "quotas": [40.0, 20.0], "over_quota_worth": 0.05,
        "warm_keys": True, "ask_for_list": True, "ask_within": 8000.0, "tick": 2.0, "may_cancel": True,
        "max_attempts": 4, "max_retry_after": 600.0, "full_may_have_run": True, "key_rest": 250.0,
        "cold_from": 0.32, "ramp_time": 8800.0, "tip_multiple": 1.5, "overload_for": 900.0,
    }  # fmt: skip
    assert values(SETTINGS)[1:] == tuple(
        tuple(value) if isinstance(value, list) else value
        for name, value in stored.items()
        if name != "classes"
    )


def test_notes_of_both_machines_are_written_the_same_and_played_back() -> None:
    segment = Segment((GOLDEN / "format-2.bin").read_bytes())
    stored = [record.payload for record in segment.records() if record.kind is RecordKind.NOTE]
    assert stored == notes() and len(stored) == 24
    note_replayer = NoteReplayer()
    assert not any(note_replayer.replay(note) for note in stored)


def test_the_index_and_the_gap_are_read_to_the_same_values() -> None:
    data = (GOLDEN / "format-2.bin").read_bytes()
    segment = Segment(data)
    (gap,) = (record for record in segment.records() if record.kind is RecordKind.GAP)
    assert int.from_bytes(gap.payload) == 321 and segment.ending is SegmentEnding.WHOLE
    index = read_index(data, 0)
    assert index is not None
    assert (index.events, index.lost, index.begin, index.end) == (27, 321, 100.0, 126.0)
    assert (index.low, index.high) == (1, 2)
    ((event, now, offset),) = index.marks
    assert (event, now) == (0, 100.0) and data[offset + 8] == 5


def test_a_state_of_an_earlier_text_goes_on_with_the_same_decisions() -> None:
    """Quotas, cold servers, keys, turns, streams, a plan and a company are in it."""
    path = GOLDEN / "state.bin"
    told = replay(path)
    assert (
        told.identical and told.events == 220 and told.ending is SegmentEnding.WHOLE
    ), told.difference
    assert initial_policy(Segment(path.read_bytes())).handle(1e6, Request(1 << 40, 0, 2e6))


@pytest.mark.parametrize("again", [False, True])
def test_a_state_by_numbers_goes_on_with_the_same_decisions(again: bool) -> None:
    """As it is written today: `state-2.bin` was made of the state that `state.bin` begins with."""
    policy = load_policy((GOLDEN / "state-2.bin").read_bytes())
    if again:
        policy = load_policy(dump_policy(policy))
    for item in read_events(Segment((GOLDEN / "state.bin").read_bytes())):
        assert encode_actions(decide(policy, item.now_ms, item.event)) == item.captured_actions


def test_events_and_actions_are_shown_to_people_in_the_same_words() -> None:
    lines = [show(event) for event in EVENTS]
    lines += [show(actions) for actions in ACTIONS]
    assert lines == (GOLDEN / "shown.txt").read_text().splitlines()


def test_lives_of_requests_are_told_in_the_same_words() -> None:
    path = GOLDEN / "state.bin"
    numbers = [
        values(item.event)[0] for item in read("state.bin") if isinstance(item.event, Request)
    ]
    lines = [line for number in numbers[:12] for line in explain(path, number)]
    assert lines == (GOLDEN / "explained.txt").read_text().splitlines()


def test_differences_are_told_in_the_same_words(tmp_path: Path) -> None:
    first, second = GOLDEN / "format-2.bin", GOLDEN / "state.bin"
    lines = [line.replace(str(GOLDEN), "") for line in differences(first, second)]
    assert lines == (GOLDEN / "different.txt").read_text().splitlines()
