"""The estimate of a changed policy, the anonymised capture and the report page."""

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

CAPTURE = Path(__file__).parent / "rainy-saturday.bcap"


def test_the_same_policy_changes_nothing() -> None:
    change, segment = ChangeSummary(), Segment(CAPTURE.read_bytes())
    what_if(initial_policy(segment), read_events(segment), change)
    assert change.events > 3000 and not change.differing and not change.first_differences


def test_a_policy_that_sheds_less_and_one_that_sheds_everything(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    digest = codec.module_digest()
    monkeypatch.setattr(
        "badgercart.capture.replay.module_digest", lambda: digest | {"rules.py": "other"}
    )
    monkeypatch.setattr(overload, "IN_FLIGHT_MIN", 50.0)
    monkeypatch.setattr(overload, "IN_FLIGHT_FULL", 60.0)
    assert main(["capture", "replay", str(CAPTURE)]) == 1
    assert "text is another one now" in capsys.readouterr().err
    assert main(["capture", "replay", str(CAPTURE), "--force"]) == 1
    out = capsys.readouterr().out
    assert (
        "then: [Refuse(" in out
        and "now:  [Send(" in out
        and "requests go otherwise (estimated)" in out
    )
    change = ChangeSummary()
    segment = Segment(CAPTURE.read_bytes())
    what_if(
        Policy(codec.decode_settings(segment.header["settings"]), 7), read_events(segment), change
    )
    assert (
        change.gained_weight > 100
        and change.gained_weight > change.lost_weight
        and len(change.first_differences) == 10
    )

    monkeypatch.setattr(EndpointSelector, "select", lambda self, pending, now_ms: None)
    change = ChangeSummary()
    what_if(initial_policy(segment), read_events(segment), change)
    assert (
        change.lost_weight > 5000
        and not change.gained_weight
        and sum(change.shed_now.values()) > 1000
    )


def test_an_anonymised_capture_replays_and_holds_no_original_number(tmp_path: Path) -> None:
    output, second_output = tmp_path / "a.bcap", tmp_path / "b.bcap"
    count, requests = anonymise(CAPTURE, output)
    report = replay(output)
    assert report.identical and report.events == count and requests > 1500
    original, anonymised = (
        list(read_events(Segment(path.read_bytes()))) for path in (CAPTURE, output)
    )

    def numbers(items: list[object]) -> set[int]:
        found: set[int] = set()
        for item in items:
            event = item.event  # type: ignore[attr-defined]
            if isinstance(event, Request):
                found.add(event.key)
            elif isinstance(event, EndpointUpdate):
                found |= {entry.id for entry in event.endpoints}
            elif isinstance(event, AttemptEnded):
                found.add(event.endpoint_id)
        return found - {0}

    assert (
        not numbers(original) & numbers(anonymised)
        and len(numbers(original)) >= len(numbers(anonymised)) > 30
    )
    assert anonymised[0].now_ms == 1000.0
    head = Segment(output.read_bytes()).header
    assert head["node"] == "" and head["wall_ms"] == 0.0 and head["seed"] != 7

    def served(items: list[object]) -> int:
        return sum(getattr(item.event, "result", 0) == AttemptResult.OK for item in items)  # type: ignore[attr-defined]

    # The anonymised traffic has about the same results.
    assert served(anonymised) == pytest.approx(served(original), rel=0.1)
    anonymise(CAPTURE, second_output)
    assert output.read_bytes() != second_output.read_bytes()
    assert main(["capture", "anonymise", str(tmp_path / "a.bcap"), "-o", str(tmp_path)]) == 1


class PageParser(HTMLParser):
    """Collects the tags and the references of a page."""

    def __init__(self) -> None:
        super().__init__()
        self.links: list[str] = []
        self.tags: list[str] = []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        """Record a tag and its references."""
        self.tags.append(tag)
        self.links += [
            value or "" for name, value in attrs if name in ("src", "href", "xlink:href")
        ]


def test_a_report_is_one_page_without_outside_references(tmp_path: Path) -> None:
    output = tmp_path / "report.html"
    assert main(["capture", "report", str(CAPTURE), "-o", str(output)]) == 0
    text = output.read_text()
    page = PageParser()
    page.feed(text)
    assert all(link.startswith("#") for link in page.links) and page.tags.count("svg") == 1
    assert page.tags.count("table") == 2 and "Overload" in text and "demo" in text
    empty = tmp_path / "empty.bcap"
    empty.write_bytes(CAPTURE.read_bytes()[: Segment(CAPTURE.read_bytes()).records_offset])
    assert main(["capture", "report", str(empty), "-o", str(output)]) == 1
