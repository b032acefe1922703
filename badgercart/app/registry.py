"""The components that an operator's file may switch on: one line for each package."""

from __future__ import annotations

from functools import cache
from importlib import import_module
from importlib.util import find_spec

from badgercart.app.component import ComponentDeclaration

COMPONENT_MODULES = (
    "badgercart.capture.component",
    "badgercart.statistics.component",
    "badgercart.metrics.component",
    "badgercart.cluster.component",
    "badgercart.zones.component",
    "badgercart.discovery.component",
    "badgercart.discovery.etcd.component",
    "badgercart.distribution.component",
    "badgercart.frontends.http.component",
    "badgercart.frontends.processor.component",
    "badgercart.frontends.graphql.component",
)


def load_events(modules: tuple[str, ...] = COMPONENT_MODULES) -> None:
    """Fill the table of log events: of each component, the connection pool and the app."""
    packages = [module.rpartition(".")[0] for module in modules]
    for package in (*packages, "badgercart.upstream", "badgercart.app"):
        if find_spec(f"{package}.log_events") is not None:
            import_module(f"{package}.log_events")


@cache
def declarations(modules: tuple[str, ...] = COMPONENT_MODULES) -> tuple[ComponentDeclaration, ...]:
    """Return the declarations of each module, in the order of the list."""
    found: list[ComponentDeclaration] = []
    for module in modules:
        found += import_module(module).COMPONENTS
    return tuple(found)
