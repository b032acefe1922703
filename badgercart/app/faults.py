"""What is wrong with an operator's file: faults with line, key and message. No I/O."""

from __future__ import annotations

import types
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Literal, Union, get_args, get_origin

from annotated_types import Ge, Gt, Le, Lt
from pydantic import BaseModel, ValidationError
from pydantic.fields import FieldInfo

from badgercart.app.errors import AppError
from badgercart.app.model import Table

Path = tuple[str | int, ...]
Fault = tuple[Path, str]  # where, and what is wrong
MAX_SHOWN = 80  # characters of a wrong value in a fault's words


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    """One fault of a file."""

    line: int  # 0: of the file as a whole
    key: str
    words: str

    def __str__(self) -> str:
        """Return the fault as operators see it."""
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.key}: {self.words}" if self.key else f"{place}{self.words}"


class SettingsFileError(AppError):
    """A file that can't be used."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        """Keep all that is wrong with it, in the order of its lines."""
        self.path = path
        self.problems = sorted(problems)
        super().__init__("\n".join(f"{path}: {problem}" for problem in self.problems))


def dotted(path: Path) -> str:
    """Return a path as people write it: `class[1].aim_ms`."""
    out = ""
    for part in path:
        out += f"[{part}]" if isinstance(part, int) else f".{part}" if out else str(part)
    return out


def problem(
    path: Path, words: str, lines: Mapping[Path, int], origins: Mapping[Path, str]
) -> Problem:
    """Return a fault with the nearest line at or above its place, or the variable that set it."""
    if (variable := origins.get(path)) is not None:
        return Problem(0, dotted(path), f"{words} (set by {variable})")
    line, near = 0, path
    while near and not line:
        line, near = lines.get(near, 0), near[:-1]
    return Problem(line, dotted(path), words)


def description_of(model: type[BaseModel]) -> str:
    """Return what a table is, for operators."""
    if issubclass(model, Table):
        return model.table_about
    return (model.__doc__ or "").strip()


def fields_of(model: type[BaseModel]) -> dict[str, FieldInfo]:
    """Return the fields of a model by the names that they have in a file."""
    return {info.alias or name: info for name, info in model.model_fields.items()}


def below(annotation: Any) -> type[BaseModel] | None:
    """Return the model of the tables that a field holds, or None.

    The field may hold one table, one that may be missing, or an array of them.
    """
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    if get_origin(annotation) in (Union, types.UnionType, tuple) or hasattr(
        annotation, "__metadata__"
    ):
        for argument in get_args(annotation):
            if (found := below(argument)) is not None:
                return found
    return None


def many(annotation: Any) -> bool:
    """Return whether a field holds an array of tables."""
    if get_origin(annotation) in (Union, types.UnionType) or hasattr(annotation, "__metadata__"):
        return any(many(argument) for argument in get_args(annotation))
    return get_origin(annotation) is tuple and below(annotation) is not None


def find(model: type[BaseModel], path: Path) -> tuple[type[BaseModel], FieldInfo | None]:
    """Return the model that a path ends in, and the field that it ends at, if there is one."""
    info: FieldInfo | None = None
    for part in path:
        if isinstance(part, int):
            continue
        if info is not None and (next_model := below(info.annotation)) is not None:
            model = next_model
        info = fields_of(model).get(part)
        if info is None:
            break
    return model, info


def _bounds(info: FieldInfo) -> str:
    low = next(
        (m.ge if isinstance(m, Ge) else m.gt for m in info.metadata if isinstance(m, Ge | Gt)), ""
    )
    high = next(
        (m.le if isinstance(m, Le) else m.lt for m in info.metadata if isinstance(m, Le | Lt)), ""
    )
    show = [f"{bound:g}" if isinstance(bound, float) else str(bound) for bound in (low, high)]
    if isinstance(high, int) and not isinstance(high, bool) and info.annotation is float:
        show[1] = f"{high:g}"
    return " to ".join(show)


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}…"


KINDS = {
    "float_type": "is no number",
    "finite_number": "is no number",
    "int_type": "is no whole number",
    "bool_type": "is neither true nor false",
    "string_type": "is no name of one line",
    "string_pattern_mismatch": "is no header name",
    "tuple_type": "is no list",
}
NO_TABLE = {"model_type", "model_attributes_type", "dict_type"}
BOUNDS = {"greater_than_equal", "less_than_equal", "greater_than", "less_than"}


@dataclass(slots=True, frozen=True)
class _ModelFault:
    """A fault as pydantic found it, with the model and field that it concerns."""

    path: Path
    kind: str  # pydantic's name of it
    value: Any
    message: str  # pydantic's words
    context: Mapping[str, Any]
    holder: type[BaseModel]
    info: FieldInfo | None

    @property
    def about(self) -> str:
        """What the field is, as the end of a message."""
        described = self.info is not None and self.info.description
        return f"; it is {described}" if described else ""


def of_model(error: ValidationError, model: type[BaseModel]) -> Iterable[Fault]:
    """Yield the faults that a model found: where, and the message that operators see."""
    for item in error.errors(include_url=False):
        path = _place(model, tuple(item["loc"]))
        holder, info = find(model, path)
        context = item.get("ctx", {})
        fault = _ModelFault(path, item["type"], item["input"], item["msg"], context, holder, info)
        yield _worded(fault, model)


def _worded(fault: _ModelFault, model: type[BaseModel]) -> Fault:
    """Return the place and message of a fault."""
    if fault.kind == "extra_forbidden":
        # The model that does not know the key is the one that holds it.
        known = ", ".join(sorted(fields_of(_holder(model, fault.path))))
        return fault.path, f"is not known here; known are {known}"
    if fault.kind == "missing":
        return _missing(fault)
    if fault.kind in NO_TABLE:
        return fault.path, "is no table"
    if fault.info is not None and fault.kind in BOUNDS:
        words = f"is not within {_bounds(fault.info)}"
        return fault.path, f"{_shown(fault.value)} {words}{fault.about}"
    if fault.info is not None and fault.kind == "literal_error":
        choices = ", ".join(choices_of(fault.info.annotation))
        return fault.path, f"{_shown(fault.value)} is none of {choices}{fault.about}"
    return fault.path, _wrong_type(fault)


def _missing(fault: _ModelFault) -> Fault:
    words = (fault.info.description if fault.info is not None else None) or description_of(
        fault.holder
    )
    if fault.info is not None and below(fault.info.annotation) is not None:
        return fault.path, f"is missing: {words}"
    return fault.path[:-1], f"{fault.path[-1]} is missing: {words}"


def _wrong_type(fault: _ModelFault) -> str:
    """Return the message for a value of a wrong type, or one that a validator rejected."""
    holds_tables = fault.info is not None and below(fault.info.annotation) is not None
    if fault.kind == "tuple_type" and holds_tables:
        return "is no array of tables ([[...]])"
    if fault.kind in KINDS:
        return f"{_shown(fault.value)} {KINDS[fault.kind]}{fault.about}"
    if fault.kind == "value_error":
        return f"{fault.context['error']}{fault.about}"
    return f"{fault.message}{fault.about}"


def _place(model: type[BaseModel], path: Path) -> Path:
    """Return where a fault is named: what stands in a plain array is named by the array's key."""
    _, info = find(model, path)
    if path and isinstance(path[-1], int) and (info is None or below(info.annotation) is None):
        return path[:-1]
    return path


def _holder(model: type[BaseModel], path: Path) -> type[BaseModel]:
    """Return the model of the table in which the last key of a path stands."""
    _, info = find(model, path[:-1])
    found = below(info.annotation) if info is not None else None
    return found or model


def choices_of(annotation: Any) -> list[str]:
    """Return the words that a setting may be, where it is one of a few."""
    if get_origin(annotation) is Literal:
        return [str(choice) for choice in get_args(annotation)]
    return [choice for argument in get_args(annotation) for choice in choices_of(argument)]
