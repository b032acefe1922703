"""What settings' models have in common: strict tables, and the kinds of values that TOML has no
word for.

Why pydantic: it tells all faults of a file at once with their places, keeps bounds and descriptions
on the fields, and makes JSON Schema of the same models.
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

from badgercart.config import Address as Pair
from badgercart.config import parse_address

SCHEMA_NAME = "x-schema-name"  # the mark of a definition that carries its literal name
LONG = 3_600_000.0  # ms; nothing that is set here lasts longer than an hour
TOKEN = r"^[A-Za-z0-9!#$%&'*+\-.^_`|~]+$"  # RFC 9110, section 5.6.2

T = TypeVar("T")


class Table(BaseModel):
    """One table of an operator's file: unknown keys are faults, and nothing is turned into another
    type."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False, hide_input_in_errors=True
    )
    schema_name: ClassVar[str] = ""  # its key in the JSON Schema, where that is not its title

    def __init_subclass__(cls, schema_name: str = "", **config: Any) -> None:
        """Keep the literal names of a table, so that its class may be called otherwise."""
        super().__init_subclass__(**config)
        cls.schema_name = schema_name

    @classmethod
    def __get_pydantic_json_schema__(
        cls, core_schema: CoreSchema, handler: GetJsonSchemaHandler
    ) -> JsonSchemaValue:
        """Mark a table that has a literal name in the schema with it; `render` takes the mark
        away."""
        found = handler.resolve_ref_schema(handler(core_schema))
        found[SCHEMA_NAME] = cls.schema_name or cls.model_config.get("title", cls.__name__)
        return found


def _name(value: Any) -> Any:
    if isinstance(value, str) and (not value.strip() or "\n" in value):
        raise ValueError(f"{value!r} is no name of one line")
    return value


def _address(value: Any) -> Any:
    if isinstance(value, tuple):
        return value
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no host:port")
    return parse_address(value)


def _listed(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def _different(value: tuple[T, ...]) -> tuple[T, ...]:
    if len(set(value)) != len(value):
        raise ValueError(f"{list(value)!r} is no list of different names")
    return value


def _some(value: tuple[T, ...]) -> tuple[T, ...]:
    if not value:
        raise ValueError("[] is an empty list")
    return value


def _header(value: Any) -> Any:
    return value.lower() if isinstance(value, str) else value


def _worded(pair: Pair) -> str:
    return f"{pair[0]}:{pair[1]}"


Name = Annotated[str, AfterValidator(_name)]
Address = Annotated[
    Pair,
    BeforeValidator(_address),
    PlainSerializer(_worded),
    WithJsonSchema({"type": "string", "pattern": r"^.+:\d{1,5}$", "title": "host:port"}),
]
Header = Annotated[str, BeforeValidator(_header), Field(pattern=TOKEN)]
# TOML has arrays; what is read is not changed afterwards.
Listed = BeforeValidator(_listed)
Addresses = Annotated[tuple[Address, ...], Listed, AfterValidator(_some), Strict(False)]
Names = Annotated[tuple[Name, ...], Listed, AfterValidator(_different)]
Headers = Annotated[tuple[Header, ...], Listed, AfterValidator(_some)]
