"""`python -m badgercart.simulator`: serves the policy to the simulator on standard input and output."""

from __future__ import annotations

import gc
import sys

from badgercart.simulator.errors import WireError
from badgercart.simulator.server import serve

EXIT_INVALID_INPUT = 2


def main() -> int:
    """Serve until the input ends, and return the exit status."""
    gc.freeze()  # the garbage collector need not scan the modules loaded so far, which stay
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"badgercart.simulator: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
