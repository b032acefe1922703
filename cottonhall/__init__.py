"""cottonhall: the decisions of a load-balancing proxy, as a library."""

from cottonhall.interface import Settings
from cottonhall.rules import Policy

__all__ = ["Policy", "Settings"]
