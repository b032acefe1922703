"""Stand-ins for outside systems: published protocols, faults on command; for tests, demo and
benchmarks."""
