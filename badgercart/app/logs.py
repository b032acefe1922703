"""The log of `serve`: events as JSON lines, or for people on a terminal, written by a thread.

Structlog was chosen for its processors, which turn a record of the standard library, as every
module and library writes them, into fields, and for its renderers of both forms. The queue and its
writer are implemented here, since those of structlog and of the standard library block the thread
that logs, or the end of the process, while nobody reads the log.
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
from badgercart.core.log_events import RepeatedWarningFilter
from badgercart.core.ports import IncomingRequest, RequestOutcome
from badgercart.core.request_pipeline import RequestPipeline

# Time for writing the queued lines at the end of the process.
FLUSH_TIMEOUT_S = 1.0
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class Log(
    Table, title="Log", about="what is logged, to standard error; SIGHUP takes its level anew"
):
    """The table `[log]`."""

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


def record_fields(_: Any, __: str, entry: EventDict) -> EventDict:
    """Return a record of the standard library as an event and its fields."""
    record: logging.LogRecord = entry["_record"]
    given, message = entry.pop("positional_args", ()), entry["event"]
    name = getattr(record, "event", None)
    fields = given if isinstance(given, dict) else {}
    if name is None:
        name, fields = LIBRARY.name, {"logger": record.name}
    for key, value in fields.items():
        entry[key] = value if isinstance(value, int | float) else str(value)
    entry.update(event=name, message=message)
    if (left_out := getattr(record, "left_out", 0)) > 0:
        entry["left_out"] = left_out
    return entry


def stamp(_: Any, __: str, entry: EventDict) -> EventDict:
    """Add the time of the record, not of its writing, since it may have been queued."""
    record: logging.LogRecord = entry["_record"]
    at = datetime.fromtimestamp(record.created, UTC)
    entry["timestamp"] = at.isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return entry


def formatter(node: str, as_json: bool) -> logging.Formatter:
    """Return a formatter of JSON lines, or of lines for people; each contains the node's name."""

    def add_node(_: Any, __: str, entry: EventDict) -> EventDict:
        entry.setdefault("node", node)
        return entry

    final_processors: list[Any] = [structlog.stdlib.ProcessorFormatter.remove_processors_meta]
    if as_json:
        final_processors += [
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ]
    else:
        final_processors += [structlog.dev.ConsoleRenderer(colors=True)]
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[structlog.stdlib.add_log_level, record_fields, add_node, stamp],
        processors=final_processors,
        pass_foreign_args=True,
    )


class Sink(logging.Handler):
    """Passes records to a thread that writes them; while its queue is full, they are dropped."""

    def __init__(self, node: str, settings: Log, fd: int = 2) -> None:
        """Start the thread.

        Args:
            node: name of the node.
            settings: settings of the log.
            fd: descriptor to write to.
        """
        super().__init__()
        self.fd = fd
        terminal = settings.format == "auto" and os.isatty(fd)
        self.setFormatter(formatter(node, as_json=not terminal and settings.format != "console"))
        self.addFilter(RepeatedWarningFilter())
        self.waiting: queue.Queue[logging.LogRecord | None] = queue.Queue(settings.queue_lines)
        # Records dropped since the last line that says so.
        self.dropped = 0
        # Set when the log is not read any more.
        self.broken = False
        self.thread = threading.Thread(target=self.write_all, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        try:
            self.waiting.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def write_all(self) -> None:
        """Write queued records until None is read. This runs in the thread."""
        while (record := self.waiting.get()) is not None:
            if self.broken:
                continue
            try:
                if self.dropped:
                    dropped, self.dropped = self.dropped, 0
                    self.write(self.dropped_line(dropped))
                self.write(record)
            except OSError:
                # The pipe is closed: the node goes on without a log.
                self.broken = True

    @staticmethod
    def dropped_line(count: int) -> logging.LogRecord:
        """Return the record that says how many were dropped."""
        event = LINES_DROPPED
        record = logging.LogRecord(
            "badgercart", event.level, "", 0, event.words, ({"count": count},), None
        )
        record.event = event.name
        return record

    def write(self, record: logging.LogRecord) -> None:
        """Write a record; one that can't be formatted becomes a line that says so.

        Raises:
            OSError: nobody reads the log any more.
        """
        try:
            line = self.format(record)
        except Exception as error:
            message = f"a line that can't be formatted: {error!r}"
            line = json.dumps({"event": LIBRARY.name, "message": message})
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        while data:
            data = data[os.write(self.fd, data) :]

    def close(self) -> None:
        """Write the queued records within FLUSH_TIMEOUT_S: a blocked reader must not stop the exit."""
        try:
            self.waiting.put_nowait(None)
        except queue.Full:
            self.broken = True
        else:
            self.thread.join(FLUSH_TIMEOUT_S)
        super().close()


class RequestLog:
    """Observes the request pipeline, and logs a line for each request."""

    def __init__(self, config: Config, endpoint_table: EndpointTable) -> None:
        """Take the names of classes and tenants from the configuration."""
        self.classes = [name.decode() for name in config.classes]
        self.tenants = [name.decode() for name in config.tenants]
        self._endpoint_table = endpoint_table

    def request_finished(
        self,
        request_id: int,
        intake: IncomingRequest,
        final: RequestOutcome,
        took: float,
        server: int,
        sends: int,
    ) -> None:
        """Log a finished request."""
        endpoint = self._endpoint_table.listed.get(server)
        REQUEST_OVER(
            request_id=intake.request_name.decode("latin-1") or str(request_id),
            number=request_id,
            outcome=final.value,
            **{"class": self.classes[intake.class_index]},
            tenant=self.tenants[intake.tenant] if self.tenants else "",
            server=endpoint.name if endpoint is not None else "",
            attempts=sends,
            took_ms=round(took, 1),
            version=self._endpoint_table.version,
        )


def open_sink(node: str, settings: Log) -> Sink:
    """Log to a new sink instead of the process's present handlers."""
    sink = Sink(node, settings)
    root = logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(sink)
    set_level(settings)
    return sink


def log_requests(pipeline: RequestPipeline, settings: Log, requests: RequestLog) -> None:
    """Log each request if the level says so; otherwise observe none, which costs nothing."""
    others = tuple(observer for observer in pipeline.observers if observer is not requests)
    pipeline.observers = (*others, requests) if settings.level == "debug" else others


def set_level(settings: Log) -> None:
    """Set the level of badgercart's events; that of libraries stays at info."""
    logging.getLogger().setLevel(logging.INFO)
    logging.getLogger("badgercart").setLevel(LEVELS[settings.level])


def close_sink(sink: Sink) -> None:
    """Close a sink, and log to standard error from now on."""
    sink.close()
    root = logging.getLogger()
    root.removeHandler(sink)
    root.addHandler(logging.StreamHandler(sys.stderr))
