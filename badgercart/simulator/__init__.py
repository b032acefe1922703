"""The policy on the protocol of the fleet's simulator."""
