"""Errors of zone failover."""

from __future__ import annotations


class ZonesError(Exception):
    """Base of the errors that this package raises."""


class InvalidPlanError(ZonesError):
    """Bytes that are no traffic plan of this topology."""


class CorruptPlanError(InvalidPlanError):
    """Bytes that can't be decompressed or decoded."""

    def __init__(self, cause: str) -> None:
        """Keep the decoder's own words as `cause`."""
        super().__init__(cause)
        self.cause = cause


class IncompletePlanError(InvalidPlanError):
    """A compressed plan that ends early, or is longer than the limit once decompressed."""

    def __init__(self, limit_bytes: int) -> None:
        """Keep the limit that was in force."""
        super().__init__(f"is cut off, or over {limit_bytes} bytes")
        self.limit_bytes = limit_bytes


class ForeignTopologyError(InvalidPlanError):
    """A plan that was made for another topology."""

    def __init__(self, digest: int) -> None:
        """Keep the digest of the topology that the plan names."""
        super().__init__("is of another geography")
        self.digest = digest


class PlanShapeError(InvalidPlanError):
    """A plan with too many or too few rows or zones, or too long a reason."""

    def __init__(self, rows: int, expected: int) -> None:
        """Keep the number of rows that came and the number that the topology has."""
        super().__init__(f"is of {rows} rows, there are {expected}")
        self.rows, self.expected = rows, expected


class PlanZoneError(InvalidPlanError):
    """A plan that names an unknown zone as lost, or leaves a negative spare capacity."""

    def __init__(self) -> None:
        """Make the message."""
        super().__init__("names a zone that there is not, or room below nothing")


class PlanRowError(InvalidPlanError):
    """A row whose shares can't be: `problem` says why."""

    def __init__(self, row: int, problem: str) -> None:
        """Keep the row's number and what is wrong with it."""
        super().__init__(f"row {row} {problem}")
        self.row, self.problem = row, problem


class PlanDigestError(InvalidPlanError):
    """A plan whose content does not have the digest under which it was sent."""

    def __init__(self, expected: bytes, actual: bytes) -> None:
        """Keep both digests."""
        super().__init__("is not what its digest says")
        self.expected, self.actual = expected, actual


class PlanTooLargeError(ZonesError):
    """A plan that needs more register updates than there are topics for it."""

    def __init__(self, chunks: int, limit: int) -> None:
        """Keep the number of chunks that the plan needs and the number that there are."""
        super().__init__(f"takes {chunks} posts, {limit} at most")
        self.chunks, self.limit = chunks, limit


class InvalidBallotError(ZonesError):
    """A ballot whose epoch, round or digest can't be right."""

    def __init__(self, epoch: int, round_number: int) -> None:
        """Keep the ballot's numbers."""
        super().__init__(f"epoch {epoch}, round {round_number} can't be")
        self.epoch, self.round_number = epoch, round_number


class InvalidOverridesError(ZonesError):
    """Bytes that hold no operator overrides."""

    def __init__(self, cause: str) -> None:
        """Keep the decoder's own words as `cause`."""
        super().__init__(cause)
        self.cause = cause
