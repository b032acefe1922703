"""Attempts over the node's own connections to the servers.

Its entry is ``connection_pool.ServerPool``.
"""
