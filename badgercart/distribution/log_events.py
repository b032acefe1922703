"""Log events of replicas and followers, with advice for operators."""

from __future__ import annotations

import logging

from badgercart.core.log_events import LOG_EVENTS, define_event
from badgercart.distribution.effects import LogEvent

LISTENING = define_event(
    "distribution.listening",
    logging.INFO,
    "store %(name)s of the group %(group)s at %(host)s:%(port)d, with %(topics)d topics as of %(committed)d",
    "The store is up, with what its folder holds.",
)
REFUSED = define_event(
    "distribution.refused",
    logging.WARNING,
    "a connection with %(source)s is ended, %(kind)s: %(words)s",
    "`forged`: of another group or secret; `version`: another version of the protocol; `oversized`, `stray`, "
    "`malformed`: none of ours; `slow`: it does not read; `too-many`: this store has its most followers; "
    "`two-leaders`, `fork`, `spoilt`: a store whose log can't be: look at its folder and its file.",
)
STORE_FAILED = define_event(
    "distribution.store_failed",
    logging.CRITICAL,
    "the store has ended, its disk failed: %(error)s",
    "It can't keep what it promises. Mend the disk and start it again; the others go on meanwhile.",
)
STORE_FOLLOWING = define_event(
    "distribution.store_following",
    logging.INFO,
    "term %(term)d is led by %(leader)s",
    "This store takes its changes from there. Nobody: an election is under way.",
)
STORE_LEADING = define_event(
    "distribution.store_leading",
    logging.INFO,
    "this store leads term %(term)d, its log ends at %(index)d",
    "More than half of the voters chose it. Often in a row: look at the network between the stores.",
)
STORE_STANDS_DOWN = define_event(
    "distribution.store_stands_down",
    logging.WARNING,
    "this store leads term %(term)d no more: less than half of the voters answer",
    "No change can be put until more than half of them see each other.",
)
STORE_FORK = define_event(
    "distribution.store_fork",
    logging.ERROR,
    "%(store)s has another change in force at %(index)d than this store",
    "One of the two has lost what it had promised: was a folder put back from a copy? Stop it, empty its "
    "folder, start it as no voter first.",
)
STORE_STATE_REFUSED = define_event(
    "distribution.store_state_refused",
    logging.ERROR,
    "all topics as %(store)s tells them are not taken: %(why)s",
    "Nothing changed here. If it comes again, stop that store and look at its folder.",
)
FOLLOWING = define_event(
    "distribution.following",
    logging.INFO,
    "the store %(name)s at %(store)s tells us our topics",
    "A connection is up; what was missed comes now.",
)
LOST = define_event(
    "distribution.lost",
    logging.WARNING,
    "the store at %(store)s is left, %(kind)s: %(error)s",
    "Another is turned to within the window; the node goes on by what it has. `older`, `behind`: that store "
    "knows less than this node: if all say so, their folders were emptied or put back: restart the node.",
)
GAP = define_event(
    "distribution.gap",
    logging.WARNING,
    "%(topic)s, %(kind)s: %(error)s; it is asked for again",
    "Nothing of it is in force. `unusable`: a line of it is none: see `distribution.unusable`.",
)
UNKNOWN_TOPIC = define_event(
    "distribution.unknown_topic",
    logging.WARNING,
    "no store knows %(topic)s",
    "Nothing was ever put there: is the name right? It is taken as soon as it is.",
)
UNUSABLE = define_event(
    "distribution.unusable",
    logging.ERROR,
    "%(topic)s as of %(number)d can't be used: %(error)s",
    "A line is none of a list's, or the policy can't take it. The list stays as it was and ages: put the "
    "line right (`distribution put`).",
)


def log(event: LogEvent) -> None:
    """Log an event that a state machine requested."""
    LOG_EVENTS[f"distribution.{event.name.replace('-', '_')}"](**event.fields)
