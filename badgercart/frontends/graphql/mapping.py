"""Checks the mapping of root fields to request classes against the schema. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from graphql import GraphQLError, GraphQLObjectType, GraphQLSchema, build_schema

from badgercart.frontends.graphql.settings import FieldMap
from badgercart.policy.settings import Idempotency


def read_schema(text: str) -> GraphQLSchema:
    """Build a schema. Raises ValueError with the message of the parser or of the checks."""
    try:
        return build_schema(text)
    except (GraphQLError, TypeError) as error:
        raise ValueError(str(error)) from None


def mapping_faults(
    schema: GraphQLSchema, fields: Mapping[str, FieldMap], effects: Mapping[str, Idempotency]
) -> list[tuple[str, str, str]]:
    """Return each fault of a mapping: the field, the wrong key and the message.

    The key is empty where the fault is in no single key; the field is empty where it is in no
    single entry.
    """
    faults: list[tuple[str, str, str]] = []
    roots: dict[str, tuple[GraphQLObjectType, bool]] = {}
    for root_type, is_mutation in ((schema.query_type, False), (schema.mutation_type, True)):
        if root_type is not None:
            roots[root_type.name] = root_type, is_mutation
    for name, mapped in fields.items():
        type_name, _, field_name = name.partition(".")
        if type_name not in roots:
            faults.append((name, "", f"{type_name} is no root type of the schema"))
            continue
        root_type, is_mutation = roots[type_name]
        if field_name not in root_type.fields:
            faults.append((name, "", f"the schema's {type_name} has no field {field_name!r}"))
            continue
        effect = effects.get(mapped.cls)
        if effect is None:
            faults.append((name, "class", f"there is no class {mapped.cls!r}"))
        elif is_mutation and effect is Idempotency.IDEMPOTENT:
            faults.append(
                (name, "class", f"{mapped.cls!r} is safe to repeat, and a mutation is not")
            )
        elif not is_mutation and effect is not Idempotency.IDEMPOTENT:
            faults.append(
                (name, "class", f"{mapped.cls!r} is not safe to repeat: a query may be sent again")
            )
        arguments = root_type.fields[field_name].args
        for key, argument in (("affinity", mapped.affinity), ("key", mapped.key)):
            if argument is not None and argument not in arguments:
                faults.append((name, key, f"{name} has no argument {argument!r}"))
    for type_name, (root_type, _) in roots.items():
        unmapped = [field for field in root_type.fields if f"{type_name}.{field}" not in fields]
        if unmapped:
            faults.append(
                (
                    "",
                    "",
                    f"no class is given for {', '.join(f'{type_name}.{unmapped_field}' for unmapped_field in unmapped)}",
                )
            )
    if schema.subscription_type is not None:
        faults.append(("", "", "subscriptions are not served here; the schema has some"))
    return faults
