"""What an operator may set of the GraphQL front; `operator.file` has units and checks."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Limits:
    """What a document may cost. Each is checked before the document is validated or planned."""

    document: int = 16384  # bytes
    tokens: int = 2000
    depth: int = 15  # of selections, through fragments
    aliases: int = 30
    root_fields: int = 20  # of one operation, through fragments
    directives: int = 50
    fields: int = 1000  # of one operation, through fragments
    variables: int = 65536  # bytes of their JSON


@dataclass(slots=True, frozen=True)
class FieldMap:
    """What a root field is: `cls` by its name, and the arguments that hold its keys."""

    cls: str
    affinity: str | None = None  # the argument that says what it is about
    key: str | None = None  # the argument that holds its idempotency key


@dataclass(slots=True, frozen=True)
class GraphqlSettings:
    listen: tuple[str, int]
    schema: str  # the file with the schema's definition (SDL)
    path: str = "/graphql"
    allow_list: str | None = None  # a JSON file, documents by their SHA-256: with it nothing else is taken
    introspection: bool = True
    cache: int = 4 << 20  # bytes of documents whose plans are kept
    limits: Limits = field(default_factory=Limits)
    fields: dict[str, FieldMap] = field(default_factory=dict)  # by `Query.name` or `Mutation.name`
