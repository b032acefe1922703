"""Cluster membership as a component of an installation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.cluster.settings import ClusterSettings, check

if TYPE_CHECKING:
    from badgercart.cluster.service import ClusterComponent


def build(host: ComponentHost, settings: ClusterSettings) -> ClusterComponent:
    """Return the component; its libraries are imported only where it is enabled."""
    from badgercart.cluster.service import ClusterComponent

    return ClusterComponent(host, settings)


COMPONENTS = (
    ComponentDeclaration(
        name="peers",
        key=("peers",),
        kind=ComponentKind.SERVICE,
        settings=ClusterSettings,
        about="nodes that know each other",
        build=build,
        extra="peers",
        libraries=("msgspec", "netaddr"),
        check=check,
        commands="badgercart.cluster.commands:peers",
    ),
)
