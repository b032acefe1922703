"""Cluster membership: who is alive, who has failed, and what each node may count on meanwhile.

`swim.py` is the membership protocol and does no I/O; `driver.py` runs it on sockets. It knows no
endpoint lists, zones or requests: other subsystems have their values carried by
`gossip_registers.py`, and `member.py` turns what is known into the policy's view of the cluster.
The entry is `component.py`.
"""
