"""What is wrong with an operator's file: each fault with its line, its key and words that name it.
No I/O."""

from __future__ import annotations

import types
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Literal, Union, get_args, get_origin

from annotated_types import Ge, Gt, Le, Lt
from pydantic import BaseModel, ValidationError
from pydantic.fields import FieldInfo

Path = tuple[str | int, ...]
MAX_SHOWN = 80  # characters of a wrong value in a fault's words


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    line: int  # 0: of the file as a whole
    key: str
    words: str

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.key}: {self.words}" if self.key else f"{place}{self.words}"


class FileError(Exception):
    """A file that can't be used: all that is wrong with it, in the order of its lines."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        self.path = path
        self.problems = sorted(problems)
        super().__init__("\n".join(f"{path}: {problem}" for problem in self.problems))


def dotted(path: Path) -> str:
    """A path as people write it: `class[1].aim_ms`."""
    out = ""
    for part in path:
        out += f"[{part}]" if isinstance(part, int) else f".{part}" if out else str(part)
    return out


def problem(
    path: Path, words: str, lines: Mapping[Path, int], origins: Mapping[Path, str]
) -> Problem:
    """A fault at the nearest place above it that has a line, or by the variable that set it."""
    if (variable := origins.get(path)) is not None:
        return Problem(0, dotted(path), f"{words} (set by {variable})")
    line, near = 0, path
    while near and not line:
        line, near = lines.get(near, 0), near[:-1]
    return Problem(line, dotted(path), words)


def fields_of(model: type[BaseModel]) -> dict[str, FieldInfo]:
    """The fields of a model by the names that they have in a file."""
    return {info.alias or name: info for name, info in model.model_fields.items()}


def below(annotation: Any) -> type[BaseModel] | None:
    """The model of the tables that a field holds: one, one that may be missing, or an array of
    them."""
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
    """Whether a field holds an array of tables."""
    if get_origin(annotation) in (Union, types.UnionType) or hasattr(annotation, "__metadata__"):
        return any(many(argument) for argument in get_args(annotation))
    return get_origin(annotation) is tuple and below(annotation) is not None


def find(model: type[BaseModel], path: Path) -> tuple[type[BaseModel], FieldInfo | None]:
    """The model that a path ends in, and the field that it ends at, where there is one."""
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
BOUNDS = {"greater_than_equal", "less_than_equal", "greater_than", "less_than"}


def of_model(error: ValidationError, model: type[BaseModel]) -> Iterable[tuple[Path, str]]:
    """The faults that a model found, in our words: where, and what."""
    for item in error.errors(include_url=False):
        path, kind, value = _place(model, tuple(item["loc"])), item["type"], item["input"]
        holder, info = find(model, path)
        about = f"; it is {info.description}" if info is not None and info.description else ""
        if kind == "extra_forbidden":
            # The model that does not know the key is the one that holds it.
            known = ", ".join(sorted(fields_of(_holder(model, path))))
            yield path, f"is not known here; known are {known}"
        elif kind == "missing":
            words = (info.description if info is not None else None) or (
                holder.__doc__ or ""
            ).strip()
            if info is not None and below(info.annotation) is not None:
                yield path, f"is missing: {words}"
            else:
                yield path[:-1], f"{path[-1]} is missing: {words}"
        elif kind in BOUNDS and info is not None:
            yield path, f"{_shown(value)} is not within {_bounds(info)}{about}"
        elif kind == "literal_error" and info is not None:
            choices = ", ".join(choices_of(info.annotation))
            yield path, f"{_shown(value)} is none of {choices}{about}"
        elif kind in ("model_type", "model_attributes_type", "dict_type"):
            yield path, "is no table"
        elif kind == "tuple_type" and info is not None and below(info.annotation) is not None:
            yield path, "is no array of tables ([[...]])"
        elif kind in KINDS:
            yield path, f"{_shown(value)} {KINDS[kind]}{about}"
        elif kind == "value_error":
            yield path, f"{item['ctx']['error']}{about}"
        else:
            yield path, f"{item['msg']}{about}"


def _place(model: type[BaseModel], path: Path) -> Path:
    """Where a fault is named: what stands in a plain array is named by the array's key."""
    _, info = find(model, path)
    if path and isinstance(path[-1], int) and (info is None or below(info.annotation) is None):
        return path[:-1]
    return path


def _holder(model: type[BaseModel], path: Path) -> type[BaseModel]:
    """The model of the table in which the last key of a path stands."""
    _, info = find(model, path[:-1])
    found = below(info.annotation) if info is not None else None
    return found or model


def choices_of(annotation: Any) -> list[str]:
    """The words that a setting may be, where it is one of a few."""
    if get_origin(annotation) is Literal:
        return [str(choice) for choice in get_args(annotation)]
    return [choice for argument in get_args(annotation) for choice in choices_of(argument)]
