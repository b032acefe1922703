"""Nodes that know each other: who is there, who has failed, and what each may count on while they
disagree.

Membership is SWIM (Das, Gupta, Motivala 2002) with Lifeguard's mends (Dadgar, Phillips, Currey
2018). `machine.py` decides and does no I/O; `driver.py` carries its packets. It knows no lists,
zones or requests: what others want carried goes through `board.py`, and `uses.py` turns what is
known into plain inputs for the policy. The entry is `part.py`.
"""
