"""One plan at a time, by a majority and under a lease. No I/O.

A plan has an epoch; a ballot is an epoch, the plan's digest and a round. Whoever proposes has every
node told of the plan and of a round, and each node that takes it says so to the proposer; once more
than half of the electorate has, the proposer names them in a commit. Each round renews the lease.
What holds, and what
keeps it so:

- Two plans of one epoch are never in force: a node takes one plan of an epoch at most, more than half must
have taken it, and two such halves share a node. A process that begins takes none until a lease has
passed: what its predecessor took is void by then.
- Nobody acts by a plan that is past its lease: the lease runs on each node's own clock from when it took the
round, which is before the proposer counted it, and only a commit that names this very process
starts it. What arrives late, from a queue or by a node that slept, starts none.
- Epochs go by the wall's clock where that is ahead of all that was heard of, and their last bits are those of
  the process: a majority that was restarted remembers none, and must not use one again.
- A proposer that falls silent is followed by the next by name, each waiting its turn; epochs only grow, so
  one that wakes finds its own outdone, and counts no ballot that it began a lease ago.

Weighed: a log that is replicated (nothing here has to be remembered once it is outdone); one plan
by whoever is first in name, without a majority (two halves would each have one).
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from badgercart.zones.traffic_plan import Plan, PlanError, packed

CHUNK = 440  # bytes of a plan in one post
MAX_CHUNKS = 32
CHUNKS = tuple(f"zones.plan.{number}" for number in range(MAX_CHUNKS))
ROUND, VOTE, ASK = "zones.round", "zones.vote", "zones.ask"
VOTERS = 96  # named in one post of a commit
COMMITS = tuple(f"zones.commit.{number}" for number in range(12))  # 1,152 nodes
MAX_PLANS = 8  # that are put together at once
MAX_EPOCH = 1 << 53
MS = 1 << 12  # epochs in a ms of the wall's clock: each process has its own of them
FAR = 86_400_000 * MS  # epochs that a claim may be ahead of our clock: one of a day off
TAKEN = 8  # rounds of which a node remembers when it took them


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Times in ms."""

    lease: float = 4000.0  # from when a node took a round
    margin: float = 100.0  # less than that on the node's own clock
    renew: float = 1000.0  # between rounds
    patience: float = (
        2000.0  # of the next in turn with a proposer that is not heard; twice for the one after it
    )


class Ballot(msgspec.Struct, array_like=True, frozen=True, order=True):
    epoch: int
    digest: bytes
    round: int

    @property
    def plan(self) -> tuple[int, bytes]:
        return self.epoch, self.digest


class _Chunk(msgspec.Struct, array_like=True, frozen=True):
    digest: bytes
    count: int
    data: bytes


class _Vote(msgspec.Struct, array_like=True, frozen=True):
    ballot: Ballot
    boot: int


class _Commit(msgspec.Struct, array_like=True, frozen=True):
    ballot: Ballot
    voters: bytes  # marks of those named here


_encode = msgspec.msgpack.Encoder().encode
_chunk: Callable[[bytes], _Chunk] = msgspec.msgpack.Decoder(_Chunk).decode
_ballot: Callable[[bytes], Ballot] = msgspec.msgpack.Decoder(Ballot).decode
_vote: Callable[[bytes], _Vote] = msgspec.msgpack.Decoder(_Vote).decode
_commit: Callable[[bytes], _Commit] = msgspec.msgpack.Decoder(_Commit).decode
MARK = 4  # bytes that stand for one process in a commit


def mark(name: str, boot: int) -> bytes:
    return hashlib.blake2b(f"{name} {boot}".encode(), digest_size=MARK).digest()


class Why(StrEnum):
    """How a plan ended here."""

    LEASE = "its lease is over"
    MAP = "the geography changed"


# Effects.


@dataclass(slots=True, frozen=True)
class RegisterUpdate:
    """Have every node told, at once; to one only where `to` names it."""

    topic: str
    said: bytes
    to: str = ""


@dataclass(slots=True, frozen=True)
class InForce:
    """A plan is in force here from now on."""

    epoch: int
    plan: Plan
    proposer: str


@dataclass(slots=True, frozen=True)
class Lapsed:
    """No plan is in force here any more."""

    epoch: int
    why: Why


@dataclass(slots=True, frozen=True)
class Outdone:
    """Our own proposal has come to nothing."""

    epoch: int


Effect = RegisterUpdate | InForce | Lapsed | Outdone


@dataclass(slots=True)
class Held:
    """The plan in force."""

    ballot: Ballot
    plan: Plan
    proposer: str
    until: float  # on our clock


@dataclass(slots=True)
class Proposal:
    """Our own ballot."""

    ballot: Ballot
    plan: Plan
    began: float  # this round
    votes: dict[str, bytes] = field(default_factory=dict)  # marks, by name
    told: int = 0  # voters named in the last commit of this round; 0: it is not committed
    moved: float = 0.0  # when a round was won last


class PlanConsensus:
    """One node's part. Every call gives what to do."""

    def __init__(
        self,
        name: str,
        boot: int,
        terms: LeaseSettings,
        read: Callable[[bytes], Plan],
        wall: Callable[[], float],
    ) -> None:
        """`read` makes a plan of bytes, or raises PlanError; `wall` gives Unix ms."""
        self.name, self.boot, self.terms, self.read, self.wall = name, boot, terms, read, wall
        self.mark = mark(name, boot)
        self.began: float | None = None
        self.voted: Ballot | None = None  # the last ballot taken
        self.voted_for = ""  # its proposer
        self.taken: dict[Ballot, float] = {}  # when, the latest last
        self.highest = 0  # epoch that was heard of
        self.chunks: dict[bytes, dict[int, bytes]] = {}
        self.plans: dict[bytes, Plan] = {}
        self.asked: tuple[str, Ballot] | None = None  # a round whose plan is not whole yet
        self.current: Held | None = None
        self.mine: Proposal | None = None
        self.heard = float("-inf")  # when a proposer was heard last
        self.refused = 0
        self.electorate = 1  # nodes that there may be: more than half of them have to take a round

    # Time.

    def tick(self, now: float) -> list[Effect]:
        if self.began is None:
            self.began = self.heard = now
        effects: list[Effect] = []
        if self.current is not None and now >= self.current.until:
            effects.append(Lapsed(self.current.ballot.epoch, Why.LEASE))
            self.current = None
        mine = self.mine
        if mine is not None:
            if now - mine.moved >= self.terms.lease:
                effects.append(self.give_up(now, mine))
            elif now - mine.began >= self.terms.renew:
                effects += self.renew(now, mine)
            elif 0 < mine.told < len(mine.votes):
                effects += self.commit(mine)
        return effects

    def give_up(self, now: float, mine: Proposal) -> Outdone:
        """Leave it to others, and wait for our turn anew: two that went on at once would never end
        it."""
        self.mine, self.heard = None, now
        return Outdone(mine.ballot.epoch)

    def turn(self, now: float, rank: int) -> bool:
        """Whether the node of that rank among those in reach may propose, since nobody else
        does."""
        if self.mine is not None:
            return False
        return self.awake(now) and now - self.heard >= self.terms.patience * (1 + rank)

    def awake(self, now: float) -> bool:
        """Whether what a process of our name took before us is void."""
        return self.began is not None and now - self.began >= self.terms.lease

    # Proposing.

    def propose(self, now: float, plan: Plan, electorate: int) -> list[Effect]:
        """A new epoch; what was ours before stays in force until it is outdone."""
        if not self.awake(now):
            return []
        # By the clock, since a majority that has begun anew remembers no epoch; and one that no
        # other process has, since two that have heard of the same ones would name the same next
        # one.
        own = int.from_bytes(self.mark, "big") % MS
        self.highest = max(self.highest // MS + 1, int(self.wall())) * MS + own
        moved = self.mine.moved if self.mine is not None else now
        ballot = Ballot(self.highest, plan.digest, 1)
        self.mine = Proposal(ballot, plan, now, moved=moved)
        self.keep(plan.digest, plan)
        return self.pieces(plan) + self.open(now, self.mine, electorate)

    def pieces(self, plan: Plan, to: str = "") -> list[Effect]:
        """A plan, for all or for one."""
        data = packed(plan)
        pieces = [data[at : at + CHUNK] for at in range(0, len(data), CHUNK)]
        if len(pieces) > MAX_CHUNKS:
            self.mine = None
            raise PlanError(f"takes {len(pieces)} posts, {MAX_CHUNKS} at most")
        return [
            RegisterUpdate(topic, _encode(_Chunk(plan.digest, len(pieces), piece)), to)
            for topic, piece in zip(CHUNKS, pieces, strict=False)
        ]

    def open(self, now: float, mine: Proposal, electorate: int) -> list[Effect]:
        """Tell of a round, and take it ourselves."""
        self.electorate = electorate
        effects: list[Effect] = [RegisterUpdate(ROUND, _encode(mine.ballot))]
        self.take(now, self.name, mine.ballot)
        return effects + self.count(now, self.name, mine.ballot, self.boot)

    def renew(self, now: float, mine: Proposal) -> list[Effect]:
        ballot = Ballot(mine.ballot.epoch, mine.ballot.digest, mine.ballot.round + 1)
        mine.ballot, mine.began, mine.told = ballot, now, 0
        mine.votes.clear()
        return self.open(now, mine, self.electorate)

    def count(self, now: float, name: str, ballot: Ballot, boot: int) -> list[Effect]:
        mine = self.mine
        if mine is None or ballot != mine.ballot or now - mine.began >= self.terms.lease:
            return []
        mine.votes[name] = mark(name, boot)
        if 2 * len(mine.votes) <= self.electorate or mine.told:
            return []  # those that come later are named with the next tick
        mine.moved = now
        return self.commit(mine)

    def commit(self, mine: Proposal) -> list[Effect]:
        marks = sorted(mine.votes.values())
        mine.told = len(marks)
        pieces = [marks[at : at + VOTERS] for at in range(0, len(marks), VOTERS)][: len(COMMITS)]
        effects: list[Effect] = [
            RegisterUpdate(topic, _encode(_Commit(mine.ballot, b"".join(piece))))
            for topic, piece in zip(COMMITS, pieces, strict=False)
        ]
        return effects + self.enforce(mine.ballot, self.name)

    # What others say.

    def hear(self, now: float, author: str, topic: str, said: bytes) -> list[Effect]:
        """A post of another node; what can't be one is passed over and counted."""
        if author == self.name:
            return []  # of a process that had our name
        try:
            if topic == ROUND:
                return self.on_round(now, author, self.sane(_ballot(said)))
            if topic == VOTE:
                vote = _vote(said)
                return self.on_vote(now, author, self.sane(vote.ballot), vote.boot)
            if topic == ASK:
                mine = self.mine
                return self.pieces(mine.plan, author) if mine and said == mine.ballot.digest else []
            if topic in COMMITS:
                told = _commit(said)
                return self.on_commit(now, author, self.sane(told.ballot), told.voters)
            return self.on_chunk(now, topic, _chunk(said))
        except (msgspec.MsgspecError, PlanError):
            self.refused += 1
            return []

    def sane(self, ballot: Ballot) -> Ballot:
        most = min(MAX_EPOCH, max(self.highest, int(self.wall()) * MS) + FAR)
        if not 0 < ballot.epoch < most or not 0 < ballot.round < MAX_EPOCH:
            raise PlanError(f"epoch {ballot.epoch}, round {ballot.round} can't be")
        if len(ballot.digest) != 8:
            raise PlanError("has no digest")
        return ballot

    def on_chunk(self, now: float, topic: str, chunk: _Chunk) -> list[Effect]:
        place = CHUNKS.index(topic)
        if not 0 < chunk.count <= MAX_CHUNKS or place >= chunk.count or chunk.digest in self.plans:
            return []
        if chunk.digest not in self.chunks and len(self.chunks) >= MAX_PLANS:
            del self.chunks[next(iter(self.chunks))]
        pieces = self.chunks.setdefault(chunk.digest, {})
        pieces[place] = chunk.data
        if len(pieces) < chunk.count:
            return []
        del self.chunks[chunk.digest]
        plan = self.read(b"".join(pieces[at] for at in range(chunk.count)))
        if plan.digest != chunk.digest:
            raise PlanError("is not what its digest says")
        self.keep(chunk.digest, plan)
        if self.asked is not None and self.asked[1].digest == chunk.digest:
            author, ballot = self.asked
            return self.on_round(now, author, ballot)
        return []

    def keep(self, digest: bytes, plan: Plan) -> None:
        self.plans.pop(digest, None)
        self.plans[digest] = plan
        used = {held.digest for held in (self.voted, self.current and self.current.ballot) if held}
        for old in [d for d in self.plans if d not in used][: max(0, len(self.plans) - MAX_PLANS)]:
            del self.plans[old]

    def on_round(self, now: float, author: str, ballot: Ballot) -> list[Effect]:
        """Take a round, unless it is outdone; whoever asks by an old epoch is told the one that
        outdid it."""
        if self.began is None or not self.awake(now):
            self.highest = max(self.highest, ballot.epoch)
            return []
        if not self.acceptable(author, ballot):
            voted = self.voted
            if voted is None or ballot == voted:
                return []
            return [RegisterUpdate(VOTE, _encode(_Vote(voted, self.boot)), author)]
        self.heard, self.highest = now, max(self.highest, ballot.epoch)
        if ballot.digest not in self.plans:
            again = self.asked is not None and self.asked[1].plan == ballot.plan
            self.asked = author, ballot
            return (
                [RegisterUpdate(ASK, ballot.digest, author)] if again else []
            )  # a piece of it was lost
        self.asked = None
        self.take(now, author, ballot)
        effects: list[Effect] = []
        if self.mine is not None and self.mine.ballot.epoch < ballot.epoch:
            effects.append(self.give_up(now, self.mine))
        return [*effects, RegisterUpdate(VOTE, _encode(_Vote(ballot, self.boot)), author)]

    def acceptable(self, author: str, ballot: Ballot) -> bool:
        """One plan of an epoch at most, by one proposer, and its rounds only forward."""
        voted = self.voted
        if voted is None:
            return (
                ballot.epoch >= self.highest
            )  # one that has begun anew has heard of later ones since
        if ballot.epoch > voted.epoch:
            return True
        return ballot.plan == voted.plan and author == self.voted_for and ballot.round > voted.round

    def take(self, now: float, author: str, ballot: Ballot) -> None:
        self.voted, self.voted_for = ballot, author
        self.taken[ballot] = now
        while len(self.taken) > TAKEN:
            del self.taken[next(iter(self.taken))]

    def on_vote(self, now: float, author: str, ballot: Ballot, boot: int) -> list[Effect]:
        if ballot.epoch > self.highest:
            self.highest = ballot.epoch
        mine = self.mine
        if (
            mine is not None
            and ballot.epoch >= mine.ballot.epoch
            and ballot.plan != mine.ballot.plan
        ):
            return [self.give_up(now, mine)]  # another has taken this epoch or a later one
        return self.count(now, author, ballot, boot)

    def on_commit(self, now: float, author: str, ballot: Ballot, voters: bytes) -> list[Effect]:
        self.highest = max(self.highest, ballot.epoch)
        named = {voters[at : at + MARK] for at in range(0, len(voters), MARK)}
        if author != self.voted_for or self.mark not in named:
            return []
        self.heard = now
        return self.enforce(ballot, author, now)

    def enforce(self, ballot: Ballot, proposer: str, now: float | None = None) -> list[Effect]:
        """A round that we took is committed: its lease runs from when we took it."""
        taken = self.taken.get(ballot)
        plan = self.plans.get(ballot.digest)
        held = self.current
        if taken is None or plan is None or (held is not None and ballot.epoch < held.ballot.epoch):
            return []
        until = taken + self.terms.lease - self.terms.margin
        if now is not None and now >= until:
            return []
        if held is not None and held.ballot.plan == ballot.plan:
            if until > held.until:
                held.ballot, held.until = ballot, until
            return []
        self.current = Held(ballot, plan, proposer, until)
        return [InForce(ballot.epoch, plan, proposer)]

    def forget(self, why: Why) -> list[Effect]:
        """What is known rests on something that holds no longer."""
        held, self.current, self.mine = self.current, None, None
        self.plans.clear()
        self.chunks.clear()
        self.asked = None
        return [Lapsed(held.ballot.epoch, why)] if held is not None else []
