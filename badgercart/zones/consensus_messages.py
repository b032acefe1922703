"""The messages by which nodes agree on a traffic plan, and their form in gossip registers. No I/O.

Messages travel as MessagePack arrays, in the order of the fields. The topics are part of the wire
format.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from badgercart.zones.errors import InvalidBallotError, PlanTooLargeError

CHUNK_BYTES = 440  # of a plan in one register update
MAX_CHUNKS = 32
CHUNK_TOPICS = tuple(f"zones.plan.{number}" for number in range(MAX_CHUNKS))
ROUND_TOPIC, VOTE_TOPIC, REQUEST_TOPIC = "zones.round", "zones.vote", "zones.ask"
VOTERS_PER_COMMIT = 96  # named in one register update
MAX_COMMITS = 12  # register updates of one commit: 1,152 nodes
COMMIT_TOPICS = tuple(f"zones.commit.{number}" for number in range(MAX_COMMITS))
VOTER_MARK_BYTES = 4
PLAN_DIGEST_BYTES = 8
MAX_NUMBER = 1 << 53  # of an epoch or a round


class Ballot(msgspec.Struct, array_like=True, frozen=True, order=True):
    """One round on one plan. Rounds renew the lease of a plan under the same epoch."""

    epoch: int
    digest: bytes  # of the plan
    round: int

    @property
    def proposal(self) -> tuple[int, bytes]:
        """Epoch and plan, without the round."""
        return self.epoch, self.digest

    def check(self, max_epoch: int) -> None:
        """Raise InvalidBallotError unless the ballot is possible and below `max_epoch`."""
        if not 0 < self.epoch < max_epoch or not 0 < self.round < MAX_NUMBER:
            raise InvalidBallotError(self.epoch, self.round)
        if len(self.digest) != PLAN_DIGEST_BYTES:
            raise InvalidBallotError(self.epoch, self.round)


class PlanChunk(msgspec.Struct, array_like=True, frozen=True):
    """One piece of a plan; its topic tells which."""

    digest: bytes  # of the plan
    count: int  # pieces of the plan
    data: bytes


class Vote(msgspec.Struct, array_like=True, frozen=True):
    """A ballot as accepted by one process."""

    ballot: Ballot
    incarnation: int  # of the process


class Commit(msgspec.Struct, array_like=True, frozen=True):
    """A ballot that a majority accepted."""

    ballot: Ballot
    voter_marks: bytes  # of the processes that this message names, one after the other

    def names(self, mark: bytes) -> bool:
        """Return whether the process with this mark is named."""
        marks = self.voter_marks
        return any(
            marks[at : at + VOTER_MARK_BYTES] == mark
            for at in range(0, len(marks), VOTER_MARK_BYTES)
        )


_encode = msgspec.msgpack.Encoder().encode
decode_chunk: Callable[[bytes], PlanChunk] = msgspec.msgpack.Decoder(PlanChunk).decode
decode_ballot: Callable[[bytes], Ballot] = msgspec.msgpack.Decoder(Ballot).decode
decode_vote: Callable[[bytes], Vote] = msgspec.msgpack.Decoder(Vote).decode
decode_commit: Callable[[bytes], Commit] = msgspec.msgpack.Decoder(Commit).decode


def encode_message(message: Ballot | PlanChunk | Vote | Commit) -> bytes:
    """Return a message as it travels."""
    return _encode(message)


def voter_mark(name: str, incarnation: int) -> bytes:
    """Return the few bytes that stand for a process in a commit."""
    identity = f"{name} {incarnation}".encode()
    return hashlib.blake2b(identity, digest_size=VOTER_MARK_BYTES).digest()


@dataclass(slots=True, frozen=True)
class ProcessId:
    """One process of a node: names come back with every restart, incarnations do not."""

    name: str
    incarnation: int

    @property
    def mark(self) -> bytes:
        """The few bytes that stand for the process in a commit."""
        return voter_mark(self.name, self.incarnation)


def split_plan(digest: bytes, data: bytes) -> list[tuple[str, bytes]]:
    """Return the chunks of a plan, encoded, each with its topic.

    Raises:
        PlanTooLargeError: there are not enough topics for it.
    """
    pieces = [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]
    if len(pieces) > MAX_CHUNKS:
        raise PlanTooLargeError(len(pieces), MAX_CHUNKS)
    chunks = (_encode(PlanChunk(digest, len(pieces), piece)) for piece in pieces)
    return list(zip(CHUNK_TOPICS, chunks, strict=False))


def split_commit(ballot: Ballot, voter_marks: Iterable[bytes]) -> list[tuple[str, bytes]]:
    """Return the commit messages that name these voters, encoded, each with its topic.

    Voters beyond MAX_COMMITS messages are not named, and do not act by the plan.
    """
    marks: Sequence[bytes] = sorted(voter_marks)
    pieces = [
        b"".join(marks[at : at + VOTERS_PER_COMMIT])
        for at in range(0, len(marks), VOTERS_PER_COMMIT)
    ]
    commits = (_encode(Commit(ballot, piece)) for piece in pieces)
    return list(zip(COMMIT_TOPICS, commits, strict=False))
