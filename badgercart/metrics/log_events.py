"""The log events of the metrics listener."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

LISTENING = define_event(
    "metrics.listening",
    logging.INFO,
    "metrics listen on %(host)s:%(port)d",
    "Figures can be scraped at `/metrics`.",
)
