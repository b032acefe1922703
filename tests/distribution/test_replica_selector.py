"""The selection of replicas, and the delay before a follower reconnects."""

from __future__ import annotations

import random

from badgercart.distribution.replica_selector import FollowerTiming, ReplicaSelector

TIMING = FollowerTiming(reconnect_window_ms=100.0, max_reconnect_window_ms=1000.0)


def test_all_replicas_are_tried_in_turn() -> None:
    selector = ReplicaSelector(4, TIMING, random.Random(1))
    tried = []
    for _ in range(8):
        tried.append(selector.current)
        selector.record_failure()
    assert sorted(tried[:4]) == [0, 1, 2, 3] and tried[:4] == tried[4:] == selector.order


def test_failures_double_the_window_up_to_a_bound_and_a_success_resets_it() -> None:
    selector = ReplicaSelector(2, TIMING, random.Random(1))

    def longest_wait_ms() -> float:
        return max(selector.draw_reconnect_time_ms(5000.0) - 5000.0 for _ in range(2000))

    for bound_ms in (100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0):
        assert 0.95 * bound_ms < longest_wait_ms() <= bound_ms
        selector.record_failure()
    for _ in range(100):
        selector.record_failure()
    assert longest_wait_ms() <= 1000.0
    selector.record_success()
    assert longest_wait_ms() <= 100.0
