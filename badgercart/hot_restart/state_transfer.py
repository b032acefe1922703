"""Passes the policy's statistics from one process of a node to the next, in a file.

The file is written periodically while the node serves, and read once at the start of the next
process. It has names instead of indexes and Unix times instead of times of the node's clock,
because indexes and clock may differ in the next process. A file older than `MAX_AGE_MS` was left by
a process that ended long ago, and is ignored.
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

FORMAT_VERSION = 1
SAVE_INTERVAL_S = 1.0
MAX_AGE_MS = 10_000.0
MAX_FILE_BYTES = 4 << 20
# A node has few samples of each server of a larger fleet, and a longer write would block it.
MAX_SERVERS = 500


def encode(
    statistics: PolicyStatistics, config: Config, now_ms: float, unix_offset_ms: float
) -> bytes:
    """Return the content of the file.

    Args:
        statistics: the statistics of the policy.
        config: the current configuration, for the names of classes and kinds.
        now_ms: the Unix time in ms.
        unix_offset_ms: the difference between Unix time and the node's clock.
    """
    names = {index: name.decode("latin-1") for name, index in config.classes.items()}
    class_count = len(statistics.typical_latency_ms)
    kinds = {index: name for name, index in config.kinds.items()}
    fields = {
        "format": FORMAT_VERSION,
        "at": now_ms,
        "classes": {
            name: [
                statistics.typical_latency_ms[i],
                statistics.offered[i],
                statistics.offered[class_count + i],
            ]
            for i, name in names.items()
        },
        "kinds": {
            kinds[kind]: ratio for kind, ratio in statistics.kind_ratios.items() if kind in kinds
        },
        "numbers": {
            "least": statistics.best_latency_ms,
            "mean": statistics.mean_latency_ms,
            "answers": statistics.samples,
            "best_rate": statistics.best_rate,
            "carried": statistics.best_rate_per_endpoint,
            "keys_total": statistics.keyed_requests,
        },
        "keys": {str(key): count for key, count in statistics.key_counts.items()},
        "servers": {
            str(server): [
                known.started_ms + unix_offset_ms if known.started_ms else 0.0,
                known.relative_latency,
                known.recent_attempts,
                {
                    name: [known.failure_rates[i], known.consecutive_ejections[i]]
                    for i, name in names.items()
                },
            ]
            for server, known in list(statistics.endpoints.items())[:MAX_SERVERS]
        },
    }
    return encode_checksummed(fields)


def decode(data: bytes, config: Config, now_ms: float, unix_offset_ms: float) -> PolicyStatistics:
    """Return the statistics in the content of a file, completely or not at all.

    A class that is not in the file gets the same initial values as at any other start.

    Args:
        data: the content of the file.
        config: the current configuration, for the indexes of classes and kinds.
        now_ms: the Unix time in ms.
        unix_offset_ms: the difference between Unix time and the node's clock.

    Raises:
        CorruptFileError: the content is corrupt, malformed or too old.
    """
    fields = decode_checksummed(data, FORMAT_VERSION)
    try:
        if not -MAX_AGE_MS < now_ms - fields["at"] < MAX_AGE_MS:
            raise CorruptFileError("it is too old")
        return decode_fields(fields, config, unix_offset_ms)
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise CorruptFileError(f"{type(error).__name__}: {error}") from None


def decode_fields(
    fields: Mapping[str, Any], config: Config, unix_offset_ms: float
) -> PolicyStatistics:
    """Return the statistics in the decoded fields of a file.

    Raises KeyError, TypeError, ValueError, AttributeError or IndexError for malformed fields.
    """
    names = {index: name.decode("latin-1") for name, index in config.classes.items()}
    class_settings = config.settings.classes
    classes: Mapping[str, Sequence[float]] = fields["classes"]
    by_class = [
        classes.get(names.get(i, ""), (request_class.latency_objective_ms / 4, 0.0, 0.0))
        for i, request_class in enumerate(class_settings)
    ]
    servers = {}
    for server, (started, relative_latency, attempts, health) in fields["servers"].items():
        health_by_class = [
            health.get(names.get(i, ""), (0.0, 0.0)) for i in range(len(class_settings))
        ]
        started_ms = float(started) - unix_offset_ms if started else 0.0
        failure_rates, ejections = (
            tuple(float(rate) for rate, _ in health_by_class),
            tuple(float(count) for _, count in health_by_class),
        )
        servers[int(server)] = EndpointStatistics(
            started_ms, float(relative_latency), float(attempts), failure_rates, ejections
        )
    numbers: Mapping[str, float] = fields["numbers"]
    return PolicyStatistics(
        typical_latency_ms=[float(typical_ms) for typical_ms, _, _ in by_class],
        offered=[float(within) for _, within, _ in by_class]
        + [float(beyond) for _, _, beyond in by_class],
        kind_ratios={
            config.kinds[name]: float(ratio)
            for name, ratio in fields["kinds"].items()
            if name in config.kinds
        },
        key_counts={int(key): float(count) for key, count in fields["keys"].items()},
        endpoints=servers,
        best_latency_ms=float(numbers["least"]),
        mean_latency_ms=float(numbers["mean"]),
        samples=float(numbers["answers"]),
        best_rate=float(numbers["best_rate"]),
        best_rate_per_endpoint=float(numbers["carried"]),
        keyed_requests=float(numbers["keys_total"]),
    )


class StateTransfer:
    """Writes the file while the node serves, and restores it in the next process.

    Attributes:
        path: the file.
        is_closed: whether the file is no longer written.
    """

    def __init__(self, folder: Path, unix_offset_ms: float) -> None:
        self.path = folder / "badgercart-learned"
        self._unix_offset_ms = unix_offset_ms
        self.is_closed = False

    def restore(self, policy: Policy, config: Config) -> None:
        """Restore the statistics of the previous process into a policy that is not used yet."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES)
        except OSError:
            # There is no file at the first start on a machine.
            return
        try:
            statistics = decode(data, config, time.time() * 1000, self._unix_offset_ms)
        except CorruptFileError as error:
            LEARNED_SPOILT(path=self.path, error=error)
            return
        import_statistics(policy, statistics)
        LEARNED(servers=len(statistics.endpoints))

    def save_periodically(
        self, policy: Policy, config: Callable[[], Config], timers: Timers
    ) -> None:
        """Write the current statistics, now and after each interval."""
        if self.is_closed:
            return
        timers.call_later(SAVE_INTERVAL_S, self.save_periodically, policy, config, timers)
        data = encode(export_statistics(policy), config(), time.time() * 1000, self._unix_offset_ms)
        try:
            replace_file(self.path, data)
        except OSError as error:
            LEARNED_UNKEPT(path=self.path, error=error)

    def close(self) -> None:
        """Stop writing the file."""
        self.is_closed = True
