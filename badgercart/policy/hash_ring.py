"""Consistent hashing of request keys to endpoints.

`HashRing` keeps virtual nodes in blocks, so that adding one moves a block and not the whole ring.
`VirtualNodes` owns how many of them each endpoint has and places a few at a time. `KeyTraffic`
counts requests by key, so that a popular key is spread over several endpoints. No I/O.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import OrderedDict
from collections.abc import Iterable, Set

from badgercart.policy.capacity import CapacityModel
from badgercart.policy.endpoints import EndpointSet
from badgercart.policy.hashing import HASH_MASK, mix_hash
from badgercart.policy.subset import Subset

BLOCK_POINTS = 64  # virtual nodes in a block on average; a block is split at twice that
KEY_STEP = 0x632BE59BD9B4E019  # between the hashes of one key's places
VIRTUAL_NODES = 16  # of the strongest endpoint: evens out the shares of the endpoints
BULK_PLACEMENT_LIMIT = 2048  # virtual nodes that may be placed with one endpoint update
# Of more, so many go with each event: an update must not hold up requests.
PLACEMENTS_PER_EVENT = 256
MIN_KEY_COUNT = 0.5  # recent requests below which a key is no longer counted
SPREAD = 2.0  # endpoints that share a key, for each average endpoint's worth of requests it draws

VirtualNode = tuple[int, int]  # hash, endpoint id


class HashRing:
    """Virtual nodes in the order of their hashes, in blocks."""

    __slots__ = ("block_starts", "blocks")

    def __init__(self) -> None:
        self.blocks: list[list[VirtualNode]] = []
        self.block_starts: list[VirtualNode] = []  # the first virtual node of each block

    def __len__(self) -> int:
        return sum(map(len, self.blocks))

    def extend(self, added: list[VirtualNode]) -> None:
        """Add virtual nodes: a few one by one, many by sorting the ring anew."""
        if len(added) <= 8 * len(self.blocks):
            for node in added:
                self.add(node)
            return
        ordered = sorted(self.virtual_nodes() + added)
        self.blocks = [
            ordered[at : at + BLOCK_POINTS] for at in range(0, len(ordered), BLOCK_POINTS)
        ]
        self.block_starts = [block[0] for block in self.blocks]

    def add(self, node: VirtualNode) -> None:
        """Add one virtual node to a ring that is not empty."""
        at = max(bisect_right(self.block_starts, node) - 1, 0)
        block = self.blocks[at]
        insort(block, node)
        self.block_starts[at] = block[0]
        if len(block) >= 2 * BLOCK_POINTS:
            self.blocks[at : at + 1] = block[:BLOCK_POINTS], block[BLOCK_POINTS:]
            self.block_starts.insert(at + 1, block[BLOCK_POINTS])

    def remove(self, node: VirtualNode) -> None:
        """Remove a virtual node that is in the ring."""
        at = bisect_right(self.block_starts, node) - 1
        block = self.blocks[at]
        del block[bisect_left(block, node)]
        if block:
            self.block_starts[at] = block[0]
        else:
            del self.blocks[at], self.block_starts[at]

    def successor(self, position: int) -> int:
        """Return the endpoint of the next virtual node behind a hash; the ring is not empty."""
        at = max(bisect_right(self.block_starts, (position, 0)) - 1, 0)
        block = self.blocks[at]
        place = bisect_right(block, (position, 0))
        if place < len(block):
            return block[place][1]
        return self.block_starts[at + 1 if at + 1 < len(self.block_starts) else 0][1]

    def successor_among(self, position: int, endpoint_ids: Set[int]) -> int | None:
        """Return the first of these endpoints behind a hash within two blocks, or None."""
        at = max(bisect_right(self.block_starts, (position, 0)) - 1, 0)
        block = self.blocks[at]
        for place in range(bisect_right(block, (position, 0)), len(block)):
            if block[place][1] in endpoint_ids:
                return block[place][1]
        following = self.blocks[(at + 1) % len(self.blocks)]
        return next((found for _, found in following if found in endpoint_ids), None)

    def virtual_nodes(self) -> list[VirtualNode]:
        """Return all virtual nodes in order."""
        return [node for block in self.blocks for node in block]


class VirtualNodes:
    """The virtual nodes of each endpoint of the subset, and which endpoints await a change."""

    __slots__ = ("_capacity", "_endpoints", "_subset", "counts", "pending", "ring")

    def __init__(self, endpoints: EndpointSet, capacity: CapacityModel, subset: Subset) -> None:
        self._endpoints, self._capacity, self._subset = endpoints, capacity, subset
        self.ring = HashRing()
        self.counts: dict[int, int] = {}  # virtual nodes on the ring, by endpoint id
        # Endpoints with too few or too many; of a plain dict the first is found ever later.
        self.pending: OrderedDict[int, None] = OrderedDict()

    def mark_pending(self, endpoint_ids: Iterable[int]) -> None:
        """Have the virtual nodes of these endpoints counted anew."""
        self.pending.update(dict.fromkeys(endpoint_ids))

    def wanted(self, endpoint_id: int) -> int:
        """Return how many virtual nodes an endpoint should have by its weight."""
        return (
            int(VIRTUAL_NODES * self._capacity.weight(self._endpoints.by_id[endpoint_id].endpoint))
            + 1
        )

    def update(self, kind_ratios: dict[int, float], entered_or_left: Set[int]) -> None:
        """Find endpoints whose count has to change, and place a few virtual nodes at once.

        Args:
            kind_ratios: latency over the typical one, by kind of machine that has ready endpoints.
            entered_or_left: endpoints that came to the subset or left it.
        """
        self.mark_pending([*entered_or_left, *self._reweighted(kind_ratios)])
        if self.pending:
            few = len(self.pending) * VIRTUAL_NODES <= BULK_PLACEMENT_LIMIT
            self.place(BULK_PLACEMENT_LIMIT if few else PLACEMENTS_PER_EVENT)

    def _reweighted(self, kind_ratios: dict[int, float]) -> list[int]:
        """Return endpoints whose weight calls for another count than they have."""
        found: list[int] = []
        most = VIRTUAL_NODES
        if self._subset.is_small_part:
            # Looking through the subset is cheaper than through the sizes of all endpoints.
            found += (i for i in self._subset.endpoint_ids if self.counts.get(i) != self.wanted(i))
            most = 0
        return found + self._capacity.count_changes(kind_ratios, VIRTUAL_NODES, most)

    def endpoint_of(self, key: int, number: int) -> int:
        """Return the endpoint of a key's place with this number, on a ring that is not empty."""
        return self.ring.successor(mix_hash(key + number * KEY_STEP & HASH_MASK))

    def place(self, budget: int) -> None:
        """Place or remove virtual nodes of pending endpoints, until the budget is spent."""
        added: list[VirtualNode] = []
        while self.pending and budget > 0:
            endpoint_id, _ = self.pending.popitem(last=False)
            wanted, have = 0, self.counts.pop(endpoint_id, 0)
            if self._subset.contains(endpoint_id):
                wanted = self.counts[endpoint_id] = self.wanted(endpoint_id)
            budget -= 1 + abs(wanted - have)
            for number in range(min(have, wanted), max(have, wanted)):
                node = mix_hash(endpoint_id * 1000003 + number), endpoint_id
                if wanted < have:
                    self.ring.remove(node)
                else:
                    added.append(node)
        self.ring.extend(added)


class KeyTraffic:
    """Recent requests by key, halved now and then."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.total = 1e-9

    def count(self, key: int) -> None:
        """Count a request with this key."""
        self.counts[key] = self.counts.get(key, 0.0) + 1
        self.total += 1

    def halve(self) -> None:
        """Let older requests weigh half, and forget keys that hardly come any more."""
        self.total /= 2
        self.counts = {
            key: count / 2 for key, count in self.counts.items() if count > MIN_KEY_COUNT
        }

    def places(self, key: int, subset_size: int) -> int:
        """Return over how many endpoints a key is spread, by its share of the requests."""
        return 1 + int(self.counts.get(key, 0.0) / self.total * subset_size * SPREAD)
