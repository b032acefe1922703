"""The nodes that share the fleet. No I/O."""

from __future__ import annotations

from badgercart.policy.events import ClusterView
from badgercart.policy.settings import Settings


class Cluster:
    """The current view of the cluster: the one announced last, else the one of the settings."""

    __slots__ = ("announced", "view")

    def __init__(self, settings: Settings) -> None:
        self.announced: ClusterView | None = None
        self.view = configured_view(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use the view of the settings if none was announced."""
        self.view = self.announced or configured_view(settings)

    def announce(self, view: ClusterView) -> None:
        """Use this view from now on."""
        self.announced = self.view = view


def configured_view(settings: Settings) -> ClusterView:
    """Return the view that the settings describe."""
    return ClusterView(settings.cluster_size, settings.node_index, settings.cluster_size)
