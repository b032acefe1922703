"""GraphQL over HTTP on the same rules: one operation becomes parts, each a request to the core.

No I/O: `limits` (what a document may cost before anything is done with it), `planner` (an operation
and its variables into parts), `merge` (the parts' results into one response), `outcomes` (what a
reply means), `mapping` (root fields to classes, checked against the schema). `graphql-core` parses
and validates; its executor answers introspection only. It is imported where this front is switched
on.
"""
