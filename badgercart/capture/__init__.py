"""What the deciding part was told and what it decided, kept in segments and replayed to the same
decisions.

`codec` has events and actions as bytes, `format` the file, `writer` the ring of segments, `replay`
the way back; its entry is ``part.PARTS``. The format is written down in docs/design/capture.md.
"""
