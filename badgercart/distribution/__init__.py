"""Distribution of lists as numbered changes: replicated with Raft and published to all nodes.

- `raft/`: the replicated log, elections, the leader's lease and log replication, without I/O
- `replica.py`: one replica; `publisher.py` and `proposals.py` serve followers and operators
- `follower.py`: a node that follows one replica at a time
- `journal.py`, `driver.py`: disk and sockets; `messages.py`, `journal_format.py`: their formats
- `component.py`, `settings.py`, `commands.py`: integration into the program

A replica is called a store in settings, commands and logs, and a node that follows it a follower.
`docs/design/distribution.md` describes the guarantees.
"""
