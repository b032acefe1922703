"""The log of `serve`: its fields, its limits, a blocked sink, and request contents kept out of it."""

from __future__ import annotations

import contextlib
import json
import logging
import os
import re
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from badgercart.app import logs, registry
from badgercart.app.log_events import LINES_DROPPED
from badgercart.core import log_events as events
from tests.app.test_file import ROOT, VALID_TEXT
from tests.net import WAIT_S

log = logging.getLogger("badgercart.tests")


@contextmanager
def running_sink(fd: int, **settings: Any) -> Iterator[logs.Sink]:
    open_sink = logs.Sink("n-1", logs.Log(**settings), fd)
    log.addHandler(open_sink)
    log.setLevel(logging.INFO)
    log.propagate = False
    try:
        yield open_sink
    finally:
        log.propagate = True
        log.removeHandler(open_sink)
        open_sink.close()


def read_lines(fd: int) -> list[dict[str, Any]]:
    with os.fdopen(fd, "rb") as file:
        return [json.loads(line) for line in file.read().splitlines()]


def log_event(event: events.LogEvent, /, **fields: Any) -> None:
    log.log(event.level, event.words, fields, extra={"event": event.name})


def test_events_and_lines_of_libraries_become_lines_with_fields() -> None:
    read, write = os.pipe()
    with running_sink(write):
        log_event(events.LIST_TAKEN, version=7, kind="full", changed="a ready")
        log.info("of a library, %s", "with arguments")
        log.info("can't be worded: %d", "x")
        try:
            raise ValueError("odd")
        except ValueError:
            log.error("with a traceback", exc_info=True)
    os.close(write)
    taken, library, unworded, broken = read_lines(read)
    assert taken.pop("timestamp").endswith("Z")
    assert taken == {
        "event": "list.taken", "level": "info", "node": "n-1", "message": "list 7, full: a ready",
        "version": 7, "kind": "full", "changed": "a ready",
    }  # fmt: skip
    assert library["event"] == "library.message"
    assert library["message"] == "of a library, with arguments"
    assert library["logger"] == "badgercart.tests"
    assert "can't be formatted" in unworded["message"]
    assert "ValueError: odd" in broken["exception"]


def test_a_blocked_sink_does_not_block_callers_and_counts_drops() -> None:
    read, write = os.pipe()
    os.set_blocking(write, True)
    with running_sink(write, queue_lines=10) as open_sink:
        # Far more than a pipe buffers; this thread must not wait for the reader.
        for number in range(20_000):
            log.info("line %d %s", number, "x" * 100)
        assert open_sink.dropped > 0
        reader = threading.Thread(target=lambda: lines.extend(read_lines(read)))
        lines: list[dict[str, Any]] = []
        reader.start()
        while open_sink.waiting.qsize():
            pass
        log.info("the last")
        while open_sink.waiting.qsize():
            pass
    os.close(write)
    reader.join(WAIT_S)
    dropped = sum(line["count"] for line in lines if line["event"] == LINES_DROPPED.name)
    assert dropped + sum(line["message"].startswith("line ") for line in lines) == 20_000
    assert lines[-1]["message"] == "the last"


def fill(write: int) -> None:
    """Write to a pipe until it takes no more, so that the next write blocks."""
    os.set_blocking(write, False)
    for size in (4096, 1):
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(write, bytes(size))
    os.set_blocking(write, True)


def test_closing_does_not_wait_for_a_blocked_sink(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(logs, "FLUSH_TIMEOUT_S", 0.05)
    read, write = os.pipe()
    fill(write)
    with running_sink(write, queue_lines=10) as open_sink:
        for _ in range(2000):
            log.info("x" * 1000)
    # The thread is blocked in its write, and was not waited for.
    assert open_sink.thread.is_alive()
    data = os.read(read, 1 << 20)
    assert data
    # Unblocks the thread.
    os.close(read)


def test_a_closed_pipe_ends_only_the_log() -> None:
    read, write = os.pipe()
    os.close(read)
    with running_sink(write) as open_sink:
        for _ in range(3):
            log.info("into nothing")
        open_sink.close()
        assert open_sink.broken
        log.info("still nothing")
    os.close(write)


def test_a_repeated_warning_is_one_line_with_a_count() -> None:
    read, write, odd = *os.pipe(), events.LIST_KNOWN_MALFORMED
    with running_sink(write) as open_sink:
        repeat_filter = next(
            log_filter
            for log_filter in open_sink.filters
            if isinstance(log_filter, events.RepeatedWarningFilter)
        )
        for number in range(500):
            log_event(odd, error=number)
        assert repeat_filter.seen[odd.words][1] == 499
        # As if the last line had been written long ago.
        repeat_filter.seen[odd.words] = (0.0, 499)
        log_event(odd, error=500)
        for number in range(events.MAX_TRACKED_MESSAGES + 10):
            log.warning(f"odd {number}")
        assert len(repeat_filter.seen) == events.MAX_TRACKED_MESSAGES
    os.close(write)
    first, again, *_ = read_lines(read)
    assert first["error"] == 0
    assert (again["error"], again["left_out"]) == (500, 499)


def test_every_event_is_defined_once_and_documented() -> None:
    registry.load_events()
    pages = "".join(page.read_text() for page in (ROOT / "docs" / "operators").glob("*.md"))
    for name, event in events.LOG_EVENTS.items():
        assert re.fullmatch(r"[a-z]+\.[a-z_]+", name)
        assert event.meaning.endswith(".")
        assert f"| `{name}` |" in pages
    with pytest.raises(ValueError, match="the event list.taken is already defined"):
        events.define_event("list.taken", logging.INFO, "", "")
    sources = "".join(path.read_text() for path in (ROOT / "badgercart").rglob("*.py"))
    calls = set(re.findall(r"\blog(?:ger)?\.(?:info|warning|error|exception|debug)\(", sources))
    # All lines go through the table of events.
    assert not calls


@pytest.mark.parametrize("broken_pipe", [False, True])
def test_serve_logs_json_without_request_contents_and_sighup_sets_the_level(
    tmp_path: Path, broken_pipe: bool
) -> None:
    path = tmp_path / "site.toml"
    path.write_text(VALID_TEXT)
    process = subprocess.Popen(
        [sys.executable, "-m", "badgercart", "serve", str(path)], stderr=subprocess.PIPE, text=True
    )
    assert process.stderr is not None
    lines: list[dict[str, Any]] = []

    def read_until(event: str) -> dict[str, Any]:
        assert process.stderr is not None
        for line in process.stderr:
            lines.append(json.loads(line))
            if lines[-1]["event"] == event:
                return lines[-1]
        raise AssertionError(f"no {event} in {lines}")

    port = read_until("http.listening")["port"]

    def send_request(head: str, body: str) -> bytes:
        with socket.create_connection(("127.0.0.1", port), WAIT_S) as client:
            client.sendall(f"{head}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            return client.recv(65536)

    planted = "planted-5f1c"
    book = (
        "POST /book/cab7 HTTP/1.1\r\nRequest-Id: r-77\r\nRequest-Timeout: 900m\r\n"
        f"Idempotency-Key: {planted}"
    )
    # There is no server: the request is shed at once.
    assert b" 503 " in send_request(book, planted)
    assert b" 400 " in send_request(book.replace("900m", planted), planted)
    path.write_text(VALID_TEXT + '[log]\nlevel = "debug"\n[node]\nname = "other"\n')
    process.send_signal(signal.SIGHUP)
    read_until("config.read")
    restart = next(line for line in lines if line["event"] == "config.restart_needed")
    assert restart["settings"] == "node.name"
    assert b" 503 " in send_request(book, planted)
    finished = read_until("request.over")
    assert (finished["request_id"], finished["class"], finished["outcome"]) == (
        "r-77",
        "book",
        "refused",
    )
    if broken_pipe:
        process.stderr.close()
        assert b" 503 " in send_request(book, planted)
    process.send_signal(signal.SIGTERM)
    if not broken_pipe:
        read_until("node.stopped")
        assert process.stderr.read() == ""
        process.stderr.close()
    assert process.wait(WAIT_S) == 0
    assert planted not in json.dumps(lines)
