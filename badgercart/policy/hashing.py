"""The hash function for endpoints and keys, which is the same on every node. No I/O."""

from __future__ import annotations

HASH_MASK = (1 << 64) - 1


def mix_hash(value: int) -> int:
    """Return a 64-bit hash of a number, by multiplications and xor-shifts."""
    value = (value ^ (value >> 31)) * 0x9E3779B97F4A7C15 & HASH_MASK
    value = (value ^ (value >> 29)) * 0xBF58476D1CE4E5B9 & HASH_MASK
    return value ^ (value >> 32)
