"""Which of several endpoints an address belongs to: the process that came up there last. No I/O.

A list may still name an endpoint whose process has gone while it names its successor at the same
address. What is sent to the former would reach the latter, and run there under another's name.
"""

from __future__ import annotations

import math

from badgercart.policy.endpoint import Endpoint, EndpointState


def started_ms(entry: Endpoint) -> float:
    """Return when the process of an entry started; an entry says 0 where that is long ago."""
    return entry.started_ms or -math.inf


def supersedes(newcomer: Endpoint, holder: Endpoint) -> bool:
    """Return whether an entry is of a later process than the one that holds its address."""
    return newcomer.state is EndpointState.READY and started_ms(newcomer) > started_ms(holder)


def is_superseded(entry: Endpoint, holder: Endpoint) -> bool:
    """Return whether an entry is of an earlier process than the one that holds its address."""
    return holder.state is EndpointState.READY and started_ms(entry) < started_ms(holder)
