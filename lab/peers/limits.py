"""How many attempts a node may have out, and how many of them may be second ones."""

from __future__ import annotations

from collections.abc import Callable

from lab.peers.base import Limit

LEAST, MOST, FIRST = 20.0, 1000.0, 20.0


class Aimd:
    """Netflix's concurrency-limits, AIMDLimit: a tenth less at each drop, one more where the limit
    is in use."""

    BACK_OFF = 0.9
    TOO_LONG = 5000.0  # ms: an answer that late counts as a drop

    def __init__(self) -> None:
        self.limit = FIRST

    def allows(self, out: int) -> bool:
        return out < self.limit

    def ended(self, now: float, took: float, dropped: bool, out: int) -> None:
        if dropped or took > self.TOO_LONG:
            self.limit *= self.BACK_OFF
        elif out * 2 >= self.limit:
            self.limit += 1
        self.limit = min(max(self.limit, LEAST), MOST)


class Gradient:
    """Netflix's concurrency-limits, Gradient2Limit: the limit follows the long time over the short
    one."""

    WINDOW, WARM_UP = (
        600,
        10,
    )  # answers that the long average spans, and those it begins with as a plain mean
    TOLERANCE, SMOOTHING, QUEUE = 1.5, 0.2, 4.0

    def __init__(self) -> None:
        self.limit, self.long, self.seen, self.sum = FIRST, 0.0, 0, 0.0

    def allows(self, out: int) -> bool:
        return out < self.limit

    def ended(self, now: float, took: float, dropped: bool, out: int) -> None:
        short = max(took, 1e-3)
        if self.seen < self.WARM_UP:
            self.seen += 1
            self.sum += short
            self.long = self.sum / self.seen
        else:
            self.long += 2 / (self.WINDOW + 1) * (short - self.long)
        if self.long / short > 2:  # a jam has made it too long: let it come back sooner
            self.long *= 0.95
        if out < self.limit / 2:
            return
        gradient = max(0.5, min(1.0, self.TOLERANCE * self.long / short))
        wanted = self.limit * gradient + self.QUEUE
        self.limit = min(
            max(self.limit * (1 - self.SMOOTHING) + wanted * self.SMOOTHING, LEAST), MOST
        )


class RetryBudget:
    """Finagle's RetryBudget: second attempts are a share of requests over 10 s, and 10 a second
    beside it."""

    SPAN, FREE = 10, 10.0  # s, a second

    def __init__(self, share: float) -> None:
        self.share = share
        self.slots = [0.0] * self.SPAN  # a second each: what requests gave less what retries took
        self.second = 0

    def at(self, now: float) -> int:
        second = int(now / 1000)
        for passed in range(self.second + 1, min(second, self.second + self.SPAN) + 1):
            self.slots[passed % self.SPAN] = 0.0
        self.second = max(self.second, second)
        return self.second % self.SPAN

    def request(self, now: float) -> None:
        self.slots[self.at(now)] += self.share

    def take(self, now: float) -> bool:
        place = self.at(now)
        if sum(self.slots) + self.FREE * self.SPAN < 1.0:
            return False
        self.slots[place] -= 1.0
        return True


LIMITS: dict[str, Callable[[], Limit]] = {"aimd": Aimd, "gradient": Gradient}
