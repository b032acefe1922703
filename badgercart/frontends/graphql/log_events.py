"""Log events of the GraphQL frontend."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

LISTENING = define_event(
    "graphql.listening",
    logging.INFO,
    "GraphQL listens on %(host)s:%(port)d%(path)s",
    "The front takes connections.",
)
PLAN_FAILED = define_event(
    "graphql.plan_failed",
    logging.WARNING,
    "a GraphQL request could not be planned",
    "A fault of ours: the request got its 500, the node goes on. Report it with the traceback.",
)
