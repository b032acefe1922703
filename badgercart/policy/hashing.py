"""The hash that places endpoints and keys; the same at every node. No I/O."""

from __future__ import annotations

HASH_MASK = (1 << 64) - 1


def mix_hash(value: int) -> int:
    """Scatter a number over 64 bits."""
    value = (value ^ (value >> 31)) * 0x9E3779B97F4A7C15 & HASH_MASK
    value = (value ^ (value >> 29)) * 0xBF58476D1CE4E5B9 & HASH_MASK
    return value ^ (value >> 32)
