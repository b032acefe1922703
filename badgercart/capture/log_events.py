"""The log events of the capture."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

WRITING = define_event(
    "capture.writing",
    logging.INFO,
    "capturing to %(folder)s",
    "What the policy is told is kept there.",
)
OFF = define_event(
    "capture.off",
    logging.ERROR,
    "the capture is switched off: %(error)s",
    "The folder is full, read-only or gone; the node goes on. Mend it and restart.",
)
GAP = define_event(
    "capture.gap",
    logging.WARNING,
    "%(count)d events were not captured: the disk is too slow",
    "The gap is recorded, and a new segment begins behind it, from the policy's state there.",
)
