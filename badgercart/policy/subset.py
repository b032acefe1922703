"""The part of the endpoints that this node sends to (deterministic subsetting). No I/O.

Where a node has few requests for each endpoint, its own attempts tell too little of a whole fleet,
and endpoints accept only so many connections. Nodes are then put into groups of a few, and each
group shares a stretch of the endpoints in the order of their hashes.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Set

from badgercart.policy.endpoints import EndpointSet
from badgercart.policy.events import ClusterView
from badgercart.policy.hashing import mix_hash

MIN_REQUESTS_PER_ENDPOINT = 0.2  # concurrent ones of this node, below which subsets are used
NODES_PER_GROUP = 6  # fewer nodes know more of their endpoints, but these see a key less often
MIN_SUBSET_SIZE = 8  # enough endpoints to tell good from bad
SMALL_PART_GROUPS = 64  # groups above which a subset counts as a small part of all endpoints


class Subset:
    """The stretch of ready endpoints that this node shares with its group."""

    __slots__ = ("_endpoints", "endpoint_ids", "groups", "size", "start")

    def __init__(self, endpoints: EndpointSet) -> None:
        self._endpoints = endpoints
        self.groups = 1
        self.start = 0  # place of its first endpoint among the ready ones
        self.size = 1
        self.endpoint_ids: list[int] = []

    @property
    def is_small_part(self) -> bool:
        """Whether there are so many groups that the subset is a small part of the fleet."""
        return self.groups > SMALL_PART_GROUPS

    @property
    def is_whole(self) -> bool:
        """Whether it is all ready endpoints."""
        return self.size == len(self._endpoints.ready)

    def refresh(self, concurrency_limit: float, cluster: ClusterView) -> bool:
        """Choose the stretch anew, and return whether it is or was a part of the endpoints only."""
        ready = self._endpoints.ready
        count = len(ready)
        sparse = concurrency_limit < MIN_REQUESTS_PER_ENDPOINT * count
        groups = (
            max(1, min(cluster.size // NODES_PER_GROUP, count // MIN_SUBSET_SIZE)) if sparse else 1
        )
        group = cluster.node_index * groups // cluster.size
        self.start = group * count // groups
        self.size = max(1, (group + 1) * count // groups - self.start)
        self.endpoint_ids = ready if groups == 1 else ready[self.start : self.start + self.size]
        partial = groups != 1 or self.groups != 1
        self.groups = groups
        return partial

    def differing(self, endpoint_ids: Set[int]) -> Set[int]:
        """Return the endpoints that are either in the subset or among these, not both."""
        return endpoint_ids ^ set(self.endpoint_ids)

    def contains(self, endpoint_id: int) -> bool:
        """Return whether a ready endpoint is in the subset."""
        at = bisect_left(self._endpoints.hashes, mix_hash(endpoint_id))
        return self.start <= at < self.start + self.size and endpoint_id in self._endpoints.applied
