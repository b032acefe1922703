"""The errors of the simulator's input."""

from __future__ import annotations


class WireError(Exception):
    """A malformed frame, or one with invalid settings.

    Attributes:
        reason: a description of the error.
        batch: the number of the batch; None if it is not known.
        offset: the offset of the record in the batch; None if the error concerns no single record.
    """

    def __init__(self, reason: str, batch: int | None = None, offset: int | None = None) -> None:
        self.reason, self.batch, self.offset = reason, batch, offset
        where = "" if batch is None else f"batch {batch}: "
        if offset is not None:
            where = f"batch {batch}, byte {offset}: "
        super().__init__(f"{where}{reason}")
