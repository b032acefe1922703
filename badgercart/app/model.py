"""The base of all settings tables, and types of values that TOML does not have.

Pydantic was chosen since it reports all faults of a file at once with their places, keeps bounds
and descriptions on the fields, and makes JSON Schema of the same models.
"""

from __future__ import annotations

from typing import Annotated, Any, ClassVar, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    GetJsonSchemaHandler,
    PlainSerializer,
    Strict,
    WithJsonSchema,
)
from pydantic.json_schema import JsonSchemaValue
from pydantic_core import CoreSchema

from badgercart.app.errors import InvalidValueError
from badgercart.config import Address as HostAndPort
from badgercart.config import parse_address

# The key of a definition in the JSON Schema that holds its literal name.
SCHEMA_NAME = "x-schema-name"
# No duration that is set here is longer than an hour.
MAX_DURATION_MS = 3_600_000.0
# A token of RFC 9110, section 5.6.2.
TOKEN = r"^[A-Za-z0-9!#$%&'*+\-.^_`|~]+$"

T = TypeVar("T")


class Table(BaseModel):
    """A table of an operator's file.

    Unknown keys are faults, and no value is converted to another type.
    """

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False, hide_input_in_errors=True
    )
    # Its key in the JSON Schema, where that is not its title.
    schema_name: ClassVar[str] = ""
    # Its description for operators.
    table_about: ClassVar[str] = ""

    def __init_subclass__(cls, schema_name: str = "", about: str = "", **config: Any) -> None:
        """Separate what operators see of a table from its class's name and doc comment.

        Args:
            schema_name: key of the table in the JSON Schema, where that is not its title.
            about: what the table is, for operators; without it the doc comment says so.
            config: configuration of pydantic, among it the `title` in the JSON Schema.
        """
        super().__init_subclass__(**config)
        cls.schema_name = schema_name
        cls.table_about = about or (cls.__doc__ or "").strip()

    @classmethod
    def __get_pydantic_json_schema__(
        cls, core_schema: CoreSchema, handler: GetJsonSchemaHandler
    ) -> JsonSchemaValue:
        """Add the literal name to a definition; `render` removes it again."""
        definition = handler.resolve_ref_schema(handler(core_schema))
        definition[SCHEMA_NAME] = cls.schema_name or cls.model_config.get("title", cls.__name__)
        definition["description"] = cls.table_about
        return definition


def _name(value: Any) -> Any:
    if isinstance(value, str) and (not value.strip() or "\n" in value):
        raise InvalidValueError(value, "is no name of one line")
    return value


def _address(value: Any) -> Any:
    if isinstance(value, tuple):
        return value
    if not isinstance(value, str):
        raise InvalidValueError(value, "is no host:port")
    return parse_address(value)


def _listed(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def _distinct(value: tuple[T, ...]) -> tuple[T, ...]:
    if len(set(value)) != len(value):
        raise InvalidValueError(list(value), "is no list of different names")
    return value


def _not_empty(value: tuple[T, ...]) -> tuple[T, ...]:
    if not value:
        raise InvalidValueError([], "is an empty list")
    return value


def _header(value: Any) -> Any:
    return value.lower() if isinstance(value, str) else value


def _address_text(pair: HostAndPort) -> str:
    return f"{pair[0]}:{pair[1]}"


Name = Annotated[str, AfterValidator(_name)]
Address = Annotated[
    HostAndPort,
    BeforeValidator(_address),
    PlainSerializer(_address_text),
    WithJsonSchema({"type": "string", "pattern": r"^.+:\d{1,5}$", "title": "host:port"}),
]
Header = Annotated[str, BeforeValidator(_header), Field(pattern=TOKEN)]
# TOML has arrays; settings are immutable, so that they become tuples.
Listed = BeforeValidator(_listed)
Addresses = Annotated[tuple[Address, ...], Listed, AfterValidator(_not_empty), Strict(False)]
Names = Annotated[tuple[Name, ...], Listed, AfterValidator(_distinct)]
Headers = Annotated[tuple[Header, ...], Listed, AfterValidator(_not_empty)]
