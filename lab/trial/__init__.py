"""Fault-injection trials: the lab's experiments with real processes.

A switch between the processes cuts links, delays, drops and holds back traffic. `switch.py`
forwards the traffic; `world.py` runs nodes, servers, the endpoint list and clients around it;
`script.py` injects the faults; `records.py` stores the observations in columns; `checkers.py` and
`timeline.py` read them afterwards. The entry point is `python -m lab trial FILE.toml`.
"""
