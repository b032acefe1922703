"""The log of `serve`: its fields, its bounds, a sink that stands still, and what must never be in
it."""

from __future__ import annotations

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
from tests.app.test_file import GOOD, ROOT
from tests.net import WAIT_S

log = logging.getLogger("badgercart.tests")


@contextmanager
def sink(fd: int, **settings: Any) -> Iterator[logs.Sink]:
    made = logs.Sink("n-1", logs.Log(**settings), fd)
    log.addHandler(made)
    log.setLevel(logging.INFO)
    log.propagate = False
    try:
        yield made
    finally:
        log.propagate = True
        log.removeHandler(made)
        made.close()


def written(fd: int) -> list[dict[str, Any]]:
    with os.fdopen(fd, "rb") as file:
        return [json.loads(line) for line in file.read().splitlines()]


def tell(event: events.LogEvent, /, **fields: Any) -> None:
    log.log(event.level, event.words, fields, extra={"event": event.name})


def test_an_event_is_a_line_with_its_fields_and_a_librarys_line_is_one_too() -> None:
    read, write = os.pipe()
    with sink(write):
        tell(events.LIST_TAKEN, version=7, kind="full", changed="a ready")
        log.info("of a library, %s", "with arguments")
        log.info("can't be worded: %d", "x")
        try:
            raise ValueError("odd")
        except ValueError:
            log.error("with a traceback", exc_info=True)
    os.close(write)
    taken, library, unworded, broken = written(read)
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


def test_a_blocked_sink_blocks_no_caller_and_drops_are_counted() -> None:
    read, write = os.pipe()
    os.set_blocking(write, True)
    with sink(write, queue_lines=10) as made:
        for number in range(20_000):  # far more than a pipe holds; this thread must not wait for it
            log.info("line %d %s", number, "x" * 100)
        assert made.dropped > 0
        reader = threading.Thread(target=lambda: lines.extend(written(read)))
        lines: list[dict[str, Any]] = []
        reader.start()
        while made.waiting.qsize():
            pass
        log.info("the last")
        while made.waiting.qsize():
            pass
    os.close(write)
    reader.join(WAIT_S)
    dropped = sum(line["count"] for line in lines if line["event"] == LINES_DROPPED.name)
    assert dropped + sum(line["message"].startswith("line ") for line in lines) == 20_000
    assert lines[-1]["message"] == "the last"


def test_closing_does_not_wait_for_a_blocked_sink(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(logs, "FLUSH_TIMEOUT_S", 0.05)
    read, write = os.pipe()
    with sink(write, queue_lines=10) as made:
        for _ in range(2000):
            log.info("x" * 1000)
    assert made.thread.is_alive()  # stuck in its write, and left behind
    written_off = os.read(read, 1 << 20)
    assert written_off
    os.close(read)  # lets it go


def test_a_closed_pipe_ends_the_log_and_nothing_else() -> None:
    read, write = os.pipe()
    os.close(read)
    with sink(write) as made:
        for _ in range(3):
            log.info("into nothing")
        made.close()
        assert made.broken
        log.info("still nothing")
    os.close(write)


def test_a_flood_of_one_warning_is_one_line_with_a_count() -> None:
    read, write, odd = *os.pipe(), events.LIST_KNOWN_MALFORMED
    with sink(write) as made:
        sparse = next(f for f in made.filters if isinstance(f, events.RepeatedWarningFilter))
        for number in range(500):
            tell(odd, error=number)
        assert sparse.seen[odd.words][1] == 499
        sparse.seen[odd.words] = (0.0, 499)  # as if it were long ago
        tell(odd, error=500)
        for number in range(events.MAX_TRACKED_MESSAGES + 10):
            log.warning(f"odd {number}")
        assert len(sparse.seen) == events.MAX_TRACKED_MESSAGES
    os.close(write)
    first, again, *_ = written(read)
    assert first["error"] == 0
    assert (again["error"], again["left_out"]) == (500, 499)


def test_every_event_stands_once_in_the_table_and_on_a_page_with_words_for_its_fields() -> None:
    registry.load_events()
    pages = "".join(page.read_text() for page in (ROOT / "docs" / "operators").glob("*.md"))
    for name, event in events.LOG_EVENTS.items():
        assert re.fullmatch(r"[a-z]+\.[a-z_]+", name)
        assert event.meaning.endswith(".")
        assert f"| `{name}` |" in pages
    with pytest.raises(ValueError, match="the event list.taken is already defined"):
        events.define_event("list.taken", logging.INFO, "", "")
    used = "".join(path.read_text() for path in (ROOT / "badgercart").rglob("*.py"))
    calls = set(re.findall(r"\blog(?:ger)?\.(?:info|warning|error|exception|debug)\(", used))
    assert not calls  # all go through the table


@pytest.mark.parametrize("broken_pipe", [False, True])
def test_serve_logs_json_without_request_contents_and_takes_its_level_by_sighup(
    tmp_path: Path, broken_pipe: bool
) -> None:
    path = tmp_path / "site.toml"
    path.write_text(GOOD)
    process = subprocess.Popen(
        [sys.executable, "-m", "badgercart", "serve", str(path)], stderr=subprocess.PIPE, text=True
    )
    assert process.stderr is not None
    lines: list[dict[str, Any]] = []

    def until(event: str) -> dict[str, Any]:
        assert process.stderr is not None
        for line in process.stderr:
            lines.append(json.loads(line))
            if lines[-1]["event"] == event:
                return lines[-1]
        raise AssertionError(f"no {event} in {lines}")

    port = until("http.listening")["port"]

    def ask(head: str, body: str) -> bytes:
        with socket.create_connection(("127.0.0.1", port), WAIT_S) as client:
            client.sendall(f"{head}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            return client.recv(65536)

    planted = "planted-5f1c"
    book = (
        "POST /book/cab7 HTTP/1.1\r\nRequest-Id: r-77\r\nRequest-Timeout: 900m\r\n"
        f"Idempotency-Key: {planted}"
    )
    assert b" 503 " in ask(book, planted)  # there is no server: refused at once
    assert b" 400 " in ask(book.replace("900m", planted), planted)
    path.write_text(GOOD + '[log]\nlevel = "debug"\n[node]\nname = "other"\n')
    process.send_signal(signal.SIGHUP)
    until("config.read")
    restart = next(line for line in lines if line["event"] == "config.restart_needed")
    assert restart["settings"] == "node.name"
    assert b" 503 " in ask(book, planted)
    over = until("request.over")
    assert (over["request_id"], over["class"], over["outcome"]) == ("r-77", "book", "refused")
    if broken_pipe:
        process.stderr.close()
        assert b" 503 " in ask(book, planted)
    process.send_signal(signal.SIGTERM)
    if not broken_pipe:
        until("node.stopped")
        assert process.stderr.read() == ""
        process.stderr.close()
    assert process.wait(WAIT_S) == 0
    assert planted not in json.dumps(lines)
