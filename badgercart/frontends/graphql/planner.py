"""One operation and its variables into parts. No I/O.

A part is a valid document of its own with only the fields, fragments and variables that it needs.
Root fields of a query that are of one class and about one thing go together; each root field of a
mutation is a part, and they go one after the other as the specification says. `__typename` and
introspection are no parts: they are answered here.

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

LOCAL = frozenset(("__typename", "__schema", "__type"))


class BadOperation(Exception):
    """An operation that can't be planned: messages for the client, with their places."""

    def __init__(self, errors: list[GraphQLError]) -> None:
        super().__init__(errors[0].message)
        self.errors = errors


@dataclass(slots=True)
class Root:
    """A root field under its response key: all nodes that ask for it, merged as section 5.3.2
    allows."""

    response_key: str
    nodes: list[FieldNode]
    non_null: bool

    @property
    def name(self) -> str:
        return self.nodes[0].name.value


@dataclass(slots=True)
class Part:
    """What goes to a server as one request."""

    cls: str
    roots: list[Root]
    affinity: str  # what it is about; empty: nothing
    key: str  # its own idempotency key; empty: none
    document: str
    variables: dict[str, Any]
    source: DocumentNode  # the same with the nodes of the client's document

    def places(self) -> dict[tuple[int, int], dict[str, int]]:
        """Of each field's line and column in this document those in the client's."""
        found: dict[tuple[int, int], dict[str, int]] = {}
        for here, there in zip(_fields(parse(self.document)), _fields(self.source), strict=True):
            if here.loc is not None and there.loc is not None:
                at, was = (get_location(n.loc.source, n.loc.start) for n in (here, there) if n.loc)
                found[at.line, at.column] = {"line": was.line, "column": was.column}
        return found


@dataclass(slots=True)
class Plan:
    """An operation, ready to be carried out."""

    serial: bool  # a mutation: parts go one after the other
    roots: list[Root]  # all, in the order of the response
    parts: list[Part]
    local: list[Root] = field(default_factory=list)


def choose(document: DocumentNode, name: str | None) -> OperationDefinitionNode:
    """The operation to carry out (section 6.1, GetOperation)."""
    operations = [d for d in document.definitions if isinstance(d, OperationDefinitionNode)]
    if name is not None:
        operations = [o for o in operations if o.name is not None and o.name.value == name]
        if not operations:
            raise BadOperation([GraphQLError(f"there is no operation {name!r}")])
    if not operations:
        raise BadOperation([GraphQLError("the document holds no operation")])
    if len(operations) > 1:
        raise BadOperation(
            [GraphQLError("operationName must say which of the operations is meant")]
        )
    return operations[0]


MAX_MEMO = 64  # of each kind that one operation's memo holds


@dataclass(slots=True)
class Memo:
    """What planning found of one operation of one document, so that it need not be found again.

    Only what the variables decide is looked at for each request."""

    chosen_by: tuple[str, ...] | None = (
        None  # variables that @skip and @include at the root depend on
    )
    roots: dict[tuple[Any, ...], list[Root]] = field(default_factory=dict)  # by the values of these
    documents: dict[tuple[Any, ...], tuple[DocumentNode, str, list[str]]] = field(
        default_factory=dict
    )


class Planner:
    """Plans operations against one schema and one map of its root fields."""

    def __init__(self, schema: GraphQLSchema, fields: Mapping[str, FieldMap]) -> None:
        self.schema = schema
        self.fields = fields

    def plan(
        self,
        document: DocumentNode,
        operation: OperationDefinitionNode,
        variables: Mapping[str, Any],
        client_key: str = "",
        memo: Memo | None = None,
    ) -> Plan:
        """A valid document's operation. `client_key` is the request's own idempotency key, if it
        has one.

        Raises BadOperation for variables that do not fit."""
        if operation.operation is OperationType.SUBSCRIPTION:
            raise BadOperation([GraphQLError("subscriptions are not served here", operation)])
        values = get_variable_values(
            self.schema, operation.variable_definitions or (), dict(variables)
        )
        if isinstance(values, list):
            raise BadOperation(values)
        root_type = self.schema.get_root_type(operation.operation)
        assert root_type is not None  # the document is valid
        fragments = {
            d.name.value: d for d in document.definitions if isinstance(d, FragmentDefinitionNode)
        }
        memo = memo or Memo()
        if memo.chosen_by is None:
            memo.chosen_by = self.chosen_by(operation, fragments)
        decided = tuple(values.coerced.get(name) for name in memo.chosen_by)
        roots = memo.roots.get(decided)
        if roots is None:
            try:
                roots = self.collect(operation, root_type, fragments, values)
            except GraphQLError as error:
                raise BadOperation([error]) from None
            if len(memo.roots) < MAX_MEMO:
                memo.roots[decided] = roots
        serial = operation.operation is OperationType.MUTATION
        plan = Plan(serial, roots, [])
        groups: dict[tuple[Any, ...], list[Root]] = {}
        keys: dict[tuple[Any, ...], tuple[FieldMap, str, str]] = {}
        for number, root in enumerate(roots):
            if root.name in LOCAL:
                plan.local.append(root)
                continue
            mapped = self.fields[f"{root_type.name}.{root.name}"]
            try:
                arguments = get_argument_values(root_type.fields[root.name], root.nodes[0], values)
            except GraphQLError as error:
                raise BadOperation([error]) from None
            affinity = _text(arguments.get(mapped.affinity)) if mapped.affinity else ""
            own = _text(arguments.get(mapped.key)) if mapped.key else ""
            # Mutations never go together: each is an effect, with a key and a repeat of its own.
            group = (number,) if serial else (mapped.cls, affinity)
            groups.setdefault(group, []).append(root)
            keys[group] = (mapped, affinity, own)
        for group, members in groups.items():
            mapped, affinity, own = keys[group]
            given = own or client_key
            key = derived_key(given, members[0].response_key) if serial and given else ""
            which = (*decided, *(member.response_key for member in members))
            known = memo.documents.get(which)
            if known is None:
                source, needed = self.document(operation, members, fragments)
                known = source, print_ast(source), needed
                if len(memo.documents) < MAX_MEMO:
                    memo.documents[which] = known
            source, text, needed = known
            sent = {name: variables[name] for name in needed if name in variables}
            plan.parts.append(Part(mapped.cls, members, affinity, key, text, sent, source))
        return plan

    def chosen_by(
        self, operation: OperationDefinitionNode, fragments: dict[str, FragmentDefinitionNode]
    ) -> tuple[str, ...]:
        """The variables that @skip and @include at the root depend on, through fragments."""
        found: dict[str, None] = {}
        spread: set[str] = set()
        waiting: list[SelectionNode] = list(operation.selection_set.selections)
        while waiting:
            node = waiting.pop()
            for directive in node.directives or ():
                uses = Uses()
                visit(directive, uses)
                found |= uses.variables
            if isinstance(node, InlineFragmentNode):
                waiting += node.selection_set.selections
            elif isinstance(node, FragmentSpreadNode) and node.name.value not in spread:
                spread.add(node.name.value)
                waiting += fragments[node.name.value].selection_set.selections
        return tuple(found)

    def collect(
        self,
        operation: OperationDefinitionNode,
        root_type: GraphQLObjectType,
        fragments: dict[str, FragmentDefinitionNode],
        values: VariableValues,
    ) -> list[Root]:
        """Root fields by response key, in order (section 6.3.2)."""
        found: dict[str, Root] = {}
        spread: set[str] = set()
        waiting: list[SelectionNode] = list(reversed(operation.selection_set.selections))
        while waiting:
            node = waiting.pop()
            if not wanted(node, values):
                continue
            if isinstance(node, FieldNode):
                key = node.alias.value if node.alias else node.name.value
                if key not in found:
                    definition = root_type.fields.get(node.name.value)
                    non_null = definition is None or isinstance(definition.type, GraphQLNonNull)
                    found[key] = Root(key, [], non_null and node.name.value != "__type")
                found[key].nodes.append(node)
                continue
            if isinstance(node, FragmentSpreadNode):
                if node.name.value in spread:
                    continue
                spread.add(node.name.value)
                below: SelectionSetNode = fragments[node.name.value].selection_set
            else:
                assert isinstance(node, InlineFragmentNode)
                below = node.selection_set
            waiting += reversed(below.selections)
        return list(found.values())

    def document(
        self,
        operation: OperationDefinitionNode,
        roots: list[Root],
        fragments: dict[str, FragmentDefinitionNode],
    ) -> tuple[DocumentNode, list[str]]:
        """The document of a part, and the names of the variables that it uses."""
        nodes = tuple(without_choice(node) for root in roots for node in root.nodes)
        used, variables, waiting = [], dict[str, None](), list[Node](nodes)
        while waiting:
            uses = Uses()
            visit(waiting.pop(), uses)
            variables |= dict.fromkeys(uses.variables)
            for name in uses.fragments:
                if fragments[name] not in used:
                    used.append(fragments[name])
                    waiting.append(fragments[name])
        definitions = tuple(
            v for v in operation.variable_definitions or () if v.variable.name.value in variables
        )
        part = OperationDefinitionNode(
            operation=operation.operation,
            name=operation.name,
            variable_definitions=definitions,
            directives=(),
            selection_set=SelectionSetNode(selections=nodes),
        )
        document = DocumentNode(definitions=(part, *used))
        return document, [v.variable.name.value for v in definitions]


def _fields(document: DocumentNode) -> list[FieldNode]:
    """All fields in the order in which they are printed."""
    found: list[FieldNode] = []
    waiting: list[Any] = list(reversed(document.definitions))
    while waiting:
        node = waiting.pop()
        if isinstance(node, FieldNode):
            found.append(node)
        if (below := getattr(node, "selection_set", None)) is not None:
            waiting += reversed(below.selections)
    return found


class Uses(Visitor):
    """The variables and fragments that a node names, in their order."""

    def __init__(self) -> None:
        super().__init__()
        self.variables: dict[str, None] = {}
        self.fragments: dict[str, None] = {}

    def enter_variable(self, node: VariableNode, *_: Any) -> None:
        self.variables[node.name.value] = None

    def enter_fragment_spread(self, node: FragmentSpreadNode, *_: Any) -> None:
        self.fragments[node.name.value] = None


def wanted(node: SelectionNode, values: VariableValues) -> bool:
    """Whether @skip and @include leave a selection in (section 3.13)."""
    skip = get_directive_values(GraphQLSkipDirective, node, values)
    if skip and skip["if"]:
        return False
    include = get_directive_values(GraphQLIncludeDirective, node, values)
    return not include or bool(include["if"])


def without_choice(node: FieldNode) -> FieldNode:
    """A root field without the directives that were followed already."""
    kept = tuple(d for d in node.directives or () if d.name.value not in ("skip", "include"))
    return FieldNode(
        alias=node.alias,
        name=node.name,
        arguments=node.arguments,
        directives=kept,
        selection_set=node.selection_set,
        loc=node.loc,
    )


def derived_key(given: str, response_key: str) -> str:
    """A key for one effect of an operation: the same for a repeat of it, another for each alias."""
    return blake2b(f"{given}\0{response_key}".encode(), digest_size=16).hexdigest()


def _text(value: Any) -> str:
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value, sort_keys=True, default=str)
