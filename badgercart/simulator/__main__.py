"""Serve the simulator's protocol on standard input and output."""

from __future__ import annotations

import sys

from badgercart.simulator.server import main

if __name__ == "__main__":
    sys.exit(main())
