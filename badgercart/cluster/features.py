"""The features that use the cluster; the values are the names in the settings file."""

from __future__ import annotations

QUOTA_SHARING = "shares"
DRAIN_GOSSIP = "drains"
FAILURE_REPORTS = "hearsay"
FEATURES = (QUOTA_SHARING, DRAIN_GOSSIP, FAILURE_REPORTS)
