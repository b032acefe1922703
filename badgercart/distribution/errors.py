"""Errors of this package. Most have a kind, which is counted, and a detail, which is logged."""

from __future__ import annotations


class DistributionError(Exception):
    """The base class of all errors of this package."""


class KindedError(DistributionError):
    """An error with a kind and a detail.

    Attributes:
        kind: a fixed word by which errors are counted, such as `malformed`.
        detail: a description, which is logged or sent.
    """

    def __init__(self, kind: str, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class FrameError(KindedError):
    """A frame or message is invalid, and is neither accepted nor sent."""


class ConnectionRejectedError(KindedError):
    """A connection must be closed because of an invalid or missing message."""


class SubscriptionRejectedError(KindedError):
    """A subscription would exceed a limit of this replica."""


class ProposalRejectedError(KindedError):
    """A proposed change was not appended to the log."""


class ReplicaAbandonedError(KindedError):
    """A follower must disconnect from the replica that it follows."""


class TopicGapError(KindedError):
    """A message doesn't continue a followed topic, which must be requested again."""

    def __init__(self, kind: str, topic: str, detail: str) -> None:
        super().__init__(kind, detail)
        self.topic = topic


class SnapshotError(DistributionError):
    """A snapshot is inconsistent, exceeds a limit, or is older than the current topics."""


class JournalError(DistributionError):
    """Persisted data is corrupt, or the disk has failed: the replica must not start or continue.

    Attributes:
        file: the name of a file in the replica's folder, or the folder itself.
        detail: a description of the fault.
    """

    def __init__(self, file: str, detail: str) -> None:
        super().__init__(f"{file}: {detail}")
        self.file = file
        self.detail = detail
