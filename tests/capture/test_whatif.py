"""What another policy changes, a night under other names, and the page that shows one."""

from __future__ import annotations

from html.parser import HTMLParser
from pathlib import Path

import pytest

from badgercart.app.cli import main
from badgercart.capture import codec
from badgercart.capture.anonymise import anonymise
from badgercart.capture.format import Segment
from badgercart.capture.replay import initial_policy, read_events, replay
from badgercart.capture.whatif import ChangeSummary, what_if
from badgercart.policy import overload
from badgercart.policy.events import AttemptEnded, AttemptResult, EndpointUpdate, Request
from badgercart.policy.policy import Policy
from badgercart.policy.selection import EndpointSelector

DAY = Path(__file__).parent / "rainy-saturday.bcap"


def test_the_same_policy_changes_nothing() -> None:
    change, segment = ChangeSummary(), Segment(DAY.read_bytes())
    what_if(initial_policy(segment), read_events(segment), change)
    assert change.events > 3000 and not change.differing and not change.first


def test_a_policy_that_refuses_less_and_one_that_refuses_all(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    real = codec.module_digest()
    monkeypatch.setattr(
        "badgercart.capture.replay.module_digest", lambda: real | {"rules.py": "other"}
    )
    monkeypatch.setattr(overload, "IN_FLIGHT_MIN", 50.0)
    monkeypatch.setattr(overload, "IN_FLIGHT_FULL", 60.0)
    assert main(["capture", "replay", str(DAY)]) == 1
    assert "text is another one now" in capsys.readouterr().err
    assert main(["capture", "replay", str(DAY), "--force"]) == 1
    out = capsys.readouterr().out
    assert (
        "then: [Refuse(" in out
        and "now:  [Send(" in out
        and "requests go otherwise (estimated)" in out
    )
    change = ChangeSummary()
    segment = Segment(DAY.read_bytes())
    what_if(
        Policy(codec.decode_settings(segment.header["settings"]), 7), read_events(segment), change
    )
    assert change.gained > 100 and change.gained > change.lost and len(change.first) == 10

    monkeypatch.setattr(EndpointSelector, "select", lambda self, pending, now_ms: None)
    change = ChangeSummary()
    what_if(initial_policy(segment), read_events(segment), change)
    assert change.lost > 5000 and not change.gained and sum(change.refused_now.values()) > 1000


def test_a_night_under_other_names_replays_and_gives_no_name_away(tmp_path: Path) -> None:
    out, again = tmp_path / "a.bcap", tmp_path / "b.bcap"
    count, requests = anonymise(DAY, out)
    told = replay(out)
    assert told.identical and told.events == count and requests > 1500
    then, now = (list(read_events(Segment(path.read_bytes()))) for path in (DAY, out))

    def numbers(items: list[object]) -> set[int]:
        found: set[int] = set()
        for item in items:
            event = item.event  # type: ignore[attr-defined]
            if isinstance(event, Request):
                found.add(event.key)
            elif isinstance(event, EndpointUpdate):
                found |= {line.id for line in event.endpoints}
            elif isinstance(event, AttemptEnded):
                found.add(event.endpoint_id)
        return found - {0}

    assert not numbers(then) & numbers(now) and len(numbers(then)) >= len(numbers(now)) > 30
    assert now[0].now_ms == 1000.0
    head = Segment(out.read_bytes()).header
    assert head["node"] == "" and head["wall_ms"] == 0.0 and head["seed"] != 7

    def served(items: list[object]) -> int:
        return sum(getattr(i.event, "result", 0) == AttemptResult.OK for i in items)  # type: ignore[attr-defined]

    assert served(now) == pytest.approx(served(then), rel=0.1)  # a night like it
    anonymise(DAY, again)
    assert out.read_bytes() != again.read_bytes()
    assert main(["capture", "anonymise", str(tmp_path / "a.bcap"), "-o", str(tmp_path)]) == 1


class Page(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.links: list[str] = []
        self.tags: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.tags.append(tag)
        self.links += [
            value or "" for name, value in attrs if name in ("src", "href", "xlink:href")
        ]


def test_a_report_is_one_page_without_outside_references(tmp_path: Path) -> None:
    out = tmp_path / "night.html"
    assert main(["capture", "report", str(DAY), "-o", str(out)]) == 0
    text = out.read_text()
    page = Page()
    page.feed(text)
    assert all(link.startswith("#") for link in page.links) and page.tags.count("svg") == 1
    assert page.tags.count("table") == 2 and "Overload" in text and "demo" in text
    empty = tmp_path / "empty.bcap"
    empty.write_bytes(DAY.read_bytes()[: Segment(DAY.read_bytes()).records_offset])
    assert main(["capture", "report", str(empty), "-o", str(out)]) == 1
