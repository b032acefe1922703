"""Log events of administrative ejections, with advice for operators."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

EJECTED = define_event(
    "bans.out",
    logging.INFO,
    "server %(server)s is taken out",
    "An operator's call, here or at the process beside: nothing new goes to it until it is called back.",
)
REINSTATED = define_event(
    "bans.back",
    logging.INFO,
    "server %(server)s is called back",
    "It is used again as a server that has just started.",
)
TAKEN_OVER = define_event(
    "bans.taken_over",
    logging.INFO,
    "servers taken out, from the file: %(servers)s",
    "The process before this one was told so; it holds until they are called back.",
)
FILE_UNUSABLE = define_event(
    "bans.file_spoilt",
    logging.ERROR,
    "%(path)s is not used: %(error)s; what this process knows of servers taken out stays in force",
    "The file is cut off, changed by hand, or of another version; the next call writes it anew. Take out "
    "again what has to stay out.",
)
FILE_FAILED = define_event(
    "bans.file_failed",
    logging.ERROR,
    "servers taken out can't be kept in %(path)s: %(error)s",
    "The call was answered with a no, and nothing changed. Look at the folder and its space.",
)
