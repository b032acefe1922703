"""Servers that operators took out. ``ledger.Ledger`` decides; ``bans.Bans`` keeps it on disk and in
force."""
