"""The errors of the zones package."""

from __future__ import annotations


class ZonesError(Exception):
    """The base of this package's errors."""


class InvalidPlanError(ZonesError):
    """Bytes that are not a valid traffic plan for this topology."""


class CorruptPlanError(InvalidPlanError):
    """Bytes that cannot be decompressed or decoded."""

    def __init__(self, cause: str) -> None:
        """Store the decoder's message as `cause`."""
        super().__init__(cause)
        self.cause = cause


class IncompletePlanError(InvalidPlanError):
    """A compressed plan that is truncated, or longer than the limit once decompressed."""

    def __init__(self, limit_bytes: int) -> None:
        """Store the limit."""
        super().__init__(f"is truncated, or exceeds {limit_bytes} bytes")
        self.limit_bytes = limit_bytes


class ForeignTopologyError(InvalidPlanError):
    """A plan for another topology."""

    def __init__(self, digest: int) -> None:
        """Store the digest of the plan's topology."""
        super().__init__("is for another topology")
        self.digest = digest


class PlanShapeError(InvalidPlanError):
    """A plan with a wrong number of rows or zones, or a reason that is too long."""

    def __init__(self, rows: int, expected: int) -> None:
        """Store the number of rows of the plan and of the topology."""
        super().__init__(f"has {rows} rows, the topology has {expected}")
        self.rows, self.expected = rows, expected


class PlanZoneError(InvalidPlanError):
    """A plan with an unknown lost zone or a negative spare capacity."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("names an unknown zone, or has a negative spare capacity")


class PlanRowError(InvalidPlanError):
    """A row with invalid shares."""

    def __init__(self, row: int, problem: str) -> None:
        """Store the number of the row, and what is wrong with it."""
        super().__init__(f"row {row} {problem}")
        self.row, self.problem = row, problem


class PlanDigestError(InvalidPlanError):
    """A plan whose content does not match the digest under which it was sent."""

    def __init__(self, expected: bytes, actual: bytes) -> None:
        """Store both digests."""
        super().__init__("does not match its digest")
        self.expected, self.actual = expected, actual


class PlanTooLargeError(ZonesError):
    """A plan that needs more register updates than there are topics for plans."""

    def __init__(self, chunks: int, limit: int) -> None:
        """Store the number of chunks of the plan and the maximum."""
        super().__init__(f"takes {chunks} register updates, the maximum is {limit}")
        self.chunks, self.limit = chunks, limit


class InvalidBallotError(ZonesError):
    """A ballot with an invalid epoch, round or digest."""

    def __init__(self, epoch: int, round_number: int) -> None:
        """Store the ballot's numbers."""
        super().__init__(f"epoch {epoch}, round {round_number} is not a valid ballot")
        self.epoch, self.round_number = epoch, round_number


class InvalidOverridesError(ZonesError):
    """Bytes that are not valid operator overrides."""

    def __init__(self, cause: str) -> None:
        """Store the decoder's message as `cause`."""
        super().__init__(cause)
        self.cause = cause
