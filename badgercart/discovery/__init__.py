"""Sources of the endpoint list.

`entries` reads the entries of a list; `catalog` follows the platform's discovery service; `etcd`
follows a prefix in etcd.
"""
