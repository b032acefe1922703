"""The log events of an installation as a whole. Names, fields and texts are an interface."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

RESTART_NEEDED = define_event(
    "config.restart_needed",
    logging.WARNING,
    "takes a restart, and stays as it was: %(settings)s",
    "SIGHUP put all else in force; these settings hold from the next start on.",
)
STOPPED_EARLY = define_event(
    "node.stopped_early",
    logging.INFO,
    "stopped during the start",
    "SIGTERM came before all parts were up; those that were are closed.",
)
COMPONENT_HANGS = define_event(
    "part.hangs",
    logging.ERROR,
    "%(part)s did not drain in time and is closed as it stands",
    "What that part still held gets no answer; the others were drained. Report it.",
)
COMPONENT_FAILED = define_event(
    "part.failed",
    logging.ERROR,
    "%(part)s failed as it %(act)s",
    "A fault of ours; the other parts go on. Report it with the traceback.",
)
LINES_DROPPED = define_event(
    "log.dropped",
    logging.WARNING,
    "%(count)d lines of the log were dropped: it is not read fast enough",
    "Whatever reads the log is too slow or stands still; the node does not wait for it.",
)
REQUEST_OVER = define_event(
    "request.over",
    logging.DEBUG,
    "request %(request_id)s is over: %(outcome)s",
    "At level `debug`, one for each request, with its class, tenant, server, attempts and time.",
)
LIBRARY = define_event(
    "library.message",
    logging.INFO,
    "%(message)s",
    "A library's own line, at its own level; `logger` names it.",
)
