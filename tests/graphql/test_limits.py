"""Document limits, and the classification of replies of dispatch servers."""

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
from badgercart.frontends.graphql.outcomes import (
    NOT_EXECUTED_CODES,
    REQUEST_ERROR_CODES,
    TIMEOUT_CODES,
    classify_reply,
)
from badgercart.frontends.graphql.settings import DocumentLimits
from badgercart.policy.events import AttemptResult

WIDE_LIMITS = DocumentLimits(document=1 << 20, tokens=100_000)


@pytest.mark.parametrize(
    ("text", "limits", "message"),
    [
        ("{ a }" + " " * 20000, DocumentLimits(), "over 16384 bytes"),
        ("{ " + "a " * 3000 + "}", DocumentLimits(), "over 2000 tokens"),
        ("{ " + " ".join(f"a{i}: a" for i in range(40)) + " }", DocumentLimits(), "over 30 aliases"),
        ("{ " + " ".join(f"a{i}: a" for i in range(9000)) + " }", WIDE_LIMITS, "over 30 aliases"),
        ("{a" * 2000 + "}" * 2000, WIDE_LIMITS, "nested over 200 deep"),
        ("{a" * 20 + "}" * 20, DocumentLimits(), "over 15 levels"),
        ("{ " + " ".join(f"f{i}" for i in range(21)) + " }", DocumentLimits(), "over 20 root fields"),
        ("{ a" + " @x" * 51 + " }", DocumentLimits(), "over 50 directives"),
        ("{ ...A } fragment A on Q { ...B } fragment B on Q { ...A }", DocumentLimits(), "in a circle"),
        ("{ ...A } fragment A on Q { ...A }", DocumentLimits(), "in a circle"),
        ("{ ...A } fragment A on Q { " + "{a" * 0 + "a { ...B } } fragment B on Q " + "{a" * 15 + "}" * 15,
         DocumentLimits(), "over 15 levels"),
        ("query { ...A ...A ...A } fragment A on Q { " + " ".join(f"f{i}" for i in range(8)) + " }", DocumentLimits(),
         "over 20 root fields"),
        ("(" * 5000, WIDE_LIMITS, "nested over 200 deep"),
        ("[" * 300 + "]" * 300, WIDE_LIMITS, "nested over 200 deep"),
    ],
)  # fmt: skip
def test_exceeding_a_limit_raises_an_error_that_names_it(
    text: str, limits: DocumentLimits, message: str
) -> None:
    with pytest.raises(DocumentLimitError, match=message):
        read_document(text, limits)


def test_nested_fragment_spreads_are_counted_without_expansion() -> None:
    # 60 fragments, each spread twice by the previous one: 2**60 fields if they were expanded.
    text = "{ ...F0 } " + " ".join(
        f"fragment F{i} on Q {{ a{i} ...F{i + 1} b {{ ...F{i + 1} }} }}" for i in range(60)
    )
    started_s = time.process_time()
    with pytest.raises(DocumentLimitError):
        read_document(text + " fragment F60 on Q { x }", WIDE_LIMITS)
    # An expansion would never end.
    assert time.process_time() - started_s < 5


@pytest.mark.parametrize("text", ["", "{", "{ a(", "query", "{ a } }", "\0", "{ \ud800 }"])
def test_a_syntax_error_has_a_message_and_a_location(text: str) -> None:
    with pytest.raises(DocumentSyntaxError) as caught:
        read_document(text, DocumentLimits())
    assert caught.value.locations and str(caught.value)


@given(st.text(alphabet="{}()[]@$:!.|&\"'ab1 \n#\\", max_size=200))
def test_any_text_is_parsed_or_raises_a_documented_error(text: str) -> None:
    with suppress(DocumentLimitError, DocumentSyntaxError):
        read_document(text, DocumentLimits())


def classified(status: int = 200, **body: Any) -> Any:
    return classify_reply(status, False, json.dumps(body).encode(), {"a", "b"})


COMPLETE_DATA = {"a": 1, "b": None}


def server_error(code: str | None) -> dict[str, Any]:
    return {"message": "m"} | ({"extensions": {"code": code}} if code else {})


@pytest.mark.parametrize(
    ("reply", "result", "is_final"),
    [
        (classified(data=COMPLETE_DATA), AttemptResult.OK, True),
        (classified(data=COMPLETE_DATA, errors=[server_error(None)]), AttemptResult.ERROR, False),
        (classified(data=None, errors=[server_error("SOMETHING_NEW")]), AttemptResult.ERROR, False),
        (classified(data=None, errors=[server_error("QUEUE_FULL")]), AttemptResult.FULL, False),
        (classified(errors=[server_error("NOT_STARTED")]), AttemptResult.FULL, False),
        # A reply with data: the request was executed.
        (
            classified(data=COMPLETE_DATA, errors=[server_error("QUEUE_FULL")]),
            AttemptResult.ERROR,
            False,
        ),
        (
            classified(errors=[server_error("QUEUE_FULL"), server_error(None)]),
            AttemptResult.ERROR,
            False,
        ),
        (classified(errors=[server_error("TIMEOUT")]), AttemptResult.TIMEOUT, False),
        (
            classified(errors=[server_error("FORBIDDEN"), server_error("BAD_USER_INPUT")]),
            AttemptResult.CANCELLED,
            True,
        ),
        (
            classified(errors=[server_error("FORBIDDEN"), server_error("INTERNAL_SERVER_ERROR")]),
            AttemptResult.ERROR,
            False,
        ),
        (
            classified(400, errors=[server_error("GRAPHQL_VALIDATION_FAILED")]),
            AttemptResult.CANCELLED,
            True,
        ),
        (classified(500, data=COMPLETE_DATA), AttemptResult.ERROR, False),
        (classified(data={"a": 1}), AttemptResult.ERROR, False),  # a key is missing
        (classified(data=COMPLETE_DATA | {"c": 1}), AttemptResult.ERROR, False),  # an unknown key
        (classified(data=[1]), AttemptResult.ERROR, False),
        (classified(data=None), AttemptResult.ERROR, False),
        (classified(), AttemptResult.ERROR, False),
        (classified(data=COMPLETE_DATA, errors=[]), AttemptResult.ERROR, False),
        (classified(data=COMPLETE_DATA, errors=["x"]), AttemptResult.ERROR, False),
        (classify_reply(200, False, b"[" * 99999, {"a"}), AttemptResult.ERROR, False),
        (classify_reply(200, False, b"", {"a"}), AttemptResult.ERROR, False),
        (classify_reply(404, False, b"no", {"a"}), AttemptResult.CANCELLED, True),
        (classify_reply(429, False, b"no", {"a"}), AttemptResult.ERROR, False),
        (classify_reply(503, True, b"", {"a"}), AttemptResult.FULL, False),
        (classify_reply(503, False, b"", {"a"}), AttemptResult.ERROR, False),
    ],
)
def test_a_reply_is_classified(reply: Any, result: AttemptResult, is_final: bool) -> None:
    assert (reply.result, reply.is_final) == (result, is_final)


def test_the_groups_of_error_codes_do_not_overlap() -> None:
    assert (
        not REQUEST_ERROR_CODES & NOT_EXECUTED_CODES
        and not REQUEST_ERROR_CODES & TIMEOUT_CODES
        and not NOT_EXECUTED_CODES & TIMEOUT_CODES
    )
