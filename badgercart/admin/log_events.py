"""Log events of the admin API, with advice for operators."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

OPEN = define_event(
    "console.open",
    logging.INFO,
    "the console listens on %(host)s:%(port)d",
    "Operators can call: `/-/ready`, `/-/servers/ID/disable` and `/-/servers/ID/enable`.",
)
