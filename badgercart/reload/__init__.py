"""New settings for a node that runs: ``retune.retuned`` is the entry. No I/O."""
