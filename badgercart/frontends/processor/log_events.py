"""The log events of the external processor."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

LISTENING = define_event(
    "processor.listening",
    logging.INFO,
    "the processor listens on %(host)s:%(port)d%(tls)s",
    "It takes streams.",
)
CERTIFICATE_READ = define_event(
    "processor.certificate_read",
    logging.INFO,
    "the processor's certificate was read anew",
    "SIGHUP: new connections get it.",
)
STOPPING = define_event(
    "processor.stopping",
    logging.INFO,
    "the processor stops: %(open)d calls open",
    "SIGTERM: streams are taken for 0.6 s more, and every open call is seen to its end.",
)
OVER_LIMIT = define_event(
    "processor.over_limit",
    logging.WARNING,
    "a stream over the limit was turned away",
    "Raise `max_streams`, at about 25 KiB each, or find who leaves streams open.",
)
PROTOCOL_BROKEN = define_event(
    "processor.protocol_broken",
    logging.WARNING,
    "a proxy broke the protocol: %(error)s",
    "The stream was ended; the proxy's version or another filter is at fault.",
)
OLD_ANSWERS = define_event(
    "processor.old_answers",
    logging.INFO,
    "proxy %(proxy)s uses old answers: %(standing)s, was %(was)s",
    "It sends where no answer told it to: look for a cache or a route of its own there. `refused`: its "
    "requests are refused for `refuse_for_ms`, and the count begins anew.",
)
