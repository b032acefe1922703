"""Load-balancing policies to compare with, each implemented as its authors describe it.

They run in the request pipeline in place of badgercart's own policy. `base` has the common part
(sending, retrying and ending requests), `pickers` chooses the endpoint, and `limits` bounds the
attempts in flight and the retries. The entry point is `make`. A policy's name is that of a picker,
optionally with a limit after a plus sign: ``peak_ewma+gradient``.
"""

from __future__ import annotations

from typing import Any, cast

from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.policy import Policy
from lab.peers.base import Peer
from lab.peers.limits import LIMITS, RetryBudget
from lab.peers.pickers import PICKERS
from lab.settings import Day

BADGERCART = "badgercart"  # the name of the project's own policy
NAMES = (
    BADGERCART,
    *(name + limit for name in PICKERS for limit in ("", *(f"+{limit}" for limit in LIMITS))),
)


def make(name: str, day: Day, pipeline: RequestPipeline, seed: int) -> None:
    """Install the named policy in a pipeline.

    Raises LookupError if no policy has this name.
    """
    if name == BADGERCART:
        return
    picker, _, limit = name.partition("+")
    if picker not in PICKERS or (limit and limit not in LIMITS):
        raise LookupError(f"{name!r} is none of {', '.join(NAMES)}")
    limit = limit or (day.node.limit if day.node.limit != "none" else "")
    peer: Any = Peer(
        pipeline.policy.settings, seed, PICKERS[picker], LIMITS[limit]() if limit else None,
        RetryBudget(day.node.retry_budget),
    )  # fmt: skip
    # The pipeline calls only `handle`, which a peer has too.
    pipeline.policy = cast(Policy, peer)
