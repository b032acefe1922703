"""An external processor: proxies ask it for each request where to send it, and whether.

The protocol is Envoy's (`envoy.service.ext_proc.v3.ExternalProcessor`); answers use the names of the
Endpoint Picker Protocol of the Kubernetes Gateway API inference extension. `machine` has the state
machines of a stream, and of a request over several streams; `outcomes` tells what a response phase
proves; `old_answers` tracks who uses old answers; `description` reads a request's description. None
of them does I/O. `server` is the entry point: it drives them with grpcio, which is imported only
there, in `ask` and in `messages`.
"""
