"""What a part of an installation is: one front, one source of the server list, or a service beside
them.

A subsystem plugs in with one package and one line in `registry`. Its `part.py` holds `PARTS`,
Declarations, and imports no library but pydantic until `build` is called: what is switched off
costs nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from badgercart.app.base import Base
from badgercart.app.faults import Path
from badgercart.config import Config
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.metric_registry import MetricRegistry
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.discovery.entries import CatalogUpdateReader
from badgercart.frontends.http.requests import Page


class ReloadError(Exception):
    """New settings that a part can't take: what is wrong, in one line."""


class Component(Protocol):
    """One running part. Calls come in this order: start, any number of prepares, drain, close.

    `close` may come at any time after `start` was called, also where that failed or was cancelled.
    """

    async def start(self) -> None:
        """Raises OSError where an address or a file can't be had."""

    def prepare(self, settings: Any) -> Callable[[], None] | None:
        """Check new settings and give what puts them in force, which must not fail; None: nothing
        to do.

        Raises ReloadError, and then no part's settings change."""

    async def drain(self, until: float) -> None:
        """Take what still comes, answer all that is held, until this time (ms on `clock.now_ms`) at
        most."""

    def close(self) -> None:
        """Let go of everything at once."""


class ComponentKind(Enum):
    FRONTEND = "front"  # owes answers; at least one must be on
    DISCOVERY = "members"  # tells the server list; exactly one must be on
    SERVICE = "service"  # any number


@dataclass(slots=True)
class ComponentHost:
    """What an installation hands to its parts."""

    config: Config
    pipeline: RequestPipeline
    endpoint_table: EndpointTable
    reader: CatalogUpdateReader
    loop: asyncio.AbstractEventLoop
    folder: str  # of the operator's file: what it names relative to itself
    share: float  # of the clients' and servers' descriptors, for each part that has such
    others: int = 0  # parts that have none of those
    pages: dict[bytes, Page] = field(default_factory=dict)  # for operators, by path
    metrics: MetricRegistry = field(default_factory=MetricRegistry)  # figures for operators
    machines: dict[str, object] = field(
        default_factory=dict
    )  # that decide beside the policy, by name
    services: dict[str, object] = field(
        default_factory=dict
    )  # what parts offer to those that need them
    list_state: Callable[[], str] = lambda: "of no known age"


@dataclass(slots=True, frozen=True)
class Checked:
    """A file whose tables are right each for itself."""

    base: Base
    folder: str
    on: dict[str, Any]  # settings of the parts that are switched on, by name


Check = Callable[[Any, Checked], Iterator[tuple[Path, str]]]


def no_check(settings: Any, file: Checked) -> Iterator[tuple[Path, str]]:
    return iter(())


@dataclass(slots=True, frozen=True)
class ComponentDeclaration:
    """How a part plugs in."""

    name: str
    key: tuple[str, ...]  # where its settings stand in the file: `("fronts", "http")`
    kind: ComponentKind
    settings: Any  # the type of what stands there, for pydantic
    about: str
    build: Callable[[ComponentHost, Any], Component]  # imports its libraries; may raise OSError
    needs: tuple[str, ...] = ()  # parts, or kinds of parts, that start before it and end after it
    extra: str | None = None  # of pyproject.toml, with its libraries
    libraries: tuple[str, ...] = ()  # the modules that must be there for it
    sockets: bool = False  # whether it takes a share of the descriptors
    check: Check = (
        no_check  # what only several settings together can get wrong, by paths from its key
    )
    reloads: tuple[str, ...] = ()  # settings that SIGHUP puts in force; ("*",): all
    commands: str | None = None  # `module:name` of a click group, found only when it is called


class OrderError(Exception):
    """Parts that can't be put in order: which, and why."""


def start_order(parts: Iterable[ComponentDeclaration]) -> list[list[ComponentDeclaration]]:
    """Steps of parts that may start together. They end in the reverse order. Raises OrderError."""
    left = {part.name: part for part in parts}
    providers: dict[str, set[str]] = {name: {name} for name in left}
    for part in left.values():
        providers.setdefault(part.kind.value, set()).add(part.name)
    waits: dict[str, set[str]] = {}
    for part in left.values():
        waits[part.name] = set()
        for need in part.needs:
            if need not in providers:
                raise OrderError(f"{part.name} needs {need}, which is not switched on")
            waits[part.name] |= providers[need] - {part.name}
    steps: list[list[ComponentDeclaration]] = []
    done: set[str] = set()
    while left:
        step = [part for name, part in left.items() if waits[name] <= done]
        if not step:
            raise OrderError(f"{', '.join(sorted(left))} wait for each other")
        steps.append(step)
        done |= {part.name for part in step}
        left = {name: part for name, part in left.items() if name not in done}
    return steps
