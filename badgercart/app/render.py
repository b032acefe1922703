"""The settings' models as JSON Schema, as tables of Markdown and as TOML with defaults."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from annotated_types import Ge, Le
from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from badgercart.app import document
from badgercart.app.errors import NoSuchEventError, NoSuchTableError, UnknownMarkError
from badgercart.app.faults import (
    Path,
    choices_of,
    description_of,
    dotted,
    fields_of,
    holds_table_array,
    table_model,
)
from badgercart.app.file import describe, root_model
from badgercart.app.locate import lines_of
from badgercart.app.model import SCHEMA_NAME
from badgercart.app.registry import declarations, load_events
from badgercart.core.log_events import LOG_EVENTS

SCHEMA = "https://json-schema.org/draft/2020-12/schema"


def json_schema() -> dict[str, Any]:
    """Return the JSON Schema of an operator's file."""
    schema = root_model(declarations()).model_json_schema(by_alias=True)
    schema.pop(SCHEMA_NAME)
    names = {key: definition.pop(SCHEMA_NAME) for key, definition in schema["$defs"].items()}
    schema["$defs"] = {
        names[key]: schema["$defs"][key] for key in sorted(names, key=names.__getitem__)
    }
    renamed: dict[str, Any] = _renamed(schema, names)
    return {"$schema": SCHEMA} | renamed


def _renamed(value: Any, names: Mapping[str, str]) -> Any:
    """Return a schema whose references follow the literal names of its definitions."""
    if isinstance(value, list):
        return [_renamed(item, names) for item in value]
    if not isinstance(value, dict):
        return value
    found = {key: _renamed(item, names) for key, item in value.items()}
    if "$ref" in found:
        prefix, _, key = found["$ref"].rpartition("/")
        found["$ref"] = f"{prefix}/{names[key]}"
    return found


def effective(path: str, environ: Mapping[str, str]) -> list[tuple[str, Any, str]]:
    """Return each setting in force: its key, its value, and where it came from.

    Raises:
        SettingsFileError: the file is invalid.
    """
    read = document.read(path, environ)
    _, root = describe(read)
    lines = lines_of(read.text)
    rows = []
    for place, value in _leaves(root.model_dump(mode="json", by_alias=True), ()):
        rows.append((dotted(place), value, _origin(place, read, lines)))
    return rows


def _leaves(value: Any, path: Path) -> Iterator[tuple[Path, Any]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _leaves(item, (*path, key))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for index, item in enumerate(value):
            yield from _leaves(item, (*path, index))
    elif value is not None or len(path) > 1:
        yield path, value


def _origin(path: Path, read: document.Document, lines: Mapping[Path, int]) -> str:
    """Return where a value was set: a variable, a line or the default.

    The values of an inline table have one line.
    """
    for length in range(len(path), 0, -1):
        if (variable := read.origins.get(path[:length])) is not None:
            return variable
    written: Any = read.raw
    for part in path:
        try:
            written = written[part]
        except (KeyError, IndexError, TypeError):
            return "default"
    for length in range(len(path), 0, -1):
        if (line := lines.get(path[:length])) is not None:
            return f"line {line}"
    return "default"


# Values and types as operators read them.


def _default(info: FieldInfo) -> Any:
    value = info.get_default(call_default_factory=True)
    return None if value is PydanticUndefined else value


def _toml(value: Any) -> str:
    if isinstance(value, tuple) and len(value) == 2 and isinstance(value[1], int):
        return json.dumps(f"{value[0]}:{value[1]}")
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_toml, value)) + "]"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return json.dumps(value)


UNITS = re.compile(r"\((ms|s|bytes)\)")
SUFFIXES = {"_ms": "ms", "_s": "s", "_bytes": "bytes"}


def _kind(name: str, info: FieldInfo) -> str:
    """Return a setting's unit, or what kind of value it is."""
    if (match := UNITS.search(info.description or "")) is not None:
        return match[1]
    for suffix, unit in SUFFIXES.items():
        if name.endswith(suffix):
            return unit
    found = choices_of(info.annotation)
    if found:
        return ", ".join(f"`{choice}`" for choice in found)
    types = str(info.annotation) + str(info.metadata)
    if "host:port" in (info.description or ""):
        return "host:port"
    for word, kind in (("bool", "flag"), ("tuple", "list"), ("int", "count"), ("float", "number")):
        if word in types:
            return kind
    return "text"


def _range(info: FieldInfo) -> str:
    low = [item.ge for item in info.metadata if isinstance(item, Ge)]
    high = [item.le for item in info.metadata if isinstance(item, Le)]
    if not low or not high:
        return ""
    return f"{_number(low[0])} to {_number(high[0])}"


def _number(value: Any) -> str:
    return str(int(value)) if float(value).is_integer() and abs(value) < 1e9 else f"{value:g}"


def settings_table(model: type[BaseModel]) -> str:
    """Return the settings of a model and of the tables below it, as a table of Markdown."""
    rows = ["| key | unit or kind | default | range | |", "| --- | --- | --- | --- | --- |"]
    rows += _table_rows(model, "")
    return "\n".join(rows)


def _table_rows(model: type[BaseModel], prefix: str) -> Iterator[str]:
    inner = []
    for name, info in fields_of(model).items():
        lower = table_model(info.annotation)
        if lower is not None:
            inner.append((f"{prefix}{name}.", lower))
            continue
        value = _default(info)
        shown = (
            "required" if info.is_required() else "none" if value is None else f"`{_toml(value)}`"
        )
        cells = (
            f"`{prefix}{name}`",
            _kind(name, info),
            shown,
            _range(info),
            info.description or "",
        )
        yield "| " + " | ".join(cells) + " |"
    for deeper, lower in inner:
        yield from _table_rows(lower, deeper)


def default_table(name: str) -> str:
    """Return a commented table with every default.

    Raises:
        NoSuchTableError: there is no table of this name.
    """
    for header, model, several in _tables():
        if name in (header, header.rpartition(".")[2]):
            return "\n".join(_default_lines(header, model, several))
    known = ", ".join(header.rpartition(".")[2] for header, _, _ in _tables())
    raise NoSuchTableError(name, known)


def _tables() -> Iterator[tuple[str, type[BaseModel], bool]]:
    """Yield every table of a file: its header, its model, whether it is an array."""
    root = root_model(declarations())
    parts = {".".join(part.key) for part in declarations()}
    groups = {key.partition(".")[0] for key in parts if "." in key}
    for name, info in fields_of(root).items():
        model = table_model(info.annotation)
        assert model is not None
        if name not in groups:
            yield name, model, holds_table_array(info.annotation)
            continue
        for key, inner in fields_of(model).items():
            if (lower := table_model(inner.annotation)) is not None:
                yield f"{name}.{key}", lower, holds_table_array(inner.annotation)


def _default_lines(header: str, model: type[BaseModel], several: bool) -> Iterator[str]:
    yield f"[[{header}]]" if several else f"[{header}]"
    if words := description_of(model):
        yield f"# {words}"
    inner = []
    for name, info in fields_of(model).items():
        lower = table_model(info.annotation)
        if lower is not None:
            inner.append((name, lower, holds_table_array(info.annotation)))
            continue
        limits = _range(info)
        yield f"# {info.description or name}{f' [{limits}]' if limits else ''}"
        value = _default(info)
        if info.is_required():
            yield f"# {name} = …  # required"
        elif value is None:
            yield f"# {name} = …"
        else:
            yield f"{name} = {_toml(value)}"
    for name, lower, array in inner:
        yield ""
        yield from _default_lines(f"{header}.{name}", lower, array)


# The operators' pages.


def _settings(name: str) -> str:
    for header, model, _ in _tables():
        if header == name:
            return settings_table(model)
    raise NoSuchTableError(name)


def _events(prefixes: str) -> str:
    """Return the table of log events of these subsystems, in the order of their names."""
    load_events()
    wanted = tuple(f"{prefix.strip()}." for prefix in prefixes.split(","))
    found = [event for name, event in sorted(LOG_EVENTS.items()) if name.startswith(wanted)]
    if not found:
        raise NoSuchEventError(prefixes)
    rows = ["| event | level | message | meaning and remedy |", "| --- | --- | --- | --- |"]
    for event in found:
        words = re.sub(r"%\((\w+)\)[sd]", r"<\1>", event.words)
        level = logging.getLevelName(event.level).lower()
        rows.append(f"| `{event.name}` | {level} | `{words}` | {event.meaning} |")
    return "\n".join(rows)


# How the content of each kind of mark is made.
RENDERERS: dict[str, Callable[[str], str]] = {"settings": _settings, "events": _events}
MARK = re.compile(r"<!-- (\w+): ([\w., ]+) -->\n.*?<!-- end -->", re.DOTALL)


def page(text: str) -> str:
    """Return a page with the tables between its marks written anew.

    Raises:
        LookupError: a mark has an unknown kind or name.
    """

    def renewed(match: re.Match[str]) -> str:
        kind, name = match[1], match[2]
        if kind not in RENDERERS:
            raise UnknownMarkError(kind, ", ".join(RENDERERS))
        return f"<!-- {kind}: {name} -->\n{RENDERERS[kind](name)}\n<!-- end -->"

    return MARK.sub(renewed, text)
