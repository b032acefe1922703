"""The features that use the cluster, by the names that the settings give them."""

from __future__ import annotations

QUOTA_SHARING = "shares"
DRAIN_GOSSIP = "drains"
FAILURE_REPORTS = "hearsay"
FEATURES = (QUOTA_SHARING, DRAIN_GOSSIP, FAILURE_REPORTS)
