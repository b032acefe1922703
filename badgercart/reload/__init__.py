"""Reload of the configuration of a running node; see `reconfiguration.reconfigure`. No I/O."""
