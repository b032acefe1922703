"""badgercart: a load-balancing HTTP proxy."""
