"""The parts that an operator's file may switch on: a line for each package that plugs in."""

from __future__ import annotations

from functools import cache
from importlib import import_module

from badgercart.operator.part import Declaration

PARTS = (
    "badgercart.membership.part",
    "badgercart.membership.etcd.part",
    "badgercart.fronts.http.part",
    "badgercart.fronts.processor.part",
    "badgercart.fronts.graphql.part",
)


@cache
def declarations(modules: tuple[str, ...] = PARTS) -> tuple[Declaration, ...]:
    """What each module declares, in the order of the lines."""
    found: list[Declaration] = []
    for module in modules:
        found += import_module(module).PARTS
    return tuple(found)
