"""Hot restart: a new process of a node takes over from the old one without refusing requests.

- `process_lock.ProcessLock` detects other processes of the same node
- `inherited_socket.inherited_socket` opens the listening socket that both processes share
- `state_transfer.StateTransfer` passes the policy's statistics on to the new process
"""
