"""Parsing lists from the bytes of a watch: in every layout, split and truncated at any place."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.discovery import list_framing
from badgercart.discovery.list_framing import ListFramingError, ListParser

# Texts with the characters that framing has to tell from its own.
texts = st.text(
    st.characters(codec="utf-8", exclude_categories=("Cs",)), max_size=8
) | st.sampled_from(['"', "\\", '{"', "]}", "\n", '\\"{', "generation"])
entries = st.fixed_dictionaries({"instanceId": texts, "zone": texts, "cell": st.integers(0, 9)})
endpoint_lists = st.fixed_dictionaries(
    {
        "generation": st.integers(0, 99),
        "reset": st.booleans(),
        "instances": st.lists(entries, max_size=3),
    }
)
indents = st.sampled_from([None, 0, 1, 4, "\t"])
# Items of a stream: a list, or None for a heartbeat; its indent; its line ends.
streams = st.lists(
    st.tuples(st.none() | endpoint_lists, indents, st.sampled_from(["\n", "\r\n"])), max_size=5
)


def encode(items: list[tuple[Any, Any, str]]) -> bytes:
    """Return the bytes of a stream."""
    documents = [
        "" if item is None else json.dumps(item, indent=indent) for item, indent, _ in items
    ]
    return "".join(
        document.replace("\n", line_end) + line_end
        for document, (_, _, line_end) in zip(documents, items, strict=True)
    ).encode()


def split(data: bytes, positions: list[int]) -> list[bytes]:
    """Split bytes at these positions, taken modulo the length."""
    edges = sorted({0, len(data), *(position % (len(data) + 1) for position in positions)})
    return [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]


@given(streams, st.lists(st.integers(0, 9999), max_size=6))
def test_lists_and_heartbeats_are_parsed_in_order_however_they_are_split(
    items: list[tuple[Any, Any, str]], positions: list[int]
) -> None:
    """Check that a stream split at any positions yields its lists and heartbeats in order."""
    parser = ListParser()
    parsed = [item for chunk in split(encode(items), positions) for item in parser.feed(chunk)]
    assert parsed == [item for item, _, _ in items]
    assert not parser.partial and parser.end() == []


@given(endpoint_lists, indents, st.integers(1, 9999), st.none() | endpoint_lists)
def test_a_truncated_list_is_discarded_and_detected_by_what_follows(
    truncated: Any, indent: Any, position: int, following: Any
) -> None:
    """Check that a truncated list yields nothing and raises with what follows or at the end."""
    data = json.dumps(truncated, indent=indent).encode()
    parser = ListParser()
    start = data[: 1 + position % (len(data) - 1)].rstrip()
    assert parser.feed(start) == [] and parser.partial
    with pytest.raises(ListFramingError):
        parser.feed(b"\n" + (b"" if following is None else json.dumps(following).encode()) + b"\n")
        parser.end()


def test_the_last_line_needs_no_line_break_and_limits_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check the end of a stream, the size limit of a list, and the rejection of invalid text."""
    parser = ListParser()
    assert parser.feed(b'{"generation": 1}') == [] and parser.end() == [{"generation": 1}]
    monkeypatch.setattr(list_framing, "MAX_LIST_BYTES", 1000)
    for data in (b'{"a": "' + b"x" * 2000, b"{\n" + b'"a": 1,\n' * 500):
        with pytest.raises(ListFramingError, match="over 1000 bytes"):
            ListParser().feed(data)
    for data in (b"[1]\n", b"7\n", b'{"a": 1}}\n', b"{]\n", b'{"a": 1} {"b": 2}\n', b"\xff{}\n"):
        with pytest.raises(ListFramingError):
            ListParser().feed(data)
