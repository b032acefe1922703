"""Root fields to classes: what is wrong with a map, against the schema that it is for. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from graphql import GraphQLError, GraphQLObjectType, GraphQLSchema, build_schema

from badgercart.frontends.graphql.settings import FieldMap
from badgercart.policy.settings import Idempotency


def read_schema(text: str) -> GraphQLSchema:
    """Raises ValueError with what the parser or the checks say."""
    try:
        return build_schema(text)
    except (GraphQLError, TypeError) as error:
        raise ValueError(str(error)) from None


def faults(
    schema: GraphQLSchema, fields: Mapping[str, FieldMap], effects: Mapping[str, Idempotency]
) -> list[tuple[str, str, str]]:
    """Each fault of a map: the field, the key that is wrong (empty: all of it), and the words."""
    found: list[tuple[str, str, str]] = []
    roots: dict[str, tuple[GraphQLObjectType, bool]] = {}
    for kind, is_mutation in ((schema.query_type, False), (schema.mutation_type, True)):
        if kind is not None:
            roots[kind.name] = kind, is_mutation
    for name, mapped in fields.items():
        type_name, _, field_name = name.partition(".")
        if type_name not in roots:
            found.append((name, "", f"{type_name} is no root type of the schema"))
            continue
        kind, is_mutation = roots[type_name]
        if field_name not in kind.fields:
            found.append((name, "", f"the schema's {type_name} has no field {field_name!r}"))
            continue
        effect = effects.get(mapped.cls)
        if effect is None:
            found.append((name, "class", f"there is no class {mapped.cls!r}"))
        elif is_mutation and effect is Idempotency.IDEMPOTENT:
            found.append(
                (name, "class", f"{mapped.cls!r} is safe to repeat, and a mutation is not")
            )
        elif not is_mutation and effect is not Idempotency.IDEMPOTENT:
            found.append(
                (name, "class", f"{mapped.cls!r} is not safe to repeat: a query may be sent again")
            )
        arguments = kind.fields[field_name].args
        for key, argument in (("affinity", mapped.affinity), ("key", mapped.key)):
            if argument is not None and argument not in arguments:
                found.append((name, key, f"{name} has no argument {argument!r}"))
    for type_name, (kind, _) in roots.items():
        open_ones = [field for field in kind.fields if f"{type_name}.{field}" not in fields]
        if open_ones:
            found.append(
                (
                    "",
                    "",
                    f"no class is given for {', '.join(f'{type_name}.{f}' for f in open_ones)}",
                )
            )
    if schema.subscription_type is not None:
        found.append(("", "", "subscriptions are not served here; the schema has some"))
    return found
