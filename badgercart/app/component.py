"""Components of an installation: frontends, sources of the endpoint list, and services beside them.

A subsystem plugs in with one package and one line in `registry`. Its `component.py` holds
`COMPONENTS`, declarations, and imports no library but pydantic until `build` is called, so that a
component that is switched off costs nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from badgercart.app.base import Base
from badgercart.app.errors import AppError, CircularNeedError, MissingNeedError
from badgercart.app.faults import Path
from badgercart.config import Config
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.metric_registry import MetricRegistry
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.discovery.entries import ListReader
from badgercart.frontends.http.requests import OperatorPage


class ReloadError(AppError):
    """New settings that a component can't take: what is wrong, in one line."""


class Component(Protocol):
    """A running component. Calls come in the order: start, any number of prepares, drain, close.

    `close` may come at any time after `start` was called, also where that failed or was cancelled.
    """

    async def start(self) -> None:
        """Begin to work.

        Raises:
            OSError: an address or a file can't be had.
        """

    def prepare(self, settings: Any) -> Callable[[], None] | None:
        """Check new settings and return what puts them in force, which must not fail.

        None: there is nothing to do.

        Raises:
            ReloadError: the settings can't be taken; then no component's settings change.
        """

    async def drain(self, until: float) -> None:
        """Accept what still comes and answer all requests in flight.

        Args:
            until: latest time to end, in ms on `clock.now_ms`.
        """

    def close(self) -> None:
        """Close everything at once."""


class ComponentKind(Enum):
    """What a component does for an installation; values stand in `needs` of others."""

    FRONTEND = "front"  # owes answers; at least one must be on
    DISCOVERY = "members"  # tells the server list; exactly one must be on
    SERVICE = "service"  # any number


@dataclass(slots=True)
class ComponentHost:
    """What an installation hands to its components."""

    config: Config
    pipeline: RequestPipeline
    endpoint_table: EndpointTable
    reader: ListReader
    loop: asyncio.AbstractEventLoop
    folder: str  # of the operator's file: what it names relative to itself
    share: float  # of the clients' and servers' descriptors, for each component that has such
    others: int = 0  # components that have none of those
    pages: dict[bytes, OperatorPage] = field(default_factory=dict)  # for operators, by path
    metrics: MetricRegistry = field(default_factory=MetricRegistry)  # for operators
    # Protocol machines that decide beside the policy, by name.
    protocol_machines: dict[str, object] = field(default_factory=dict)
    # What components offer to those that need them, by name.
    services: dict[str, object] = field(default_factory=dict)
    list_state: Callable[[], str] = lambda: "of no known age"


@dataclass(slots=True, frozen=True)
class CheckedFile:
    """A file whose tables are valid each for itself."""

    base: Base
    folder: str  # of the file
    enabled: dict[str, Any]  # settings of the components that are switched on, by name


Check = Callable[[Any, CheckedFile], Iterator[tuple[Path, str]]]


def no_check(_settings: Any, _file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """Find nothing wrong."""
    return iter(())


@dataclass(slots=True, frozen=True)
class ComponentDeclaration:
    """How a component plugs in."""

    name: str
    key: tuple[str, ...]  # where its settings stand in the file: `("fronts", "http")`
    kind: ComponentKind
    settings: Any  # the type of what stands there, for pydantic
    about: str
    build: Callable[[ComponentHost, Any], Component]  # imports its libraries; may raise OSError
    needs: tuple[
        str, ...
    ] = ()  # components, or kinds of them, that start before it and end after it
    extra: str | None = None  # of pyproject.toml, with its libraries
    libraries: tuple[str, ...] = ()  # the modules that must be there for it
    sockets: bool = False  # whether it takes a share of the descriptors
    # Finds what only several settings together can get wrong; paths begin at the key.
    check: Check = no_check
    reloads: tuple[str, ...] = ()  # settings that SIGHUP puts in force; ("*",): all
    commands: str | None = None  # `module:name` of a click group, found only when it is called


def start_order(
    components: Iterable[ComponentDeclaration],
) -> list[list[ComponentDeclaration]]:
    """Return steps of components that may start together; they end in the reverse order.

    Raises:
        OrderError: a component needs one that is not switched on, or some wait for each other.
    """
    left = {component.name: component for component in components}
    needs = _needed_components(left)
    steps: list[list[ComponentDeclaration]] = []
    done: set[str] = set()
    while left:
        step = [component for name, component in left.items() if needs[name] <= done]
        if not step:
            raise CircularNeedError(sorted(left))
        steps.append(step)
        done |= {component.name for component in step}
        left = {name: component for name, component in left.items() if name not in done}
    return steps


def _needed_components(components: Mapping[str, ComponentDeclaration]) -> dict[str, set[str]]:
    """Return by name the components that have to start before each."""
    providers: dict[str, set[str]] = {name: {name} for name in components}
    for component in components.values():
        providers.setdefault(component.kind.value, set()).add(component.name)
    needed: dict[str, set[str]] = {name: set() for name in components}
    for name, component in components.items():
        for need in component.needs:
            if need not in providers:
                raise MissingNeedError(name, need)
            needed[name] |= providers[need] - {name}
    return needed
