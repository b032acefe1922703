"""Faults of an operator's file, with line, key and message.

This module does no I/O.
"""

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

# Place of a value in a file: keys, and indexes of arrays.
Path = tuple[str | int, ...]
# A place, and what is wrong there.
Fault = tuple[Path, str]
# Characters of an invalid value that a message shows.
MAX_SHOWN_CHARACTERS = 80


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    """One fault of a file."""

    # 0: the fault concerns the whole file.
    line: int
    key: str
    words: str

    def __str__(self) -> str:
        """Return the fault as operators see it."""
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.key}: {self.words}" if self.key else f"{place}{self.words}"


class SettingsFileError(AppError):
    """An invalid or unreadable settings file."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        """Keep all problems of the file, in the order of its lines."""
        self.path = path
        self.problems = sorted(problems)
        super().__init__("\n".join(f"{path}: {problem}" for problem in self.problems))


def dotted(path: Path) -> str:
    """Return a path as people write it: `class[1].aim_ms`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text


def problem(
    path: Path, words: str, lines: Mapping[Path, int], origins: Mapping[Path, str]
) -> Problem:
    """Return a fault with the nearest line at or above its place, or the variable that set it."""
    if (variable := origins.get(path)) is not None:
        return Problem(0, dotted(path), f"{words} (set by {variable})")
    line, nearest = 0, path
    while nearest and not line:
        line, nearest = lines.get(nearest, 0), nearest[:-1]
    return Problem(line, dotted(path), words)


def description_of(model: type[BaseModel]) -> str:
    """Return what a table is, for operators."""
    if issubclass(model, Table):
        return model.table_about
    return (model.__doc__ or "").strip()


def fields_of(model: type[BaseModel]) -> dict[str, FieldInfo]:
    """Return the fields of a model by the names that they have in a file."""
    return {info.alias or name: info for name, info in model.model_fields.items()}


def table_model(annotation: Any) -> type[BaseModel] | None:
    """Return the model of the tables that a field holds, or None.

    The field may hold one table, one that may be missing, or an array of them.
    """
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    if get_origin(annotation) in (Union, types.UnionType, tuple) or hasattr(
        annotation, "__metadata__"
    ):
        for argument in get_args(annotation):
            if (found := table_model(argument)) is not None:
                return found
    return None


def holds_table_array(annotation: Any) -> bool:
    """Return whether a field holds an array of tables."""
    if get_origin(annotation) in (Union, types.UnionType) or hasattr(annotation, "__metadata__"):
        return any(holds_table_array(argument) for argument in get_args(annotation))
    return get_origin(annotation) is tuple and table_model(annotation) is not None


def model_at(model: type[BaseModel], path: Path) -> tuple[type[BaseModel], FieldInfo | None]:
    """Return the model that a path ends in, and the field that it ends at, if there is one."""
    info: FieldInfo | None = None
    for part in path:
        if isinstance(part, int):
            continue
        if info is not None and (next_model := table_model(info.annotation)) is not None:
            model = next_model
        info = fields_of(model).get(part)
        if info is None:
            break
    return model, info


def _bounds(info: FieldInfo) -> str:
    low = next(
        (
            bound.ge if isinstance(bound, Ge) else bound.gt
            for bound in info.metadata
            if isinstance(bound, Ge | Gt)
        ),
        "",
    )
    high = next(
        (
            bound.le if isinstance(bound, Le) else bound.lt
            for bound in info.metadata
            if isinstance(bound, Le | Lt)
        ),
        "",
    )
    shown = [f"{bound:g}" if isinstance(bound, float) else str(bound) for bound in (low, high)]
    if isinstance(high, int) and not isinstance(high, bool) and info.annotation is float:
        shown[1] = f"{high:g}"
    return " to ".join(shown)


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else f"{text[:MAX_SHOWN_CHARACTERS]}…"


# Messages by pydantic's names of faults.
TYPE_MESSAGES = {
    "float_type": "is no number",
    "finite_number": "is no number",
    "int_type": "is no whole number",
    "bool_type": "is neither true nor false",
    "string_type": "is no name of one line",
    "string_pattern_mismatch": "is no header name",
    "tuple_type": "is no list",
}
# Pydantic's names of a value that is no table, and of one out of its bounds.
NO_TABLE_KINDS = {"model_type", "model_attributes_type", "dict_type"}
OUT_OF_BOUNDS_KINDS = {"greater_than_equal", "less_than_equal", "greater_than", "less_than"}


@dataclass(slots=True, frozen=True)
class _ModelFault:
    """A fault that pydantic found, with the model and field that it concerns."""

    path: Path
    # Pydantic's name and message of it.
    kind: str
    value: Any
    message: str
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
        holder, info = model_at(model, path)
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
    if fault.kind in NO_TABLE_KINDS:
        return fault.path, "is no table"
    if fault.info is not None and fault.kind in OUT_OF_BOUNDS_KINDS:
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
    if fault.info is not None and table_model(fault.info.annotation) is not None:
        return fault.path, f"is missing: {words}"
    return fault.path[:-1], f"{fault.path[-1]} is missing: {words}"


def _wrong_type(fault: _ModelFault) -> str:
    """Return the message for a value of a wrong type, or one that a validator rejected."""
    holds_tables = fault.info is not None and table_model(fault.info.annotation) is not None
    if fault.kind == "tuple_type" and holds_tables:
        return "is no array of tables ([[...]])"
    if fault.kind in TYPE_MESSAGES:
        return f"{_shown(fault.value)} {TYPE_MESSAGES[fault.kind]}{fault.about}"
    if fault.kind == "value_error":
        return f"{fault.context['error']}{fault.about}"
    return f"{fault.message}{fault.about}"


def _place(model: type[BaseModel], path: Path) -> Path:
    """Return the place that a fault is reported at; values of a plain array have the array's."""
    _, info = model_at(model, path)
    if (
        path
        and isinstance(path[-1], int)
        and (info is None or table_model(info.annotation) is None)
    ):
        return path[:-1]
    return path


def _holder(model: type[BaseModel], path: Path) -> type[BaseModel]:
    """Return the model of the table in which the last key of a path stands."""
    _, info = model_at(model, path[:-1])
    found = table_model(info.annotation) if info is not None else None
    return found or model


def choices_of(annotation: Any) -> list[str]:
    """Return the values that a setting may have, where there are a few."""
    if get_origin(annotation) is Literal:
        return [str(choice) for choice in get_args(annotation)]
    return [choice for argument in get_args(annotation) for choice in choices_of(argument)]
