"""Errors of this package. Each carries a kind, one word for counters, and a detail for people."""

from __future__ import annotations


class DistributionError(Exception):
    """Base of all errors of this package."""


class KindedError(DistributionError):
    """An error with a kind, by which it is counted, and a detail, which is logged or sent.

    Attributes:
        kind: one word, such as `malformed`; the same for all errors of one cause.
        detail: a sentence for people.
    """

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class FrameError(KindedError):
    """A frame or message is not taken, or must not be sent."""


class ConnectionRejectedError(KindedError):
    """A connection has to be closed for what its other end said or failed to say."""


class SubscriptionRejectedError(KindedError):
    """A subscription would exceed a limit of this replica."""


class ProposalRejectedError(KindedError):
    """A proposed change was not put into the log."""


class ReplicaAbandonedError(KindedError):
    """A follower has to leave the replica that it follows."""


class TopicGapError(KindedError):
    """What came of a followed topic doesn't follow what is here, so it has to be sent again."""

    def __init__(self, kind: str, topic: str, detail: str) -> None:
        super().__init__(kind, detail)
        self.topic = topic


class SnapshotError(DistributionError):
    """A snapshot contradicts itself, exceeds a limit, or is older than what is here."""


class JournalError(DistributionError):
    """Stored data can't be trusted, or the disk has failed: the replica must not start, or go on.

    Attributes:
        file: the name of a file in the replica's folder, or the folder.
        detail: what is wrong with it.
    """

    def __init__(self, file: str, detail: str) -> None:
        super().__init__(f"{file}: {detail}")
        self.file = file
        self.detail = detail
