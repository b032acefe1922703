"""New settings for a node that runs: `reconfiguration.reconfigure` is the entry. No I/O."""
