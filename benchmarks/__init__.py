"""Speeds, as ratios within one run; one file a subsystem."""
