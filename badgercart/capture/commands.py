"""`badgercart capture`: what a capture holds, whether it is whole, and what the policy decides
by it now."""

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


def found(files: tuple[str, ...]) -> list[Path]:
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
    for path in found(files):
        try:
            segment = Segment(path.read_bytes())
        except (FormatError, OSError) as error:
            raise CommandError(f"{path}: {error}") from None
        count = lost = notes = jumps = 0
        first = last = 0.0
        for record in segment.records():
            for item in record_events(record):
                first, count, jumps = first or item.now_ms, count + 1, jumps + (item.now_ms < last)
                last = item.now_ms
            if record.kind is RecordKind.GAP:
                lost += int.from_bytes(record.payload)
            notes += record.kind is RecordKind.NOTE
        began = datetime.fromtimestamp(segment.header["wall_ms"] / 1000, UTC).isoformat(
            timespec="seconds"
        )
        rows.append(
            {
                "segment": path.name,
                "format": segment.version,
                "node": segment.header["node"],
                "began": began,
                "events": count,
                "notes": notes,
                "from_ms": round(first, 3),
                "to_ms": round(last, 3),
                "clock_back": jumps,
                "lost": lost,
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
    or missing."""
    from badgercart.capture.format import FormatError, Segment, SegmentEnding
    from badgercart.capture.replay import missing_segments

    paths, bad = found(files), 0
    for words in missing_segments(paths):
        click.echo(words)
        bad += 1
    for path in paths:
        try:
            segment = Segment(path.read_bytes())
            count = sum(1 for _ in segment.records())
        except (FormatError, OSError) as error:
            click.echo(f"{path}: {error}")
            bad += 1
            continue
        ending = SegmentEnding(segment.ending)
        words = (
            "whole"
            if ending is SegmentEnding.WHOLE
            else f"{ending.name.lower()} at byte {segment.usable_bytes}"
        )
        click.echo(f"{path}: {count} records, {words}")
        bad += ending is not SegmentEnding.WHOLE
    raise click.exceptions.Exit(ExitStatus.FAILED if bad else ExitStatus.DONE)


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
    index = next((record.offset for record in records if record.kind is RecordKind.INDEX), 0)
    end = b"" if records and records[-1].kind is RecordKind.END else segment.end_record(index)
    Path(output).write_bytes(segment.data[: segment.usable_bytes] + end)
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

    paths, bad, events, notes, others = found(files), 0, 0, 0, []
    for told in track(
        replay_all(paths),
        "replaying",
        total=len(paths),
        console=Console(stderr=True),
        disable=quiet(),
    ):
        if told.policy_changed:
            if not force:
                raise CommandError(
                    f"{told.name}: the policy's text is another one now; --force says what that changes"
                )
            others.append(told.name)
        events, notes = events + told.events, notes + told.notes
        for fault in told.faults:
            click.echo(f"{told.name}: {fault}")
        if (other := told.difference) is not None:
            click.echo(
                f"{told.name}: event {other.event_number} at {other.now_ms:.3f} ms is decided otherwise"
            )
            click.echo(f"  {show(other.event)}\n  now:  {show(other.actions)}")
            if other.captured_actions is not None:
                click.echo(f"  then: {show(other.captured_actions)}")
        bad += not told.identical
    for words in missing_segments(paths):
        click.echo(words)
    more = f", {notes} notes of other machines" if notes else ""
    click.echo(
        f"{events} events{more}, {len(paths)} segments: {'differing' if bad else 'identical'}"
    )
    if others and bad:
        show_change([path for path in paths if path.name in others])
    raise click.exceptions.Exit(ExitStatus.FAILED if bad else ExitStatus.DONE)


def quiet() -> bool:
    return not Console(stderr=True).is_terminal


def show_change(paths: list[Path]) -> None:
    """What another policy would have made of the night, by the assumptions of `whatif`."""
    from badgercart.capture.codec import CodecError
    from badgercart.capture.format import FormatError, Segment
    from badgercart.capture.replay import initial_policy, read_events
    from badgercart.capture.whatif import ChangeSummary, what_if

    change = ChangeSummary()
    for path in track(paths, "what if", console=Console(stderr=True), disable=quiet()):
        try:
            segment = Segment(path.read_bytes())
            what_if(initial_policy(segment), read_events(segment), change)
        except (FormatError, CodecError, OSError) as error:
            click.echo(f"{path}: {error}")
    sent, refused = sum(change.sent_now.values()), sum(change.refused_now.values())
    click.echo(f"by the policy of now, {change.differing} requests go otherwise (estimated):")
    click.echo(f"  sent elsewhere {change.elsewhere}")
    click.echo(f"  sent, turned away then {sent}: worth {change.gained:g}")
    click.echo(f"  turned away, sent then {refused}: worth {change.lost:g}")
    for line in change.first:
        click.echo(f"  {line}")


@capture.command()
@FILES
@click.argument("number", type=int)
def explain(files: tuple[str, ...], number: int) -> None:
    """Why request NUMBER went as it did, line by line."""
    from badgercart.capture.codec import CodecError
    from badgercart.capture.explain import explain as told
    from badgercart.capture.format import FormatError

    there = False
    for path in found(files):
        try:
            lines = told(path, number)
        except (FormatError, CodecError, OSError) as error:
            raise CommandError(f"{path}: {error}") from None
        if lines:
            there = True
            click.echo(f"{path}:")
            click.echo("\n".join(lines))
    if not there:
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
    from badgercart.capture.edit import cut as cut_out
    from badgercart.capture.format import FormatError

    try:
        count = cut_out(Path(file), Path(output), begin, end)
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
    tenant away."""
    from badgercart.capture.anonymise import anonymise as rename
    from badgercart.capture.codec import CodecError
    from badgercart.capture.format import FormatError

    try:
        count, requests = rename(Path(file), Path(output))
    except (FormatError, CodecError, OSError) as error:
        raise CommandError(f"{file}: {error}") from None
    click.echo(f"{output}: {count} events of {requests} requests, decided anew under other names")


@capture.command()
@FILES
@click.option("-o", "--output", required=True, type=click.Path(), help="The page to write, HTML.")
def report(files: tuple[str, ...], output: str) -> None:
    """One page with the course of x and cut, requests, errors, refusals and servers."""
    from badgercart.capture.codec import CodecError
    from badgercart.capture.format import FormatError
    from badgercart.capture.report import Course, page

    course, paths = Course(), found(files)
    for path in track(paths, "reading", console=Console(stderr=True), disable=quiet()):
        try:
            course.read(path)
        except (FormatError, CodecError, OSError) as error:
            raise CommandError(f"{path}: {error}") from None
    if not course.rows:
        raise CommandError(f"{', '.join(files)}: there is no event")
    try:
        Path(output).write_text(page(course))
    except ImportError as error:
        raise CommandError(f"a report takes matplotlib (extra capture-report): {error}") from None
    click.echo(f"{output}: {course.events} events")


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
