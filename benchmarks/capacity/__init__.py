"""The tables of docs/CAPACITY.md, calculated from measured costs and the target.

Run with `python -m benchmarks.capacity`. `target` has the target, the budgets and the assumptions;
`laws` reads the runs of `benchmarks/scale/` and finds where a budget breaks; `roles` has the model
of roles and requirements and the ranking; `requirements` and `system_roles` apply it to this
system; `scenarios` has the load peaks, and `page` the tables.
"""
