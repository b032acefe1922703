"""Checks the document of a request and plans it, with caches bounded in bytes. No I/O.

Parsed documents, their plans and the persisted documents (by their hash) are cached.

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
from badgercart.frontends.graphql.planner import (
    OperationError,
    Plan,
    Planner,
    PlanningCache,
    select_operation,
)
from badgercart.frontends.graphql.requests import OperationRequest, graphql_error
from badgercart.frontends.graphql.settings import DocumentLimits

# How many errors of one document or its variables are reported to the client.
MAX_REPORTED_ERRORS = 10
# Estimated memory of a document's syntax tree and plans, for each character of its text.
CACHED_BYTES_PER_CHARACTER = 40
# Estimated memory of a cache entry beside the text.
CACHE_ENTRY_OVERHEAD_BYTES = 100
_MISSING = object()


class RequestRejectedError(Exception):
    """A request is not executed: the GraphQL errors for the client."""

    def __init__(self, errors: list[dict[str, Any]]) -> None:
        super().__init__(errors[0]["message"])
        self.errors = errors


class LruCache:
    """The most recently used values by key, as many as fit into a number of bytes."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.entries: OrderedDict[Any, tuple[int, Any]] = OrderedDict()

    def get(self, key: Any) -> Any:
        """Return a value and mark it as used; `_MISSING` where there is none."""
        entry = self.entries.get(key)
        if entry is None:
            return _MISSING
        self.entries.move_to_end(key)
        return entry[1]

    def put(self, key: Any, size_bytes: int, value: Any) -> None:
        """Store a value, unless it is larger than the cache, and evict the least recently used."""
        if size_bytes > self.max_bytes:
            return
        old = self.entries.pop(key, None)
        self.used_bytes += size_bytes - (old[0] if old else 0)
        self.entries[key] = size_bytes, value
        while self.used_bytes > self.max_bytes:
            _, (evicted_bytes, _) = self.entries.popitem(last=False)
            self.used_bytes -= evicted_bytes


@dataclass(slots=True)
class ValidatedDocument:
    """The result of validation: a valid document, or the errors of an invalid one."""

    document: DocumentNode | None
    errors: list[dict[str, Any]]
    # By the name of the operation; None for the only operation of the document.
    planning_caches: dict[str | None, PlanningCache] = field(default_factory=dict)


class RequestPlanner:
    """Checks and plans the requests of clients.

    `allowed_documents` has texts by hash; where it is given, no other document is served.
    """

    def __init__(
        self,
        schema: GraphQLSchema,
        planner: Planner,
        limits: DocumentLimits,
        cache_bytes: int,
        introspection: bool,
        allowed_documents: Mapping[str, str] | None = None,
    ) -> None:
        self.schema, self.planner, self.limits = schema, planner, limits
        self.introspection = introspection
        self.allowed_documents = allowed_documents
        self.validated_documents = LruCache(cache_bytes * 3 // 4)
        self.persisted_texts = LruCache(cache_bytes // 4)

    def plan(
        self, request: OperationRequest, client_key: str
    ) -> tuple[Plan, OperationDefinitionNode, DocumentNode]:
        """Plan the operation of a request. Raises RequestRejectedError."""
        text = self.document_text(request)
        validated = self.validated_document(text)
        document = validated.document
        assert document is not None
        try:
            operation = select_operation(document, request.operation_name)
        except OperationError as error:
            raise RequestRejectedError(
                [format_error(problem, "OPERATION_RESOLUTION_FAILURE") for problem in error.errors]
            ) from None
        if len(json.dumps(request.variables)) > self.limits.variables:
            raise RequestRejectedError(
                [
                    graphql_error(
                        f"the variables are over {self.limits.variables} bytes", "LIMIT_EXCEEDED"
                    )
                ]
            )
        cache = validated.planning_caches.setdefault(request.operation_name, PlanningCache())
        try:
            plan = self.planner.plan(document, operation, request.variables, client_key, cache)
        except OperationError as error:
            raise RequestRejectedError(
                [
                    format_error(problem, "BAD_USER_INPUT")
                    for problem in error.errors[:MAX_REPORTED_ERRORS]
                ]
            ) from None
        if not self.introspection and any(root.name != "__typename" for root in plan.local_roots):
            raise RequestRejectedError(
                [graphql_error("introspection is switched off", "INTROSPECTION_DISABLED")]
            )
        return plan, operation, document

    def document_text(self, request: OperationRequest) -> str:
        """Return the document's text, from the request or by its hash.

        Raises RequestRejectedError.
        """
        persisted = request.extensions.get("persistedQuery")
        digest = persisted.get("sha256Hash") if isinstance(persisted, dict) else None
        if digest is not None and not isinstance(digest, str):
            raise RequestRejectedError(
                [graphql_error("persistedQuery.sha256Hash must be a string", "BAD_REQUEST")]
            )
        text = request.query
        if self.allowed_documents is not None:
            allowed_digest = digest or (sha256(text.encode()).hexdigest() if text else "")
            if allowed_digest not in self.allowed_documents or (
                text is not None and text != self.allowed_documents[allowed_digest]
            ):
                raise RequestRejectedError(
                    [
                        graphql_error(
                            "this document is not on the list", "PERSISTED_QUERY_NOT_ALLOWED"
                        )
                    ]
                )
            return self.allowed_documents[allowed_digest]
        if digest is None:
            if text is None:
                raise RequestRejectedError([graphql_error("query is missing", "BAD_REQUEST")])
            return text
        if text is None:
            stored_text = self.persisted_texts.get(digest)
            if stored_text is _MISSING:
                raise RequestRejectedError(
                    [graphql_error("PersistedQueryNotFound", "PERSISTED_QUERY_NOT_FOUND")]
                )
            return str(stored_text)
        if sha256(text.encode("utf-8", "surrogatepass")).hexdigest() != digest:
            raise RequestRejectedError(
                [graphql_error("the hash is not that of the query", "BAD_REQUEST")]
            )
        # An invalid document is rejected here, so that it is never stored.
        self.validated_document(text)
        self.persisted_texts.put(digest, len(text) + CACHE_ENTRY_OVERHEAD_BYTES, text)
        return text

    def validated_document(self, text: str) -> ValidatedDocument:
        """Return a document from the cache, or parse and validate it.

        Raises RequestRejectedError for an invalid one, whose errors are cached too.
        """
        cached = self.validated_documents.get(text)
        if cached is _MISSING:
            cached = self.validate_text(text)
            self.validated_documents.put(
                text, CACHED_BYTES_PER_CHARACTER * len(text) + CACHE_ENTRY_OVERHEAD_BYTES, cached
            )
        validated: ValidatedDocument = cached
        if validated.document is None:
            raise RequestRejectedError(validated.errors)
        return validated

    def validate_text(self, text: str) -> ValidatedDocument:
        """Parse and validate a document."""
        try:
            document = read_document(text, self.limits)
        except DocumentLimitError as limit_error:
            return ValidatedDocument(None, [graphql_error(str(limit_error), "LIMIT_EXCEEDED")])
        except DocumentSyntaxError as syntax_error:
            positions = [
                {"line": line, "column": column} for line, column in syntax_error.locations
            ]
            return ValidatedDocument(
                None,
                [
                    graphql_error(str(syntax_error), "GRAPHQL_PARSE_FAILED")
                    | {"locations": positions}
                ],
            )
        problems = validate(self.schema, document, max_errors=MAX_REPORTED_ERRORS)
        if problems:
            return ValidatedDocument(
                None, [format_error(problem, "GRAPHQL_VALIDATION_FAILED") for problem in problems]
            )
        return ValidatedDocument(document, [])


def format_error(problem: GraphQLError, code: str) -> dict[str, Any]:
    """Return an error of the GraphQL library as it is reported to the client."""
    formatted: dict[str, Any] = {"message": problem.message, "extensions": {"code": code}}
    if problem.locations:
        formatted["locations"] = [
            {"line": location.line, "column": location.column} for location in problem.locations
        ]
    return formatted
