"""The server list from etcd v3: list the prefix, then watch it.

`follower` decides (what to ask next, what to believe, what to hand over) and does no I/O; `guard`
holds back a list that lost most of its servers at once; `client` drives them over gRPC and is the
entry. The generated types of `aetcd`, and `grpcio`, are imported by `client` and `members` only.
"""
