"""The join between fronts, carriers, membership and the policy; its entry is ``join.Join``.

It knows no protocol: fronts hand in requests and owe answers, carriers carry out attempts,
membership tells the server list. What they must offer is written in ``ports``.
"""
