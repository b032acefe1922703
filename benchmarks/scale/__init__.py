"""How costs grow with servers, tenants, classes and nodes: `python -m benchmarks.scale`.

A subject is a module here with `measure(most: int | None) -> list[Series]`; `most` caps its sizes.
What it finds is kept in `runs/<subject>.json`, from which docs/CAPACITY.md is worked out.
"""

SUBJECTS = ("policy", "lists", "configuration", "peers", "processes", "control", "distribution")
