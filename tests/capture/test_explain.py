"""A request's life is told from a capture, and asking changes no decision."""

from __future__ import annotations

from pathlib import Path

import pytest

from badgercart.app.cli import main
from badgercart.capture.explain import RequestTrace, explain, trace_decisions
from badgercart.capture.format import Segment
from badgercart.capture.replay import decide, find_segments, initial_policy, read_events, replay
from badgercart.policy.actions import Fail, Send, Shed
from badgercart.policy.events import Request
from tests.capture.support import captured


@pytest.fixture(scope="module")
def path(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder = tmp_path_factory.mktemp("day")
    captured(folder, 4, 900, segment_bytes=1 << 30)
    return find_segments([str(folder)])[0]


def test_the_explaining_policy_decides_as_the_plain_one(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    plain = initial_policy(Segment(path.read_bytes()))
    trace = RequestTrace(0)
    telling = trace_decisions(initial_policy(Segment(path.read_bytes())), trace)
    for item in read_events(Segment(path.read_bytes())):
        if isinstance(item.event, Request):
            trace.request_id = item.event.id  # each in turn
        assert decide(telling, item.now_ms, item.event) == decide(plain, item.now_ms, item.event)
    assert replay(path).identical and len(trace.lines) > 2000


def test_lives_that_were_refused_sent_twice_and_given_up_are_told(
    path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    sends: dict[int, int] = {}
    refused, failed = set(), set()

    def note(policy: object, now: float, event: object, actions: object) -> None:
        for action in actions or ():  # type: ignore[attr-defined]
            if isinstance(action, Send):
                sends[action.id] = sends.get(action.id, 0) + 1
            elif isinstance(action, Shed):
                refused.add(action.id)
            elif isinstance(action, Fail):
                failed.add(action.id)

    assert replay(path, note).identical
    cut = next(number for number in refused if number not in sends)
    lines = explain(path, cut)
    assert any("score " in line for line in lines) and any("cut " in line for line in lines)
    assert "refuse" in lines[-1] or "below the cut" in lines[-1]
    again = next(number for number, count in sends.items() if count > 1)
    text = "\n".join(explain(path, again))
    assert (
        text.count("send to ") == sends[again] and "attempt 0 at " in text and "could serve" in text
    )
    assert main(["capture", "explain", str(path), str(again)]) == 0
    assert "could serve" in capsys.readouterr().out
    assert main(["capture", "explain", str(path), "99999999"]) == 1
