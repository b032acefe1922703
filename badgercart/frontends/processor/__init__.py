"""An external processor: proxies ask, for each request, where it goes and whether it goes.

Envoy's protocol (`envoy.service.ext_proc.v3.ExternalProcessor`), answers worded as the Endpoint
Picker Protocol of the Kubernetes Gateway API inference extension words them. `machine` holds the
life of a stream and of a request over several streams, `outcomes` what a response phase proves,
`account` who uses old answers, `description` what a request is; none of them does I/O. `server` is
the entry: it drives them with grpcio, which is imported only there and in `messages`.
"""
