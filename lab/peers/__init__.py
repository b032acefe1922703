"""Other policies behind the join's port, to compare with: each as its authors describe it.

`base` has what they share (sending, sending again, ends), `pickers` who is chosen, `limits` how
many may be out. Its entry is `make`; a name is a picker, and a limit behind a plus:
``peak_ewma+gradient``.
"""

from __future__ import annotations

from typing import Any, cast

from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.policy import Policy
from lab.peers.base import Peer
from lab.peers.limits import LIMITS, RetryBudget
from lab.peers.pickers import PICKERS
from lab.settings import Day

OURS = "badgercart"
NAMES = (
    OURS,
    *(name + limit for name in PICKERS for limit in ("", *(f"+{limit}" for limit in LIMITS))),
)


def make(name: str, day: Day, join: RequestPipeline, seed: int) -> None:
    """Put the named policy into a join; LookupError where there is none of that name."""
    if name == OURS:
        return
    picker, _, limit = name.partition("+")
    if picker not in PICKERS or (limit and limit not in LIMITS):
        raise LookupError(f"{name!r} is none of {', '.join(NAMES)}")
    limit = limit or (day.node.limit if day.node.limit != "none" else "")
    peer: Any = Peer(
        join.policy.settings, seed, PICKERS[picker], LIMITS[limit]() if limit else None,
        RetryBudget(day.node.retry_budget),
    )  # fmt: skip
    join.driver.policy = cast(Policy, peer)  # it has what the join asks of one: `handle`
