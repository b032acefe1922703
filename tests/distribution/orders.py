"""Orders of events that a rule is there for, each the shortest: they hold with the whole
machine."""

from __future__ import annotations

import random

from badgercart.distribution.effects import KeepAll, Recovered, Send
from badgercart.distribution.messages import Append, Appended, Change, Entry, Hello, Message, State
from badgercart.distribution.store import Store, Timing
from badgercart.distribution.topic import Topic
from tests.distribution.group import Group

LARGE = [
    Entry(f"key {number}", bytes(64 << 10)) for number in range(8)
]  # more than one frame's piece


def elect(group: Group, name: str, *voters: str) -> None:
    """Have a store lead, with these voters alone to help it; all others' clocks stand still."""
    group.cuts.clear()
    apart = [other for other in group.names if other not in (name, *voters)]
    for other in apart:
        group.isolate(other)
    group.everything()
    group.ticking = {name}
    assert group.run(30_000.0, lambda: group.store(name).leading), group.story()


def value(group: Group, word: str) -> list[Entry]:
    return [*LARGE[1:], Entry("key 0", word.encode().ljust(64 << 10))]


def figure_8(store_class: type[Store] = Store) -> None:
    """Raft's figure 8: a change of an earlier term on more than half of the stores may still be
    replaced."""
    group = Group(5, store_class=store_class)
    group.run(200.0)  # all are connected
    s1, s2, s3, s4, s5 = group.names
    # (a) s1 leads, and gets its change to s2 alone.
    elect(group, s1, s2, s3, s4, s5)
    assert group.run(2000.0, lambda: all(group.store(name).last == 1 for name in group.names))
    group.swallow = lambda source, to, message: isinstance(message, Append) and to != s2
    group.operator.propose(s1, "t", value(group, "first"))
    assert group.run(1000.0, lambda: group.store(s2).last == 2)
    group.kill(s1)
    # (b) s5 leads by s3 and s4, and writes its own at the same place; nobody gets it.
    group.swallow = lambda source, to, message: isinstance(message, Append) and source == s5
    elect(group, s5, s3, s4)
    assert group.store(s5).last == 2
    group.kill(s5)
    # (c) s1 is back, leads, and gets its old change to s3 too, but nothing of its new term.
    group.restart(s1)
    group.restart(s5)
    group.kill(s5)
    new = group.store(s1).term + 2

    def held(source: str, to: str, message: Message) -> bool:
        return isinstance(message, Append) and any(
            change.term > new - 2 for change in message.changes
        )

    group.swallow = held
    elect(group, s1, s2, s3, s4)
    group.run(1000.0, lambda: group.store(s3).last == 2)
    assert group.store(s3).last == 2 and group.store(s3).log[-1].term < group.store(s1).term
    group.run(100.0)
    # (d) s5 leads by s2, s3 and s4, whose logs end in an earlier term than its own, and replaces
    # it.
    group.kill(s1)
    group.swallow = lambda source, to, message: False
    group.restart(s5)
    elect(group, s5, s2, s3, s4)
    group.run(1000.0)
    group.ticking = None
    group.settle()


def vote_forgotten(store_class: type[Store] = Store) -> None:
    """A voter that restarts after its vote must not give another in that term."""
    group = Group(3, store_class=store_class)
    group.run(200.0)
    s1, s2, s3 = group.names
    group.swallow = lambda source, to, message: isinstance(message, Append)
    elect(group, s1, s2)
    group.kill(s2)
    group.restart(s2)
    group.heal()
    group.isolate(s1)
    group.ticking = {s3}
    group.run(6000.0, lambda: group.store(s3).leading)
    group.ticking = None
    group.swallow = lambda source, to, message: False
    group.settle()


def two_ask_at_once(store_class: type[Store] = Store) -> None:
    """Two stand for the same term, and one voter is asked by both."""
    group = Group(3, store_class=store_class)
    group.run(200.0)
    s1, _, s3 = group.names
    group.cuts |= {(s1, s3), (s3, s1)}
    group.run(850.0)  # nobody's lease runs any more, and nobody has stood yet
    for name in (s1, s3):
        store = group.store(name)
        store.election_at = group.now
        group.set_timer(group.process(name))
    group.swallow = lambda source, to, message: isinstance(message, Append)
    group.run(200.0)
    group.swallow = lambda source, to, message: False
    group.settle()


def tail_shortened(store_class: type[Store] = Store) -> None:
    """A later leader's first piece of the log must not cut off what was in force behind it."""
    group = Group(3, store_class=store_class)
    group.run(200.0)
    s1, s2, s3 = group.names
    elect(group, s1, s2, s3)
    assert group.run(2000.0, lambda: all(group.store(name).committed == 1 for name in group.names))
    group.isolate(s3)
    group.operator.propose(s1, "t", value(group, "one"))
    group.operator.propose(s1, "t", value(group, "two"))
    assert group.run(1000.0, lambda: group.store(s1).committed == 3)
    group.kill(s1)
    group.restart(s1)
    assert (group.store(s1).committed, group.store(s1).last) == (1, 3)

    def second(source: str, to: str, message: Message) -> bool:
        return isinstance(message, Append) and any(change.index > 2 for change in message.changes)

    group.swallow = second
    elect(group, s2, s1)
    assert group.run(1000.0, lambda: group.store(s1).verified == 2)
    group.kill(s2)
    group.swallow = lambda source, to, message: False
    elect(group, s1, s3)
    group.run(1000.0)
    group.ticking = None
    group.settle()


def alone(recovered: Recovered, store_class: type[Store]) -> Store:
    """One of three, with another that leads it on connection 1."""
    names = ("a", "b", "c")
    store = store_class("b", names, names, Timing(), random.Random(1), recovered)
    store.start(0.0)
    store.accepted(0.0, 1)
    store.received(0.0, 1, Hello("a", True))
    return store


def change(term: int, index: int) -> Change:
    return Change(term, index, "t", (Entry("k", b"%d" % index),))


def earlier_term(store_class: type[Store] = Store) -> None:
    """Who leads an earlier term is told so, and changes nothing."""
    store = alone(Recovered(3, "c", 1, 0, 0, {}, (change(1, 1), change(3, 2))), store_class)
    effects = store.received(1.0, 1, Append(2, 1, (change(2, 2),), 2))
    assert effects == [Send(1, Appended(3, 0, 1, True))]
    assert store.log == [change(1, 1), change(3, 2)] and store.committed == 1


def tail_behind_state(store_class: type[Store] = Store) -> None:
    """What stands behind the place as of which all is told stays, where the log agrees at that
    place."""
    log = tuple(change(1, index) for index in range(1, 6))
    store = alone(Recovered(1, "", 1, 0, 0, {}, log), store_class)
    topic = Topic(4, (Entry("k", b"4"),))
    told = State(2, 4, 1, 1, 1, (("t", 4, topic.digest, (Entry("k", b"4"),)),))
    effects = store.received(1.0, 1, told)
    kept = [effect for effect in effects if isinstance(effect, KeepAll)]
    assert store.committed == 4 and store.last == 5 and kept[0].state.changes == (change(1, 5),)
    assert effects[-1] == Send(1, Appended(2, 4, 4, False))


ORDERS = (
    figure_8,
    vote_forgotten,
    two_ask_at_once,
    tail_shortened,
    earlier_term,
    tail_behind_state,
)
