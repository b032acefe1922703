"""The program's log events: each stands once in a table, with its level and its meaning.

An event is logged through the standard library, whose record carries the event's name and fields:
the platform's node shows the message, `serve` has structlog write the fields. Both filter by
`WarningThrottle`, so that nothing that peers cause can fill a log.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from badgercart.core.errors import CoreError

MAX_THROTTLED = 1024  # messages whose repeats are counted; libraries word theirs as they like
THROTTLE_INTERVAL_S = 10.0

log = logging.getLogger("badgercart")


class DuplicateLogEventError(CoreError, ValueError):
    """Two events of one name."""

    def __init__(self, name: str) -> None:
        """Keep the name."""
        super().__init__(f"there are two events {name}")
        self.name = name


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One kind of event. Called with its fields, it is logged."""

    name: str  # `subsystem.fact`
    level: int  # of `logging`
    message: str  # for people, with fields in the form `%(field)s`
    meaning: str  # and what to do about it; Markdown, for the operators' page

    def __call__(self, exc_info: BaseException | bool | None = None, /, **fields: Any) -> None:
        """Log the event with these fields, and with the traceback of an exception if any."""
        if log.isEnabledFor(self.level):
            args = (fields,) if fields else ()
            log.log(self.level, self.message, *args, exc_info=exc_info, extra={"event": self.name})


LOG_EVENTS: dict[str, LogEvent] = {}  # by name


def define_event(name: str, level: int, message: str, meaning: str) -> LogEvent:
    """Add an event to the table and return it.

    Raises:
        DuplicateLogEventError: the name is taken.
    """
    if name in LOG_EVENTS:
        raise DuplicateLogEventError(name)
    LOG_EVENTS[name] = event = LogEvent(name, level, message, meaning)
    return event


class WarningThrottle(logging.Filter):
    """Lets each warning through once an interval, with how many were left out since."""

    def __init__(self) -> None:
        """Set up a filter that has seen nothing."""
        super().__init__()
        # By message: when it last came through (s), and how many were left out since.
        self.seen: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record comes through."""
        if record.levelno != logging.WARNING:
            return True
        message = str(record.msg)
        passed_s, left_out = self.seen.get(message, (-THROTTLE_INTERVAL_S, 0))
        passes = record.created >= passed_s + THROTTLE_INTERVAL_S
        if passes and left_out:
            record.msg = f"{message} (and {left_out} more like it)"
            record.left_out = left_out
        self.seen[message] = (record.created, 0) if passes else (passed_s, left_out + 1)
        if len(self.seen) > MAX_THROTTLED:
            self.seen.popitem(last=False)
        return passes


# The core's own events.

LIST_TAKEN = define_event(
    "list.taken",
    logging.INFO,
    "list %(version)d, %(kind)s: %(changed)s",
    "A server list or its changes are in force; `changed` names the first four.",
)
LIST_KNOWN_MALFORMED = define_event(
    "list.known_malformed",
    logging.WARNING,
    "the known list is malformed: %(error)s",
    "The list kept from before can't be used; the node waits for its source.",
)
POLICY_FAILED = define_event(
    "policy.failed",
    logging.WARNING,
    "the policy failed on %(kind)s",
    "A fault of ours: the request got its 500, the node goes on. Report it with the traceback.",
)
POLICY_SAID = define_event(
    "policy.said",
    logging.INFO,
    "%(text)s",
    "The deciding module says what it does: shedding begins or ends, and why.",
)
CONFIG_KEPT = define_event(
    "config.kept",
    logging.ERROR,
    "the configuration stays as it was: %(faults)s",
    "SIGHUP found a file that can't be used; nothing of it is in force. Mend what is named, send it again.",
)
CONFIG_READ = define_event(
    "config.read",
    logging.INFO,
    "configuration read%(what)s",
    "SIGHUP: what can change without a restart is in force.",
)
STOPPED = define_event(
    "node.stopped", logging.INFO, "stopped", "All that was held is answered; the process ends."
)
