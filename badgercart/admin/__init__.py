"""The admin API for operators, on a separate listener (`listener.AdminListener`).

`requests` parses and routes requests; `handlers` executes them at this node.
"""
