"""The log events of the HTTP frontend."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

LISTENING = define_event(
    "http.listening",
    logging.INFO,
    "%(name)s listens on %(host)s:%(port)d",
    "The front takes connections.",
)
STOPPING = define_event(
    "http.stopping",
    logging.INFO,
    "stopping: %(held)d requests held",
    "SIGTERM: what still comes is taken for 0.6 s, and all that is held is answered.",
)
HANDING_OVER = define_event(
    "http.handing_over",
    logging.INFO,
    "handing over: %(held)d requests held on %(connections)d connections",
    "SIGTERM where the platform holds the socket: the next process takes the new connections, and this one "
    "answers on those that it has.",
)
EVICTED = define_event(
    "http.evicted",
    logging.WARNING,
    "a client was closed at the limit of connections: it was %(state)s, %(held)d bytes held",
    "More clients than descriptors; the one that no request needed went. Raise `node.sockets` if they are yours.",
)
REQUEST_INCOMPLETE = define_event(
    "http.request_incomplete",
    logging.WARNING,
    "a client stopped in the middle of a request: it was %(state)s, %(held)d bytes held",
    "It got its error, or was closed, after the time for a request was over.",
)
ANSWER_UNREAD = define_event(
    "http.answer_unread",
    logging.WARNING,
    "a client was closed: it did not read its answer, %(held)d bytes held",
    "It took nothing for the time of an idle connection.",
)
CLIENT_CLOSED = define_event(
    "http.client_closed",
    logging.DEBUG,
    "a client's connection was closed: %(reason)s, it was %(state)s, request %(number)d",
    "At level `debug`, each connection that the node ends and its client would have kept; 0 is no request.",
)
REQUEST_REPEATED = define_event(
    "http.request_repeated",
    logging.WARNING,
    "a request was rejected: its id came %(age)d ms ago, and it may have run",
    "A client sent a request again under the same Request-Id; sending it on could have run it twice.",
)
ACCEPT_FAILED = define_event(
    "http.accept_failed",
    logging.WARNING,
    "can't accept: %(error)s",
    "No descriptor or memory for a client now; the listener tries again. Raise `node.sockets` and the limit.",
)
