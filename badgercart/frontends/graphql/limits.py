"""What a document may cost: counted on its text and its syntax tree, before validation. No I/O.

Every count is linear in the document, and none recurses: fragments are counted once and added up
along the order in which they use each other, so that a document of 16 KiB can't be made to cost
more than itself.
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

MAX_NESTING = 200  # of braces, brackets and parentheses: the parser recurses with them
_OPEN = {TokenKind.BRACE_L, TokenKind.BRACKET_L, TokenKind.PAREN_L}
_CLOSE = {TokenKind.BRACE_R, TokenKind.BRACKET_R, TokenKind.PAREN_R}


class DocumentLimitError(Exception):
    """A document over a limit: which one, in words for the client."""


class DocumentSyntaxError(Exception):
    """A document that is none: what the parser says, and where (line and column, from 1)."""

    def __init__(self, text: str, locations: list[tuple[int, int]]) -> None:
        super().__init__(text)
        self.locations = locations


def read_document(text: str, limits: DocumentLimits) -> DocumentNode:
    """Parse a document within the limits. Raises DocumentLimitError and DocumentSyntaxError."""
    if len(text.encode("utf-8", "surrogatepass")) > limits.document:
        raise DocumentLimitError(f"the document is over {limits.document} bytes")
    try:
        _count_tokens(text, limits)
        document = parse(text, max_tokens=limits.tokens)
    except GraphQLSyntaxError as error:
        places = [(place.line, place.column) for place in error.locations or ()]
        raise DocumentSyntaxError(error.message, places) from None
    check(document, limits)
    return document


def _count_tokens(text: str, limits: DocumentLimits) -> None:
    lexer = Lexer(Source(text))
    nested = count = 0
    while (token := lexer.advance()).kind is not TokenKind.EOF:
        count += 1
        if count > limits.tokens:
            raise DocumentLimitError(f"the document has over {limits.tokens} tokens")
        nested += (token.kind in _OPEN) - (token.kind in _CLOSE)
        if nested > MAX_NESTING:
            raise DocumentLimitError(f"the document is nested over {MAX_NESTING} deep")


@dataclass(slots=True)
class Cost:
    """Of a selection set, with all that it spreads."""

    depth: int = 0
    aliases: int = 0
    directives: int = 0
    fields: int = 0
    roots: int = 0  # fields at its own level

    def add(self, other: Cost, below: bool) -> None:
        self.depth = max(self.depth, other.depth + below)
        self.aliases += other.aliases
        self.directives += other.directives
        self.fields += other.fields
        self.roots += 0 if below else other.roots


def check(document: DocumentNode, limits: DocumentLimits) -> None:
    """Raises DocumentLimitError where any operation is over a limit, or fragments go in a circle."""
    fragments = {
        d.name.value: d for d in document.definitions if isinstance(d, FragmentDefinitionNode)
    }
    costs: dict[str, Cost] = {}
    for name in _in_order(fragments):
        costs[name] = _cost(fragments[name], costs)
    for definition in document.definitions:
        if isinstance(definition, OperationDefinitionNode):
            _hold(_cost(definition, costs), limits)
    for cost in costs.values():
        _hold(cost, limits)


def _hold(cost: Cost, limits: DocumentLimits) -> None:
    for value, most, what in (
        (cost.depth, limits.depth, "levels of selections"),
        (cost.aliases, limits.aliases, "aliases"),
        (cost.roots, limits.root_fields, "root fields"),
        (cost.directives, limits.directives, "directives"),
        (cost.fields, limits.fields, "fields"),
    ):
        if value > most:
            raise DocumentLimitError(f"an operation has over {most} {what}")


def _in_order(fragments: dict[str, FragmentDefinitionNode]) -> list[str]:
    """Names of fragments, each behind those that it spreads."""
    uses = {name: _spreads(fragment) & fragments.keys() for name, fragment in fragments.items()}
    order: list[str] = []
    used_by: dict[str, list[str]] = {name: [] for name in fragments}
    for name, used in uses.items():
        for other in used:
            used_by[other].append(name)
    left = {name: len(used) for name, used in uses.items()}
    free = [name for name, count in left.items() if not count]
    while free:
        name = free.pop()
        order.append(name)
        for other in used_by[name]:
            left[other] -= 1
            if not left[other]:
                free.append(other)
    if len(order) < len(fragments):
        raise DocumentLimitError("fragments spread each other in a circle")
    return order


def _spreads(fragment: FragmentDefinitionNode) -> set[str]:
    found: set[str] = set()
    waiting: list[SelectionNode] = list(fragment.selection_set.selections)
    while waiting:
        node = waiting.pop()
        if isinstance(node, FragmentSpreadNode):
            found.add(node.name.value)
        elif (below := getattr(node, "selection_set", None)) is not None:
            waiting += below.selections
    return found


def _cost(
    definition: OperationDefinitionNode | FragmentDefinitionNode, fragments: dict[str, Cost]
) -> Cost:
    """Without recursion: each selection is looked at once, with the depth at which it stands."""
    cost = Cost(directives=_directives(definition.directives))
    if isinstance(definition, OperationDefinitionNode):
        cost.directives += sum(
            _directives(v.directives) for v in definition.variable_definitions or ()
        )
    waiting: list[tuple[SelectionNode, int]] = [
        (node, 1) for node in definition.selection_set.selections
    ]
    while waiting:
        node, depth = waiting.pop()
        cost.directives += _directives(node.directives)
        if isinstance(node, FragmentSpreadNode):
            spread = fragments.get(node.name.value, Cost())
            cost.add(
                Cost(spread.depth + depth - 1, spread.aliases, spread.directives, spread.fields),
                False,
            )
            cost.roots += spread.roots if depth == 1 else 0
            continue
        below = depth
        if isinstance(node, FieldNode):
            cost.fields += 1
            cost.aliases += node.alias is not None
            cost.roots += depth == 1
            cost.depth = max(cost.depth, depth)
            below = depth + 1
        if (selections := getattr(node, "selection_set", None)) is not None:
            waiting += [(child, below) for child in selections.selections]
    return cost


def _directives(nodes: tuple[DirectiveNode, ...] | None) -> int:
    return len(nodes or ())
