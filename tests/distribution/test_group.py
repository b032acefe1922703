"""A group of stores when one lags, two think they lead, most are gone, or one comes back."""

from __future__ import annotations

import random

import pytest

from badgercart.distribution.effects import Happened, Keep, Recovered, Send
from badgercart.distribution.messages import (
    Append,
    Appended,
    Entry,
    Hello,
    Message,
    State,
    Vote,
    VoteRequest,
)
from badgercart.distribution.publisher import Bounds
from badgercart.distribution.store import Store, Timing
from tests.distribution.group import Group, Hollow
from tests.distribution.orders import alone, change


def led(
    count: int = 3, learners: int = 0, bounds: Bounds | None = None, seed: int = 1
) -> tuple[Group, str]:
    """A group in which one leads and all have that from it; a follower at each store."""
    group = Group(count, learners, seed, bounds=bounds)
    for name in group.names:
        group.processes[f"at {name}"] = Hollow(group, f"at {name}", name, ("t", "u"))
    assert group.run(5000.0, lambda: bool(group.leader()) and group.settled())
    return group, group.leader()


def follower(group: Group, store: str) -> Hollow:
    process = group.processes[f"at {store}"]
    assert isinstance(process, Hollow)
    return process


def put(group: Group, store: str, key: str, value: bytes = b"", expected: int = -1) -> int:
    return group.operator.propose(store, "t", [Entry(key, value)], expected)


def error(group: Group, serial: int) -> str | None:
    """How a proposal was answered: empty: it is in force; None: not at all."""
    answer = group.operator.answers.get(serial)
    return None if answer is None else answer.error


def test_a_change_is_in_force_at_all_and_told_to_all() -> None:
    group, leader = led(3, 2)
    serial = put(group, leader, "k", b"v")
    assert group.run(500.0, lambda: error(group, serial) == "")
    assert group.run(
        500.0,
        lambda: all(follower(group, n).topics["t"].entries == {"k": b"v"} for n in group.names),
    )
    assert group.operator.answers[serial].number == 1


def test_who_does_not_lead_says_who_does() -> None:
    group, leader = led()
    other = next(name for name in group.names if name != leader)
    serial = put(group, other, "k")
    group.run(100.0)
    answer = group.operator.answers[serial]
    assert (answer.error, answer.words) == ("not-leading", leader)


def test_of_two_that_think_they_lead_one_has_changes_accepted() -> None:
    group, first = led()
    group.operator.propose(first, "u", ())  # its connection is up
    group.run(100.0)
    group.pause(first)
    held = put(group, first, "k", b"of the first")  # it reads that when it wakes, and leads still
    assert group.run(5000.0, lambda: group.leader() not in ("", first))
    second = group.leader()
    serial = put(group, second, "k", b"of the second")
    assert group.run(1000.0, lambda: error(group, serial) == "")
    assert group.store(first).leading and group.store(second).leading
    group.wake(first)
    assert group.run(1000.0, lambda: error(group, held) is not None)
    assert error(group, held) == "not-leading" and not group.store(first).leading
    group.settle()
    assert follower(group, first).topics["t"].entries == {"k": b"of the second"}


def test_a_leader_that_is_cut_off_stands_down_and_its_proposals_are_unknown() -> None:
    group, first = led()
    others = [name for name in group.names if name != first]
    for name in others:
        group.cuts |= {(first, name), (name, first)}
    began = group.now
    waits = put(group, first, "k", b"1")
    assert group.run(5000.0, lambda: not group.store(first).leading)
    assert group.now - began <= group.timing.election + group.timing.heartbeat
    group.run(100.0)
    assert error(group, waits) == "unknown"
    late = put(group, first, "k", b"2")
    assert group.run(5000.0, lambda: group.leader() in others)
    group.run(100.0)
    assert error(group, late) == "not-leading"
    group.settle()
    assert [topic.number for topic in group.store(first).topics.values()] == []


def test_no_majority_no_change_and_followers_keep_all_and_their_age_grows() -> None:
    group, leader = led()
    serial = put(group, leader, "k", b"v")
    group.run(1500.0)
    assert error(group, serial) == ""
    last = next(name for name in group.names if name != leader)
    for name in group.names:
        if name != last:
            group.kill(name)
    ages = []
    for _ in range(5):
        group.run(2000.0)
        ages.append(follower(group, last).age)
        assert error(group, put(group, last, "k", b"never")) is None
    assert ages == sorted(ages) and ages[-1] - ages[0] == pytest.approx(8000.0, abs=1.0)
    group.run(100.0)
    assert {a.error for s, a in group.operator.answers.items() if s != serial} == {"not-leading"}
    assert follower(group, last).topics["t"].entries == {"k": b"v"}
    assert group.store(last).role != "leading"
    group.settle()
    group.run(2000.0)
    assert follower(group, last).age < 1000.0


def test_one_that_lags_a_little_gets_the_log_and_one_that_lags_much_all_topics() -> None:
    for count, whole in ((5, False), (40, True)):
        group, leader = led(bounds=Bounds(log=8))
        lags = next(name for name in group.names if name != leader)
        told: list[Message] = []

        def note(
            source: str, to: str, message: Message, lags: str = lags, told: list[Message] = told
        ) -> bool:
            if to == lags:
                told.append(message)
            return False

        group.kill(lags)
        for number in range(count):
            serial = put(group, leader, f"k{number % 7}", b"%d" % number)
            group.run(100.0)
            assert error(group, serial) == ""
        group.swallow = note
        group.restart(lags)
        group.settle()
        assert any(isinstance(message, State) for message in told) is whole
        assert group.leader() == leader
        assert follower(group, lags).topics["t"].number == count


def test_one_that_was_cut_off_and_comes_back_deposes_nobody() -> None:
    group, leader = led()
    back = next(name for name in group.names if name != leader)
    term = group.store(leader).term
    group.isolate(back)
    group.run(30_000.0)
    assert group.store(back).term == term, "it has begun terms that nobody asked for"
    group.heal()
    group.run(10_000.0)
    assert group.leader() == leader and group.store(leader).term == term
    group.settle()


def test_all_restart_at_once_and_all_is_there() -> None:
    group, leader = led()
    serials = [put(group, leader, f"k{number}", b"v") for number in range(20)]
    assert group.run(1000.0, lambda: all(error(group, serial) == "" for serial in serials))
    for name in group.names:
        group.kill(name)
    for name in group.names:
        group.restart(name)
    group.settle()
    assert len(group.store(leader).topics["t"].entries) == 20


def test_learners_are_told_and_neither_vote_nor_count() -> None:
    group, leader = led(3, 3)
    for name in group.names[:3]:
        if name != leader:
            group.kill(name)
    serial = put(group, leader, "k", b"v")
    group.run(10_000.0)
    assert error(group, serial) == "unknown" and not group.leader()
    assert all(group.store(name).term == group.store(leader).term for name in group.names[3:])


def test_a_leader_of_a_term_begins_with_a_change_of_nothing() -> None:
    group, leader = led()
    first = group.store(leader).log[0]
    assert (first.topic, first.entries, first.term) == ("", (), group.store(leader).term)
    assert group.store(leader).topics == {}


# One machine alone.


def test_a_vote_is_on_disk_before_it_is_said() -> None:
    store = alone(Recovered(), Store)
    store.tick(1000.0)
    effects = store.received(1001.0, 1, VoteRequest(1, 0, 0, False))
    kinds = [type(effect) for effect in effects]
    assert kinds == [Keep, Send]
    assert (effects[0].term, effects[0].voted) == (1, "a")  # type: ignore[union-attr]
    assert effects[1] == Send(1, Vote(1, True, False))


def test_a_voter_that_has_heard_a_leader_refuses_both_ways_of_asking() -> None:
    store = alone(Recovered(), Store)
    store.received(1500.0, 1, Append(1, 0, (), 0))
    store.accepted(1501.0, 2)
    store.received(1501.0, 2, Hello("c", True))
    for only in (True, False):
        effects = store.received(2400.0, 2, VoteRequest(2, 9, 9, only))
        assert effects == [Send(2, Vote(1, False, only))]
    assert store.term == 1
    assert store.received(2500.0, 2, VoteRequest(2, 9, 9, True)) == [Send(2, Vote(2, True, True))]
    assert store.term == 1, "to be asked is no term"


def test_one_that_begins_votes_for_nobody_until_a_lease_is_over() -> None:
    """Before it was ended it may have followed a leader whose lease runs."""
    store = alone(Recovered(), Store)
    assert store.received(999.0, 1, VoteRequest(1, 5, 5, False)) == [Send(1, Vote(0, False, False))]
    assert store.received(1000.0, 1, VoteRequest(1, 5, 5, False))[-1] == Send(
        1, Vote(1, True, False)
    )


def test_a_change_is_on_disk_before_it_is_said_to_be_there() -> None:
    store = alone(Recovered(), Store)
    effects = store.received(5.0, 1, Append(1, 0, (change(1, 1),), 0))
    assert [type(e) for e in effects] == [Happened, Keep, Keep, Send]
    assert effects[-1] == Send(1, Appended(1, 1, 0, False))


def test_a_gap_is_said_and_nothing_is_taken() -> None:
    store = alone(Recovered(1, "", 0, 0, 0, {}, ()), Store)
    effects = store.received(5.0, 1, Append(1, 3, (change(1, 4),), 4))
    assert effects[-1] == Send(1, Appended(1, 0, 0, True))
    assert store.last == 0 and not any(isinstance(effect, Keep) for effect in effects)


def test_stores_and_voters_have_to_fit() -> None:
    with pytest.raises(ValueError, match="among the stores"):
        Store("x", ("a",), ("a",), Timing(), random.Random(1), Recovered())


def test_a_learner_is_given_no_vote_gives_none_and_its_word_does_not_count() -> None:
    names = ("a", "b", "c", "d", "e")

    def store(name: str, other: str) -> Store:
        made = Store(name, names[:3], names, Timing(), random.Random(1), Recovered())
        made.start(0.0)
        made.accepted(0.0, 1)
        made.received(0.0, 1, Hello(other, True))
        return made

    for name, other in (("a", "d"), ("d", "a")):
        for only in (True, False):
            machine = store(name, other)
            effects = machine.received(5000.0, 1, VoteRequest(1, 5, 5, only))
            assert effects == [Send(1, Vote(0, False, only))] and machine.term == 0
    machine = store("a", "d")
    assert not [e for e in machine.tick(5000.0) if isinstance(e, Send)], "a learner is not asked"
    machine.received(5000.0, 1, Vote(1, True, True))
    assert machine.term == 0 and machine.votes == {"a"}
    machine = store("d", "a")
    machine.tick(50_000.0)
    assert machine.term == 0 and machine.role == "following"


def test_one_that_leads_again_begins_its_lease_anew() -> None:
    group, leader = led()
    others = [name for name in group.names if name != leader]
    for name in others:
        group.pause(name)
    assert group.run(5000.0, lambda: not group.store(leader).leading)
    group.ticking = {leader}
    group.run(5000.0)
    for name in others:
        group.wake(name)
    term = group.store(leader).term
    assert group.run(10_000.0, lambda: group.store(leader).leading)
    again = group.store(leader).term
    group.run(5000.0)
    assert group.store(leader).leading and group.store(leader).term == again > term
