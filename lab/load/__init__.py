"""Open-loop load on real sockets, from the same plans as the model's, and the model's calibration.

`request_writers` writes a planned request in a protocol, `driver` sends the requests at their
scheduled times whatever became of earlier ones, and `calibrate` runs one experiment on sockets and
in the model. The command is `python -m lab load`.
"""
