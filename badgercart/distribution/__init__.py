"""Lists and settings as numbered changes, told to each node for the topics that it asks for.

A few *stores* (machines set aside for control) replicate one log of changes: one leads, for a term
that more than half of the voters gave it, and a change is in force once more than half of them keep
it. Each store tells its *followers*, the nodes, what has changed in their topics. `store.Store` and
`follower.Follower` are the machines, without I/O; `driver` carries them over TCP; `part` plugs both
into an installation. Design: docs/design/distribution.md.
"""
