"""What is wrong with the simulator's input."""

from __future__ import annotations


class WireError(Exception):
    """A frame, or the settings in it, that can't be read.

    Attributes:
        reason: what is wrong.
        batch: the number of the batch; None where that is not known.
        offset: the byte of the batch at which its record begins; None where no record is meant.
    """

    def __init__(self, reason: str, batch: int | None = None, offset: int | None = None) -> None:
        self.reason, self.batch, self.offset = reason, batch, offset
        where = "" if batch is None else f"batch {batch}: "
        if offset is not None:
            where = f"batch {batch}, byte {offset}: "
        super().__init__(f"{where}{reason}")
