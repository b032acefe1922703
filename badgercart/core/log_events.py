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

MAX_SEEN = 1024  # kinds of warnings whose repeats are counted; libraries word theirs as they like

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
            told = (fields,) if fields else ()
            log.log(self.level, self.words, *told, exc_info=exc_info, extra={"event": self.name})


TABLE: dict[str, LogEvent] = {}  # all that there are, by name


def event(name: str, level: int, words: str, meaning: str) -> LogEvent:
    """Add one to the table. ValueError where its name is taken."""
    if name in TABLE:
        raise ValueError(f"there are two events {name}")
    TABLE[name] = made = LogEvent(name, level, words, meaning)
    return made


class Sparse(logging.Filter):
    """Lets a warning, which peers can bring about, through once in a while: they must not fill the
    log."""

    EVERY = 10.0  # s

    def __init__(self) -> None:
        super().__init__()
        # By message: when it last came through, left out since.
        self.seen: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno != logging.WARNING:
            return True
        message = str(record.msg)
        at, left_out = self.seen.get(message, (-self.EVERY, 0))
        passes = record.created >= at + self.EVERY
        if passes and left_out:
            record.msg = f"{message} (and {left_out} more like it)"
            record.left_out = left_out
        self.seen[message] = (record.created, 0) if passes else (at, left_out + 1)
        if len(self.seen) > MAX_SEEN:
            self.seen.popitem(last=False)
        return passes


# The core's own.

LIST_TAKEN = event(
    "list.taken",
    logging.INFO,
    "list %(version)d, %(kind)s: %(changed)s",
    "A server list or its changes are in force; `changed` names the first four.",
)
LIST_KNOWN_MALFORMED = event(
    "list.known_malformed",
    logging.WARNING,
    "the known list is malformed: %(error)s",
    "The list kept from before can't be used; the node waits for its source.",
)
POLICY_FAILED = event(
    "policy.failed",
    logging.WARNING,
    "the policy failed on %(kind)s",
    "A fault of ours: the request got its 500, the node goes on. Report it with the traceback.",
)
POLICY_SAID = event(
    "policy.said",
    logging.INFO,
    "%(text)s",
    "The deciding module says what it does: shedding begins or ends, and why.",
)
CONFIG_KEPT = event(
    "config.kept",
    logging.ERROR,
    "the configuration stays as it was: %(faults)s",
    "SIGHUP found a file that can't be used; nothing of it is in force. Mend what is named, send it again.",
)
CONFIG_READ = event(
    "config.read",
    logging.INFO,
    "configuration read%(what)s",
    "SIGHUP: what can change without a restart is in force.",
)
STOPPED = event(
    "node.stopped", logging.INFO, "stopped", "All that was held is answered; the process ends."
)
