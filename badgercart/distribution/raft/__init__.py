"""Raft with pre-votes and a leader lease, as state machines without I/O.

The entry point is `node.RaftNode`. Each part owns its own state:

- `log.RaftLog`: the log entries (called changes here) and the commit index
- `elections.Elections`: votes and election timeouts
- `lease.LeaderLease`: when the voters last acknowledged the leader
- `replication.Replication`: the leader's side of log replication, with the progress of each peer
- `log_receiver.LogReceiver`: the follower's side of log replication
"""
