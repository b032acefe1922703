"""The GraphQL front as a part of an installation."""

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
    """GraphQL clients and servers; its schema and map take a restart."""

    def __init__(self, host: ComponentHost, settings: GraphqlSettings) -> None:
        from badgercart.frontends.graphql.frontend import (
            GraphqlFrontend,
        )  # heavy: only where it is switched on

        self.front: GraphqlFrontend = GraphqlFrontend(
            host.config,
            settings,
            host.pipeline,
            host.endpoint_table,
            host.loop,
            host.share,
            host.others,
            FilePath(host.folder),
        )

        register_listener_metrics(host.metrics, "graphql", self.front.listener)

    async def start(self) -> None:
        self.front.start()

    def prepare(self, settings: GraphqlSettings) -> Callable[[], None] | None:
        """Nothing here changes without a restart."""
        return None

    async def drain(self, until: float) -> None:
        await self.front.drain(until)

    def close(self) -> None:
        self.front.close()


def check(settings: GraphqlSettings, file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """The map against the schema."""
    from badgercart.frontends.graphql.mapping import faults, read_schema

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
    places = {item.name: at for at, item in enumerate(settings.field)}
    if len(places) < len(settings.field):
        yield ("field",), "names a field twice"
    effects = {cls.name: Idempotency(cls.effect) for cls in file.base.class_}
    for name, key, words in faults(schema, settings.by_field, effects):
        place: Path = ("field", places[name]) if name else ("field",)
        yield (*place, key) if key else place, words


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
