"""Raft with pre-votes and a leader lease, as state machines without I/O.

`node.RaftNode` is the way in. Each part owns its own state: `log.RaftLog` the changes and the
commit index, `elections.Elections` votes and timeouts, `lease.LeaderLease` the leader's contact
with its voters, `replication.Replication` what each peer has, `log_receiver.LogReceiver` what a
leader sent.
"""
