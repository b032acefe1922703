"""Who old_use_times_ms answers beyond their age: an account for each proxy, and what follows from it. No I/O.

A proxy that asks anew for every request only ever sends to a server that its answer names. Where
the response phase tells of another one, the proxy used an answer that it held. The rule, with the
operator's figures: within a window, from the third such use on it is answered without fallbacks;
from the tenth on it is refused for a while, after which the count begins anew.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from badgercart.frontends.processor.settings import OldAnswers

MAX_PROXIES = 256  # the one that was silent for the longest makes room


class Standing(Enum):
    GOOD = "good"
    NO_FALLBACKS = "no fallbacks"
    REFUSED = "refused"


@dataclass(slots=True)
class ProxyRecord:
    """What is known of one calling proxy. The counts are for operators."""

    name: str
    answered: int = 0  # requests that were told where to go
    refused: int = 0  # requests that were told not to go, for whatever reason
    unseen: int = 0  # answered, and no response phase yet
    first: int = 0  # ended where the answer said
    fallback: int = 0  # ended at a fallback
    lost: int = 0  # ended with no response phase
    old: int = 0  # served elsewhere: an old answer
    drained: int = 0  # of those, by a server that had been told to drain for longer than the grace
    old_use_times_ms: deque[float] = field(
        default_factory=deque
    )  # times of recent old old_use_times_ms
    refused_until_ms: float = 0.0

    def row(self, standing: Standing) -> dict[str, object]:
        """The proxy's line of the page that operators ask for."""
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
    """All proxies that have asked lately, the longest silent first."""

    def __init__(self, rule: OldAnswers) -> None:
        self.rule = rule
        self.proxies: dict[str, ProxyRecord] = {}

    def find_or_add(self, name: str) -> ProxyRecord:
        found = self.proxies.pop(name, None) or ProxyRecord(name)
        self.proxies[name] = found
        if len(self.proxies) > MAX_PROXIES:
            # Never one that is refused while another is there: asking under ever new names must not
            # help it.
            spared = (
                n for n, p in self.proxies.items() if not p.refused_until_ms and p is not found
            )
            del self.proxies[next(spared, next(iter(self.proxies)))]
        return found

    def standing(self, proxy: ProxyRecord, now: float) -> Standing:
        if proxy.refused_until_ms:
            if now < proxy.refused_until_ms:
                return Standing.REFUSED
            proxy.refused_until_ms = 0.0
            proxy.old_use_times_ms.clear()
        while proxy.old_use_times_ms and proxy.old_use_times_ms[0] <= now - self.rule.window_ms:
            proxy.old_use_times_ms.popleft()
        return (
            Standing.NO_FALLBACKS
            if len(proxy.old_use_times_ms) >= self.rule.no_fallbacks_after
            else Standing.GOOD
        )

    def record_old_use(self, proxy: ProxyRecord, drained: bool, now: float) -> Standing:
        """Count a use of an old answer, and give the standing that follows."""
        proxy.old += 1
        proxy.drained += drained
        proxy.old_use_times_ms.append(now)
        if len(proxy.old_use_times_ms) > self.rule.refuse_after:
            proxy.old_use_times_ms.popleft()
        standing = self.standing(proxy, now)
        if (
            standing is not Standing.REFUSED
            and len(proxy.old_use_times_ms) >= self.rule.refuse_after
        ):
            proxy.refused_until_ms = now + self.rule.refuse_for_ms
            return Standing.REFUSED
        return standing
