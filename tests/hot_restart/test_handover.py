"""What was learned, from one process to the next: under other numbers, spoilt, cut off, too old."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.config import Config
from badgercart.core.checksummed_file import CorruptFileError
from badgercart.hot_restart.state_transfer import OLDEST, Handover, decode, encode
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, Request, UpdateKind
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Idempotency, RequestClass
from badgercart.policy.statistics import PolicyStatistics, export_statistics
from tests.net import config

NOW, OFFSET = 1_000_000.0, 777.0


def made(*names: str) -> Config:
    classes = tuple(RequestClass(400.0, 900.0, 1.0, Idempotency.IDEMPOTENT) for _ in names)
    base = config(1)
    numbers = {name.encode(): i for i, name in enumerate(names)}
    return replace(base, settings=replace(base.settings, classes=classes), classes=numbers)


def learned(of: Config) -> PolicyStatistics:
    policy = Policy(of.settings, 1)
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


def test_names_stay_though_numbers_and_clocks_change() -> None:
    old, new = made("a", "b"), made("new", "b", "a")
    memory = learned(old)
    got = decode(encode(memory, old, NOW, OFFSET), new, NOW + 5, OFFSET + 1000)
    assert (
        got.typical_latency_ms == [100.0, 100.0, 33.0]
        and got.kind_ratios == {0: 1.5}
        and got.best_rate_per_endpoint == 0.25
    )
    assert (
        got.endpoints[1].failure_rates == (0.0, 0.0, 0.75)
        and got.endpoints[1].relative_latency == 4.0
    )
    assert got.endpoints[1].started_ms == 50.0 - 1000  # the same moment on another clock
    assert got.offered[2] == memory.offered[0] and len(got.offered) == 6


DATA = encode(learned(made("a")), made("a"), NOW, OFFSET)


@given(st.integers(0, len(DATA) - 1), st.integers(0, 255))
def test_cut_anywhere_or_with_any_byte_changed_it_is_not_taken(at: int, byte: int) -> None:
    spoilt = [DATA[:at]] + (
        [DATA[:at] + bytes([byte]) + DATA[at + 1 :]] if DATA[at] != byte else []
    )
    for data in spoilt:
        with pytest.raises(CorruptFileError):
            decode(data, made("a"), NOW, OFFSET)


def test_what_a_process_long_dead_left_is_not_taken(tmp_path: Path) -> None:
    with pytest.raises(CorruptFileError, match="too old"):
        decode(DATA, made("a"), NOW + OLDEST + 1, OFFSET)
    handover, policy = Handover(tmp_path, OFFSET), Policy(made("a").settings, 1)
    handover.path.write_bytes(DATA)  # of the year 1970
    handover.give(policy, made("a"))
    assert policy.fleet.latency.typical_ms == [100.0] and not policy.fleet.endpoints.restorable


def test_it_is_written_and_taken_and_its_writes_end(tmp_path: Path) -> None:
    class Timers:
        set: list[object] = []

        def call_later(self, delay: float, callback: object, *args: object) -> object:
            self.set.append(callback)
            return self

        def cancel(self) -> None: ...

    of, timers = made("a"), Timers()
    first, policy = Handover(tmp_path, OFFSET), Policy(of.settings, 1)
    policy.fleet.latency.typical_ms[0] = 44.0
    first.keep(policy, lambda: of, timers)
    assert [path.name for path in tmp_path.iterdir()] == [first.path.name] and len(timers.set) == 1
    successor = Policy(of.settings, 2)
    Handover(tmp_path, OFFSET).give(successor, of)
    assert successor.fleet.latency.typical_ms == [44.0]
    first.close()
    first.keep(policy, lambda: of, timers)
    assert len(timers.set) == 1
