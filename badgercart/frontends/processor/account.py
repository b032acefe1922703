"""Who uses answers beyond their age: an account for each proxy, and what follows from it. No I/O.

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
class Proxy:
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
    uses: deque[float] = field(default_factory=deque)  # times of recent old uses
    refused_until: float = 0.0

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


class Account:
    """All proxies that have asked lately, the longest silent first."""

    def __init__(self, rule: OldAnswers) -> None:
        self.rule = rule
        self.proxies: dict[str, Proxy] = {}

    def proxy(self, name: str) -> Proxy:
        found = self.proxies.pop(name, None) or Proxy(name)
        self.proxies[name] = found
        if len(self.proxies) > MAX_PROXIES:
            # Never one that is refused while another is there: asking under ever new names must not
            # help it.
            spared = (n for n, p in self.proxies.items() if not p.refused_until and p is not found)
            del self.proxies[next(spared, next(iter(self.proxies)))]
        return found

    def standing(self, proxy: Proxy, now: float) -> Standing:
        if proxy.refused_until:
            if now < proxy.refused_until:
                return Standing.REFUSED
            proxy.refused_until = 0.0
            proxy.uses.clear()
        while proxy.uses and proxy.uses[0] <= now - self.rule.window_ms:
            proxy.uses.popleft()
        return (
            Standing.NO_FALLBACKS
            if len(proxy.uses) >= self.rule.no_fallbacks_after
            else Standing.GOOD
        )

    def used_old(self, proxy: Proxy, drained: bool, now: float) -> Standing:
        """Count a use of an old answer, and give the standing that follows."""
        proxy.old += 1
        proxy.drained += drained
        proxy.uses.append(now)
        if len(proxy.uses) > self.rule.refuse_after:
            proxy.uses.popleft()
        standing = self.standing(proxy, now)
        if standing is not Standing.REFUSED and len(proxy.uses) >= self.rule.refuse_after:
            proxy.refused_until = now + self.rule.refuse_for_ms
            return Standing.REFUSED
        return standing
