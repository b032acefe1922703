"""Lists out of the bytes of a watch: in every form, in any pieces, cut at any place."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.discovery import list_framing as texts
from badgercart.discovery.list_framing import ListFramingError, ListParser

words = st.text(
    st.characters(codec="utf-8", exclude_categories=("Cs",)), max_size=8
) | st.sampled_from(['"', "\\", '{"', "]}", "\n", '\\"{', "generation"])
line = st.fixed_dictionaries({"instanceId": words, "zone": words, "cell": st.integers(0, 9)})
told = st.fixed_dictionaries(
    {
        "generation": st.integers(0, 99),
        "reset": st.booleans(),
        "instances": st.lists(line, max_size=3),
    }
)
indents = st.sampled_from([None, 0, 1, 4, "\t"])
sent = st.lists(st.tuples(st.none() | told, indents, st.sampled_from(["\n", "\r\n"])), max_size=5)


def wire(items: list[tuple[Any, Any, str]]) -> bytes:
    texts = ["" if what is None else json.dumps(what, indent=indent) for what, indent, _ in items]
    return "".join(
        text.replace("\n", end) + end for text, (_, _, end) in zip(texts, items, strict=True)
    ).encode()


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(sent, st.lists(st.integers(0, 9999), max_size=6))
def test_lists_and_signs_of_life_come_out_in_order_however_they_are_cut(
    items: list[tuple[Any, Any, str]], cuts: list[int]
) -> None:
    machine = ListParser()
    found = [what for piece in pieces(wire(items), cuts) for what in machine.feed(piece)]
    assert found == [what for what, _, _ in items]
    assert not machine.partial and machine.end() == []


@given(told, indents, st.integers(1, 9999), st.none() | told)
def test_of_a_list_that_is_cut_nothing_is_taken_and_what_follows_tells(
    what: Any, indent: Any, cut: int, then: Any
) -> None:
    whole = json.dumps(what, indent=indent).encode()
    machine = ListParser()
    head = whole[: 1 + cut % (len(whole) - 1)].rstrip()
    assert machine.feed(head) == [] and machine.partial
    with pytest.raises(ListFramingError):
        machine.feed(b"\n" + (b"" if then is None else json.dumps(then).encode()) + b"\n")
        machine.end()


def test_the_last_line_needs_no_end_and_bounds_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    machine = ListParser()
    assert machine.feed(b'{"generation": 1}') == [] and machine.end() == [{"generation": 1}]
    monkeypatch.setattr(texts, "MAX_LIST_BYTES", 1000)
    for data in (b'{"a": "' + b"x" * 2000, b"{\n" + b'"a": 1,\n' * 500):
        with pytest.raises(ListFramingError, match="over 1000 bytes"):
            ListParser().feed(data)
    for data in (b"[1]\n", b"7\n", b'{"a": 1}}\n', b"{]\n", b'{"a": 1} {"b": 2}\n', b"\xff{}\n"):
        with pytest.raises(ListFramingError):
            ListParser().feed(data)
