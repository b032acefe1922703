"""Every load-balancing decision of a node, as a library without I/O."""

from badgercart.policy.policy import Policy
from badgercart.policy.settings import Settings

__all__ = ["Policy", "Settings"]
