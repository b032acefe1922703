"""The request pipeline between frontends, upstream transports, discovery and the policy.

Its entry is ``request_pipeline.RequestPipeline``. The package knows no protocol: frontends submit
requests and owe the responses, upstream transports execute attempts, discovery supplies the
endpoint list. ``ports`` defines the interfaces that each of them implements.
"""
