"""How what was learned fades towards what is assumed of the unknown. No I/O.

value(t) = prior + (value - prior) * 2 ** (-t / half), so that ageing in two steps is ageing in one,
and after endless time nothing is left but the prior. What is learned anew within seconds is worth
little once it is old: minutes at most.
"""

from __future__ import annotations

import math
from dataclasses import replace

from badgercart.policy.settings import Settings
from badgercart.policy.statistics import PolicyStatistics

SECOND, MINUTE = 1000.0, 60_000.0
HALF = {  # ms after which half of it is left
    "usual": 10
    * MINUTE,  # learned anew of some fifty answers: what is old costs more than it saves
    "kinds": 10 * MINUTE,  # the same; and servers that were slow are in it
    "offered": MINUTE,  # which classes come
    "answers": 10
    * MINUTE,  # the trust in the quickest mean time; the time itself can't fade to a prior
    "rates": MINUTE,  # the best that was carried
    "keys": 5 * SECOND,  # as the policy halves them itself
    "slow": MINUTE,  # what slows one server
    "recent": 5 * SECOND,  # as the policy halves them itself
    "fails": 30 * SECOND,
    "strikes": 2 * MINUTE,
}
LEAST_KEY = 0.5  # requests: of fewer the policy keeps no key


def left(what: str, age: float) -> float:
    """The part that is left after `age` ms."""
    return math.exp2(-min(max(age, 0.0) / HALF[what], 1000.0))


def towards(prior: float, value: float, part: float) -> float:
    return prior + (value - prior) * part


def aged(memory: PolicyStatistics, age: float, settings: Settings) -> PolicyStatistics:
    """What is left of it after `age` ms (under 0 counts as 0)."""
    usual, kinds, slow = left("usual", age), left("kinds", age), left("slow", age)
    recent, fails, strikes = left("recent", age), left("fails", age), left("strikes", age)
    rates, offered, keys = left("rates", age), left("offered", age), left("keys", age)
    priors = [cls.latency_objective_ms / 4 for cls in settings.classes]
    return PolicyStatistics(
        usual=[
            towards(prior, value, usual) for prior, value in zip(priors, memory.usual, strict=False)
        ],
        offered=[count * offered for count in memory.offered],
        kinds={kind: towards(1.0, pace, kinds) for kind, pace in memory.kinds.items()},
        least=memory.least,
        mean=memory.mean,
        answers=memory.answers * left("answers", age),
        best_rate=memory.best_rate * rates,
        carried=memory.carried * rates,
        keys={key: count * keys for key, count in memory.keys.items() if count * keys > LEAST_KEY},
        keys_total=memory.keys_total * keys,
        servers={
            number: replace(
                known,
                relative_latency=towards(1.0, known.relative_latency, slow),
                recent_attempts=known.recent_attempts * recent,
                failure_rates=tuple(value * fails for value in known.failure_rates),
                consecutive_ejections=tuple(
                    value * strikes for value in known.consecutive_ejections
                ),
            )
            for number, known in memory.servers.items()
        },
    )
