"""Trials: the lab's days by real processes, with a switch between them that cuts, delays, loses and
holds.

`switch.py` passes traffic on, `world.py` runs nodes, servers, the list and clients round it,
`script.py` says what befalls them, `records.py` keeps what was seen in columns, `checkers.py` and
`timeline.py` read it afterwards. The entry is `python -m lab trial FILE.toml`.
"""
