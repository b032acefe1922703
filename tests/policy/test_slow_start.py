"""What all nodes together send a cold server, by the servers' own records (`lab/ramp.py`)."""

from __future__ import annotations

import pytest

from badgercart.policy import slow_start
from badgercart.policy.actions import Send
from badgercart.policy.events import AttemptResult, EndpointUpdate, UpdateKind
from badgercart.policy.overload import OverloadController
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Settings
from lab.ramp import Ramp, closest, play
from tests.policy.support import SAFE, Stage, server, settings

SMALL = Ramp(servers=16, cold=6, before_ms=3000.0, ramp_ms=5000.0)


def plays(nodes: int, how: str, **more: float) -> Ramp:
    return Ramp(**{**SMALL.__dict__, "nodes": nodes, "how": how, **more})  # type: ignore[arg-type]


@pytest.mark.parametrize("how", ["join", "back", "all"])
@pytest.mark.parametrize("nodes", [2, 24, 200])
def test_no_cold_server_falls_and_what_it_may_get_is_sent(nodes: int, how: str) -> None:
    told = play(plays(nodes, how, load=0.8))
    assert told.fallen == 0 and told.closest < 0.9
    # Of N a third is what its age surely lets it do. The budget as it was sent 0.16 to 0.21 to
    # those that joined or came back.
    assert told.sent > 0.23


def test_no_cold_server_falls_in_a_surge_amid_its_ramp() -> None:
    """What came together undrawn at 100 nodes is drawn within a second."""
    told = play(plays(100, "back", load=0.4, burst=4.0, burst_ms=2500.0))
    assert told.fallen == 0


class NoOverload(OverloadController):
    """Never tells of overload."""

    def refresh_limit(self, passed_ms: float, fleet_slots: float, ready_count: int) -> None:
        super().refresh_limit(passed_ms, fleet_slots, ready_count)
        self.concurrency.limit = 1e9

    def measure(self) -> None:
        self.level = self.shed_threshold = 0.0


class Uncut(Policy):
    """Sends all that comes, as if nothing told it of overload: the most that a budget has to
    hold."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.overload.__class__ = NoOverload


@pytest.mark.parametrize("nodes", [2, 24, 60, 200])
def test_no_cold_server_falls_under_twice_what_the_whole_fleet_can_do(nodes: int) -> None:
    told = play(plays(nodes, "all", load=2.0), Uncut)
    assert told.fallen == 0 and told.sent > 0.5


def test_a_budget_too_generous_is_seen_to_fell_cold_servers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(slow_start, "BUDGET_SHARE", 2 * slow_start.BUDGET_SHARE)
    assert play(plays(24, "all", load=2.0), Uncut).fallen > 0


def test_records_are_judged_by_the_bound_of_their_window() -> None:
    ramp = plays(2, "back", multiple=3.0, cores=1, work_ms=100.0, cold_from=0.5, ramp_ms=1e9)
    bound = 15 + 2 * 15**0.5 + 2  # three times ten a second, half of them
    known, now = [True] * 24, 1000.0
    assert closest([now + n for n in range(24)], known, now, ramp) == pytest.approx(24 / bound)
    assert closest([now + 100 * n for n in range(24)], known, now, ramp) == pytest.approx(
        10 / bound
    )
    told = [False] * 8 + [True] * 16  # two thirds, and not more
    assert closest([now] * 24, told, now, ramp) < 1.0


def test_a_node_leaves_cold_servers_of_other_stretches_to_those_that_share_them() -> None:
    # Past a full stretch each of 200 nodes went on to the whole fleet, with the rate for its own:
    # five times.
    stage = Stage(settings(cluster_size=200, node_index=3, collapse_load_factor=3.0), servers=0)
    stage.list([server(number, started=stage.now) for number in range(40)], UpdateKind.SNAPSHOT)
    policy, far = stage.policy, set(range(40))
    assert policy.fleet.subset.size < 40
    far -= set(policy.fleet.subset.endpoint_ids)
    for _ in range(600):
        stage.advance(5.0)
        stage.request()
    sent = [action.endpoint_id for action in stage.log if isinstance(action, Send)]
    assert sent and not far & set(sent)


def test_a_node_shares_the_budget_with_all_that_may_live() -> None:
    def sent(nodes: int) -> int:
        stage = Stage(
            settings(classes=(SAFE,), cluster_size=nodes, collapse_load_factor=3.0), servers=0
        )
        stage.list([server(1, started=stage.now)])
        for _ in range(2000):
            stage.now += 5.0
            number = stage.request()
            if (number, 0) in stage.open:
                stage.outcome(number, 0, AttemptResult.OK, 50.0)
        return sum(isinstance(action, Send) and action.endpoint_id == 1 for action in stage.log)

    few, many = sent(2), sent(20)
    # Answers of 50 ms at any age: 20 a second, whatever its warmth; three times that; one node of
    # two.
    most = slow_start.BUDGET_SHARE * 3.0 * 20.0 * 10.0 / 2
    assert 0.7 * most < few <= most + 1 and many <= 0.12 * few


def test_a_listed_start_is_told_to_a_node_that_knows_the_server_warm() -> None:
    stage = Stage(settings(classes=(SAFE,), cluster_size=24, collapse_load_factor=3.0), servers=4)
    for _ in range(400):
        stage.now += 10.0
        stage.outcome(stage.request(), 0, AttemptResult.OK)
    before = stage.policy.fleet.endpoints.by_id[0].recent_attempts
    stage.give(EndpointUpdate(UpdateKind.DELTA, 2, [server(0, started=stage.now)]))
    peers = [stage.policy.fleet.endpoints.by_id[number].recent_attempts for number in (1, 2, 3)]
    assert before > 0 and stage.policy.fleet.endpoints.by_id[0].recent_attempts == pytest.approx(
        sum([before, *peers]) / 4
    )
    assert -1.0 <= stage.policy.fleet.endpoints.by_id[0].tokens <= 0.0  # nodes are out of step
