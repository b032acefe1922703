"""Envoy's messages: what is read of them, and how replies are worded. No I/O.

Sources: `envoy/service/ext_proc/v3/external_processor.proto`; the Endpoint Picker Protocol
(proposal 004 of the Gateway API inference extension) for the names under `envoy.lb`.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache, lru_cache
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.extensions.filters.http.ext_proc.v3 import processing_mode_pb2
from envoy.service.ext_proc.v3 import external_processor_pb2 as ext_proc
from envoy.type.v3 import http_status_pb2
from google.protobuf import struct_pb2
from google.protobuf.message import DecodeError

from badgercart.frontends.processor.machine import (
    Illegal,
    Immediate,
    Pass,
    Reply,
    Route,
    Skip,
    retry_after,
)
from badgercart.frontends.processor.outcomes import Phase

DESTINATION = "x-gateway-destination-endpoint"
SERVED = "x-gateway-destination-endpoint-served"
SUBSET = "x-gateway-destination-endpoint-subset"
NAMESPACE, SUBSET_NAMESPACE = "envoy.lb", "envoy.lb.subset_hint"
ANSWER_AGE = "x-badgercart-answer-age-ms"  # for how long the answer may be used, from when it came
MAX_RETRIES, TIME_LIMIT = "x-envoy-max-retries", "x-envoy-upstream-rq-timeout-ms"
MAX_SUBSET = 4096  # endpoints

_OVERWRITE = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
_OF_RESPONSES = frozenset((":status", "not-started", SERVED, "x-envoy-attempt-count"))
_Mode = processing_mode_pb2.ProcessingMode
_HEADERS_ONLY = _Mode(
    request_header_mode=_Mode.SEND,
    response_header_mode=_Mode.SEND,
    request_body_mode=_Mode.NONE,
    response_body_mode=_Mode.NONE,
    request_trailer_mode=_Mode.SKIP,
    response_trailer_mode=_Mode.SKIP,
)


def read(data: bytes) -> tuple[str, Any]:
    """The kind of a message and the message; Illegal where it is none, or holds nothing."""
    try:
        message = ext_proc.ProcessingRequest.FromString(data)
    except DecodeError:
        raise Illegal("no ProcessingRequest") from None
    kind = message.WhichOneof("request")
    if kind is None:
        raise Illegal("a message that holds no phase")
    return kind, message


def pairs(headers: Any, wanted: frozenset[str]) -> Iterator[tuple[str, bytes]]:
    """Names and values of the wanted headers; Envoy fills `raw_value`, older ones `value`."""
    for header in headers.headers:
        name = header.key.lower()
        if name in wanted:
            yield name, header.raw_value or header.value.encode()


def subset(message: Any) -> tuple[str, ...]:
    """The endpoints that the proxy will accept; none: any."""
    fields = message.metadata_context.filter_metadata
    if SUBSET_NAMESPACE not in fields:
        return ()
    value = fields[SUBSET_NAMESPACE].fields.get(SUBSET)
    if value is None:
        return ()
    if value.HasField("list_value"):
        found = [item.string_value for item in value.list_value.values[:MAX_SUBSET]]
    else:
        found = value.string_value.split(",")[:MAX_SUBSET]
    return tuple(item.strip() for item in found if item.strip())


def response_phase(message: Any, most: int) -> tuple[Phase, str | None]:
    """What response headers tell, and the endpoint that served; Illegal where they can't be
    read."""
    headers = message.response_headers.headers
    if len(headers.headers) > most:
        raise Illegal(f"over {most} headers")
    status, not_started, attempts, served = 0, False, 1, None
    for name, value in pairs(headers, _OF_RESPONSES):
        if name == ":status":
            if not value.isdigit() or not 100 <= int(value) <= 599:
                raise Illegal(f"the status {value[:20]!r}")
            status = int(value)
        elif name == "not-started":
            not_started = value == b"1"
        elif name == SERVED:
            served = value[:256].decode("latin-1")
        elif value.isdigit() and len(value) < 4:
            attempts = max(1, int(value))
    if not status:
        raise Illegal("response headers without :status")
    fields = message.metadata_context.filter_metadata
    if NAMESPACE in fields and SERVED in fields[NAMESPACE].fields:
        served = fields[NAMESPACE].fields[SERVED].string_value or served
    attributes = _attributes(message)
    flags = attributes.get("response.flags")
    number = (
        int(flags.number_value) if flags is not None and flags.HasField("number_value") else None
    )
    count_of = attributes.get("upstream.request_attempt_count")
    if count_of is not None and 1 <= count_of.number_value < 1000:
        attempts = int(count_of.number_value)
    phase = Phase(
        status=status,
        not_started=not_started,
        flags=number,
        details=_text(attributes.get("response.code_details")),
        upstream=_text(attributes.get("upstream.address")),
        attempts=attempts,
    )
    return phase, served


def _attributes(message: Any) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for (
        name
    ) in message.attributes:  # by the filter's name; the names of attributes differ among filters
        found.update(message.attributes[name].fields)
    return found


def _text(value: Any) -> str | None:
    return value.string_value[:256] or None if value is not None else None


_REQUEST_HEADERS = ext_proc.ProcessingResponse.DESCRIPTOR.fields_by_name["request_headers"].number
_HEADERS_COMMON = ext_proc.HeadersResponse.DESCRIPTOR.fields_by_name["response"].number
_COMMON_MUTATION = ext_proc.CommonResponse.DESCRIPTOR.fields_by_name["header_mutation"].number


def _header(name: str, value: str) -> Any:
    return base_pb2.HeaderValueOption(
        header=base_pb2.HeaderValue(key=name, raw_value=value.encode()), append_action=_OVERWRITE
    )


def write(reply: Reply, whole_retry_after: bool) -> bytes:
    """A reply as it goes over the wire."""
    if isinstance(reply, Route):
        return _route(reply)
    if isinstance(reply, Immediate):
        return _immediate(reply, whole_retry_after)
    return _plain(reply)


def _field(number: int, data: bytes) -> bytes:
    """A field that holds bytes or a message (Protocol Buffers, "Encoding": wire type LEN)."""
    size, length = len(data), bytearray()
    while size > 127:
        length.append(size & 127 | 128)
        size >>= 7
    length.append(size)
    return bytes((number << 3 | 2,)) + length + data


# A route is put together of serialized parts: its headers are few and most of them are the same
# again and again, and to build them as objects each time costs more than the decision.


@lru_cache(maxsize=4096)
def _limits(limit: int) -> bytes:
    """The headers that limit the attempt's time."""
    return bytes(
        ext_proc.HeaderMutation(
            set_headers=[_header(TIME_LIMIT, str(limit)), _header("request-timeout", f"{limit}m")]
        ).SerializeToString()
    )


@lru_cache(maxsize=4096)
def _choice(endpoints: tuple[str, ...], age: int) -> tuple[bytes, bytes]:
    """The headers that name the endpoints, and what the response holds beside its headers."""
    chosen = ",".join(endpoints)
    lines = (DESTINATION, chosen), (ANSWER_AGE, str(age)), (MAX_RETRIES, str(len(endpoints) - 1))
    mutation = ext_proc.HeaderMutation(set_headers=[_header(name, value) for name, value in lines])
    told = struct_pb2.Struct(
        fields={
            DESTINATION: struct_pb2.Value(string_value=chosen),
            ANSWER_AGE: struct_pb2.Value(number_value=age),
        }
    )
    beside = ext_proc.ProcessingResponse(
        dynamic_metadata=struct_pb2.Struct(fields={NAMESPACE: struct_pb2.Value(struct_value=told)}),
        mode_override=_HEADERS_ONLY,
    )
    return bytes(mutation.SerializeToString()), bytes(beside.SerializeToString())


def _route(reply: Route) -> bytes:
    mutation, beside = _choice(reply.endpoints, int(reply.age))
    common = _field(_COMMON_MUTATION, mutation + _limits(int(reply.limit)))
    return _field(_REQUEST_HEADERS, _field(_HEADERS_COMMON, common)) + beside


def _immediate(reply: Immediate, whole: bool) -> bytes:
    lines = [_header("content-type", "text/plain")]
    if reply.wait:
        lines.append(_header("retry-after", retry_after(reply.wait, whole)))
    if reply.allow:
        lines.append(_header("allow", reply.allow.decode()))
    immediate = ext_proc.ImmediateResponse(
        status=http_status_pb2.HttpStatus(code=reply.status),
        headers=ext_proc.HeaderMutation(set_headers=lines),
        body=f"{reply.why}\n".encode(),
        details="badgercart_" + "".join(c if c.isalnum() else "_" for c in reply.why),
    )
    return bytes(ext_proc.ProcessingResponse(immediate_response=immediate).SerializeToString())


@cache
def _plain(reply: Pass | Skip) -> bytes:
    if isinstance(reply, Skip):
        field = ext_proc.ProcessingResponse.DESCRIPTOR.fields_by_name[reply.kind]
        answer = ext_proc.ProcessingResponse()
        getattr(answer, field.name).SetInParent()
        return bytes(answer.SerializeToString())
    common = ext_proc.CommonResponse()
    if reply.status:
        common.header_mutation.set_headers.append(_header(":status", str(reply.status)))
    headers = ext_proc.HeadersResponse(response=common)
    return bytes(ext_proc.ProcessingResponse(response_headers=headers).SerializeToString())
