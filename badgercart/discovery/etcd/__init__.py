"""The endpoint list from etcd v3: list the keys under a prefix, then watch them.

`follower` decides what to request next, which responses to trust and what to publish, and does no
I/O. `guard` holds back a list that lost most of its servers at once. `client` drives both over
gRPC and is the entry point. The generated types of `aetcd`, and `grpcio`, are imported by `client`
and `members` only.
"""
