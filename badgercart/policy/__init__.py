"""The load-balancing policy: every decision, without I/O."""

from badgercart.policy.policy import Policy
from badgercart.policy.settings import Settings

__all__ = ["Policy", "Settings"]
