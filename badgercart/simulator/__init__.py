"""The policy on the simulator's protocol."""
