"""The commands of `badgercart capture`, which inspect, check, replay and edit captures.

The doc comments of the commands are their help texts. Modules that need msgspec are imported in the
commands, since it is an optional dependency.
"""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import track

from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, ExitStatus

FILES = click.argument("files", nargs=-1, required=True, metavar="FILE|FOLDER...")
JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object a segment.")


def require_segments(files: tuple[str, ...]) -> list[Path]:
    """Return the segments in files and folders. Raises CommandError where there is none."""
    from badgercart.capture.replay import find_segments

    paths = find_segments(files)
    if not paths:
        raise CommandError(f"{', '.join(files)}: there is no segment", ExitStatus.USAGE)
    return paths


@click.group()
def capture() -> None:
    """Look into captures of what the policy was told, and replay them."""


@capture.command()
@FILES
@JSON
def info(files: tuple[str, ...], as_json: bool) -> None:
    """What each segment holds."""
    from badgercart.capture.format import FormatError, RecordKind, Segment, SegmentEnding
    from badgercart.capture.replay import record_events

    rows: list[dict[str, Any]] = []
    for path in require_segments(files):
        try:
            segment = Segment(path.read_bytes())
        except (FormatError, OSError) as error:
            raise CommandError(f"{path}: {error}") from None
        events = lost_events = notes = backward_jumps = 0
        first_ms = last_ms = 0.0
        for record in segment.records():
            for item in record_events(record):
                first_ms, events, backward_jumps = (
                    first_ms or item.now_ms,
                    events + 1,
                    backward_jumps + (item.now_ms < last_ms),
                )
                last_ms = item.now_ms
            if record.kind is RecordKind.GAP:
                lost_events += int.from_bytes(record.payload)
            notes += record.kind is RecordKind.NOTE
        began_at = datetime.fromtimestamp(segment.header["wall_ms"] / 1000, UTC).isoformat(
            timespec="seconds"
        )
        rows.append(
            {
                "segment": path.name,
                "format": segment.version,
                "node": segment.header["node"],
                "began": began_at,
                "events": events,
                "notes": notes,
                "from_ms": round(first_ms, 3),
                "to_ms": round(last_ms, 3),
                "clock_back": backward_jumps,
                "lost": lost_events,
                "ending": SegmentEnding(segment.ending).name.lower(),
                "bytes": len(segment.data),
            }
        )
    if as_json:
        click.echo("\n".join(map(json.dumps, rows)))
    else:
        show_table(tuple(rows[0]), [tuple(map(str, row.values())) for row in rows])


@capture.command()
@FILES
def verify(files: tuple[str, ...]) -> None:
    """Whether every record is as it was written; exit 1 if one is not, or a segment is cut off
    or missing.
    """
    from badgercart.capture.format import FormatError, Segment, SegmentEnding
    from badgercart.capture.replay import missing_segments

    paths, fault_count = require_segments(files), 0
    for message in missing_segments(paths):
        click.echo(message)
        fault_count += 1
    for path in paths:
        try:
            segment = Segment(path.read_bytes())
            record_count = sum(1 for _ in segment.records())
        except (FormatError, OSError) as error:
            click.echo(f"{path}: {error}")
            fault_count += 1
            continue
        ending = SegmentEnding(segment.ending)
        state = (
            "whole"
            if ending is SegmentEnding.WHOLE
            else f"{ending.name.lower()} at byte {segment.usable_bytes}"
        )
        click.echo(f"{path}: {record_count} records, {state}")
        fault_count += ending is not SegmentEnding.WHOLE
    raise click.exceptions.Exit(ExitStatus.FAILED if fault_count else ExitStatus.DONE)


@capture.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "-o", "--output", required=True, type=click.Path(), help="Where the mended segment goes."
)
def repair(file: str, output: str) -> None:
    """Keep what is whole of a segment that was cut off or damaged, and close it."""
    from badgercart.capture.format import FormatError, RecordKind, Segment

    try:
        segment = Segment(Path(file).read_bytes())
    except FormatError as error:
        raise CommandError(f"{file}: {error}") from None
    records = list(segment.records())
    index_offset = next((record.offset for record in records if record.kind is RecordKind.INDEX), 0)
    end_record = (
        b"" if records and records[-1].kind is RecordKind.END else segment.end_record(index_offset)
    )
    Path(output).write_bytes(segment.data[: segment.usable_bytes] + end_record)
    click.echo(
        f"{output}: {len(records)} records kept, {len(segment.data) - segment.usable_bytes} bytes left out"
    )


@capture.command()
@FILES
@click.option(
    "--force",
    is_flag=True,
    help="Where the policy's text is another one than it was then, say what changes.",
)
def replay(files: tuple[str, ...], force: bool) -> None:
    """Decide everything anew; exit 0 only where all decisions are the same."""
    from badgercart.capture.replay import missing_segments, replay_all
    from badgercart.capture.words import show

    paths, differing_segments, events, notes, changed = require_segments(files), 0, 0, 0, []
    for segment_report in track(
        replay_all(paths),
        "replaying",
        total=len(paths),
        console=Console(stderr=True),
        disable=is_quiet(),
    ):
        if segment_report.policy_changed:
            if not force:
                raise CommandError(
                    f"{segment_report.name}: the policy's text is another one now; --force says what that changes"
                )
            changed.append(segment_report.name)
        events, notes = events + segment_report.events, notes + segment_report.notes
        for fault in segment_report.faults:
            click.echo(f"{segment_report.name}: {fault}")
        if (difference := segment_report.difference) is not None:
            click.echo(
                f"{segment_report.name}: event {difference.event_number} at {difference.now_ms:.3f} ms is decided otherwise"
            )
            click.echo(f"  {show(difference.event)}\n  now:  {show(difference.actions)}")
            if difference.captured_actions is not None:
                click.echo(f"  then: {show(difference.captured_actions)}")
        differing_segments += not segment_report.identical
    for message in missing_segments(paths):
        click.echo(message)
    notes_text = f", {notes} notes of other machines" if notes else ""
    click.echo(
        f"{events} events{notes_text}, {len(paths)} segments: {'differing' if differing_segments else 'identical'}"
    )
    if changed and differing_segments:
        show_policy_change([path for path in paths if path.name in changed])
    raise click.exceptions.Exit(ExitStatus.FAILED if differing_segments else ExitStatus.DONE)


def is_quiet() -> bool:
    """Return whether no progress bar is shown, since standard error is not a terminal."""
    return not Console(stderr=True).is_terminal


def show_policy_change(paths: list[Path]) -> None:
    """Print what the present policy would have changed, by the assumptions of `whatif`."""
    from badgercart.capture.codec import CodecError
    from badgercart.capture.format import FormatError, Segment
    from badgercart.capture.replay import initial_policy, read_events
    from badgercart.capture.whatif import ChangeSummary, what_if

    change = ChangeSummary()
    for path in track(paths, "what if", console=Console(stderr=True), disable=is_quiet()):
        try:
            segment = Segment(path.read_bytes())
            what_if(initial_policy(segment), read_events(segment), change)
        except (FormatError, CodecError, OSError) as error:
            click.echo(f"{path}: {error}")
    sent, shed = sum(change.sent_now.values()), sum(change.shed_now.values())
    click.echo(f"by the policy of now, {change.differing} requests go otherwise (estimated):")
    click.echo(f"  sent elsewhere {change.sent_elsewhere}")
    click.echo(f"  sent, turned away then {sent}: worth {change.gained_weight:g}")
    click.echo(f"  turned away, sent then {shed}: worth {change.lost_weight:g}")
    for line in change.first_differences:
        click.echo(f"  {line}")


@capture.command()
@FILES
@click.argument("number", type=int)
def explain(files: tuple[str, ...], number: int) -> None:
    """Why request NUMBER went as it did, line by line."""
    from badgercart.capture.codec import CodecError
    from badgercart.capture.explain import explain as explain_request
    from badgercart.capture.format import FormatError

    found = False
    for path in require_segments(files):
        try:
            lines = explain_request(path, number)
        except (FormatError, CodecError, OSError) as error:
            raise CommandError(f"{path}: {error}") from None
        if lines:
            found = True
            click.echo(f"{path}:")
            click.echo("\n".join(lines))
    if not found:
        raise CommandError(f"no event is about request {number}")


@capture.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--from", "begin", type=float, default=0.0, help="ms on the node's clock, as in `info`."
)
@click.option("--to", "end", type=float, default=float("inf"), help="ms on the node's clock.")
@click.option("-o", "--output", required=True, type=click.Path(), help="Where the stretch goes.")
def cut(file: str, begin: float, end: float, output: str) -> None:
    """A stretch of a segment as one of its own, which replays from its first event."""
    from badgercart.capture.codec import CodecError
    from badgercart.capture.edit import extract
    from badgercart.capture.format import FormatError

    try:
        count = extract(Path(file), Path(output), begin, end)
    except (FormatError, CodecError, OSError) as error:
        raise CommandError(f"{file}: {error}") from None
    click.echo(f"{output}: {count} events")


@capture.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "-o", "--output", required=True, type=click.Path(), help="Where the new capture goes."
)
def anonymise(file: str, output: str) -> None:
    """A segment under other names, decided anew: a night like it that gives no key, server or
    tenant away.
    """
    from badgercart.capture.anonymise import anonymise as anonymise_segment
    from badgercart.capture.codec import CodecError
    from badgercart.capture.format import FormatError

    try:
        events, requests = anonymise_segment(Path(file), Path(output))
    except (FormatError, CodecError, OSError) as error:
        raise CommandError(f"{file}: {error}") from None
    click.echo(f"{output}: {events} events of {requests} requests, decided anew under other names")


@capture.command()
@FILES
@click.option("-o", "--output", required=True, type=click.Path(), help="The page to write, HTML.")
def report(files: tuple[str, ...], output: str) -> None:
    """One page with the course of x and cut, requests, errors, refusals and servers."""
    from badgercart.capture.codec import CodecError
    from badgercart.capture.format import FormatError
    from badgercart.capture.report import CaptureSummary, render_page

    summary, paths = CaptureSummary(), require_segments(files)
    for path in track(paths, "reading", console=Console(stderr=True), disable=is_quiet()):
        try:
            summary.read(path)
        except (FormatError, CodecError, OSError) as error:
            raise CommandError(f"{path}: {error}") from None
    if not summary.points:
        raise CommandError(f"{', '.join(files)}: there is no event")
    try:
        Path(output).write_text(render_page(summary))
    except ImportError as error:
        raise CommandError(f"a report takes matplotlib (extra capture-report): {error}") from None
    click.echo(f"{output}: {summary.events} events")


@capture.command()
@click.argument("first", type=click.Path(exists=True, dir_okay=False))
@click.argument("second", type=click.Path(exists=True, dir_okay=False))
def diff(first: str, second: str) -> None:
    """Where two segments differ first, in events and in decisions; exit 1 if they do."""
    from badgercart.capture.codec import CodecError
    from badgercart.capture.edit import differences
    from badgercart.capture.format import FormatError

    try:
        lines = list(differences(Path(first), Path(second)))
    except (FormatError, CodecError, OSError) as error:
        raise CommandError(str(error)) from None
    for line in lines:
        click.echo(line)
    raise click.exceptions.Exit(ExitStatus.FAILED if lines else ExitStatus.DONE)
