"""The decision log: captures the policy's events and decisions, and replays them.

`codec` encodes events and actions, `policy_state` encodes the policy's state, `format` defines the
segment files, `writer` writes them as a ring, `replay` replays them, `streams` captures other state
machines, and `component` connects the capture to a node. `whatif` estimates what a changed policy
would decide, and `commands` holds the command line. docs/design/capture.md describes the format.
"""
