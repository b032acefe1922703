"""One store: its part in the replicated log, and what it tells its followers. No I/O.

Raft (Ongaro, Ousterhout, 2014) with pre-votes and a lease: terms, votes, a log of changes, and a
place up to which it is in force (*committed*). What holds, and what keeps it so, stands in
docs/design/distribution.md;
in short:

- One vote a term, on disk before it is said: a term has one leader at most.
- A store votes only for one whose log holds at least all of its own: a leader has all that is in force.
- A change is in force once more than half of the voters have it on disk in the term of the leader that wrote
  it, and all before it with it. Only then is it put into its topic, and told.
- A leader that more than half of the voters have not answered for a lease stands down, and what it had not
  seen through is answered with `unknown`.

Every call gives what to do, in order: what is said rests on what is kept before it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from badgercart.distribution.effects import Close, Effect, Happened, Keep, KeepAll, Recovered, Send
from badgercart.distribution.messages import (
    LABELS,
    MAX_ENTRIES,
    MAX_FRAME,
    Append,
    Appended,
    Change,
    Entry,
    Hello,
    Message,
    Propose,
    Proposed,
    State,
    Subscribe,
    Vote,
    VoteRequest,
)
from badgercart.distribution.publisher import Bounds, Teller, size
from badgercart.distribution.topic import PART, Topic

FRAMING = 64  # bytes of one change or topic beside its name and entries, at most
LARGEST = MAX_FRAME - 4096  # bytes of one change, which leaves room for its framing in all messages


@dataclass(slots=True, frozen=True)
class Timing:
    """Times in ms."""

    heartbeat: float = 100.0  # between a leader's signs of life
    election: float = (
        1000.0  # the least silence of a leader before another is elected; twice that at most
    )
    beat: float = 1000.0  # between two beats to a follower
    patience: float = 5000.0  # with a connection that owes a Hello or an answer


class Role(StrEnum):
    FOLLOWING = "following"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADING = "leading"


@dataclass(slots=True)
class Connection:
    """One connection, and once it is another store's what we know of that store."""

    number: int
    since: float
    expected: str = ""  # the store that we dialled; empty: it came in
    name: str = ""  # from its Hello
    store: bool = False
    owes: float | None = None  # since when it has not answered; stores alone
    stalled: bool = False
    # As the leader sees it.
    place: int | None = None  # that it has committed; None: not known
    match: int = 0  # up to which its log is ours
    told: int = 0  # the committed place that it was told last
    in_flight: bool = False  # one message at a time waits for an answer
    sent: float = 0.0  # when that was sent
    state: Iterator[State] | None = None  # parts of all topics that are left to send
    # As it leads us.
    answered: float | None = None  # when we last answered it in this term


@dataclass(slots=True)
class Stage:
    """All topics as the leader tells them, until they are whole."""

    told: State  # its last part
    topics: dict[str, tuple[int, int, Topic]] = field(
        default_factory=dict
    )  # number, digest, entries so far
    entries: int = 0

    def follows(self, told: State) -> bool:
        last = self.told
        same = (told.term, told.index, told.index_term, told.parts) == (
            last.term,
            last.index,
            last.index_term,
            last.parts,
        )
        return same and told.part == last.part + 1

    def take(self, told: State, bounds: Bounds) -> str:
        """A part; what is wrong with it, if anything."""
        for name, number, digest, entries in told.topics:
            had = self.topics.setdefault(name, (number, digest, Topic(number)))
            if had[:2] != (number, digest):
                return f"{name!r} has two numbers or digests"
            had[2].put(entries)
            self.entries += len(entries)
        if len(self.topics) > bounds.topics or self.entries > bounds.entries:
            return f"more than {bounds.topics} topics or {bounds.entries} entries"
        return ""

    def fault(self, mine: dict[str, Topic]) -> str:
        """What is wrong with the whole, if anything."""
        for name, (_, digest, topic) in self.topics.items():
            if topic.digest != digest:
                return f"{name!r} has another digest than it should have"
        for name, topic in mine.items():
            if name not in self.topics or self.topics[name][0] < topic.number:
                return f"{name!r} is older than here"
        return ""


@dataclass(slots=True)
class Ahead:
    """What a topic will be once the log is in force to `index`; for a leader's proposals."""

    index: int
    number: int
    entries: dict[str, bytes | None] = field(default_factory=dict)


class Store:
    """The machine. Times are ms on any clock that only goes forward."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        stores: tuple[str, ...],
        timing: Timing,
        rng: random.Random,
        recovered: Recovered,
        most_followers: int = 1024,
        bounds: Bounds | None = None,
    ) -> None:
        """`voters` are among `stores`, and `name` too. What was recovered is the store's from now
        on."""
        if not set(voters) | {name} <= set(stores) or not voters:
            raise ValueError(
                f"{name!r} and the voters {voters} have to be among the stores {stores}"
            )
        self.name, self.voters, self.stores = name, voters, stores
        self.timing, self.random = timing, rng
        self.bounds = Bounds() if bounds is None else bounds
        self.now = 0.0
        # On disk.
        self.term, self.voted = recovered.term, recovered.voted
        self.base, self.base_term = (
            recovered.index,
            recovered.index_term,
        )  # the log begins behind this place
        self.log: list[Change] = list(recovered.changes)
        self.log_bytes = 0  # of its part that is in force
        # Not on disk.
        self.role, self.leader = Role.FOLLOWING, ""
        self.effects: list[Effect] = []
        self.committed = recovered.index
        self.teller = Teller(recovered.topics, most_followers, self.bounds)
        self.commit(recovered.committed)
        self.verified = self.committed  # our log is this term's leader's up to here
        self.connections: dict[int, Connection] = {}
        self.peers: dict[str, Connection] = {}  # stores that have said Hello
        self.votes: set[str] = set()
        self.stage: Stage | None = None
        self.waiting: dict[
            int, list[tuple[int, int, str]]
        ] = {}  # connection, serial, topic; by place
        self.waiting_count = 0
        self.tail_bytes = self.tail_entries = 0  # of what is not in force, as leader
        self.backed: dict[
            str, float
        ] = {}  # when what each store answered last was sent, in this term
        self.ahead: dict[str, Ahead] = {}
        self.first = 0  # the place of our own term's first change, as leader
        self.known = float("-inf")  # when we last had all that was in force
        self.heard = float("-inf")  # when a leader was heard
        self.led = 0.0  # when we were elected
        self.election_at = self.heartbeat_at = self.beat_at = math.inf

    # What others may look at.

    @property
    def topics(self) -> dict[str, Topic]:
        """As in force here. To be read alone."""
        return self.teller.topics

    @property
    def last(self) -> int:
        return self.base + len(self.log)

    @property
    def leading(self) -> bool:
        return self.role is Role.LEADING

    @property
    def wanted(self) -> tuple[str, ...]:
        """Stores that this one is to dial: those behind it by name without a connection."""
        have = self.peers.keys() | {c.expected for c in self.connections.values()}
        return tuple(store for store in self.stores if store > self.name and store not in have)

    @property
    def due(self) -> float:
        """When `tick` is wanted."""
        if self.teller.busy:
            return self.now
        return min(self.election_at, self.heartbeat_at, self.beat_at)

    def age(self, now: float) -> float:
        """ms since this store last knew that it had all that was in force; inf: it has not since it
        began."""
        sure = (
            self.leading and self.committed >= self.first
        )  # before that we don't know what was in force
        return max(0.0, now - (max(self.known, self.confirmed()) if sure else self.known))

    def state(self) -> Recovered:
        """What `Journal.compact` writes: topics as of the committed place, the log behind it.

        The topics are the store's own: written before the machine is called again."""
        return self.state_with(self.topics)

    def state_with(self, topics: dict[str, Topic]) -> Recovered:
        behind = tuple(self.log[self.committed - self.base :])
        term = self.term_at(self.committed)
        return Recovered(
            self.term, self.voted, self.committed, self.committed, term, topics, behind
        )

    # Calls.

    def start(self, now: float) -> list[Effect]:
        """Begin. A vote that was given before may be a leader's whose lease runs: none for that
        long."""
        self.now = self.heard = now
        self.beat_at = now + self.timing.beat
        if self.voters == (self.name,):
            self.stand()
        else:
            self.wait()
        return self.done()

    def tick(self, now: float) -> list[Effect]:
        self.now = max(self.now, now)
        self.check_lease()
        if self.now >= self.election_at:
            self.ask()
        if self.now >= self.heartbeat_at:
            self.heartbeat_at = self.now + self.timing.heartbeat
            self.replicate_all(True)
        if self.now >= self.beat_at:
            self.beat_at = self.now + self.timing.beat
            self.effects += self.teller.beats(self.now, self.now - self.age(self.now))
            self.sweep()
        self.effects += self.teller.work(self.now)
        return self.done()

    def connected(self, now: float, connection: int, store: str) -> list[Effect]:
        """A connection that we dialled to another store is up."""
        return self.open(now, Connection(connection, now, expected=store))

    def accepted(self, now: float, connection: int) -> list[Effect]:
        """A connection came in: its Hello tells what it is."""
        return self.open(now, Connection(connection, now))

    def closed(self, now: float, connection: int) -> list[Effect]:
        """A connection is gone, by whichever side."""
        self.now = max(self.now, now)
        self.drop(connection)
        return self.done()

    def received(self, now: float, connection: int, message: Message) -> list[Effect]:
        self.now = max(self.now, now)
        self.check_lease()
        source = self.connections.get(connection)
        if source is None:
            return self.done()  # we have closed it
        if isinstance(message, Hello):
            self.on_hello(source, message)
        elif not source.name:
            self.close(source, "stray", f"{LABELS[type(message)]} came before Hello")
        elif source.store:
            source.owes = None
            self.on_store(source, message)
        elif isinstance(message, Subscribe):
            self.tell(self.teller.subscribe(self.now, connection, message))
        elif isinstance(message, Propose):
            self.on_propose(source, message)
        else:
            self.close(source, "stray", f"{LABELS[type(message)]} is not for a follower to say")
        return self.done()

    def room(self, now: float, connection: int) -> list[Effect]:
        """What was written to a connection is gone: there is room for more."""
        self.now = max(self.now, now)
        source = self.connections.get(connection)
        if source is not None:
            source.stalled = False
            if source.store:
                self.replicate(source)
            else:
                self.effects += self.teller.room(self.now, connection)
        return self.done()

    def stalled(self, now: float, connection: int) -> list[Effect]:
        """More waits to be written to a connection than the driver holds: nothing more for it."""
        self.now = max(self.now, now)
        if (source := self.connections.get(connection)) is not None:
            source.stalled = True
            self.teller.stalled(connection)
        return self.done()

    def done(self) -> list[Effect]:
        effects, self.effects = self.effects, []
        self.teller.call_over()
        return effects

    # Connections.

    def open(self, now: float, source: Connection) -> list[Effect]:
        self.now = max(self.now, now)
        self.connections[source.number] = source
        guests = len(self.connections) - len(self.peers) - len(self.teller.followers)
        if guests > self.bounds.guests + len(self.stores):
            self.close(source, "too-many", f"{guests} connections have not said what they are for")
        else:
            self.send(source, Hello(self.name, True))
        return self.done()

    def on_hello(self, source: Connection, hello: Hello) -> None:
        if source.name:
            self.close(source, "stray", "it said Hello twice")
        elif source.expected and (not hello.store or hello.name != source.expected):
            self.close(
                source, "stray", f"{hello.name!r} answers where {source.expected!r} was dialled"
            )
        elif hello.store and (hello.name == self.name or hello.name not in self.stores):
            self.close(
                source, "stray", f"{hello.name!r} is not another of the stores {self.stores}"
            )
        else:
            source.name, source.store = hello.name, hello.store
            if hello.store:
                self.join(source)

    def join(self, source: Connection) -> None:
        """Another store is in reach. One that was here by that name is so no more: it has begun
        anew."""
        if (old := self.peers.get(source.name)) is not None:
            self.close(old, "replaced", f"{source.name!r} has a newer connection")
        self.peers[source.name] = source
        if self.leading:
            self.replicate(source, True)
        elif self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            self.request(source)

    def close(self, source: Connection, kind: str, words: str) -> None:
        self.drop(source.number)
        self.effects.append(Close(source.number, kind, words))

    def drop(self, connection: int) -> None:
        source = self.connections.pop(connection, None)
        if source is None:
            return
        self.teller.closed(connection)
        if self.peers.get(source.name) is source:
            del self.peers[source.name]
            if source.name == self.leader:
                self.stage = None

    def sweep(self) -> None:
        """End connections that owe a word for too long."""
        for source in list(self.connections.values()):
            if not source.name and self.now - source.since >= self.timing.patience:
                self.close(source, "silent", "it has not said Hello")
            elif source.owes is not None and self.now - source.owes >= self.timing.patience:
                self.close(source, "silent", f"{source.name!r} has not answered")

    def send(self, to: Connection, message: Message) -> None:
        self.effects.append(Send(to.number, message))

    def ask_of(self, to: Connection, message: Message) -> None:
        """Send what has to be answered."""
        if to.owes is None:
            to.owes = self.now
        self.send(to, message)

    def tell(self, effects: list[Effect]) -> None:
        """Of the teller: what it closes is gone."""
        self.effects += effects
        for effect in effects:
            if isinstance(effect, Close):
                self.drop(effect.connection)

    def on_store(self, source: Connection, message: Message) -> None:
        if isinstance(message, VoteRequest):
            self.on_vote_request(source, message)
        elif isinstance(message, Vote):
            self.on_vote(source, message)
        elif isinstance(message, Append):
            self.on_append(source, message)
        elif isinstance(message, State):
            self.on_state(source, message)
        elif isinstance(message, Appended):
            self.on_appended(source, message)
        else:
            self.close(source, "stray", f"{LABELS[type(message)]} is not for a store to say")

    # The log.

    def term_at(self, index: int) -> int:
        return self.base_term if index == self.base else self.log[index - self.base - 1].term

    def keep(self, behind: int | None = None, changes: tuple[Change, ...] = ()) -> None:
        """Have it on disk: our term, our vote, and these changes behind that place."""
        behind = self.last if behind is None else behind
        if changes:
            del self.log[behind - self.base :]
            self.log += changes
        self.effects.append(Keep(self.term, self.voted, behind, changes, self.committed))

    def commit(self, index: int) -> None:
        """The log is in force up to there: into the topics, and told."""
        while self.committed < index:
            change = self.log[self.committed - self.base]
            self.committed += 1
            self.log_bytes += size(change.entries)
            if change.topic:
                self.effects += self.teller.apply(self.now, change)
            if self.leading:
                self.decided(change)
        self.trim()

    def trim(self) -> None:
        """Forget what is in force and was kept for other stores, half of it at a time."""
        kept = self.committed - self.base
        most, most_bytes = 2 * self.bounds.log, 2 * self.bounds.log_bytes
        if kept <= most and self.log_bytes <= most_bytes:
            return
        gone = 0
        while kept - gone > self.bounds.log or self.log_bytes > self.bounds.log_bytes:
            self.log_bytes -= size(self.log[gone].entries)
            gone += 1
        self.base_term = self.log[gone - 1].term
        self.base += gone
        del self.log[:gone]

    # Elections.

    def majority(self, count: int) -> bool:
        return 2 * count > len(self.voters)

    def wait(self) -> None:
        """For a leader, by the least silence and a random part more; who has no vote waits for
        ever."""
        span = self.timing.election * (1 + self.random.random())
        self.election_at = self.now + span if self.name in self.voters else math.inf

    def follow(self, term: int, leader: str) -> None:
        """Be led; a later term forgets whom we voted for, and has to be kept by the caller."""
        if term > self.term:
            self.term, self.voted = term, ""
            self.verified = self.committed
            self.stage = None
            for peer in self.peers.values():
                peer.answered = None
        if self.leading:
            self.abdicate()
        if leader and leader != self.leader:
            self.effects.append(Happened("store-following", {"term": self.term, "leader": leader}))
        self.role, self.leader = Role.FOLLOWING, leader
        self.votes.clear()

    def abdicate(self) -> None:
        """What was not seen through may be in force or not."""
        self.known = self.now - self.age(self.now)
        self.heartbeat_at = math.inf
        for waiting in self.waiting.values():
            for connection, serial, _ in waiting:
                if (source := self.connections.get(connection)) is not None:
                    self.send(
                        source,
                        Proposed(serial, 0, "unknown", "the term ended before it was decided"),
                    )
        self.waiting.clear()
        self.ahead.clear()
        self.waiting_count = self.tail_bytes = self.tail_entries = 0
        for peer in self.peers.values():
            peer.state, peer.in_flight, peer.place, peer.match = None, False, None, 0
        self.wait()

    def ask(self) -> None:
        """Would more than half have us as leader? Nobody's term is touched by that."""
        self.role, self.leader = Role.PRE_CANDIDATE, ""
        self.canvass()

    def stand(self) -> None:
        """A new term, with our own vote on disk before another is asked for."""
        self.role, self.leader = Role.CANDIDATE, ""
        self.term, self.voted = self.term + 1, self.name
        self.verified, self.stage = self.committed, None
        for peer in self.peers.values():
            peer.answered = None
        self.keep()
        self.canvass()

    def canvass(self) -> None:
        self.wait()
        self.votes = {self.name}
        if self.majority(1):
            self.win()
            return
        for voter in self.voters:
            if (peer := self.peers.get(voter)) is not None:
                self.request(peer)

    def request(self, peer: Connection) -> None:
        if peer.name in self.voters:
            only = self.role is Role.PRE_CANDIDATE
            term = self.term + 1 if only else self.term
            self.ask_of(peer, VoteRequest(term, self.term_at(self.last), self.last, only))

    def on_vote_request(self, source: Connection, asked: VoteRequest) -> None:
        """One vote a term, for a log that holds ours, and none while a leader is there."""
        led = self.leading or self.now - self.heard < self.timing.election
        if led or self.name not in self.voters or source.name not in self.voters:
            self.send(source, Vote(self.term, False, asked.only_asking))
            return
        whole = (asked.last_term, asked.last_index) >= (self.term_at(self.last), self.last)
        if asked.only_asking:
            granted = whole and asked.term > self.term
            self.send(source, Vote(asked.term if granted else self.term, granted, True))
            return
        before = self.term, self.voted
        if asked.term > self.term:
            self.follow(asked.term, "")
        granted = whole and asked.term == self.term and self.voted in ("", source.name)
        if granted:
            self.voted = source.name
            self.wait()
        if (self.term, self.voted) != before:
            self.keep()
        self.send(source, Vote(self.term, granted, False))

    def on_vote(self, source: Connection, vote: Vote) -> None:
        if vote.term > self.term and not (vote.only_asking and vote.granted):
            self.follow(vote.term, "")
            self.keep()
            return
        wanted = {Role.PRE_CANDIDATE: self.term + 1, Role.CANDIDATE: self.term}.get(self.role)
        only = self.role is Role.PRE_CANDIDATE
        if not vote.granted or vote.term != wanted or vote.only_asking is not only:
            return
        if source.name in self.voters:
            self.votes.add(source.name)
        if self.majority(len(self.votes)):
            self.win()

    def win(self) -> None:
        if self.role is Role.PRE_CANDIDATE:
            self.stand()
            return
        self.role, self.leader, self.led = Role.LEADING, self.name, self.now
        self.election_at, self.heartbeat_at = math.inf, self.now + self.timing.heartbeat
        self.effects.append(Happened("store-leading", {"term": self.term, "index": self.last}))
        for peer in self.peers.values():
            peer.place, peer.match, peer.told, peer.in_flight, peer.state = None, 0, 0, False, None
        self.backed.clear()
        self.ahead.clear()
        for change in self.log[self.committed - self.base :]:
            self.foresee(change)
        self.first = self.last + 1
        self.write(Change(self.term, self.first, "", ()))
        self.advance()
        self.replicate_all(True)

    # Leading.

    def confirmed(self) -> float:
        """When more than half of the voters last had us as leader, for certain."""
        times = [self.now if v == self.name else self.backed.get(v, self.led) for v in self.voters]
        return sorted(times, reverse=True)[len(self.voters) // 2]

    def check_lease(self) -> None:
        if self.leading and self.now - self.confirmed() >= self.timing.election:
            self.effects.append(Happened("store-stands-down", {"term": self.term}))
            self.follow(self.term, "")

    def write(self, change: Change) -> None:
        self.keep(self.last, (change,))
        self.foresee(change)

    def foresee(self, change: Change) -> None:
        """What its topic will be with a change that is not in force."""
        if change.topic:
            topic = self.topics.get(change.topic)
            number = 0 if topic is None else topic.number
            ahead = self.ahead.setdefault(change.topic, Ahead(0, number))
            self.tail_bytes += size(change.entries)
            self.tail_entries += len(change.entries)
            ahead.index, ahead.number = change.index, ahead.number + 1
            ahead.entries.update((entry.key, entry.value) for entry in change.entries)

    def advance(self) -> None:
        """The last place that more than half of the voters keep, if it is of our own term, is in
        force."""
        places = [
            self.last if v == self.name else self.peers[v].match if v in self.peers else 0
            for v in self.voters
        ]
        index = sorted(places, reverse=True)[len(places) // 2]
        if index <= self.committed or self.term_at(index) != self.term:
            return
        self.commit(index)

    def decided(self, change: Change) -> None:
        """A change is in force: answer who waits for it."""
        if change.topic:
            self.tail_bytes -= size(change.entries)
            self.tail_entries -= len(change.entries)
            if (ahead := self.ahead.get(change.topic)) is not None and ahead.index <= change.index:
                del self.ahead[change.topic]
        for connection, serial, name in self.waiting.pop(change.index, ()):
            self.waiting_count -= 1
            if (source := self.connections.get(connection)) is not None:
                self.send(source, Proposed(serial, self.number(name), "", ""))

    def number(self, name: str) -> int:
        topic = self.topics.get(name)
        return 0 if topic is None else topic.number

    def replicate_all(self, sign: bool = False) -> None:
        for peer in self.peers.values():
            self.replicate(peer, sign)

    def replicate(self, peer: Connection, sign: bool = False) -> None:
        """Tell a store what it lacks, if it has answered the last; `sign`: or a sign of life."""
        if not self.leading or peer.in_flight or peer.stalled:
            return
        if peer.place is None:
            self.append(peer, self.committed, ())  # where does its log stand?
            return
        after = max(peer.place, min(self.committed, peer.match))
        if after < self.base:
            self.tell_whole(peer, sign)
        elif peer.match < self.last:
            self.append(peer, after, self.piece(after))
        elif sign or peer.told < self.committed:
            self.append(peer, after, ())

    def piece(self, after: int) -> tuple[Change, ...]:
        """What a frame has room for of the log."""
        changes: list[Change] = []
        room = PART
        for change in self.log[after - self.base : after - self.base + MAX_ENTRIES]:
            room -= size(change.entries) + len(change.topic.encode()) + FRAMING
            if changes and room < 0:
                break
            changes.append(change)
        return tuple(changes)

    def append(self, peer: Connection, after: int, changes: tuple[Change, ...]) -> None:
        peer.told = self.committed
        self.order(peer, Append(self.term, after, changes, self.committed, self.age(self.now)))

    def order(self, peer: Connection, message: Append | State) -> None:
        """As leader: one message at a time."""
        peer.in_flight, peer.sent = True, self.now
        self.ask_of(peer, message)

    def tell_whole(self, peer: Connection, sign: bool) -> None:
        """All topics, a part with each answer; to some stores at one time, since each has its
        copy."""
        if (
            peer.state is None
            and sum(p.state is not None for p in self.peers.values()) < self.bounds.stages
        ):
            peer.state = self.parts()
        if peer.state is not None and (part := next(peer.state, None)) is not None:
            self.order(peer, part)
        else:
            peer.state = None
            if sign:
                self.append(peer, self.committed, ())

    def parts(self) -> Iterator[State]:
        """All topics as of now, in pieces that fit a frame."""
        pieces: list[list[tuple[str, int, int, tuple[Entry, ...]]]] = [[]]
        room = PART
        for name, topic in self.topics.items():
            for part in topic.parts():
                takes = size(part) + len(name.encode()) + FRAMING
                if takes > room and pieces[-1]:
                    pieces.append([])
                    room = PART
                room -= takes
                pieces[-1].append((name, topic.number, topic.digest, part))
        index, term = self.committed, self.term_at(self.committed)
        return iter(
            [
                State(self.term, index, term, at, len(pieces), tuple(piece))
                for at, piece in enumerate(pieces, 1)
            ]
        )

    def on_appended(self, source: Connection, told: Appended) -> None:
        if told.term > self.term:
            self.follow(told.term, "")
            self.keep()
            return
        if not self.leading or told.term < self.term:
            return
        places = told.index, told.committed
        if not source.in_flight or min(places) < 0 or max(places) > self.last:
            self.close(source, "stray", f"{source.name!r} says what can't be of its log")
            return
        source.in_flight = False
        self.backed[source.name] = source.sent
        if told.missing:
            source.place = source.match = told.committed
            source.state = None
        else:
            source.place = max(source.place or 0, told.committed)
            source.match = max(source.match, told.index)
        before = self.committed
        self.advance()
        if self.committed > before:
            self.replicate_all()
        if source.state is not None and source.place < self.base:
            self.tell_whole(source, False)
        else:
            source.state = None
            self.replicate(source)

    # Proposals.

    def on_propose(self, source: Connection, asked: Propose) -> None:
        """Put a change into the log, or say why not."""
        error, words = self.objection(asked)
        if error:
            self.send(source, Proposed(asked.serial, self.number(asked.topic), error, words))
            return
        ahead = self.ahead.get(asked.topic)
        new = {entry.key: entry.value for entry in asked.entries}
        if all(self.foreseen(asked.topic, key) == value for key, value in new.items()):
            place = self.first if ahead is None else ahead.index
            if place <= self.committed:
                self.send(source, Proposed(asked.serial, self.number(asked.topic), "", ""))
                return
        else:
            place = self.last + 1
            self.write(Change(self.term, place, asked.topic, asked.entries))
        self.waiting.setdefault(place, []).append((source.number, asked.serial, asked.topic))
        self.waiting_count += 1
        self.advance()
        self.replicate_all()

    def objection(self, asked: Propose) -> tuple[str, str]:
        """Why a proposal can't be taken; empty: it can."""
        if not self.leading:
            return "not-leading", self.leader
        takes = size(asked.entries)
        if takes > LARGEST or len(asked.entries) > MAX_ENTRIES:
            return (
                "oversized",
                f"{len(asked.entries)} entries of {takes} bytes, {MAX_ENTRIES} of {LARGEST} at most",
            )
        bounds = self.bounds
        if self.waiting_count >= bounds.waiting or self.tail_bytes + takes > bounds.waiting_bytes:
            return (
                "too-many",
                f"{self.waiting_count} proposals of {self.tail_bytes} bytes wait to be decided",
            )
        ahead = self.ahead.get(asked.topic)
        number = self.number(asked.topic) if ahead is None else ahead.number
        if asked.expected not in (-1, number):
            return "conflict", f"number {asked.expected} was expected, it is {number}"
        if asked.topic not in self.topics and ahead is None:
            names = len(self.topics) + sum(name not in self.topics for name in self.ahead)
            if names >= bounds.topics:
                return "too-many", f"there are {names} topics, the most"
        if self.teller.entries + self.tail_entries + len(asked.entries) > bounds.entries:
            return "too-many", f"there would be more than {bounds.entries} entries in all"
        return "", ""

    def foreseen(self, name: str, key: str) -> bytes | None:
        """What a key will have once all of the log is in force."""
        ahead = self.ahead.get(name)
        if ahead is not None and key in ahead.entries:
            return ahead.entries[key]
        topic = self.topics.get(name)
        return None if topic is None else topic.entries.get(key)

    # Being led.

    def led_by(self, source: Connection, term: int) -> bool:
        """Whether a leader's message is of this term or a later one; who leads an earlier one is
        told so."""
        if term < self.term:
            self.send(source, Appended(self.term, 0, self.committed, True))
            return False
        if self.leading and term == self.term:
            self.close(source, "two-leaders", f"{source.name!r} leads term {term}, which is ours")
            return False
        later = term > self.term
        if later or self.role is not Role.FOLLOWING or self.leader != source.name:
            self.follow(term, source.name)
        if later:
            self.keep()
        self.heard = self.now
        self.wait()
        return True

    def commit_told(self, committed: int) -> None:
        """What the leader says is in force, as far as our log is known to be its."""
        self.commit(min(committed, self.verified))

    def on_append(self, source: Connection, told: Append) -> None:
        changes = told.changes
        if any(change.index != at for at, change in enumerate(changes, told.after + 1)):
            self.close(source, "malformed", f"the changes behind {told.after} have other places")
            return
        if not self.led_by(source, told.term):
            return
        self.stage = None
        self.commit_told(told.committed)
        if told.after > self.committed:
            self.answer(source, True)
            return
        for at, change in enumerate(changes):
            if change.index <= self.base:
                continue
            if change.index <= self.last and self.term_at(change.index) == change.term:
                continue
            if change.index <= self.committed:
                self.effects.append(
                    Happened("store-fork", {"store": source.name, "index": change.index})
                )
                self.close(
                    source, "fork", f"place {change.index} is in force here with another change"
                )
                return
            self.keep(change.index - 1, changes[at:])
            break
        self.verified = max(self.verified, told.after + len(changes))
        self.commit_told(told.committed)
        # It was sent after our last answer had come: that is how old it is at most.
        if source.answered is not None and self.committed >= told.committed:
            self.known = max(self.known, source.answered - told.age)
        self.answer(source, False)

    def answer(self, source: Connection, missing: bool) -> None:
        source.answered = self.now
        self.send(source, Appended(self.term, self.verified, self.committed, missing))

    def on_state(self, source: Connection, told: State) -> None:
        """A part of all topics; with the last they are in force."""
        if not self.led_by(source, told.term):
            return
        stage = self.stage
        if told.part == 1 and 0 < told.parts <= self.bounds.parts:
            stage = self.stage = Stage(told)
        elif stage is None or not stage.follows(told):
            self.stage = None
            self.answer(source, True)
            return
        stage.told = told
        if (fault := stage.take(told, self.bounds)) or (
            told.part == told.parts and (fault := stage.fault(self.topics))
        ):
            self.stage = None
            self.effects.append(
                Happened("store-state-refused", {"store": source.name, "why": fault})
            )
            self.close(source, "spoilt", fault)
            return
        if told.part == told.parts:
            self.stage = None
            if told.index > self.committed:
                self.install(told, {name: topic for name, (_, _, topic) in stage.topics.items()})
        self.answer(source, False)

    def install(self, told: State, topics: dict[str, Topic]) -> None:
        """All topics are as of a later place. What we have behind that place stays, if it is the
        leader's."""
        tail: list[Change] = []
        if told.index <= self.last and self.term_at(told.index) == told.index_term:
            tail = self.log[told.index - self.base :]
        self.base, self.base_term, self.log, self.log_bytes = told.index, told.index_term, tail, 0
        self.committed = told.index
        self.verified = max(self.verified, told.index)
        self.effects.append(KeepAll(self.state_with(topics)))
        self.teller.replace(self.now, topics)
