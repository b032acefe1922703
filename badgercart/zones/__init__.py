"""Zones and regions that fail over by one plan, and traffic that stays near while that is safe.

`geography.py` is the map; `eyes.py` what a node sees of each zone, `evidence.py` what all have
seen; `gates.py` who is shut and who may come back; `plan.py` works out which part of each zone's
traffic goes where; `council.py` has a majority agree on one plan at a time, under a lease;
`keeper.py` puts them together and gives the policy its plain input. None of them does I/O. The
entry is `part.py`. It stands on `peers/`.
"""
