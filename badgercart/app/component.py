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
    """New settings that a component can't apply; the text says why, in one line."""


class Component(Protocol):
    """A running component. Calls come in the order: start, any number of prepares, drain, close.

    `close` may come at any time after `start` was called, also where that failed or was cancelled.
    """

    async def start(self) -> None:
        """Begin to work.

        Raises:
            OSError: an address or a file can't be opened.
        """

    def prepare(self, settings: Any) -> Callable[[], None] | None:
        """Check new settings and return a function that applies them, which must not fail.

        Returns None where there is nothing to do.

        Raises:
            ReloadError: the settings can't be applied; then no component's settings change.
        """

    async def drain(self, deadline_ms: float) -> None:
        """Accept requests that still come, and answer all requests in flight.

        Args:
            deadline_ms: latest time to end, on `clock.now_ms`.
        """

    def close(self) -> None:
        """Close everything at once."""


class ComponentKind(Enum):
    """What a component does for an installation; the values may be named in `needs` of others."""

    # Accepts requests; at least one must be on.
    FRONTEND = "front"
    # Provides the endpoint list; exactly one must be on.
    DISCOVERY = "members"
    # Any other; any number may be on.
    SERVICE = "service"


@dataclass(slots=True)
class ComponentHost:
    """What an installation passes to its components."""

    config: Config
    pipeline: RequestPipeline
    endpoint_table: EndpointTable
    reader: ListReader
    loop: asyncio.AbstractEventLoop
    # Folder of the operator's file, against which relative paths in it are resolved.
    folder: str
    # Share of the descriptors for clients and servers that each component with sockets gets.
    descriptor_share: float
    # Number of components without sockets.
    components_without_sockets: int = 0
    # Pages for operators, by path.
    pages: dict[bytes, OperatorPage] = field(default_factory=dict)
    # Metrics for operators.
    metrics: MetricRegistry = field(default_factory=MetricRegistry)
    # State machines other than the policy whose calls a capture records, by name.
    captured_state_machines: dict[str, object] = field(default_factory=dict)
    # What components provide to others, by name.
    services: dict[str, object] = field(default_factory=dict)
    # Returns the state of the endpoint list's age, for operators.
    list_state: Callable[[], str] = lambda: "of no known age"


@dataclass(slots=True, frozen=True)
class CheckedFile:
    """A file whose tables are each valid on their own."""

    base: Base
    # Folder of the file.
    folder: str
    # Settings of the components that are switched on, by name.
    enabled: dict[str, Any]


Check = Callable[[Any, CheckedFile], Iterator[tuple[Path, str]]]


def no_check(_settings: Any, _file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """Find nothing wrong."""
    return iter(())


@dataclass(slots=True, frozen=True)
class ComponentDeclaration:
    """The declaration by which a component is registered."""

    name: str
    # Path of its settings in the file, such as `("fronts", "http")`.
    key: tuple[str, ...]
    kind: ComponentKind
    # Type of the settings, for pydantic.
    settings: Any
    about: str
    # Imports its libraries; may raise OSError.
    build: Callable[[ComponentHost, Any], Component]
    # Components, or kinds of them, that start before it and end after it.
    needs: tuple[str, ...] = ()
    # The extra of pyproject.toml with its libraries.
    extra: str | None = None
    # Modules that must be installed for it.
    libraries: tuple[str, ...] = ()
    # Whether it takes a share of the descriptors.
    sockets: bool = False
    # Finds faults that only several settings together can have; paths begin at the key.
    check: Check = no_check
    # Settings that SIGHUP applies; ("*",): all.
    reloads: tuple[str, ...] = ()
    # `module:name` of a click group, imported only when it is called.
    commands: str | None = None


def start_order(
    components: Iterable[ComponentDeclaration],
) -> list[list[ComponentDeclaration]]:
    """Return steps of components that may start together; they end in the reverse order.

    Raises:
        OrderError: a component needs one that is not switched on, or some wait for each other.
    """
    remaining = {component.name: component for component in components}
    needs = _needed_components(remaining)
    steps: list[list[ComponentDeclaration]] = []
    done: set[str] = set()
    while remaining:
        step = [component for name, component in remaining.items() if needs[name] <= done]
        if not step:
            raise CircularNeedError(sorted(remaining))
        steps.append(step)
        done |= {component.name for component in step}
        remaining = {name: component for name, component in remaining.items() if name not in done}
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
