"""The plans that a node knows, and those with missing chunks. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Container

from badgercart.zones.consensus_messages import MAX_CHUNKS, PlanChunk
from badgercart.zones.errors import PlanDigestError
from badgercart.zones.traffic_plan import Plan

# Complete plans that are kept besides those in use, and as many incomplete ones.
MAX_PLANS = 8


class PlanStore:
    """A bounded store of plans by digest."""

    def __init__(self, decode: Callable[[bytes], Plan]) -> None:
        """Start empty. `decode` decodes a plan, or raises InvalidPlanError."""
        self._decode = decode
        self._plans: dict[bytes, Plan] = {}  # by digest, oldest first
        self._incomplete: dict[bytes, dict[int, bytes]] = {}  # chunks by digest and number

    def __len__(self) -> int:
        """Return the number of complete plans."""
        return len(self._plans)

    def __contains__(self, digest: bytes) -> bool:
        """Return whether the plan with this digest is complete."""
        return digest in self._plans

    @property
    def incomplete_count(self) -> int:
        """The number of incomplete plans."""
        return len(self._incomplete)

    def get(self, digest: bytes) -> Plan | None:
        """Return the plan with this digest, or None."""
        return self._plans.get(digest)

    def add(self, digest: bytes, plan: Plan, in_use: Container[bytes] = ()) -> None:
        """Add a plan, and remove the oldest unused ones beyond MAX_PLANS."""
        self._plans.pop(digest, None)
        self._plans[digest] = plan
        excess = max(0, len(self._plans) - MAX_PLANS)
        unused = [known for known in self._plans if known not in in_use]
        for old in unused[:excess]:
            del self._plans[old]

    def add_chunk(self, number: int, chunk: PlanChunk, in_use: Container[bytes] = ()) -> bool:
        """Add a chunk; return whether it completed its plan.

        Raises:
            InvalidPlanError: the chunks are not a valid plan, or a plan with another digest.
        """
        if not 0 < chunk.count <= MAX_CHUNKS or number >= chunk.count:
            return False
        if chunk.digest in self._plans:
            return False
        if chunk.digest not in self._incomplete and len(self._incomplete) >= MAX_PLANS:
            del self._incomplete[next(iter(self._incomplete))]
        chunks = self._incomplete.setdefault(chunk.digest, {})
        chunks[number] = chunk.data
        if len(chunks) < chunk.count:
            return False
        del self._incomplete[chunk.digest]
        plan = self._decode(b"".join(chunks[index] for index in range(chunk.count)))
        if plan.digest != chunk.digest:
            raise PlanDigestError(chunk.digest, plan.digest)
        self.add(chunk.digest, plan, in_use)
        return True

    def clear(self) -> None:
        """Remove all plans and chunks."""
        self._plans.clear()
        self._incomplete.clear()
