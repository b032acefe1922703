"""The log events of the connection pool."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

MALFORMED_ANSWER = define_event(
    "pool.malformed_answer",
    logging.WARNING,
    "server %(server)s: malformed answer: %(why)s",
    "What came is no HTTP answer, or over a limit; the attempt counts as an error. Look at that server.",
)
NO_DESCRIPTORS = define_event(
    "pool.no_descriptors",
    logging.WARNING,
    "no descriptors left for a connection to %(server)s",
    "All connections to servers are busy; the request is refused. Raise `node.sockets`.",
)
CONNECT_FAILED = define_event(
    "pool.connect_failed",
    logging.WARNING,
    "no connection to %(server)s for lack of this machine's own: %(error)s",
    "Descriptors, ports or memory of the machine ran out; the request is refused, and the server is not to blame.",
)
CLIENT_STALLED = define_event(
    "pool.client_stalled",
    logging.WARNING,
    "a stream was ended for lack of descriptors: its client made no progress for %(stalled)d ms (%(phase)s)",
    "All connections to servers are busy, and this one's client read or sent nothing. Raise `node.sockets`.",
)
REPEAT_TOO_LATE = define_event(
    "pool.repeat_too_late",
    logging.WARNING,
    "a repeat was not sent to %(server)s: its connection came up too late",
    "Servers would not recognize it as a repeat any more. The request is ended. Look at why connections come up late.",
)
RESPONSE_STOPPED = define_event(
    "pool.response_stopped",
    logging.WARNING,
    "server %(server)s stopped within a response: %(body)d bytes of its body came, then nothing for %(silent)d ms",
    "The request is ended; a client that has got a part sees its connection end. Look at that server: it hangs.",
)
UPLOAD_TIMED_OUT = define_event(
    "pool.upload_timed_out",
    logging.WARNING,
    "server %(server)s did not read a request's body in its time",
    "The request is ended; it was not executed, as its last byte was not sent. Look at that server: it hangs, or reads slowly.",
)
