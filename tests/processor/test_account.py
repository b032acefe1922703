"""The rule on proxies that use old answers."""

from __future__ import annotations

from badgercart.frontends.processor.account import MAX_PROXIES, OldAnswerTracker, Standing
from badgercart.frontends.processor.settings import OldAnswers

RULE = OldAnswers(window_ms=1000.0, no_fallbacks_after=3, refuse_after=5, refuse_for_ms=200.0)


def test_fallbacks_go_first_then_answers_and_both_come_back() -> None:
    account = OldAnswerTracker(RULE)
    proxy = account.find_or_add("p")
    assert [account.record_old_use(proxy, False, 10.0 * i) for i in range(5)] == [
        Standing.GOOD,
        Standing.GOOD,
        Standing.NO_FALLBACKS,
        Standing.NO_FALLBACKS,
        Standing.REFUSED,
    ]
    assert account.standing(proxy, 239.0) is Standing.REFUSED
    assert account.standing(proxy, 240.0) is Standing.GOOD  # and the count begins anew
    assert account.record_old_use(proxy, True, 250.0) is Standing.GOOD
    assert (proxy.old, proxy.drained) == (6, 1)


def test_old_uses_leave_the_window() -> None:
    account = OldAnswerTracker(RULE)
    proxy = account.find_or_add("p")
    for i in range(30):
        assert account.record_old_use(proxy, False, 500.0 * i) is Standing.GOOD
    assert len(proxy.old_use_times_ms) <= RULE.refuse_after


def test_the_table_of_proxies_is_bounded_and_keeps_those_that_are_refused() -> None:
    account = OldAnswerTracker(RULE)
    bad = account.find_or_add("bad")
    for _ in range(5):
        account.record_old_use(bad, False, 0.0)
    for i in range(2 * MAX_PROXIES):
        account.find_or_add(f"p-{i}")
    assert len(account.proxies) == MAX_PROXIES and account.find_or_add("bad") is bad
