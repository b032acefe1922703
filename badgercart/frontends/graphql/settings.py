"""Settings of the GraphQL frontend."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from badgercart.app.model import Address, Listed, Name, Table

# The largest value of each document limit, in the unit of that limit.
MAX_LIMIT = 1 << 20


class DocumentLimits(Table, title="Limits"):
    """what a document may cost; each limit is checked before the document is validated or planned"""

    document: int = Field(16384, ge=1, le=MAX_LIMIT, description="its size (bytes)")
    tokens: int = Field(2000, ge=1, le=MAX_LIMIT, description="its tokens")
    depth: int = Field(
        15, ge=1, le=MAX_LIMIT, description="levels of selections, through fragments"
    )
    aliases: int = Field(30, ge=1, le=MAX_LIMIT, description="aliases of one operation")
    root_fields: int = Field(
        20, ge=1, le=MAX_LIMIT, description="root fields of one operation, through fragments"
    )
    directives: int = Field(50, ge=1, le=MAX_LIMIT, description="directives of one operation")
    fields: int = Field(
        1000, ge=1, le=MAX_LIMIT, description="fields of one operation, through fragments"
    )
    variables: int = Field(
        65536, ge=1, le=MAX_LIMIT, description="the size of the variables (bytes)"
    )


class FieldMap(Table, title="FieldMap"):
    """a root field"""

    name: Name = Field(description="Query.name or Mutation.name")
    cls: Name = Field(alias="class", description="the class of its requests")
    affinity: Name | None = Field(None, description="the argument that says what it is about")
    key: Name | None = Field(None, description="the argument that holds its idempotency key")


class GraphqlSettings(Table, title="GraphqlSettings"):
    """a listener for GraphQL clients, in front of GraphQL dispatch servers"""

    listen: Address = Field(description="the host:port to listen on")
    schema_file: Name = Field(
        alias="schema", description="the file with the schema's definition (SDL)"
    )
    path: Annotated[Name, Field(pattern="^/")] = Field(
        "/graphql", description="the path of requests, here and at the servers"
    )
    allow_list: Name | None = Field(
        None, description="a JSON file of the only documents taken, by their SHA-256"
    )
    introspection: bool = Field(True, description="whether clients may read the schema")
    cache_bytes: int = Field(
        4 << 20, ge=0, le=1 << 30, description="what documents and plans may hold (bytes)"
    )
    limits: DocumentLimits = DocumentLimits()
    field: Annotated[tuple[FieldMap, ...], Listed] = Field(description="a root field")

    @property
    def by_field(self) -> dict[str, FieldMap]:
        """The entries by their names: `Query.name` or `Mutation.name`."""
        return {item.name: item for item in self.field}
