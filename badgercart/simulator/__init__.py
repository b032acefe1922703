"""Serves the policy to the simulator over its binary protocol."""
