"""`python -m badgercart.simulator`: the policy on standard input and output, for the simulator."""

from __future__ import annotations

import gc
import sys

from badgercart.simulator.errors import WireError
from badgercart.simulator.server import serve

BAD_INPUT = 2  # exit status


def main() -> int:
    """Serve until the input ends, and return the exit status."""
    gc.freeze()  # what is loaded by now stays: the collector need not look at it
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"badgercart.simulator: {error}", file=sys.stderr)
        return BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
