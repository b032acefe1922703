"""Lists as numbered changes: replicated by a few processes, and published to all nodes.

- `raft/`: the replicated log, elections, the leader's lease, replication; no I/O
- `replica.py`: one replica; `publisher.py` and `proposals.py` serve followers and operators
- `follower.py`: a node's side
- `journal.py`, `driver.py`: disk and sockets; `messages.py`, `journal_format.py`: what is on them
- `component.py`, `settings.py`, `commands.py`: how it plugs into the program

`docs/design/distribution.md` says what it promises.
"""
