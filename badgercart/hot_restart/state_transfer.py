"""What one process of a node learned, for the next: one file, written while it serves, read at the
start.

Names stand in it in place of numbers, and Unix times in place of the node's clock: neither need be
the same at the next process. What is older than `OLDEST` is of a process that is long dead.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from badgercart.config import Config
from badgercart.core.checksummed_file import (
    CorruptFileError,
    decode_checksummed,
    encode_checksummed,
    replace_file,
)
from badgercart.core.ports import Timers
from badgercart.hot_restart.log_events import LEARNED, LEARNED_SPOILT, LEARNED_UNKEPT
from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.policy import Policy
from badgercart.policy.statistics import PolicyStatistics, export_statistics, import_statistics

FORMAT = 1
EVERY = 1.0  # s between writes
OLDEST = 10_000.0  # ms
MAX_BYTES = 4 << 20
MAX_SERVERS = 500  # of a larger fleet a node knows little of each, and a write would hold it up


def encode(memory: PolicyStatistics, config: Config, now: float, unix_offset: float) -> bytes:
    """`now` in Unix ms; `unix_offset` from the node's clock to it."""
    names = {number: name.decode("latin-1") for name, number in config.classes.items()}
    half = len(memory.typical_latency_ms)
    kinds = {number: name for name, number in config.kinds.items()}
    told = {
        "format": FORMAT,
        "at": now,
        "classes": {
            name: [memory.typical_latency_ms[i], memory.offered[i], memory.offered[half + i]]
            for i, name in names.items()
        },
        "kinds": {kinds[kind]: pace for kind, pace in memory.kind_ratios.items() if kind in kinds},
        "numbers": {
            "least": memory.best_latency_ms,
            "mean": memory.mean_latency_ms,
            "answers": memory.samples,
            "best_rate": memory.best_rate,
            "carried": memory.best_rate_per_endpoint,
            "keys_total": memory.keyed_requests,
        },
        "keys": {str(key): count for key, count in memory.key_counts.items()},
        "servers": {
            str(server): [
                known.started_ms + unix_offset if known.started_ms else 0.0,
                known.relative_latency,
                known.recent_attempts,
                {
                    name: [known.failure_rates[i], known.consecutive_ejections[i]]
                    for i, name in names.items()
                },
            ]
            for server, known in list(memory.endpoints.items())[:MAX_SERVERS]
        },
    }
    return encode_checksummed(told)


def decode(data: bytes, config: Config, now: float, unix_offset: float) -> PolicyStatistics:
    """Raises Unusable; nothing is taken in part. A class that is new here is assumed, as at any
    start."""
    told = decode_checksummed(data, FORMAT)
    try:
        if not -OLDEST < now - told["at"] < OLDEST:
            raise CorruptFileError("it is too old")
        return read(told, config, unix_offset)
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise CorruptFileError(f"{type(error).__name__}: {error}") from None


def read(told: Mapping[str, Any], config: Config, unix_offset: float) -> PolicyStatistics:
    names = {number: name.decode("latin-1") for name, number in config.classes.items()}
    terms = config.settings.classes
    classes: Mapping[str, Sequence[float]] = told["classes"]
    by_class = [
        classes.get(names.get(i, ""), (cls.latency_objective_ms / 4, 0.0, 0.0))
        for i, cls in enumerate(terms)
    ]
    servers = {}
    for server, (started, slow, recent, health) in told["servers"].items():
        each = [health.get(names.get(i, ""), (0.0, 0.0)) for i in range(len(terms))]
        own = float(started) - unix_offset if started else 0.0
        fails, strikes = tuple(float(f) for f, _ in each), tuple(float(s) for _, s in each)
        servers[int(server)] = EndpointStatistics(own, float(slow), float(recent), fails, strikes)
    numbers: Mapping[str, float] = told["numbers"]
    return PolicyStatistics(
        typical_latency_ms=[float(usual) for usual, _, _ in by_class],
        offered=[float(within) for _, within, _ in by_class]
        + [float(beyond) for _, _, beyond in by_class],
        kind_ratios={
            config.kinds[name]: float(v)
            for name, v in told["kinds"].items()
            if name in config.kinds
        },
        key_counts={int(key): float(count) for key, count in told["keys"].items()},
        endpoints=servers,
        best_latency_ms=float(numbers["least"]),
        mean_latency_ms=float(numbers["mean"]),
        samples=float(numbers["answers"]),
        best_rate=float(numbers["best_rate"]),
        best_rate_per_endpoint=float(numbers["carried"]),
        keyed_requests=float(numbers["keys_total"]),
    )


class Handover:
    """Keeps the file while the node serves, and gives it to the policy of the next process."""

    def __init__(self, folder: Path, unix_offset: float) -> None:
        self.path = folder / "badgercart-learned"
        self.unix_offset = unix_offset
        self.closed = False

    def give(self, policy: Policy, config: Config) -> None:
        """To a policy that has been told nothing yet."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_BYTES)
        except OSError:
            return  # the first process of its machine
        try:
            memory = decode(data, config, time.time() * 1000, self.unix_offset)
        except CorruptFileError as error:
            LEARNED_SPOILT(path=self.path, error=error)
            return
        import_statistics(policy, memory)
        LEARNED(servers=len(memory.endpoints))

    def keep(self, policy: Policy, config: Callable[[], Config], timers: Timers) -> None:
        """Write what is known now, and again and again."""
        if self.closed:
            return
        timers.call_later(EVERY, self.keep, policy, config, timers)
        data = encode(export_statistics(policy), config(), time.time() * 1000, self.unix_offset)
        try:
            replace_file(self.path, data)
        except OSError as error:
            LEARNED_UNKEPT(path=self.path, error=error)

    def close(self) -> None:
        self.closed = True
