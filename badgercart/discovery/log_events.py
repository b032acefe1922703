"""Log events of the platform's catalog, and of any list whose age is known."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

CATALOG_FAILED = define_event(
    "catalog.failed",
    logging.WARNING,
    "discovery: %(error)s; the list stays as it is",
    "The catalog does not answer as it should; once for each stretch of failures, and tried again.",
)
CATALOG_BROKEN = define_event(
    "catalog.broken",
    logging.ERROR,
    "discovery: unforeseen failure; the whole list is fetched",
    "A fault of ours; the node goes on. Report it with the traceback.",
)
LIST_FRESH = define_event(
    "list.fresh",
    logging.INFO,
    "the server list is fresh: %(age)s s old, was %(was)s",
    "All is well again.",
)
LIST_DOUBTFUL = define_event(
    "list.doubtful",
    logging.WARNING,
    "the server list is doubtful: %(age)s s old, was %(was)s",
    "No answer lately; look at the list's source and the network.",
)
LIST_STALE = define_event(
    "list.stale",
    logging.WARNING,
    "the server list is stale: %(age)s s old, was %(was)s",
    "The node refuses, or goes on by the list it has, as `when_stale` says.",
)
