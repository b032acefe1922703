"""What the policy was told and what it decided, kept in segments and replayed.

`codec` has events and actions as bytes, `policy_state` the policy's state, `format` the file,
`writer` the ring of segments, `replay` the way back, `component` plugs it in.
docs/design/capture.md describes the format.
"""
