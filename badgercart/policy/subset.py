"""The subset of the endpoints that this node sends to (deterministic subsetting). No I/O.

If a node has few requests for each endpoint, its own attempts show too little of each, and an
endpoint accepts a limited number of connections. Nodes are then divided into small groups, and each
group shares a contiguous part of the endpoints in the order of their hashes.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Set

from badgercart.policy.endpoints import EndpointSet
from badgercart.policy.events import ClusterView
from badgercart.policy.hashing import mix_hash

# Subsets are used if this node has fewer concurrent requests per endpoint.
MIN_REQUESTS_PER_ENDPOINT = 0.2
# In a smaller group each node knows more of its endpoints, but an endpoint sees a key less often.
NODES_PER_GROUP = 6
MIN_SUBSET_SIZE = 8  # enough endpoints to tell good from bad ones
# With more groups, a subset counts as a small part of all endpoints.
SMALL_PART_GROUPS = 64


class Subset:
    """The ready endpoints that this node shares with its group.

    Attributes:
        endpoint_ids: the ids of these endpoints.
        groups: the number of groups; 1: the subset is all ready endpoints.
        size: the number of endpoints, at least 1.
        start: the index of the first one among the ready endpoints.
    """

    __slots__ = ("_endpoints", "endpoint_ids", "groups", "size", "start")

    def __init__(self, endpoints: EndpointSet) -> None:
        self._endpoints = endpoints
        self.groups = 1
        self.start = 0
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
        """Choose the subset again, and return whether it is or was smaller than the fleet."""
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
        """Return the endpoints that are either in the subset or in this set, not both."""
        return endpoint_ids ^ set(self.endpoint_ids)

    def contains(self, endpoint_id: int) -> bool:
        """Return whether a ready endpoint is in the subset."""
        at = bisect_left(self._endpoints.hashes, mix_hash(endpoint_id))
        return self.start <= at < self.start + self.size and endpoint_id in self._endpoints.applied
