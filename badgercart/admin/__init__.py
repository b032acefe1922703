"""The admin API: a listener of its own (`listener.AdminListener`) for the operators' requests.

`requests` reads a request and routes it; `handlers` carries it out at this node.
"""
