"""The GraphQL frontend as a component of an installation."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from pathlib import Path as FilePath
from typing import TYPE_CHECKING

from badgercart.app.component import CheckedFile, ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.faults import Path
from badgercart.frontends.graphql.settings import GraphqlSettings
from badgercart.frontends.http.component import register_listener_metrics
from badgercart.policy.settings import Idempotency

if TYPE_CHECKING:
    from badgercart.frontends.graphql.frontend import GraphqlFrontend


class GraphqlComponent:
    """The GraphQL frontend; a new schema or field mapping takes effect after a restart."""

    def __init__(self, host: ComponentHost, settings: GraphqlSettings) -> None:
        # The GraphQL library is large: it is imported only where this frontend is enabled.
        from badgercart.frontends.graphql.frontend import GraphqlFrontend

        self.frontend: GraphqlFrontend = GraphqlFrontend(
            host.config,
            settings,
            host.pipeline,
            host.endpoint_table,
            host.loop,
            host.descriptor_share,
            host.components_without_sockets,
            FilePath(host.folder),
        )

        register_listener_metrics(host.metrics, "graphql", self.frontend.listener)

    async def start(self) -> None:
        """Listen for clients."""
        self.frontend.start()

    def prepare(self, settings: GraphqlSettings) -> Callable[[], None] | None:
        """Return None: a change of the settings needs a restart."""
        return None

    async def drain(self, deadline_ms: float) -> None:
        """Serve open requests until `deadline_ms` at the latest."""
        await self.frontend.drain(deadline_ms)

    def close(self) -> None:
        """Close the listener."""
        self.frontend.close()


def check(settings: GraphqlSettings, file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """Check the allow list, and the field mapping against the schema."""
    from badgercart.frontends.graphql.mapping import mapping_faults, read_schema

    folder = FilePath(file.folder)
    try:
        if settings.allow_list is not None and not isinstance(
            json.loads((folder / settings.allow_list).read_bytes()), dict
        ):
            yield ("allow_list",), "holds no JSON object"
    except (OSError, ValueError) as error:
        yield ("allow_list",), f"can't be read: {error}"
    try:
        schema = read_schema((folder / settings.schema_file).read_text())
    except (OSError, ValueError) as error:
        yield ("schema",), f"can't be used: {error}"
        return
    positions = {item.name: position for position, item in enumerate(settings.field)}
    if len(positions) < len(settings.field):
        yield ("field",), "names a field twice"
    effects = {cls.name: Idempotency(cls.effect) for cls in file.base.class_}
    for name, key, message in mapping_faults(schema, settings.by_field, effects):
        path: Path = ("field", positions[name]) if name else ("field",)
        yield (*path, key) if key else path, message


COMPONENTS = (
    ComponentDeclaration(
        name="graphql",
        key=("fronts", "graphql"),
        kind=ComponentKind.FRONTEND,
        settings=GraphqlSettings,
        about="a listener for GraphQL clients, in front of GraphQL dispatch servers",
        build=GraphqlComponent,
        needs=("members",),
        sockets=True,
        check=check,
        extra="graphql",
        libraries=("graphql",),
    ),
)
