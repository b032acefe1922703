"""Client of Envoy's external processing protocol that a test controls message by message."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from types import TracebackType
from typing import Any

import grpc
import grpc.aio
from envoy.config.core.v3 import base_pb2
from envoy.service.ext_proc.v3 import external_processor_pb2 as ext_proc
from envoy.service.ext_proc.v3 import external_processor_pb2_grpc as ext_proc_grpc

DESTINATION = "x-gateway-destination-endpoint"
FILTER = "envoy.filters.http.ext_proc"


def header_map(headers: Mapping[str, str]) -> Any:
    """Return the headers in the protocol's form."""
    return base_pb2.HeaderMap(
        headers=[
            base_pb2.HeaderValue(key=name, raw_value=value.encode())
            for name, value in headers.items()
        ]
    )


def request_message(headers: Mapping[str, str], subset: str = "", observe: bool = False) -> Any:
    """Return the message of the request headers phase."""
    phase = ext_proc.HttpHeaders(headers=header_map(headers), end_of_stream=True)
    message = ext_proc.ProcessingRequest(request_headers=phase, observability_mode=observe)
    if subset:
        hint = message.metadata_context.filter_metadata["envoy.lb.subset_hint"]
        hint.update({"x-gateway-destination-endpoint-subset": subset})
    return message


def response_message(
    status: int, headers: Mapping[str, str] | None = None, served: str = "", **attributes: str | int
) -> Any:
    """Return the message of the response headers phase.

    In the names of attributes `_` stands for the `.` after the first word.
    """
    phase = ext_proc.HttpHeaders(headers=header_map({":status": str(status)} | dict(headers or {})))
    message = ext_proc.ProcessingRequest(response_headers=phase)
    if served:
        message.metadata_context.filter_metadata["envoy.lb"].update(
            {f"{DESTINATION}-served": served}
        )
    if attributes:
        message.attributes[FILTER].update(
            {name.replace("_", ".", 1): value for name, value in attributes.items()}
        )
    return message


def told_headers(answer: Any) -> dict[str, str]:
    """Return the headers that a response of the processor sets, in any phase."""
    if answer.HasField("immediate_response"):
        changed = answer.immediate_response.headers
    elif answer.HasField("request_headers"):
        changed = answer.request_headers.response.header_mutation
    else:
        changed = answer.response_headers.response.header_mutation
    return {option.header.key: option.header.raw_value.decode() for option in changed.set_headers}


class ScriptedStream:
    """One `Process` stream, message by message."""

    def __init__(self, call: Any) -> None:
        self.call = call

    async def ask(self, headers: Mapping[str, str], **changes: Any) -> Any:
        """Send the request headers phase and return the processor's response."""
        await self.call.write(request_message(headers, **changes))
        return await self.call.read()

    async def respond(
        self, status: int, headers: Mapping[str, str] | None = None, **changes: Any
    ) -> Any:
        """Send the response headers phase and return the processor's response."""
        await self.call.write(response_message(status, headers, **changes))
        return await self.call.read()

    async def send(self, message: Any) -> Any:
        """Send any message and return the processor's response."""
        await self.call.write(message)
        return await self.call.read()

    async def half_close(self) -> None:
        """Close the direction to the processor."""
        await self.call.done_writing()

    def cancel(self) -> None:
        """Cancel the stream."""
        self.call.cancel()

    async def status(self) -> str:
        """Return the gRPC status name that the stream ended with, in lower case."""
        code = await self.call.code()
        return str(code.name).lower()


class ScriptedProxy:
    """A connection to a processor."""

    def __init__(self, address: str, name: str = "", credentials: Any = None) -> None:
        self.channel = (
            grpc.aio.secure_channel(address, credentials)
            if credentials is not None
            else grpc.aio.insecure_channel(address, options=[("grpc.use_local_subchannel_pool", 1)])
        )
        self.metadata = (("x-proxy-name", name),) if name else ()
        self.stub = ext_proc_grpc.ExternalProcessorStub(self.channel)

    def stream(self) -> ScriptedStream:
        """Open a stream."""
        return ScriptedStream(self.stub.Process(metadata=self.metadata))

    def raw(self) -> ScriptedStream:
        """Open a stream on which any bytes may be sent."""
        method = self.channel.stream_stream("/envoy.service.ext_proc.v3.ExternalProcessor/Process")
        return ScriptedStream(method(metadata=self.metadata))

    async def close(self) -> None:
        """Close the connection."""
        await self.channel.close()

    async def __aenter__(self) -> ScriptedProxy:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await asyncio.shield(self.close())
