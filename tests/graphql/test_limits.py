"""Documents that cost more than they may, and what replies of servers mean."""

from __future__ import annotations

import json
import time
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.frontends.graphql.limits import (
    DocumentLimitError,
    DocumentSyntaxError,
    read_document,
)
from badgercart.frontends.graphql.outcomes import FAULT, TIMED_OUT, TURNED_AWAY, read_reply
from badgercart.frontends.graphql.settings import DocumentLimits
from badgercart.policy.events import AttemptResult

WIDE = DocumentLimits(document=1 << 20, tokens=100_000)


@pytest.mark.parametrize(
    ("text", "limits", "words"),
    [
        ("{ a }" + " " * 20000, DocumentLimits(), "over 16384 bytes"),
        ("{ " + "a " * 3000 + "}", DocumentLimits(), "over 2000 tokens"),
        ("{ " + " ".join(f"a{i}: a" for i in range(40)) + " }", DocumentLimits(), "over 30 aliases"),
        ("{ " + " ".join(f"a{i}: a" for i in range(9000)) + " }", WIDE, "over 30 aliases"),
        ("{a" * 2000 + "}" * 2000, WIDE, "nested over 200 deep"),
        ("{a" * 20 + "}" * 20, DocumentLimits(), "over 15 levels"),
        ("{ " + " ".join(f"f{i}" for i in range(21)) + " }", DocumentLimits(), "over 20 root fields"),
        ("{ a" + " @x" * 51 + " }", DocumentLimits(), "over 50 directives"),
        ("{ ...A } fragment A on Q { ...B } fragment B on Q { ...A }", DocumentLimits(), "in a circle"),
        ("{ ...A } fragment A on Q { ...A }", DocumentLimits(), "in a circle"),
        ("{ ...A } fragment A on Q { " + "{a" * 0 + "a { ...B } } fragment B on Q " + "{a" * 15 + "}" * 15,
         DocumentLimits(), "over 15 levels"),
        ("query { ...A ...A ...A } fragment A on Q { " + " ".join(f"f{i}" for i in range(8)) + " }", DocumentLimits(),
         "over 20 root fields"),
        ("(" * 5000, WIDE, "nested over 200 deep"),
        ("[" * 300 + "]" * 300, WIDE, "nested over 200 deep"),
    ],
)  # fmt: skip
def test_each_limit_is_told(text: str, limits: DocumentLimits, words: str) -> None:
    with pytest.raises(DocumentLimitError, match=words):
        read_document(text, limits)


def test_fragments_that_double_are_counted_and_not_unrolled() -> None:
    # 60 fragments, each spread twice by the one before: 2**60 fields if they were written out.
    text = "{ ...F0 } " + " ".join(
        f"fragment F{i} on Q {{ a{i} ...F{i + 1} b {{ ...F{i + 1} }} }}" for i in range(60)
    )
    began = time.process_time()
    with pytest.raises(DocumentLimitError):
        read_document(text + " fragment F60 on Q { x }", WIDE)
    assert time.process_time() - began < 5  # it would never end


@pytest.mark.parametrize("text", ["", "{", "{ a(", "query", "{ a } }", "\0", "{ \ud800 }"])
def test_what_is_no_document_is_told_with_its_place(text: str) -> None:
    with pytest.raises(DocumentSyntaxError) as caught:
        read_document(text, DocumentLimits())
    assert caught.value.locations and str(caught.value)


@given(st.text(alphabet="{}()[]@$:!.|&\"'ab1 \n#\\", max_size=200))
def test_any_text_is_read_or_refused(text: str) -> None:
    with suppress(DocumentLimitError, DocumentSyntaxError):
        read_document(text, DocumentLimits())


def reply(status: int = 200, **body: Any) -> Any:
    return read_reply(status, False, json.dumps(body).encode(), {"a", "b"})


GOOD = {"a": 1, "b": None}


def error(code: str | None) -> dict[str, Any]:
    return {"message": "m"} | ({"extensions": {"code": code}} if code else {})


@pytest.mark.parametrize(
    ("told", "result", "final"),
    [
        (reply(data=GOOD), AttemptResult.OK, True),
        (reply(data=GOOD, errors=[error(None)]), AttemptResult.ERROR, False),
        (reply(data=None, errors=[error("SOMETHING_NEW")]), AttemptResult.ERROR, False),
        (reply(data=None, errors=[error("QUEUE_FULL")]), AttemptResult.FULL, False),
        (reply(errors=[error("NOT_STARTED")]), AttemptResult.FULL, False),
        (
            reply(data=GOOD, errors=[error("QUEUE_FULL")]),
            AttemptResult.ERROR,
            False,
        ),  # with data it did run
        (reply(errors=[error("QUEUE_FULL"), error(None)]), AttemptResult.ERROR, False),
        (reply(errors=[error("TIMEOUT")]), AttemptResult.TIMEOUT, False),
        (
            reply(errors=[error("FORBIDDEN"), error("BAD_USER_INPUT")]),
            AttemptResult.CANCELLED,
            True,
        ),
        (
            reply(errors=[error("FORBIDDEN"), error("INTERNAL_SERVER_ERROR")]),
            AttemptResult.ERROR,
            False,
        ),
        (reply(400, errors=[error("GRAPHQL_VALIDATION_FAILED")]), AttemptResult.CANCELLED, True),
        (reply(500, data=GOOD), AttemptResult.ERROR, False),
        (reply(data={"a": 1}), AttemptResult.ERROR, False),  # one is missing
        (reply(data=GOOD | {"c": 1}), AttemptResult.ERROR, False),  # one was not asked for
        (reply(data=[1]), AttemptResult.ERROR, False),
        (reply(data=None), AttemptResult.ERROR, False),
        (reply(), AttemptResult.ERROR, False),
        (reply(data=GOOD, errors=[]), AttemptResult.ERROR, False),
        (reply(data=GOOD, errors=["x"]), AttemptResult.ERROR, False),
        (read_reply(200, False, b"[" * 99999, {"a"}), AttemptResult.ERROR, False),
        (read_reply(200, False, b"", {"a"}), AttemptResult.ERROR, False),
        (read_reply(404, False, b"no", {"a"}), AttemptResult.CANCELLED, True),
        (read_reply(429, False, b"no", {"a"}), AttemptResult.ERROR, False),
        (read_reply(503, True, b"", {"a"}), AttemptResult.FULL, False),
        (read_reply(503, False, b"", {"a"}), AttemptResult.ERROR, False),
    ],
)
def test_what_a_reply_means(told: Any, result: AttemptResult, final: bool) -> None:
    assert (told.result, told.final) == (result, final)


def test_the_words_of_the_table_do_not_overlap() -> None:
    assert not FAULT & TURNED_AWAY and not FAULT & TIMED_OUT and not TURNED_AWAY & TIMED_OUT
