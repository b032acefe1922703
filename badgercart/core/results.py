"""What an endpoint's response says of its attempt.

Source: the protocol's page, section "Nodes to servers".
"""

from __future__ import annotations

from badgercart.policy.events import AttemptResult


def classify_response(status: int, not_started: bool) -> AttemptResult:
    """Return the result of an attempt by its response's status and its header Not-Started."""
    if status == 200:
        return AttemptResult.OK
    shed = status in (503, 504) and not_started
    return AttemptResult.FULL if shed else AttemptResult.ERROR
