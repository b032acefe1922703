"""The frontends: one package for each protocol by which requests come."""
