"""Each rule of the store: the order of events that it is there for holds, and doesn't without the
rule."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from badgercart.distribution.journal import JournalError
from badgercart.distribution.store import Store
from tests.distribution import orders
from tests.distribution.broken import RULES, broken, draw
from tests.distribution.group import MemoryDisk
from tests.distribution.test_properties import SMALL, play


@pytest.mark.parametrize("order", orders.ORDERS, ids=lambda order: str(order.__name__))
def test_the_shortest_orders_hold(order: Callable[[], None]) -> None:
    order()


SHORTEST: dict[str, Callable[[type[Store]], None]] = {
    "entries of older terms are counted": orders.figure_8,
    "a vote is kept": orders.vote_forgotten,
    "one vote a term": orders.two_ask_at_once,
    "the tail is replaced only where it differs": orders.tail_shortened,
    "a leader of an earlier term is not followed": orders.earlier_term,
    "what stands behind a place told whole stays": orders.tail_behind_state,
}
DRAWN = {  # seeds of plays that find it, with as many voters
    "a vote only for a log that holds ours": (3, 5),
    "more than half": (1, 3),
    "more than half keep a change": (1, 3),
    "a change is kept before it is said to be": (0, 3),
    "only what the leader has told is in force": (1, 3),
    "a new term forgets what an earlier leader had told": (5, 5),
    "the age goes by what was answered before": (5, 5),
    "a leader's age goes by its lease": (1, 3),
    "a new leader knows nothing before its first change is in force": (8, 3),
}


def test_each_rule_has_an_order_or_a_play() -> None:
    assert sorted([*SHORTEST, *DRAWN]) == sorted(RULES)


@pytest.mark.parametrize("rule", SHORTEST)
def test_an_order_is_seen_to_fail_without_its_rule(rule: str) -> None:
    with pytest.raises(AssertionError):
        SHORTEST[rule](broken(rule))


@pytest.mark.parametrize("rule", DRAWN)
def test_a_drawn_play_is_seen_to_fail_without_its_rule(rule: str) -> None:
    seed, voters = DRAWN[rule]
    play(voters, 0, SMALL, seed, draw(seed))
    with pytest.raises((AssertionError, JournalError)):
        play(voters, 0, SMALL, seed, draw(seed), broken(rule))


class Forgetful(MemoryDisk):
    """Says that it has kept what a crash takes from it."""

    def recover(self) -> object:  # type: ignore[override]
        del self.kept[-1:]
        return super().recover()


def test_a_disk_that_loses_what_it_kept_is_noticed() -> None:
    failed = 0
    for seed in range(6):
        try:
            play(3, 0, None, seed, draw(seed), disk_class=Forgetful)
        except (AssertionError, JournalError):
            failed += 1
    assert failed
