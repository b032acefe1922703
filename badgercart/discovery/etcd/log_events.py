"""Log events of following etcd."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

FAILED = define_event(
    "etcd.failed",
    logging.WARNING,
    "etcd at %(endpoint)s: %(error)s",
    "The next member is asked; once for each stretch of failures. `unauthenticated`, or an invalid user or "
    "password: mend `user` or the password file, no restart is needed.",
)
BROKEN = define_event(
    "etcd.broken",
    logging.ERROR,
    "etcd: unforeseen failure; the whole list is fetched",
    "A fault of ours; the node goes on. Report it with the traceback.",
)
REPORT = define_event(
    "etcd.report",
    logging.WARNING,
    "etcd: %(text)s",
    "What was odd: history compacted away (the whole list is fetched); a member that is behind (if all say "
    "so, etcd was restored in place: restart the node); another cluster (its list is taken whole); an entry "
    "that is none (`members list` shows it); too few servers left (if meant: `members allow-shrink on`).",
)
ANSWERS = define_event(
    "etcd.answers", logging.INFO, "etcd at %(endpoint)s answers", "A stretch of failures is over."
)
KNOWN_UNUSABLE = define_event(
    "etcd.known_unusable",
    logging.WARNING,
    "%(path)s can't be used: %(error)s",
    "The known file is not what it should be; the node waits for etcd.",
)
KNOWN_UNWRITTEN = define_event(
    "etcd.known_unwritten",
    logging.WARNING,
    "the known list was not written: %(error)s",
    "The folder is missing, full or read-only; the node goes on.",
)
