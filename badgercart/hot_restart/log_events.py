"""Log events of hot restarts, with advice for operators."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

BESIDE = define_event(
    "upgrade.beside",
    logging.INFO,
    "another process of this node lives: this one keeps to half of the limits",
    "An upgrade is under way. It ends with `alone again`.",
)
ALONE = define_event(
    "upgrade.alone",
    logging.INFO,
    "alone again: the limits are this process's",
    "The other process has ended, as planned or not.",
)
LEARNED = define_event(
    "upgrade.learned",
    logging.INFO,
    "goes on with what the process before it learned of %(servers)d servers",
    "It knows what the fleet can do from its first request on.",
)
LEARNED_SPOILT = define_event(
    "upgrade.learned_spoilt",
    logging.WARNING,
    "%(path)s is not used: %(error)s",
    "The process begins with nothing learned, as after any start.",
)
LEARNED_UNKEPT = define_event(
    "upgrade.learned_unkept",
    logging.WARNING,
    "what was learned can't be kept in %(path)s: %(error)s",
    "The next process will begin with nothing learned. Look at the folder and its space.",
)
REQUESTS_UNSHARED = define_event(
    "upgrade.requests_unshared",
    logging.WARNING,
    "the other process can't be told which requests were begun, in %(path)s: %(error)s",
    "A request that comes again at the other process is not recognized. Look at the folder and its space.",
)
LOCK_FAILED = define_event(
    "upgrade.lock_failed",
    logging.WARNING,
    "other processes of this node can't be told of, or found, by %(path)s: %(error)s",
    "The process keeps to half of the limits until the folder can be used. Look at the folder and its space.",
)
