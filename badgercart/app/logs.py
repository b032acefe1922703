"""The log of `serve`: events as JSON lines, or for people on a terminal, by a thread that nobody
waits for.

Why structlog: processors that turn a record of the standard library, as every module and library
writes them, into fields, and renderers for both forms. The queue and its writer are ours: the
library's own, and the standard's, hold up whoever logs, or the end of the process, where the sink
stands still.
"""

from __future__ import annotations

import json
import logging
import os
import queue
import sys
import threading
from datetime import UTC, datetime
from typing import Any, Literal

import structlog
from pydantic import Field
from structlog.typing import EventDict

from badgercart.app.log_events import LIBRARY, LINES_DROPPED, REQUEST_OVER
from badgercart.app.model import Table
from badgercart.config import Config
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.log_events import WarningThrottle
from badgercart.core.ports import IncomingRequest, RequestOutcome
from badgercart.core.request_pipeline import RequestPipeline

PATIENCE = 1.0  # s for what is written at the end of the process
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class Log(Table, title="Log"):
    """what is logged, to standard error; SIGHUP takes its level anew"""

    level: Literal["debug", "info", "warning", "error"] = Field(
        "info", description="the least level that is logged; debug has a line for each request"
    )
    format: Literal["auto", "json", "console"] = Field(
        "auto", description="JSON lines, or for people; auto: for people on a terminal"
    )
    queue_lines: int = Field(
        10_000,
        ge=10,
        le=1_000_000,
        description="lines that wait for a slow reader; more are dropped",
    )


def record_fields(_: Any, __: str, told: EventDict) -> EventDict:
    """A record of the standard library as an event and its fields."""
    record: logging.LogRecord = told["_record"]
    given, message = told.pop("positional_args", ()), told["event"]
    name = getattr(record, "event", None)
    fields = given if isinstance(given, dict) else {}
    if name is None:
        name, fields = LIBRARY.name, {"logger": record.name}
    for key, value in fields.items():
        told[key] = value if isinstance(value, int | float) else str(value)
    told.update(event=name, message=message)
    if (left_out := getattr(record, "left_out", 0)) > 0:
        told["left_out"] = left_out
    return told


def stamp(_: Any, __: str, told: EventDict) -> EventDict:
    """The time of the record, not of its writing: it may have waited."""
    record: logging.LogRecord = told["_record"]
    at = datetime.fromtimestamp(record.created, UTC)
    told["timestamp"] = at.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return told


def formatter(node: str, as_json: bool) -> logging.Formatter:
    def named(_: Any, __: str, told: EventDict) -> EventDict:
        told.setdefault("node", node)
        return told

    last: list[Any] = [structlog.stdlib.ProcessorFormatter.remove_processors_meta]
    if as_json:
        last += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        last += [structlog.dev.ConsoleRenderer(colors=True)]
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[structlog.stdlib.add_log_level, record_fields, named, stamp],
        processors=last,
        pass_foreign_args=True,
    )


class Sink(logging.Handler):
    """Hands records to a thread that formats and writes them. Where it can't follow, lines are
    dropped."""

    def __init__(self, node: str, settings: Log, fd: int = 2) -> None:
        super().__init__()
        self.fd = fd
        terminal = settings.format == "auto" and os.isatty(fd)
        self.setFormatter(formatter(node, as_json=not terminal and settings.format != "console"))
        self.addFilter(WarningThrottle())
        self.waiting: queue.Queue[logging.LogRecord | None] = queue.Queue(settings.queue_lines)
        self.dropped = 0  # since it was last told
        self.broken = False  # nobody reads any more
        self.thread = threading.Thread(target=self.write_all, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        try:
            self.waiting.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def write_all(self) -> None:
        """The thread's work."""
        while (record := self.waiting.get()) is not None:
            if self.broken:
                continue
            try:
                if self.dropped:
                    dropped, self.dropped = self.dropped, 0
                    self.write(self.dropped_line(dropped))
                self.write(record)
            except OSError:  # a closed pipe: the node goes on without a log
                self.broken = True

    @staticmethod
    def dropped_line(count: int) -> logging.LogRecord:
        event = LINES_DROPPED
        record = logging.LogRecord(
            "badgercart", event.level, "", 0, event.message, ({"count": count},), None
        )
        record.event = event.name
        return record

    def write(self, record: logging.LogRecord) -> None:
        """Raises OSError. A record that can't be formatted becomes a line that says so."""
        try:
            line = self.format(record)
        except Exception as error:
            told = {"event": LIBRARY.name, "message": f"a line that can't be formatted: {error!r}"}
            line = json.dumps(told)
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        while data:
            data = data[os.write(self.fd, data) :]

    def close(self) -> None:
        """Write what waits, for a second at most: a sink that stands still must not keep the
        process."""
        try:
            self.waiting.put_nowait(None)
        except queue.Full:
            self.broken = True
        else:
            self.thread.join(PATIENCE)
        super().close()


class RequestLog:
    """An observer of the join: a line for each request."""

    def __init__(self, config: Config, roster: EndpointTable) -> None:
        self.classes = [name.decode() for name in config.classes]
        self.tenants = [name.decode() for name in config.tenants]
        self.roster = roster

    def request_finished(
        self,
        request_id: int,
        intake: IncomingRequest,
        final: RequestOutcome,
        took: float,
        server: int,
        sends: int,
    ) -> None:
        member = self.roster.listed.get(server)
        REQUEST_OVER(
            request_id=intake.request_name.decode("latin-1") or str(request_id),
            number=request_id,
            outcome=final.value,
            **{"class": self.classes[intake.class_index]},
            tenant=self.tenants[intake.tenant] if self.tenants else "",
            server=member.name if member is not None else "",
            attempts=sends,
            took_ms=round(took, 1),
            version=self.roster.version,
        )


def open_sink(node: str, settings: Log) -> Sink:
    """In place of whatever the process logged to before."""
    sink = Sink(node, settings)
    root = logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(sink)
    set_level(settings)
    return sink


def watch(join: RequestPipeline, settings: Log, requests: RequestLog) -> None:
    """Have each request logged where the level asks for it; elsewhere it costs nothing."""
    others = tuple(observer for observer in join.in_flight.observers if observer is not requests)
    join.in_flight.observers = (*others, requests) if settings.level == "debug" else others


def set_level(settings: Log) -> None:
    """Of our own events. Libraries stay at info: theirs are not for operators."""
    logging.getLogger().setLevel(logging.INFO)
    logging.getLogger("badgercart").setLevel(LEVELS[settings.level])


def close_sink(sink: Sink) -> None:
    sink.close()
    root = logging.getLogger()
    root.removeHandler(sink)
    root.addHandler(logging.StreamHandler(sys.stderr))
