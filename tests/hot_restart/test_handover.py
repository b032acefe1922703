"""The statistics file between two processes: other indexes, corrupt, truncated, too old."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.config import Config
from badgercart.core.checksummed_file import CorruptFileError
from badgercart.hot_restart.state_transfer import MAX_AGE_MS, StateTransfer, decode, encode
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, Request, UpdateKind
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Idempotency, RequestClass
from badgercart.policy.statistics import PolicyStatistics, export_statistics
from tests.net import config

NOW, OFFSET = 1_000_000.0, 777.0


def config_with_classes(*names: str) -> Config:
    classes = tuple(RequestClass(400.0, 900.0, 1.0, Idempotency.IDEMPOTENT) for _ in names)
    base = config(1)
    indexes = {name.encode(): i for i, name in enumerate(names)}
    return replace(base, settings=replace(base.settings, classes=classes), classes=indexes)


def measured_statistics(config: Config) -> PolicyStatistics:
    policy = Policy(config.settings, 1)
    entries = [Endpoint(i, 0, 0, 0, EndpointState.READY, 1.0, 50.0 * i) for i in (1, 2)]
    policy.handle(100.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    policy.handle(101.0, Request(1, 0, 900.0))
    (
        policy.fleet.latency.typical_ms[0],
        policy.fleet.latency.kind_ratios[0],
        policy.overload.throughput.best_rate_per_endpoint,
    ) = 33.0, 1.5, 0.25
    (
        policy.fleet.endpoints.by_id[1].relative_latency,
        policy.fleet.endpoints.by_id[1].health[0].failure_rate,
    ) = 4.0, 0.75
    return export_statistics(policy)


def test_statistics_are_restored_by_name_with_other_indexes_and_clocks() -> None:
    old, new = config_with_classes("a", "b"), config_with_classes("new", "b", "a")
    statistics = measured_statistics(old)
    restored = decode(encode(statistics, old, NOW, OFFSET), new, NOW + 5, OFFSET + 1000)
    assert (
        restored.typical_latency_ms == [100.0, 100.0, 33.0]
        and restored.kind_ratios == {0: 1.5}
        and restored.best_rate_per_endpoint == 0.25
    )
    assert (
        restored.endpoints[1].failure_rates == (0.0, 0.0, 0.75)
        and restored.endpoints[1].relative_latency == 4.0
    )
    # The start time is the same moment on another clock.
    assert restored.endpoints[1].started_ms == 50.0 - 1000
    assert restored.offered[2] == statistics.offered[0] and len(restored.offered) == 6


DATA = encode(measured_statistics(config_with_classes("a")), config_with_classes("a"), NOW, OFFSET)


@given(st.integers(0, len(DATA) - 1), st.integers(0, 255))
def test_a_truncated_or_altered_file_is_rejected(position: int, byte: int) -> None:
    corrupt_files = [DATA[:position]] + (
        [DATA[:position] + bytes([byte]) + DATA[position + 1 :]] if DATA[position] != byte else []
    )
    for data in corrupt_files:
        with pytest.raises(CorruptFileError):
            decode(data, config_with_classes("a"), NOW, OFFSET)


def test_a_file_that_is_too_old_is_ignored(tmp_path: Path) -> None:
    with pytest.raises(CorruptFileError, match="too old"):
        decode(DATA, config_with_classes("a"), NOW + MAX_AGE_MS + 1, OFFSET)
    handover, policy = StateTransfer(tmp_path, OFFSET), Policy(config_with_classes("a").settings, 1)
    # The time in the file is in the year 1970.
    handover.path.write_bytes(DATA)
    handover.restore(policy, config_with_classes("a"))
    assert policy.fleet.latency.typical_ms == [100.0] and not policy.fleet.endpoints.restorable


def test_statistics_are_saved_and_restored_until_closed(tmp_path: Path) -> None:
    class Timers:
        calls: list[object] = []

        def call_later(self, delay: float, callback: object, *args: object) -> object:
            self.calls.append(callback)
            return self

        def cancel(self) -> None: ...

    node_config, timers = config_with_classes("a"), Timers()
    first, policy = StateTransfer(tmp_path, OFFSET), Policy(node_config.settings, 1)
    policy.fleet.latency.typical_ms[0] = 44.0
    first.save_periodically(policy, lambda: node_config, timers)
    assert [path.name for path in tmp_path.iterdir()] == [first.path.name] and len(
        timers.calls
    ) == 1
    successor = Policy(node_config.settings, 2)
    StateTransfer(tmp_path, OFFSET).restore(successor, node_config)
    assert successor.fleet.latency.typical_ms == [44.0]
    first.close()
    first.save_periodically(policy, lambda: node_config, timers)
    assert len(timers.calls) == 1
