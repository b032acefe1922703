"""The request pipeline between frontends, upstream transports, discovery and the policy.

The core knows no protocol. Frontends hand in requests and owe responses, transports carry out
attempts, discovery keeps the endpoint table; `ports` says what each must offer. Its entry is
`request_pipeline.RequestPipeline`.
"""
