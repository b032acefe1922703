"""Tracks which proxies use old answers, that is answers beyond their age. No I/O.

A proxy that asks for each request sends only to servers that the answer for that request names. If
the response phase shows another server, the proxy used an answer that it kept. The limits are
settings: within a window, from the third such use on the proxy is answered without fallbacks; from
the tenth on its requests are shed for a while, after which counting starts again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from badgercart.frontends.processor.settings import OldAnswers

MAX_PROXIES = 256  # above it, the proxy that has not asked for longest is dropped


class Standing(Enum):
    """How a proxy's requests are answered."""

    GOOD = "good"
    NO_FALLBACKS = "no fallbacks"
    REFUSED = "refused"


@dataclass(slots=True)
class ProxyRecord:
    """What is known of one calling proxy. The counts are for operators."""

    name: str
    answered: int = 0  # requests that were routed
    refused: int = 0  # requests that were shed, for whatever reason
    unseen: int = 0  # requests that were routed and have had no response phase yet
    first: int = 0  # requests that ended at the first endpoint of their answer
    fallback: int = 0  # requests that ended at a fallback
    lost: int = 0  # requests that ended without a response phase
    old: int = 0  # requests that were served by another server: uses of an old answer
    drained: int = 0  # of those, by a server that had been draining for longer than the grace
    old_use_times_ms: deque[float] = field(default_factory=deque)  # recent uses of old answers
    refused_until_ms: float = 0.0

    def row(self, standing: Standing) -> dict[str, object]:
        """Return the proxy's row of the operators' page."""
        return {
            "standing": standing.value,
            "answered": self.answered,
            "unseen": self.unseen,
            "first": self.first,
            "fallback": self.fallback,
            "lost": self.lost,
            "old": self.old,
            "drained": self.drained,
            "refused": self.refused,
        }


class OldAnswerTracker:
    """The proxies that have asked recently, the one that has not asked for longest first."""

    def __init__(self, rule: OldAnswers) -> None:
        self.rule = rule
        self.proxies: dict[str, ProxyRecord] = {}

    def find_or_add(self, name: str) -> ProxyRecord:
        """Return a proxy's record, and note that it has just asked."""
        found = self.proxies.pop(name, None) or ProxyRecord(name)
        self.proxies[name] = found
        if len(self.proxies) > MAX_PROXIES:
            # One whose requests are shed is dropped last: otherwise a proxy could get rid of its
            # record by asking under many names.
            droppable = (
                other_name
                for other_name, other in self.proxies.items()
                if not other.refused_until_ms and other is not found
            )
            del self.proxies[next(droppable, next(iter(self.proxies)))]
        return found

    def standing(self, proxy: ProxyRecord, now_ms: float) -> Standing:
        """Return how a proxy's requests are answered now."""
        if proxy.refused_until_ms:
            if now_ms < proxy.refused_until_ms:
                return Standing.REFUSED
            proxy.refused_until_ms = 0.0
            proxy.old_use_times_ms.clear()
        while proxy.old_use_times_ms and proxy.old_use_times_ms[0] <= now_ms - self.rule.window_ms:
            proxy.old_use_times_ms.popleft()
        return (
            Standing.NO_FALLBACKS
            if len(proxy.old_use_times_ms) >= self.rule.no_fallbacks_after
            else Standing.GOOD
        )

    def record_old_use(self, proxy: ProxyRecord, drained: bool, now_ms: float) -> Standing:
        """Count a use of an old answer, and return the new standing."""
        proxy.old += 1
        proxy.drained += drained
        proxy.old_use_times_ms.append(now_ms)
        if len(proxy.old_use_times_ms) > self.rule.refuse_after:
            proxy.old_use_times_ms.popleft()
        standing = self.standing(proxy, now_ms)
        if (
            standing is not Standing.REFUSED
            and len(proxy.old_use_times_ms) >= self.rule.refuse_after
        ):
            proxy.refused_until_ms = now_ms + self.rule.refuse_for_ms
            return Standing.REFUSED
        return standing
