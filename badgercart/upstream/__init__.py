"""Attempts over the node's own connections to the servers; its entry is ``pool.ServerPool``."""
