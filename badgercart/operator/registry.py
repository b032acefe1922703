"""The parts that an operator's file may switch on: a line for each package that plugs in."""

from __future__ import annotations

from functools import cache
from importlib import import_module
from importlib.util import find_spec

from badgercart.operator.part import Declaration

PARTS = (
    "badgercart.capture.part",
    "badgercart.learning.part",
    "badgercart.metrics.part",
    "badgercart.peers.part",
    "badgercart.zones.part",
    "badgercart.membership.part",
    "badgercart.membership.etcd.part",
    "badgercart.distribution.part",
    "badgercart.fronts.http.part",
    "badgercart.fronts.processor.part",
    "badgercart.fronts.graphql.part",
)


def load_events(modules: tuple[str, ...] = PARTS) -> None:
    """Fill the table of log events: those beside each part, the pool's and the operator's."""
    packages = [module.rpartition(".")[0] for module in modules]
    for package in (*packages, "badgercart.carriers.pool", "badgercart.operator"):
        if find_spec(f"{package}.events") is not None:
            import_module(f"{package}.events")


@cache
def declarations(modules: tuple[str, ...] = PARTS) -> tuple[Declaration, ...]:
    """What each module declares, in the order of the lines."""
    found: list[Declaration] = []
    for module in modules:
        found += import_module(module).PARTS
    return tuple(found)
