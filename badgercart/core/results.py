"""The result of an attempt, as derived from the server's complete response.

Source: the protocol's page, section "Nodes to servers".
"""

from __future__ import annotations

from badgercart.policy.events import AttemptResult


def attempt_result(status: int, not_started: bool) -> AttemptResult:
    """Return the result for a status and the header Not-Started, whatever the transport."""
    if status == 200:
        return AttemptResult.OK
    return AttemptResult.FULL if status in (503, 504) and not_started else AttemptResult.ERROR
