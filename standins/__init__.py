"""Stand-ins for outside systems, for tests, the demo and benchmarks.

They speak the published protocols and have faults on command.
"""
