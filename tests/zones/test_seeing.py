"""What a node sees, what all see together, and which part of a zone counts."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.policy.events import AttemptResult
from badgercart.zones.circuit_breaker import Pace, State, ZoneCircuitBreaker
from badgercart.zones.failure_detector import (
    BACK,
    KNOWN_FOR,
    MAX_SERVERS,
    Verdict,
    ZoneFailureDetector,
)
from badgercart.zones.topology import Geography, geography
from badgercart.zones.zone_reports import Evidence, ZoneReport

FINE, DARK, UNKNOWN = Verdict.FINE, Verdict.DARK, Verdict.UNKNOWN


def serving(seed: int = 1, mean: float = 50.0) -> tuple[ZoneFailureDetector, float]:
    """Eyes that have seen 200 answers of zone 0."""
    eyes, rng, now = ZoneFailureDetector(2), random.Random(seed), 0.0
    for number in range(200):
        took = rng.expovariate(1 / mean)
        now += 10.0
        eyes.sent(now - took, 0, number % 4)
        eyes.ended(now, 0, AttemptResult.OK, took)
    return eyes, now


def test_a_zone_that_falls_silent_is_dark_the_sooner_the_more_is_out() -> None:
    found = []
    for every in (2.0, 10.0, 50.0):
        eyes, now = serving()
        since = now
        while eyes.verdict(now, 0) is not DARK:
            now += every
            eyes.sent(now, 0, int(now) % 4)
            assert now < since + 5000
        found.append(now - since)
    assert found[0] < found[1] < found[2] and found[0] < 100 and found[2] < 400


def test_random_answers_are_never_taken_for_the_dark() -> None:
    for seed in range(20):
        eyes, now = serving(seed)
        rng, out = random.Random(seed), []
        for number in range(2000):
            now += rng.expovariate(1 / 20)
            for end, sent in [pair for pair in out if pair[0] <= now]:
                eyes.ended(end, 0, AttemptResult.OK, end - sent)
                out.remove((end, sent))
            eyes.sent(now, 0, number % 3)
            out.append((now + rng.expovariate(1 / 50), now))
            assert eyes.verdict(now, 0) is FINE, seed


@pytest.mark.parametrize(
    ("result", "needed"),
    [
        (AttemptResult.UNREACHABLE, 5),
        (AttemptResult.RESET, 10),
        (AttemptResult.TIMEOUT, 3),
        (AttemptResult.NOT_SENT, 99),
    ],
)
def test_ends_without_an_answer_prove_the_dark_and_one_answer_takes_the_proof_away(
    result: AttemptResult, needed: int
) -> None:
    eyes, now = serving()
    count = 0
    while eyes.verdict(now, 0) is not DARK and count < 40:
        eyes.sent(now, 0, count % 2)
        now += 1.0 if result is not AttemptResult.TIMEOUT else 500.0
        eyes.ended(now, 0, result, 1.0 if result is not AttemptResult.TIMEOUT else 500.0)
        count += 1
    assert count <= needed if needed < 99 else eyes.verdict(now, 0) is DARK or count == 40
    eyes.sent(now, 0, 1)
    eyes.ended(now + 5, 0, AttemptResult.FULL, 5.0)  # full is an answer, too
    assert eyes.verdict(now + 5, 0) is FINE


def test_one_hanging_server_of_two_is_the_policys_matter() -> None:
    eyes, now = serving()
    for _ in range(50):
        eyes.sent(now, 0, 7)
    assert eyes.verdict(now + 10_000, 0) is not DARK
    assert eyes.verdict(now + 10_000, 0, servers=1) is DARK
    assert len(eyes.zones[0].servers) <= MAX_SERVERS


def test_the_dark_ends_by_probes_in_a_row_and_a_zone_nobody_asks_is_unknown() -> None:
    eyes, now = serving()
    for number in range(6):
        eyes.probed(now, 0, number, False)
    assert eyes.verdict(now, 0) is DARK and eyes.wants_probe(now, 0, 2000.0)
    for answered in (*(True,) * (BACK - 1), False, *(True,) * (BACK - 1)):
        eyes.probed(now, 0, 1, answered)
        assert eyes.verdict(now, 0) is DARK
    eyes.probed(now, 0, 1, True)
    assert eyes.verdict(now, 0) is FINE and not eyes.wants_probe(now + 50, 0, 2000.0)
    assert eyes.verdict(now + KNOWN_FOR, 0) is UNKNOWN and eyes.verdict(now, 1) is UNKNOWN


def test_a_zone_is_slow_by_its_own_measure_with_those_that_never_came() -> None:
    eyes, now = serving()
    assert eyes.zones[0].slow < 2.0 and eyes.zones[0].known(now) and not eyes.zones[1].known(now)
    for _ in range(40):
        now += 10.0
        eyes.ended(now, 0, AttemptResult.TIMEOUT, 200.0)
    assert eyes.zones[0].slow > 2.5 and not eyes.zones[0].known(now + 5000.0)


MAP: Geography = geography("abc", {"a": "p", "b": "p"}, {("a", "c"): 4.0}, 1)


def told(*claims: tuple[int, tuple[Verdict, ...]], **more: list[int]) -> Evidence:
    evidence = Evidence(MAP)
    for number, (zone, verdicts) in enumerate(claims):
        plain = {"slow": [100] * 3, "good": [100] * 3, "demand": [1000, 0]} | more
        claim = ZoneReport(MAP.digest, list(map(int, verdicts)), **plain)
        evidence.take(f"n{number}", zone, msgspec.msgpack.encode(claim), 1000.0)
    return evidence


CAPACITY = (10.0, 10.0, 10.0)


def test_a_zone_that_nobody_reaches_is_down_and_a_link_that_some_miss_is_parted() -> None:
    down = told((0, (FINE, DARK, FINE)), (1, (FINE, DARK, FINE)), (2, (FINE, DARK, FINE))).seen(
        1000.0, 500.0, CAPACITY
    )
    assert down.down == {1} and not down.parted and "b is dark, say n0 n1 n2" in down.why
    cut = told((0, (FINE, DARK, FINE)), (1, (DARK, FINE, DARK)), (2, (FINE, DARK, FINE))).seen(
        1000.0, 500.0, CAPACITY
    )
    assert not cut.down and cut.parted == {(0, 1), (2, 1), (1, 0), (1, 2)} and 1 in cut.own
    one_way = told((0, (FINE, DARK, FINE)), (1, (FINE,) * 3), (2, (FINE,) * 3)).seen(
        1000.0, 500.0, CAPACITY
    )
    assert one_way.parted == {(0, 1)} and not one_way.down and one_way.fine == {0, 1, 2}


def test_one_liar_buries_no_zone_and_claims_no_more_than_a_stated_part() -> None:
    honest = [(0, (FINE,) * 3), (1, (FINE,) * 3), (0, (UNKNOWN,) * 3)]
    seen = told(*honest, (2, (DARK,) * 3)).seen(1000.0, 500.0, CAPACITY)
    assert not seen.down and seen.parted == {
        (2, 0),
        (2, 1),
        (2, 2),
    }  # its own ways
    quiet = told((0, (UNKNOWN,) * 3), (2, (DARK,) * 3)).seen(1000.0, 500.0, CAPACITY)
    assert not quiet.down
    greedy = told((0, (FINE,) * 3), (1, (FINE,) * 3), demand=[10**15, 0]).seen(
        1000.0, 500.0, CAPACITY
    )
    assert greedy.demand[0][0] <= 4 * 30 / 2


def test_old_claims_other_maps_and_junk_count_for_nothing() -> None:
    evidence = told((0, (FINE, DARK, FINE)), (1, (FINE, DARK, FINE)))
    assert evidence.seen(1600.0, 500.0, CAPACITY).down == frozenset()
    other = geography("abc", {}, {}, 1)
    claim = ZoneReport(other.digest, [1] * 3, [0] * 3, [100] * 3, [0, 0])
    evidence.take("n0", 0, msgspec.msgpack.encode(claim), 1000.0)
    assert evidence.other_map == 1 and "n0" not in evidence.heard
    bad = [
        b"junk", msgspec.msgpack.encode(ZoneReport(MAP.digest, [1], [0] * 3, [0] * 3, [0, 0])),
        msgspec.msgpack.encode(ZoneReport(MAP.digest, [1] * 3, [0] * 3, [0] * 3, [-1, 0])),
    ]  # fmt: skip
    for said in bad:
        evidence.take("n5", 0, said, 1000.0)
    assert evidence.turned_away == 3 and "n5" not in evidence.heard
    evidence.keep(["n1"])
    assert list(evidence.heard) == ["n1"]


@given(
    st.lists(st.tuples(st.integers(0, 2), st.tuples(*[st.sampled_from(Verdict)] * 3)), max_size=8)
)
def test_what_is_seen_does_not_depend_on_who_was_heard_first(
    claims: list[tuple[int, tuple[Verdict, ...]]],
) -> None:
    evidence = told(*claims)
    other = Evidence(MAP)
    for name, heard in reversed(evidence.heard.items()):
        other.heard[name] = heard
    seen = evidence.seen(1000.0, 500.0, CAPACITY)
    assert seen == other.seen(1000.0, 500.0, CAPACITY)
    assert not seen.down & seen.fine and not any(zone in seen.down for _, zone in seen.parted)


PACE = Pace(hold=1000.0, longest=8000.0, forgive=20_000.0)


def walk(
    gate: ZoneCircuitBreaker,
    now: float,
    until: float,
    down: bool,
    well: bool = True,
    strength: float = 1.0,
) -> float:
    while now < until:
        now += 100.0
        gate.tick(now, down, well, strength)
    return now


def test_a_gate_shuts_at_once_waits_its_hold_and_opens_by_steps() -> None:
    gate = ZoneCircuitBreaker(PACE)
    now = walk(gate, 0.0, 100.0, True)
    assert gate.state is State.SHUT and gate.factor == 0
    now = walk(gate, now, now + 800.0, False)
    assert gate.state is State.SHUT
    now = walk(gate, now, now + 500.0, False)
    assert gate.state is State.RETURNING and 0.1 <= gate.factor < 0.3
    walk(gate, now, now + 6000.0, False)
    assert gate.state is State.OPEN and gate.factor == 1.0


def test_a_zone_that_flaps_waits_longer_each_time_and_in_the_end_stays_shut() -> None:
    gate, now, opened = ZoneCircuitBreaker(PACE), 0.0, 0
    for _ in range(75):  # each 2 s for five minutes
        now = walk(gate, now, now + 2000.0, True)
        before = gate.state
        now = walk(gate, now, now + 2000.0, False)
        opened += before is State.SHUT and gate.state is not State.SHUT
    assert opened <= 3 and gate.hold > PACE.hold


def test_a_step_that_hurts_is_taken_back_once_and_a_slow_zone_keeps_a_part() -> None:
    gate = ZoneCircuitBreaker(PACE)
    now = walk(gate, 0.0, 100.0, True)
    now = walk(gate, now, now + 3500.0, False)
    before = gate.factor
    now = walk(gate, now, now + 100.0, False, strength=0.25)
    assert gate.taken_back and gate.factor == pytest.approx(before / 2)
    walk(gate, now, now + 100.0, False, strength=0.25)
    assert gate.state is State.OPEN and gate.factor == 0.25  # no further down than its answers say
    slow = ZoneCircuitBreaker(PACE)
    walk(slow, 0.0, 1000.0, False, strength=0.3)
    assert slow.state is State.OPEN and slow.factor == 0.3
