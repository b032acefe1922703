"""The log events of the program: each is declared once in a table, with its level and meaning.

An event is logged through the standard library, whose record carries its name and fields. The
platform's node logs the formatted words; `serve` has structlog write the fields. Both use
`RepeatedWarningFilter`, so that nothing that peers cause can fill a log.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

# Distinct warnings whose repeats are counted. Libraries choose the texts of theirs, so there may be
# any number.
MAX_TRACKED_MESSAGES = 1024

log = logging.getLogger("badgercart")


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One kind of event. Calling it with its fields logs it."""

    name: str  # `subsystem.fact`
    level: int  # of `logging`
    words: str  # the message for people, with fields in the form `%(field)s`
    meaning: str  # and what to do about it; Markdown, for the operators' page

    @property
    def is_enabled(self) -> bool:
        """Whether the event is logged at the present level."""
        return log.isEnabledFor(self.level)

    def __call__(self, exc_info: BaseException | bool | None = None, /, **fields: Any) -> None:
        """Log the event, with a traceback where `exc_info` is given."""
        if self.is_enabled:
            arguments = (fields,) if fields else ()
            log.log(
                self.level, self.words, *arguments, exc_info=exc_info, extra={"event": self.name}
            )


# All events by name.
LOG_EVENTS: dict[str, LogEvent] = {}


def define_event(name: str, level: int, words: str, meaning: str) -> LogEvent:
    """Add an event to the table. Raises ValueError where its name is taken."""
    if name in LOG_EVENTS:
        raise ValueError(f"the event {name} is already defined")
    LOG_EVENTS[name] = log_event = LogEvent(name, level, words, meaning)
    return log_event


class RepeatedWarningFilter(logging.Filter):
    """Passes each warning at most once in an interval, and counts its repeats.

    Peers can cause warnings, and must not fill the log with them.
    """

    INTERVAL_S = 10.0

    def __init__(self) -> None:
        super().__init__()
        # By message: the time when it last passed (s), and the repeats suppressed since.
        self.seen: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is logged; the next one that passes tells the repeats."""
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


# The events of this package.

LIST_TAKEN = define_event(
    "list.taken",
    logging.INFO,
    "list %(version)d, %(kind)s: %(changed)s",
    "A server list or its changes are in force; `changed` names the first four.",
)
ADDRESS_TAKEN_OVER = define_event(
    "list.address_taken_over",
    logging.WARNING,
    "%(new)s is listed at %(address)s, where %(old)s was: %(old)s counts as gone",
    "A new process came up at the address of one that the list still has. Look at why it still has it.",
)
LIST_KNOWN_MALFORMED = define_event(
    "list.known_malformed",
    logging.WARNING,
    "the known list is malformed: %(error)s",
    "The list kept from before can't be used; the node waits for its source.",
)
MEMORY_HIGH = define_event(
    "memory.high",
    logging.WARNING,
    "memory: %(resident)d of %(limit)d bytes, %(buffered)d of them buffered messages, %(streams)d streams",
    "The process comes near its limit. Look at what clients hold: unfinished requests, answers that are not read.",
)
MEMORY_RELIEVED = define_event(
    "memory.relieved",
    logging.WARNING,
    "memory: %(resident)d of %(limit)d bytes; connections that held %(freed)d were ended",
    "The measured memory came to the limit. The requests that had not come in whole were answered 503.",
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
ATTEMPT_ENDED = define_event(
    "request.attempt_ended",
    logging.DEBUG,
    "attempt %(attempt)d of request %(request)s (%(number)d) ended: %(result)s after %(elapsed)d ms",
    "At level `debug`, one for each attempt; the number is the one in other lines of the process.",
)
REQUEST_ENDED = define_event(
    "request.ended",
    logging.DEBUG,
    "request %(request)s (%(number)d) ended: %(outcome)s after %(elapsed)d ms and %(attempts)d attempts, by endpoint %(endpoint)d",
    "At level `debug` of the platform's node, one for each request; endpoint 0 is none.",
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
