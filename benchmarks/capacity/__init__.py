"""docs/CAPACITY.md, worked out from measured slopes and the target: `python -m
benchmarks.capacity`.

`target.py` is what is wanted and assumed, `laws.py` reads the runs of `benchmarks/scale/` and finds
where a budget breaks, `rows.py` has the roles and the ranking, `storms.py` the bad seconds,
`page.py` the tables.
"""
