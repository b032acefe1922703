"""What a server's whole answer says of its attempt.

Source: the protocol's page, section "Nodes to servers".
"""

from __future__ import annotations

from badgercart.policy.events import AttemptResult


def attempt_result(status: int, not_started: bool) -> AttemptResult:
    """The outcome by status and the header Not-Started, whoever carried the attempt out."""
    if status == 200:
        return AttemptResult.OK
    return AttemptResult.FULL if status in (503, 504) and not_started else AttemptResult.ERROR
