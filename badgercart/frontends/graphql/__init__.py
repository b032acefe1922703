"""The GraphQL-over-HTTP frontend, with the same load-balancing rules as the HTTP frontend.

An operation is split into parts, and each part is a request to the request pipeline. `limits`
bounds what a document may cost before it is processed, `planner` splits an operation and its
variables into parts, `merge` merges the parts' results into one response, `outcomes` classifies the
replies of servers, and `mapping` checks the mapping of root fields to request classes against the
schema; these modules do no I/O. `graphql-core` parses and validates; its executor answers only
introspection. It is imported only where this frontend is enabled.
"""
