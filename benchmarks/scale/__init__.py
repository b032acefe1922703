"""How costs grow with servers, tenants, classes and nodes: `python -m benchmarks.scale`.

A subject is a module of this package with `measure(max_size: int | None) -> list[Series]`, where
`max_size` caps its sizes. The result is stored in `runs/<subject>.json`, from which
docs/CAPACITY.md is calculated.
"""

SUBJECTS = ("policy", "lists", "configuration", "peers", "processes", "control", "distribution")
