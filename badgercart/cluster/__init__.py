"""Cluster membership: which nodes are alive, which have failed, and whether there is a quorum.

`swim.py` implements the membership protocol without I/O; `driver.py` runs it on sockets. The
protocol does not depend on endpoint lists, zones or requests: other subsystems replicate their
values through `gossip_registers.py`, and `member.py` derives the policy's view of the cluster.
The entry point is `component.py`.
"""
