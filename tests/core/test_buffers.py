"""Buffers keep the order of their bytes, in pieces of bounded size."""

from __future__ import annotations

from typing import Any, cast

from hypothesis import given
from hypothesis import strategies as st

from badgercart.core.output_buffer import BATCH_BYTES, OutputBuffer
from badgercart.core.piece_buffer import PIECE_BYTES, PieceBuffer


class SlowTransport:
    """A transport whose socket takes a part of each write, and the rest when it is told to."""

    def __init__(self, output: OutputBuffer, takes: int) -> None:
        self.output, self.takes = output, takes
        self.sent, self.kept, self.ended = bytearray(), b"", False

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def is_closing(self) -> bool:
        return False

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.ended = True

    def get_write_buffer_size(self) -> int:
        return len(self.kept)

    def write(self, data: bytes) -> None:
        assert not self.kept and len(data) <= BATCH_BYTES
        self.sent += data[: self.takes]
        self.kept = data[self.takes :]
        if self.kept:
            self.output.pause()

    def take_rest(self) -> None:
        self.sent += self.kept
        self.kept = b""
        self.output.resume()


sizes = st.lists(st.integers(0, 3 * BATCH_BYTES), max_size=8)


@given(sizes, st.integers(0, BATCH_BYTES))
def test_output_comes_in_order_and_its_end_last(lengths: list[int], takes: int) -> None:
    output, written = OutputBuffer(), bytearray()
    transport = SlowTransport(output, takes)
    output.attach(cast(Any, transport))
    for number, length in enumerate(lengths):
        data = bytes([number]) * length
        written += data
        output.write(data)
        assert output.unsent_bytes == len(written) - len(transport.sent)
        assert output.held_bytes >= output.unsent_bytes
    output.end()
    while not output.is_empty:
        assert not transport.ended or not output.waiting
        transport.take_rest()
    assert transport.sent == written and transport.ended and output.held_bytes == 0


def test_what_a_transport_keeps_is_held_in_whole_until_its_last_byte_is_sent() -> None:
    output = OutputBuffer()
    transport = SlowTransport(output, BATCH_BYTES - 1)
    output.attach(cast(Any, transport))
    output.write(bytes(BATCH_BYTES))
    assert output.unsent_bytes == 1 and output.held_bytes == BATCH_BYTES


@given(st.lists(st.integers(0, 2 * PIECE_BYTES), max_size=20), st.integers(1, 20_000))
def test_pieces_are_bounded_and_tiny_ones_share_one(lengths: list[int], most: int) -> None:
    buffer, fed = PieceBuffer(), bytearray()
    for number, length in enumerate(lengths):
        fed += bytes([number]) * length
        buffer.append(bytes([number]) * length)
    assert bytes(buffer) == fed and len(buffer) == len(fed)
    assert all(len(piece) <= PIECE_BYTES for piece in buffer.pieces)
    assert len(buffer.pieces) <= 1 + 2 * len(fed) // (PIECE_BYTES // 2)
    taken = bytearray()
    while data := buffer.take(most):
        assert len(data) <= max(most, PIECE_BYTES)
        taken += data
    assert taken == fed and len(buffer) == 0
