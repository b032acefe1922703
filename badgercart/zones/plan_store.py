"""The plans that a node knows, and those whose chunks are still coming in. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Container

from badgercart.zones.consensus_messages import MAX_CHUNKS, PlanChunk
from badgercart.zones.errors import PlanDigestError
from badgercart.zones.traffic_plan import Plan

MAX_PLANS = 8  # kept beside those in use, and as many that are incomplete


class PlanStore:
    """Plans by digest, bounded in number."""

    def __init__(self, decode: Callable[[bytes], Plan]) -> None:
        """Begin empty. `decode` makes a plan of bytes, or raises InvalidPlanError."""
        self._decode = decode
        self._plans: dict[bytes, Plan] = {}  # the latest last
        self._incomplete: dict[bytes, dict[int, bytes]] = {}  # chunks by digest and number

    def __len__(self) -> int:
        """Return how many plans are complete."""
        return len(self._plans)

    def __contains__(self, digest: bytes) -> bool:
        """Return whether the plan with this digest is complete."""
        return digest in self._plans

    @property
    def incomplete_count(self) -> int:
        """How many plans are incomplete."""
        return len(self._incomplete)

    def get(self, digest: bytes) -> Plan | None:
        """Return the plan with this digest, or None."""
        return self._plans.get(digest)

    def add(self, digest: bytes, plan: Plan, in_use: Container[bytes] = ()) -> None:
        """Keep a plan, and forget the oldest ones that are not in use beyond MAX_PLANS."""
        self._plans.pop(digest, None)
        self._plans[digest] = plan
        excess = max(0, len(self._plans) - MAX_PLANS)
        unused = [known for known in self._plans if known not in in_use]
        for old in unused[:excess]:
            del self._plans[old]

    def add_chunk(self, number: int, chunk: PlanChunk, in_use: Container[bytes] = ()) -> bool:
        """Keep a chunk, and return whether its plan became complete by it.

        Raises:
            InvalidPlanError: the chunks make no plan, or another than they say.
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
        plan = self._decode(b"".join(chunks[at] for at in range(chunk.count)))
        if plan.digest != chunk.digest:
            raise PlanDigestError(chunk.digest, plan.digest)
        self.add(chunk.digest, plan, in_use)
        return True

    def clear(self) -> None:
        """Forget all plans and chunks."""
        self._plans.clear()
        self._incomplete.clear()
