"""What the program says of itself: each event once in a table, with its level and meaning.

An event is logged through the standard library, whose record carries its name and fields: the
platform's node shows the words, `serve` has structlog write the fields. Both go through `Sparse`,
so that nothing that peers bring about can fill a log.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

MAX_TRACKED_MESSAGES = (
    1024  # kinds of warnings whose repeats are counted; libraries word theirs as they like
)

log = logging.getLogger("badgercart")


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One kind of event. Called with its fields, it is logged."""

    name: str  # `subsystem.fact`
    level: int  # of `logging`
    words: str  # for people, with fields in the form `%(field)s`
    meaning: str  # and what to do about it; Markdown, for the operators' page

    def __call__(self, exc_info: BaseException | bool | None = None, /, **fields: Any) -> None:
        if log.isEnabledFor(self.level):
            arguments = (fields,) if fields else ()
            log.log(
                self.level, self.words, *arguments, exc_info=exc_info, extra={"event": self.name}
            )


LOG_EVENTS: dict[str, LogEvent] = {}  # all that there are, by name


def define_event(name: str, level: int, words: str, meaning: str) -> LogEvent:
    """Add one to the table. ValueError where its name is taken."""
    if name in LOG_EVENTS:
        raise ValueError(f"there are two events {name}")
    LOG_EVENTS[name] = log_event = LogEvent(name, level, words, meaning)
    return log_event


class RepeatedWarningFilter(logging.Filter):
    """Lets a warning, which peers can bring about, through once in a while: they must not fill the
    log."""

    INTERVAL_S = 10.0  # s

    def __init__(self) -> None:
        super().__init__()
        # By message: when it last came through, left out since.
        self.seen: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno != logging.WARNING:
            return True
        message = str(record.msg)
        last_passed_s, suppressed = self.seen.get(message, (-self.INTERVAL_S, 0))
        passes = record.created >= last_passed_s + self.INTERVAL_S
        if passes and suppressed:
            record.msg = f"{message} (and {suppressed} more like it)"
            record.left_out = suppressed
        self.seen[message] = (record.created, 0) if passes else (last_passed_s, suppressed + 1)
        if len(self.seen) > MAX_TRACKED_MESSAGES:
            self.seen.popitem(last=False)
        return passes


# The core's own.

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
