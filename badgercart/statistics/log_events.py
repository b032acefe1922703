"""The log events of the persisted statistics."""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

RESTORED = define_event(
    "learning.restored",
    logging.INFO,
    "learned before: %(servers)d servers, %(age_s)d s old",
    "What the last run learned is in force, as far as its age lets it.",
)
UNUSED = define_event(
    "learning.unused",
    logging.WARNING,
    "what was learned before is not used: %(cause)s",
    "The node begins with nothing learned. `badgercart learned check` says more of the file.",
)
OFF = define_event(
    "learning.off",
    logging.ERROR,
    "what is learned is not kept: %(cause)s",
    "The folder is missing, in use by another node, read-only, or holds a file of a later version. "
    "Nothing is saved until a restart; the node runs as without it.",
)
FAILED = define_event(
    "learning.failed",
    logging.WARNING,
    "what was learned could not be saved: %(cause)s",
    "The file before it is kept, and the next save is tried in time.",
)
