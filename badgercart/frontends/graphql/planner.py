"""Splits an operation and its variables into parts. No I/O.

A part is a valid document of its own with only the fields, fragments and variables that it needs.
The root fields of a query that have the same request class and the same affinity form one part.
Each root field of a mutation is a part, and the parts are executed one after the other as the
specification says. `__typename` and introspection fields belong to no part: the frontend answers
them itself.

Source: GraphQL specification, sections 6.3 (executing selection sets, CollectFields), 6.2.2
(mutation).
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from graphql import (
    DocumentNode,
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    GraphQLError,
    GraphQLIncludeDirective,
    GraphQLNonNull,
    GraphQLObjectType,
    GraphQLSchema,
    GraphQLSkipDirective,
    InlineFragmentNode,
    Node,
    OperationDefinitionNode,
    OperationType,
    SelectionNode,
    SelectionSetNode,
    VariableNode,
    Visitor,
    get_location,
    parse,
    print_ast,
    visit,
)
from graphql.execution.values import (
    VariableValues,
    get_argument_values,
    get_directive_values,
    get_variable_values,
)

from badgercart.frontends.graphql.settings import FieldMap

LOCAL_FIELDS = frozenset(("__typename", "__schema", "__type"))


class OperationError(Exception):
    """An operation can't be planned: error messages for the client, with their locations."""

    def __init__(self, errors: list[GraphQLError]) -> None:
        super().__init__(errors[0].message)
        self.errors = errors


@dataclass(slots=True)
class RootField:
    """A root field under its response key.

    `nodes` are all nodes that select it, merged as section 5.3.2 allows.
    """

    response_key: str
    nodes: list[FieldNode]
    non_null: bool

    @property
    def name(self) -> str:
        """The name of the field in the schema."""
        return self.nodes[0].name.value


@dataclass(slots=True)
class Part:
    """The part of an operation that a server gets as one request."""

    class_name: str
    roots: list[RootField]
    # The value of the field's affinity argument; empty where there is none.
    affinity: str
    # The idempotency key of this part alone; empty where there is none.
    idempotency_key: str
    document: str
    variables: dict[str, Any]
    # The same document with the nodes of the client's document.
    source_document: DocumentNode

    def client_locations(self) -> dict[tuple[int, int], dict[str, int]]:
        """Return the location in the client's document by line and column in this document."""
        locations: dict[tuple[int, int], dict[str, int]] = {}
        for part_field, client_field in zip(
            _fields_in_print_order(parse(self.document)),
            _fields_in_print_order(self.source_document),
            strict=True,
        ):
            if part_field.loc is not None and client_field.loc is not None:
                here, there = (
                    get_location(node.loc.source, node.loc.start)
                    for node in (part_field, client_field)
                    if node.loc
                )
                locations[here.line, here.column] = {"line": there.line, "column": there.column}
        return locations


@dataclass(slots=True)
class Plan:
    """An operation that is ready to be executed."""

    # A mutation: its parts are executed one after the other.
    serial: bool
    # All root fields in the order of the response.
    roots: list[RootField]
    parts: list[Part]
    # The root fields that the frontend answers itself.
    local_roots: list[RootField] = field(default_factory=list)


def select_operation(document: DocumentNode, name: str | None) -> OperationDefinitionNode:
    """Return the operation to execute (section 6.1, GetOperation). Raises OperationError."""
    operations = [
        definition
        for definition in document.definitions
        if isinstance(definition, OperationDefinitionNode)
    ]
    if name is not None:
        operations = [
            operation
            for operation in operations
            if operation.name is not None and operation.name.value == name
        ]
        if not operations:
            raise OperationError([GraphQLError(f"there is no operation {name!r}")])
    if not operations:
        raise OperationError([GraphQLError("the document holds no operation")])
    if len(operations) > 1:
        raise OperationError(
            [GraphQLError("operationName must say which of the operations is meant")]
        )
    return operations[0]


# Root field lists, and part documents, that the planning cache of one operation holds.
MAX_PLANNING_CACHE_ENTRIES = 64


@dataclass(slots=True)
class PlanningCache:
    """Planning results of one operation of one document, kept for its later requests.

    For a later request the planner only evaluates what depends on its variables.
    """

    # The variables that @skip and @include at the root depend on; None where not yet computed.
    condition_variables: tuple[str, ...] | None = None
    # Root fields by the values of the condition variables.
    roots_by_values: dict[tuple[Any, ...], list[RootField]] = field(default_factory=dict)
    # Source document, printed document and variable names of a part, by the values of the condition
    # variables and the part's response keys.
    part_documents: dict[tuple[Any, ...], tuple[DocumentNode, str, list[str]]] = field(
        default_factory=dict
    )


class Planner:
    """Plans operations for one schema and one mapping of its root fields to request classes."""

    def __init__(self, schema: GraphQLSchema, fields: Mapping[str, FieldMap]) -> None:
        self.schema = schema
        self.fields = fields

    def plan(
        self,
        document: DocumentNode,
        operation: OperationDefinitionNode,
        variables: Mapping[str, Any],
        client_key: str = "",
        cache: PlanningCache | None = None,
    ) -> Plan:
        """Plan an operation of a valid document.

        `client_key` is the idempotency key of the client's request; empty where it has none. Raises
        OperationError, for example for variables that do not match their definitions.
        """
        if operation.operation is OperationType.SUBSCRIPTION:
            raise OperationError([GraphQLError("subscriptions are not served here", operation)])
        values = get_variable_values(
            self.schema, operation.variable_definitions or (), dict(variables)
        )
        if isinstance(values, list):
            raise OperationError(values)
        root_type = self.schema.get_root_type(operation.operation)
        assert root_type is not None  # validation has checked it
        fragments = {
            fragment.name.value: fragment
            for fragment in document.definitions
            if isinstance(fragment, FragmentDefinitionNode)
        }
        cache = cache or PlanningCache()
        if cache.condition_variables is None:
            cache.condition_variables = self.condition_variables(operation, fragments)
        condition_values = tuple(values.coerced.get(name) for name in cache.condition_variables)
        roots = cache.roots_by_values.get(condition_values)
        if roots is None:
            try:
                roots = self.collect_root_fields(operation, root_type, fragments, values)
            except GraphQLError as error:
                raise OperationError([error]) from None
            if len(cache.roots_by_values) < MAX_PLANNING_CACHE_ENTRIES:
                cache.roots_by_values[condition_values] = roots
        serial = operation.operation is OperationType.MUTATION
        plan = Plan(serial, roots, [])
        groups: dict[tuple[Any, ...], list[RootField]] = {}
        group_values: dict[tuple[Any, ...], tuple[FieldMap, str, str]] = {}
        for number, root in enumerate(roots):
            if root.name in LOCAL_FIELDS:
                plan.local_roots.append(root)
                continue
            mapped = self.fields[f"{root_type.name}.{root.name}"]
            try:
                arguments = get_argument_values(root_type.fields[root.name], root.nodes[0], values)
            except GraphQLError as error:
                raise OperationError([error]) from None
            affinity = _argument_text(arguments.get(mapped.affinity)) if mapped.affinity else ""
            argument_key = _argument_text(arguments.get(mapped.key)) if mapped.key else ""
            # Root fields of a mutation are never grouped: each has an effect of its own, with its
            # own idempotency key and its own retries.
            group = (number,) if serial else (mapped.cls, affinity)
            groups.setdefault(group, []).append(root)
            group_values[group] = (mapped, affinity, argument_key)
        for group, members in groups.items():
            mapped, affinity, argument_key = group_values[group]
            request_key = argument_key or client_key
            key = (
                derive_idempotency_key(request_key, members[0].response_key)
                if serial and request_key
                else ""
            )
            cache_key = (*condition_values, *(member.response_key for member in members))
            cached = cache.part_documents.get(cache_key)
            if cached is None:
                source, variable_names = self.part_document(operation, members, fragments)
                cached = source, print_ast(source), variable_names
                if len(cache.part_documents) < MAX_PLANNING_CACHE_ENTRIES:
                    cache.part_documents[cache_key] = cached
            source, text, variable_names = cached
            part_variables = {name: variables[name] for name in variable_names if name in variables}
            plan.parts.append(
                Part(mapped.cls, members, affinity, key, text, part_variables, source)
            )
        return plan

    def condition_variables(
        self, operation: OperationDefinitionNode, fragments: dict[str, FragmentDefinitionNode]
    ) -> tuple[str, ...]:
        """Return the variables of @skip and @include at the root, also within fragments."""
        condition_variables: dict[str, None] = {}
        spread: set[str] = set()
        pending: list[SelectionNode] = list(operation.selection_set.selections)
        while pending:
            node = pending.pop()
            for directive in node.directives or ():
                uses = UsageVisitor()
                visit(directive, uses)
                condition_variables |= uses.variables
            if isinstance(node, InlineFragmentNode):
                pending += node.selection_set.selections
            elif isinstance(node, FragmentSpreadNode) and node.name.value not in spread:
                spread.add(node.name.value)
                pending += fragments[node.name.value].selection_set.selections
        return tuple(condition_variables)

    def collect_root_fields(
        self,
        operation: OperationDefinitionNode,
        root_type: GraphQLObjectType,
        fragments: dict[str, FragmentDefinitionNode],
        values: VariableValues,
    ) -> list[RootField]:
        """Return the selected root fields in the order of the response (section 6.3.2)."""
        roots: dict[str, RootField] = {}
        spread: set[str] = set()
        pending: list[SelectionNode] = list(reversed(operation.selection_set.selections))
        while pending:
            node = pending.pop()
            if not is_included(node, values):
                continue
            if isinstance(node, FieldNode):
                key = node.alias.value if node.alias else node.name.value
                if key not in roots:
                    definition = root_type.fields.get(node.name.value)
                    non_null = definition is None or isinstance(definition.type, GraphQLNonNull)
                    roots[key] = RootField(key, [], non_null and node.name.value != "__type")
                roots[key].nodes.append(node)
                continue
            if isinstance(node, FragmentSpreadNode):
                if node.name.value in spread:
                    continue
                spread.add(node.name.value)
                children: SelectionSetNode = fragments[node.name.value].selection_set
            else:
                assert isinstance(node, InlineFragmentNode)
                children = node.selection_set
            pending += reversed(children.selections)
        return list(roots.values())

    def part_document(
        self,
        operation: OperationDefinitionNode,
        roots: list[RootField],
        fragments: dict[str, FragmentDefinitionNode],
    ) -> tuple[DocumentNode, list[str]]:
        """Return the document of a part, and the names of the variables that it uses."""
        nodes = tuple(without_conditions(node) for root in roots for node in root.nodes)
        used_fragments, variables, pending = [], dict[str, None](), list[Node](nodes)
        while pending:
            uses = UsageVisitor()
            visit(pending.pop(), uses)
            variables |= dict.fromkeys(uses.variables)
            for name in uses.fragments:
                if fragments[name] not in used_fragments:
                    used_fragments.append(fragments[name])
                    pending.append(fragments[name])
        definitions = tuple(
            definition
            for definition in operation.variable_definitions or ()
            if definition.variable.name.value in variables
        )
        part = OperationDefinitionNode(
            operation=operation.operation,
            name=operation.name,
            variable_definitions=definitions,
            directives=(),
            selection_set=SelectionSetNode(selections=nodes),
        )
        document = DocumentNode(definitions=(part, *used_fragments))
        return document, [definition.variable.name.value for definition in definitions]


def _fields_in_print_order(document: DocumentNode) -> list[FieldNode]:
    """Return all fields of a document in the order in which they are printed."""
    fields: list[FieldNode] = []
    pending: list[Any] = list(reversed(document.definitions))
    while pending:
        node = pending.pop()
        if isinstance(node, FieldNode):
            fields.append(node)
        if (children := getattr(node, "selection_set", None)) is not None:
            pending += reversed(children.selections)
    return fields


class UsageVisitor(Visitor):
    """Collects the variables and fragments that a node uses, in the order of the document."""

    def __init__(self) -> None:
        super().__init__()
        self.variables: dict[str, None] = {}
        self.fragments: dict[str, None] = {}

    def enter_variable(self, node: VariableNode, *_: Any) -> None:
        """Record a variable."""
        self.variables[node.name.value] = None

    def enter_fragment_spread(self, node: FragmentSpreadNode, *_: Any) -> None:
        """Record a fragment."""
        self.fragments[node.name.value] = None


def is_included(node: SelectionNode, values: VariableValues) -> bool:
    """Return whether @skip and @include keep a selection (section 3.13)."""
    skip = get_directive_values(GraphQLSkipDirective, node, values)
    if skip and skip["if"]:
        return False
    include = get_directive_values(GraphQLIncludeDirective, node, values)
    return not include or bool(include["if"])


def without_conditions(node: FieldNode) -> FieldNode:
    """Return a root field without @skip and @include, which have been evaluated already."""
    remaining = tuple(
        directive
        for directive in node.directives or ()
        if directive.name.value not in ("skip", "include")
    )
    return FieldNode(
        alias=node.alias,
        name=node.name,
        arguments=node.arguments,
        directives=remaining,
        selection_set=node.selection_set,
        loc=node.loc,
    )


def derive_idempotency_key(request_key: str, response_key: str) -> str:
    """Return the idempotency key of one effect: stable across retries, different for each alias."""
    return blake2b(f"{request_key}\0{response_key}".encode(), digest_size=16).hexdigest()


def _argument_text(value: Any) -> str:
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value, sort_keys=True, default=str)
