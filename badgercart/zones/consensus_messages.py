"""The messages of the plan consensus, and their encoding in gossip registers. No I/O.

Messages are MessagePack arrays in the order of the fields. The topics are part of the wire format.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from badgercart.zones.errors import InvalidBallotError, PlanTooLargeError

# Bytes of a plan in one register update.
CHUNK_BYTES = 440
MAX_CHUNKS = 32
CHUNK_TOPICS = tuple(f"zones.plan.{number}" for number in range(MAX_CHUNKS))
ROUND_TOPIC = "zones.round"
VOTE_TOPIC = "zones.vote"
REQUEST_TOPIC = "zones.ask"
# Voters that one register update names.
VOTERS_PER_COMMIT = 96
# Register updates of one commit, for up to 1,152 voters.
MAX_COMMITS = 12
COMMIT_TOPICS = tuple(f"zones.commit.{number}" for number in range(MAX_COMMITS))
VOTER_MARK_BYTES = 4
PLAN_DIGEST_BYTES = 8
MAX_EPOCH_OR_ROUND = 1 << 53


class Ballot(msgspec.Struct, array_like=True, frozen=True, order=True):
    """One round of voting on one plan. Further rounds renew the plan's lease in the same epoch.

    Attributes:
        epoch: the plan's epoch.
        digest: the plan's digest.
        round: the number of the round within the epoch.
    """

    epoch: int
    digest: bytes
    round: int

    @property
    def proposal(self) -> tuple[int, bytes]:
        """Epoch and plan, without the round."""
        return self.epoch, self.digest

    def check(self, max_epoch: int) -> None:
        """Raise InvalidBallotError unless the ballot is valid and its epoch below `max_epoch`."""
        if not 0 < self.epoch < max_epoch or not 0 < self.round < MAX_EPOCH_OR_ROUND:
            raise InvalidBallotError(self.epoch, self.round)
        if len(self.digest) != PLAN_DIGEST_BYTES:
            raise InvalidBallotError(self.epoch, self.round)


class PlanChunk(msgspec.Struct, array_like=True, frozen=True):
    """One chunk of an encoded plan; its topic has the number of the chunk.

    Attributes:
        digest: the plan's digest.
        count: how many chunks the plan has.
        data: the bytes of the chunk.
    """

    digest: bytes
    count: int
    data: bytes


class Vote(msgspec.Struct, array_like=True, frozen=True):
    """The vote of one process for a ballot.

    Attributes:
        ballot: the accepted ballot.
        incarnation: identifies the voting process among those of its node.
    """

    ballot: Ballot
    incarnation: int


class Commit(msgspec.Struct, array_like=True, frozen=True):
    """A ballot that a majority accepted.

    Attributes:
        ballot: the accepted ballot.
        voter_marks: the concatenated marks of the voters that this message names.
    """

    ballot: Ballot
    voter_marks: bytes

    def names(self, mark: bytes) -> bool:
        """Return whether the process with this mark is named as a voter."""
        marks = self.voter_marks
        return any(
            marks[start : start + VOTER_MARK_BYTES] == mark
            for start in range(0, len(marks), VOTER_MARK_BYTES)
        )


_encode = msgspec.msgpack.Encoder().encode
decode_chunk: Callable[[bytes], PlanChunk] = msgspec.msgpack.Decoder(PlanChunk).decode
decode_ballot: Callable[[bytes], Ballot] = msgspec.msgpack.Decoder(Ballot).decode
decode_vote: Callable[[bytes], Vote] = msgspec.msgpack.Decoder(Vote).decode
decode_commit: Callable[[bytes], Commit] = msgspec.msgpack.Decoder(Commit).decode


def encode_message(message: Ballot | PlanChunk | Vote | Commit) -> bytes:
    """Return a message as bytes."""
    return _encode(message)


def voter_mark(name: str, incarnation: int) -> bytes:
    """Return the short hash that identifies a process in a commit."""
    identity = f"{name} {incarnation}".encode()
    return hashlib.blake2b(identity, digest_size=VOTER_MARK_BYTES).digest()


@dataclass(slots=True, frozen=True)
class ProcessId:
    """Identifies a process: a restarted node has the same name, but another incarnation."""

    name: str
    incarnation: int

    @property
    def mark(self) -> bytes:
        """The short hash that identifies the process in a commit."""
        return voter_mark(self.name, self.incarnation)


def split_plan(digest: bytes, data: bytes) -> list[tuple[str, bytes]]:
    """Return the encoded chunks of a plan, each with its topic.

    Raises:
        PlanTooLargeError: the plan has more chunks than there are topics.
    """
    pieces = [data[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)]
    if len(pieces) > MAX_CHUNKS:
        raise PlanTooLargeError(len(pieces), MAX_CHUNKS)
    chunks = (_encode(PlanChunk(digest, len(pieces), piece)) for piece in pieces)
    return list(zip(CHUNK_TOPICS, chunks, strict=False))


def split_commit(ballot: Ballot, voter_marks: Iterable[bytes]) -> list[tuple[str, bytes]]:
    """Return the encoded commit messages that name these voters, each with its topic.

    Voters beyond MAX_COMMITS messages are not named, and do not activate the plan.
    """
    marks: Sequence[bytes] = sorted(voter_marks)
    pieces = [
        b"".join(marks[start : start + VOTERS_PER_COMMIT])
        for start in range(0, len(marks), VOTERS_PER_COMMIT)
    ]
    commits = (_encode(Commit(ballot, piece)) for piece in pieces)
    return list(zip(COMMIT_TOPICS, commits, strict=False))
