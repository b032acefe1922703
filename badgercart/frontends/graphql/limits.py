"""Limits of a GraphQL document, checked on its text and its syntax tree before validation. No I/O.

Every count takes linear time, and none recurses over selections: each fragment is counted once, and
its count is added wherever it is spread. So a 16 KiB document can't cost more than its size
suggests, however often its fragments are spread.
"""

from __future__ import annotations

from dataclasses import dataclass

from graphql import (
    DirectiveNode,
    DocumentNode,
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    GraphQLSyntaxError,
    Lexer,
    OperationDefinitionNode,
    SelectionNode,
    Source,
    TokenKind,
    parse,
)

from badgercart.frontends.graphql.settings import DocumentLimits

# The deepest nesting of braces, brackets and parentheses: the parser recurses once for each level.
MAX_NESTING_DEPTH = 200
_OPENING_TOKENS = {TokenKind.BRACE_L, TokenKind.BRACKET_L, TokenKind.PAREN_L}
_CLOSING_TOKENS = {TokenKind.BRACE_R, TokenKind.BRACKET_R, TokenKind.PAREN_R}


class DocumentLimitError(Exception):
    """A document exceeds a limit; the message names the limit to the client."""


class DocumentSyntaxError(Exception):
    """A document can't be parsed: the parser's message, and lines and columns counted from 1."""

    def __init__(self, text: str, locations: list[tuple[int, int]]) -> None:
        super().__init__(text)
        self.locations = locations


def read_document(text: str, limits: DocumentLimits) -> DocumentNode:
    """Parse a document within the limits.

    Raises DocumentLimitError and DocumentSyntaxError.
    """
    if len(text.encode("utf-8", "surrogatepass")) > limits.document:
        raise DocumentLimitError(f"the document is over {limits.document} bytes")
    try:
        _check_tokens(text, limits)
        document = parse(text, max_tokens=limits.tokens)
    except GraphQLSyntaxError as error:
        positions = [(location.line, location.column) for location in error.locations or ()]
        raise DocumentSyntaxError(error.message, positions) from None
    check_document(document, limits)
    return document


def _check_tokens(text: str, limits: DocumentLimits) -> None:
    """Check the number of tokens and the nesting, without recursion."""
    lexer = Lexer(Source(text))
    depth = count = 0
    while (token := lexer.advance()).kind is not TokenKind.EOF:
        count += 1
        if count > limits.tokens:
            raise DocumentLimitError(f"the document has over {limits.tokens} tokens")
        depth += (token.kind in _OPENING_TOKENS) - (token.kind in _CLOSING_TOKENS)
        if depth > MAX_NESTING_DEPTH:
            raise DocumentLimitError(f"the document is nested over {MAX_NESTING_DEPTH} deep")


@dataclass(slots=True)
class SelectionCost:
    """The counts of a selection set, including all fragments that it spreads."""

    depth: int = 0
    aliases: int = 0
    directives: int = 0
    fields: int = 0
    top_level_fields: int = 0

    def add(self, other: SelectionCost, below: bool) -> None:
        """Add the cost of another selection set; `below`: it is one level deeper than this one."""
        self.depth = max(self.depth, other.depth + below)
        self.aliases += other.aliases
        self.directives += other.directives
        self.fields += other.fields
        self.top_level_fields += 0 if below else other.top_level_fields


def check_document(document: DocumentNode, limits: DocumentLimits) -> None:
    """Check every operation and every fragment against the limits.

    Raises DocumentLimitError, also where fragments spread each other in a cycle.
    """
    fragments = {
        fragment.name.value: fragment
        for fragment in document.definitions
        if isinstance(fragment, FragmentDefinitionNode)
    }
    costs: dict[str, SelectionCost] = {}
    for name in _spread_order(fragments):
        costs[name] = _selection_cost(fragments[name], costs)
    for definition in document.definitions:
        if isinstance(definition, OperationDefinitionNode):
            _check_cost(_selection_cost(definition, costs), limits)
    for cost in costs.values():
        _check_cost(cost, limits)


def _check_cost(cost: SelectionCost, limits: DocumentLimits) -> None:
    for value, limit, what in (
        (cost.depth, limits.depth, "levels of selections"),
        (cost.aliases, limits.aliases, "aliases"),
        (cost.top_level_fields, limits.root_fields, "root fields"),
        (cost.directives, limits.directives, "directives"),
        (cost.fields, limits.fields, "fields"),
    ):
        if value > limit:
            raise DocumentLimitError(f"an operation has over {limit} {what}")


def _spread_order(fragments: dict[str, FragmentDefinitionNode]) -> list[str]:
    """Return the names of the fragments, each after the fragments that it spreads."""
    uses = {
        name: _spread_names(fragment) & fragments.keys() for name, fragment in fragments.items()
    }
    order: list[str] = []
    used_by: dict[str, list[str]] = {name: [] for name in fragments}
    for name, used in uses.items():
        for other in used:
            used_by[other].append(name)
    unordered_uses = {name: len(used) for name, used in uses.items()}
    ready = [name for name, count in unordered_uses.items() if not count]
    while ready:
        name = ready.pop()
        order.append(name)
        for other in used_by[name]:
            unordered_uses[other] -= 1
            if not unordered_uses[other]:
                ready.append(other)
    if len(order) < len(fragments):
        raise DocumentLimitError("fragments spread each other in a circle")
    return order


def _spread_names(fragment: FragmentDefinitionNode) -> set[str]:
    """Return the names of the fragments that a fragment spreads directly."""
    names: set[str] = set()
    pending: list[SelectionNode] = list(fragment.selection_set.selections)
    while pending:
        node = pending.pop()
        if isinstance(node, FragmentSpreadNode):
            names.add(node.name.value)
        elif (children := getattr(node, "selection_set", None)) is not None:
            pending += children.selections
    return names


def _selection_cost(
    definition: OperationDefinitionNode | FragmentDefinitionNode,
    fragments: dict[str, SelectionCost],
) -> SelectionCost:
    """Count a definition without recursion: each selection is visited once, with its depth."""
    cost = SelectionCost(directives=_directive_count(definition.directives))
    if isinstance(definition, OperationDefinitionNode):
        cost.directives += sum(
            _directive_count(variable.directives)
            for variable in definition.variable_definitions or ()
        )
    pending: list[tuple[SelectionNode, int]] = [
        (node, 1) for node in definition.selection_set.selections
    ]
    while pending:
        node, depth = pending.pop()
        cost.directives += _directive_count(node.directives)
        if isinstance(node, FragmentSpreadNode):
            spread = fragments.get(node.name.value, SelectionCost())
            cost.add(
                SelectionCost(
                    spread.depth + depth - 1, spread.aliases, spread.directives, spread.fields
                ),
                False,
            )
            cost.top_level_fields += spread.top_level_fields if depth == 1 else 0
            continue
        child_depth = depth
        if isinstance(node, FieldNode):
            cost.fields += 1
            cost.aliases += node.alias is not None
            cost.top_level_fields += depth == 1
            cost.depth = max(cost.depth, depth)
            child_depth = depth + 1
        if (selections := getattr(node, "selection_set", None)) is not None:
            pending += [(child, child_depth) for child in selections.selections]
    return cost


def _directive_count(nodes: tuple[DirectiveNode, ...] | None) -> int:
    return len(nodes or ())
