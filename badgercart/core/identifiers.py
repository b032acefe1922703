"""Numeric ids for names, in the form that the policy uses."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

# Longer names come from peers that mean no good, and would fill the cache with megabytes.
MAX_CACHED_NAME_BYTES = 64
MAX_CACHED_NAMES = 8192


def stable_id(name: bytes, secret: bytes = b"") -> int:
    """Return a number for a name: never 0, and the same at every node and after every start.

    With a secret of up to 64 bytes, nobody without it can find the name by guessing.
    """
    if len(name) <= MAX_CACHED_NAME_BYTES:
        return _cached_id(name, secret)
    return _compute_id(name, secret)


def _compute_id(name: bytes, secret: bytes) -> int:
    return int.from_bytes(blake2b(name, digest_size=8, key=secret).digest()) or 1


# A cache pays off because a few keys make up much of the traffic.
_cached_id = lru_cache(maxsize=MAX_CACHED_NAMES)(_compute_id)
