"""Open-loop load on real sockets, by the same plans as the model, and the model held against it.

`ways` turns a planned request into one on a socket, `driver` sends them at their times whatever
came of those before, `calibrate` plays one day on sockets and in the model. The command is ``python
-m lab load``.
"""
