"""Consistent hashing of request keys to endpoints. No I/O.

`HashRing` keeps virtual nodes in blocks, so that adding one moves the rest of a block only.
`VirtualNodes` owns the number of virtual nodes of each endpoint and places a few of them at a time.
`KeyTraffic` counts requests by key, so that a popular key is spread over several endpoints.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import OrderedDict
from collections.abc import Iterable, Set

from badgercart.policy.capacity import CapacityModel
from badgercart.policy.endpoints import EndpointSet
from badgercart.policy.hashing import HASH_MASK, mix_hash
from badgercart.policy.subset import Subset

BLOCK_SIZE = 64  # virtual nodes in a block on average; a block is split at twice that
KEY_HASH_STEP = 0x632BE59BD9B4E019  # added to a key before hashing for each further place of it
# Virtual nodes of the strongest endpoint; several of them even out the shares of the endpoints.
VIRTUAL_NODES = 16
BULK_PLACEMENT_LIMIT = 2048  # virtual nodes that may be placed with one endpoint update
# If an update needs more, each event places this many: an update must not delay requests.
PLACEMENTS_PER_EVENT = 256
MIN_KEY_COUNT = 0.5  # a key with fewer recent requests is no longer counted
# Endpoints that share a key, per number of requests that a mean endpoint gets.
KEY_SPREAD_FACTOR = 2.0
HASH_NUMBER_STEP = 1000003  # keeps the hash inputs of different endpoints' virtual nodes apart

VirtualNode = tuple[int, int]  # hash, endpoint id


class HashRing:
    """Virtual nodes in the order of their hashes, in blocks.

    Attributes:
        blocks: the virtual nodes; no block is empty.
        block_starts: the first virtual node of each block.
    """

    __slots__ = ("block_starts", "blocks")

    def __init__(self) -> None:
        self.blocks: list[list[VirtualNode]] = []
        self.block_starts: list[VirtualNode] = []

    def __len__(self) -> int:
        return sum(map(len, self.blocks))

    def extend(self, added: list[VirtualNode]) -> None:
        """Add virtual nodes: a few one by one, many by sorting the whole ring."""
        if len(added) <= 8 * len(self.blocks):
            for node in added:
                self.add(node)
            return
        ordered = sorted(self.virtual_nodes() + added)
        self.blocks = [ordered[at : at + BLOCK_SIZE] for at in range(0, len(ordered), BLOCK_SIZE)]
        self.block_starts = [block[0] for block in self.blocks]

    def add(self, node: VirtualNode) -> None:
        """Add one virtual node to a ring that is not empty."""
        at = max(bisect_right(self.block_starts, node) - 1, 0)
        block = self.blocks[at]
        insort(block, node)
        self.block_starts[at] = block[0]
        if len(block) >= 2 * BLOCK_SIZE:
            self.blocks[at : at + 1] = block[:BLOCK_SIZE], block[BLOCK_SIZE:]
            self.block_starts.insert(at + 1, block[BLOCK_SIZE])

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
        """Return the endpoint of the next virtual node after a hash; the ring is not empty."""
        at = max(bisect_right(self.block_starts, (position, 0)) - 1, 0)
        block = self.blocks[at]
        place = bisect_right(block, (position, 0))
        if place < len(block):
            return block[place][1]
        return self.block_starts[at + 1 if at + 1 < len(self.block_starts) else 0][1]

    def successor_among(self, position: int, endpoint_ids: Set[int]) -> int | None:
        """Return the first of these endpoints after a hash within two blocks, or None."""
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
    """The virtual nodes of each endpoint of the subset.

    Attributes:
        ring: the hash ring.
        counts: the number of virtual nodes on the ring, by endpoint id.
        pending: ids of endpoints that may have too few or too many virtual nodes. It is an
            OrderedDict, since taking the first item of a plain dict gets slower with each item
            taken.
    """

    __slots__ = ("_capacity", "_endpoints", "_subset", "counts", "pending", "ring")

    def __init__(self, endpoints: EndpointSet, capacity: CapacityModel, subset: Subset) -> None:
        self._endpoints, self._capacity, self._subset = endpoints, capacity, subset
        self.ring = HashRing()
        self.counts: dict[int, int] = {}
        self.pending: OrderedDict[int, None] = OrderedDict()

    def mark_pending(self, endpoint_ids: Iterable[int]) -> None:
        """Mark endpoints whose number of virtual nodes has to be checked."""
        self.pending.update(dict.fromkeys(endpoint_ids))

    def wanted(self, endpoint_id: int) -> int:
        """Return how many virtual nodes an endpoint should have by its weight."""
        return (
            int(VIRTUAL_NODES * self._capacity.weight(self._endpoints.by_id[endpoint_id].endpoint))
            + 1
        )

    def update(self, kind_ratios: dict[int, float], entered_or_left: Set[int]) -> None:
        """Find endpoints whose number of virtual nodes has to change, and place some at once.

        Args:
            kind_ratios: latency over the typical one, by kind of machine that has ready endpoints.
            entered_or_left: endpoints that entered the subset or left it.
        """
        self.mark_pending([*entered_or_left, *self._reweighted(kind_ratios)])
        if self.pending:
            few = len(self.pending) * VIRTUAL_NODES <= BULK_PLACEMENT_LIMIT
            self.place(BULK_PLACEMENT_LIMIT if few else PLACEMENTS_PER_EVENT)

    def _reweighted(self, kind_ratios: dict[int, float]) -> list[int]:
        """Return endpoints that should have another number of virtual nodes by their weight."""
        found: list[int] = []
        max_level = VIRTUAL_NODES
        if self._subset.is_small_part:
            # A scan of the subset is cheaper than one of the sizes of all endpoints.
            found += (i for i in self._subset.endpoint_ids if self.counts.get(i) != self.wanted(i))
            max_level = 0
        return found + self._capacity.count_changes(kind_ratios, VIRTUAL_NODES, max_level)

    def endpoint_of(self, key: int, number: int) -> int:
        """Return the endpoint of a key's place with this number, on a ring that is not empty."""
        return self.ring.successor(mix_hash(key + number * KEY_HASH_STEP & HASH_MASK))

    def place(self, budget: int) -> None:
        """Place or remove virtual nodes of pending endpoints, until the budget is spent."""
        added: list[VirtualNode] = []
        while self.pending and budget > 0:
            endpoint_id, _ = self.pending.popitem(last=False)
            wanted, present = 0, self.counts.pop(endpoint_id, 0)
            if self._subset.contains(endpoint_id):
                wanted = self.counts[endpoint_id] = self.wanted(endpoint_id)
            budget -= 1 + abs(wanted - present)
            for number in range(min(present, wanted), max(present, wanted)):
                node = mix_hash(endpoint_id * HASH_NUMBER_STEP + number), endpoint_id
                if wanted < present:
                    self.ring.remove(node)
                else:
                    added.append(node)
        self.ring.extend(added)


class KeyTraffic:
    """Recent requests by key, halved periodically."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.total = 1e-9  # not 0, since it is used as a divisor

    def count(self, key: int) -> None:
        """Count a request with this key."""
        self.counts[key] = self.counts.get(key, 0.0) + 1
        self.total += 1

    def halve(self) -> None:
        """Halve the weight of older requests, and forget keys with hardly any recent request."""
        self.total /= 2
        self.counts = {
            key: count / 2 for key, count in self.counts.items() if count > MIN_KEY_COUNT
        }

    def places(self, key: int, subset_size: int) -> int:
        """Return the number of endpoints that a key is spread over, by its share of the requests."""
        return 1 + int(self.counts.get(key, 0.0) / self.total * subset_size * KEY_SPREAD_FACTOR)
