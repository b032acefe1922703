"""Documents and plans that were made before, bounded in bytes; persisted documents by their hash.
No I/O.

Source: Apollo's "Automatic persisted queries" for `extensions.persistedQuery` (version 1,
sha256Hash).
"""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

from graphql import DocumentNode, GraphQLError, GraphQLSchema, OperationDefinitionNode, validate

from badgercart.frontends.graphql.limits import (
    DocumentLimitError,
    DocumentSyntaxError,
    read_document,
)
from badgercart.frontends.graphql.planner import BadOperation, Memo, Plan, Planner, choose
from badgercart.frontends.graphql.requests import Asked, error
from badgercart.frontends.graphql.settings import DocumentLimits

MAX_ERRORS = 10  # of validation that are told
PLAN_COST = 40  # times a document's text: about what its tree and its plans hold
_MISSING = object()


class Rejected(Exception):
    """A document that is not carried out: the errors for the client."""

    def __init__(self, errors: list[dict[str, Any]]) -> None:
        super().__init__(errors[0]["message"])
        self.errors = errors


class Cache:
    """The values used last, by a key, as many as go into so many bytes."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.size = 0
        self.held: OrderedDict[Any, tuple[int, Any]] = OrderedDict()

    def get(self, key: Any) -> Any:
        found = self.held.get(key)
        if found is None:
            return _MISSING
        self.held.move_to_end(key)
        return found[1]

    def put(self, key: Any, size: int, value: Any) -> None:
        if size > self.most:
            return
        old = self.held.pop(key, None)
        self.size += size - (old[0] if old else 0)
        self.held[key] = size, value
        while self.size > self.most:
            _, (gone, _) = self.held.popitem(last=False)
            self.size -= gone


@dataclass(slots=True)
class Known:
    """A document that was looked at: sound, or why not."""

    document: DocumentNode | None
    errors: list[dict[str, Any]]
    memos: dict[str | None, Memo] = field(default_factory=dict)  # by the operation's name


class Documents:
    """From what a client asked to a plan. `allowed`, text by hash, is all that is taken where it is
    given."""

    def __init__(
        self,
        schema: GraphQLSchema,
        planner: Planner,
        limits: DocumentLimits,
        cache: int,
        introspection: bool,
        allowed: Mapping[str, str] | None = None,
    ) -> None:
        self.schema, self.planner, self.limits = schema, planner, limits
        self.introspection = introspection
        self.allowed = allowed
        self.documents = Cache(cache * 3 // 4)
        self.persisted = Cache(cache // 4)

    def plan(
        self, asked: Asked, client_key: str
    ) -> tuple[Plan, OperationDefinitionNode, DocumentNode]:
        """Raises Rejected."""
        text = self.text(asked)
        known = self.sound(text)
        document = known.document
        assert document is not None
        try:
            operation = choose(document, asked.operation)
        except BadOperation as bad:
            raise Rejected(
                [formatted(e, "OPERATION_RESOLUTION_FAILURE") for e in bad.errors]
            ) from None
        if len(json.dumps(asked.variables)) > self.limits.variables:
            raise Rejected(
                [error(f"the variables are over {self.limits.variables} bytes", "LIMIT_EXCEEDED")]
            )
        memo = known.memos.setdefault(asked.operation, Memo())
        try:
            plan = self.planner.plan(document, operation, asked.variables, client_key, memo)
        except BadOperation as bad:
            raise Rejected(
                [formatted(e, "BAD_USER_INPUT") for e in bad.errors[:MAX_ERRORS]]
            ) from None
        if not self.introspection and any(root.name != "__typename" for root in plan.local):
            raise Rejected([error("introspection is switched off", "INTROSPECTION_DISABLED")])
        return plan, operation, document

    def text(self, asked: Asked) -> str:
        """The document's text: as it came, or by its hash."""
        persisted = asked.extensions.get("persistedQuery")
        digest = persisted.get("sha256Hash") if isinstance(persisted, dict) else None
        if digest is not None and not isinstance(digest, str):
            raise Rejected([error("persistedQuery.sha256Hash must be a string", "BAD_REQUEST")])
        text = asked.query
        if self.allowed is not None:
            wanted = digest or (sha256(text.encode()).hexdigest() if text else "")
            if wanted not in self.allowed or (text is not None and text != self.allowed[wanted]):
                raise Rejected(
                    [error("this document is not on the list", "PERSISTED_QUERY_NOT_ALLOWED")]
                )
            return self.allowed[wanted]
        if digest is None:
            if text is None:
                raise Rejected([error("query is missing", "BAD_REQUEST")])
            return text
        if text is None:
            found = self.persisted.get(digest)
            if found is _MISSING:
                raise Rejected([error("PersistedQueryNotFound", "PERSISTED_QUERY_NOT_FOUND")])
            return str(found)
        if sha256(text.encode("utf-8", "surrogatepass")).hexdigest() != digest:
            raise Rejected([error("the hash is not that of the query", "BAD_REQUEST")])
        self.sound(text)  # what can't be carried out is not kept
        self.persisted.put(digest, len(text) + 100, text)
        return text

    def sound(self, text: str) -> Known:
        """Parsed and validated, now or before."""
        known = self.documents.get(text)
        if known is _MISSING:
            known = self.look(text)
            self.documents.put(text, PLAN_COST * len(text) + 100, known)
        found: Known = known
        if found.document is None:
            raise Rejected(found.errors)
        return found

    def look(self, text: str) -> Known:
        try:
            document = read_document(text, self.limits)
        except DocumentLimitError as costly:
            return Known(None, [error(str(costly), "LIMIT_EXCEEDED")])
        except DocumentSyntaxError as bad:
            places = [{"line": line, "column": column} for line, column in bad.locations]
            return Known(None, [error(str(bad), "GRAPHQL_PARSE_FAILED") | {"locations": places}])
        found = validate(self.schema, document, max_errors=MAX_ERRORS)
        if found:
            return Known(None, [formatted(e, "GRAPHQL_VALIDATION_FAILED") for e in found])
        return Known(document, [])


def formatted(problem: GraphQLError, code: str) -> dict[str, Any]:
    told: dict[str, Any] = {"message": problem.message, "extensions": {"code": code}}
    if problem.locations:
        told["locations"] = [
            {"line": place.line, "column": place.column} for place in problem.locations
        ]
    return told
