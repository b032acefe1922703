"""Numeric ids for names, in the form that the policy uses."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b


# A cache pays off because a few keys make up much of the traffic.
@lru_cache(maxsize=8192)
def stable_id(name: bytes, secret: bytes = b"") -> int:
    """Return a number for a name: never 0, and the same at every node and after every start.

    With a secret of up to 64 bytes, nobody without it can find the name by guessing.
    """
    return int.from_bytes(blake2b(name, digest_size=8, key=secret).digest()) or 1
