"""Make Hypothesis draw the same examples each time.

`BADGERCART_RUNS=10000` makes it draw 10000 new examples for each test instead.
"""

from __future__ import annotations

import os

from hypothesis import settings

pytest_plugins = ["pytester", "tests.known_red"]

settings.register_profile("same", derandomize=True, database=None, deadline=None)
if "BADGERCART_RUNS" in os.environ:
    most = int(os.environ["BADGERCART_RUNS"])
    settings.register_profile("long", database=None, deadline=None, max_examples=most)
settings.load_profile("long" if "BADGERCART_RUNS" in os.environ else "same")
