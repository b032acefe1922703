"""Parses Envoy's messages and serializes replies. No I/O.

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
    ImmediateReply,
    PassReply,
    ProtocolError,
    Reply,
    RouteReply,
    SkipReply,
    format_retry_after,
)
from badgercart.frontends.processor.outcomes import ResponsePhase

DESTINATION_HEADER = "x-gateway-destination-endpoint"
SERVED_HEADER = "x-gateway-destination-endpoint-served"
SUBSET_HEADER = "x-gateway-destination-endpoint-subset"
METADATA_NAMESPACE, SUBSET_METADATA_NAMESPACE = "envoy.lb", "envoy.lb.subset_hint"
# How long an answer may be used after it was received.
ANSWER_AGE_HEADER = "x-badgercart-answer-age-ms"
MAX_RETRIES_HEADER, UPSTREAM_TIMEOUT_HEADER = (
    "x-envoy-max-retries",
    "x-envoy-upstream-rq-timeout-ms",
)
MAX_SUBSET_ENDPOINTS = 4096

_OVERWRITE = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
_RESPONSE_HEADERS = frozenset((":status", "not-started", SERVED_HEADER, "x-envoy-attempt-count"))
_Mode = processing_mode_pb2.ProcessingMode
_HEADERS_ONLY = _Mode(
    request_header_mode=_Mode.SEND,
    response_header_mode=_Mode.SEND,
    request_body_mode=_Mode.NONE,
    response_body_mode=_Mode.NONE,
    request_trailer_mode=_Mode.SKIP,
    response_trailer_mode=_Mode.SKIP,
)


def parse_message(data: bytes) -> tuple[str, Any]:
    """Return the kind of a message and the message. Raises ProtocolError if it has none."""
    try:
        message = ext_proc.ProcessingRequest.FromString(data)
    except DecodeError:
        raise ProtocolError("no ProcessingRequest") from None
    kind = message.WhichOneof("request")
    if kind is None:
        raise ProtocolError("a message that holds no phase")
    return kind, message


def wanted_headers(headers: Any, wanted: frozenset[str]) -> Iterator[tuple[str, bytes]]:
    """Yield names and values of the wanted headers.

    Envoy sets `raw_value`; older versions set `value`.
    """
    for header in headers.headers:
        name = header.key.lower()
        if name in wanted:
            yield name, header.raw_value or header.value.encode()


def subset_endpoints(message: Any) -> tuple[str, ...]:
    """Return the endpoints that the proxy accepts; empty if it accepts any."""
    fields = message.metadata_context.filter_metadata
    if SUBSET_METADATA_NAMESPACE not in fields:
        return ()
    value = fields[SUBSET_METADATA_NAMESPACE].fields.get(SUBSET_HEADER)
    if value is None:
        return ()
    if value.HasField("list_value"):
        found = [item.string_value for item in value.list_value.values[:MAX_SUBSET_ENDPOINTS]]
    else:
        found = value.string_value.split(",")[:MAX_SUBSET_ENDPOINTS]
    return tuple(item.strip() for item in found if item.strip())


def response_phase(message: Any, max_headers: int) -> tuple[ResponsePhase, str | None]:
    """Return the content of response headers, and the endpoint that served the request.

    Raises ProtocolError.
    """
    headers = message.response_headers.headers
    if len(headers.headers) > max_headers:
        raise ProtocolError(f"over {max_headers} headers")
    status, not_started, attempts, served = 0, False, 1, None
    for name, value in wanted_headers(headers, _RESPONSE_HEADERS):
        if name == ":status":
            if not value.isdigit() or not 100 <= int(value) <= 599:
                raise ProtocolError(f"the status {value[:20]!r}")
            status = int(value)
        elif name == "not-started":
            not_started = value == b"1"
        elif name == SERVED_HEADER:
            served = value[:256].decode("latin-1")
        elif value.isdigit() and len(value) < 4:
            attempts = max(1, int(value))
    if not status:
        raise ProtocolError("response headers without :status")
    fields = message.metadata_context.filter_metadata
    if METADATA_NAMESPACE in fields and SERVED_HEADER in fields[METADATA_NAMESPACE].fields:
        served = fields[METADATA_NAMESPACE].fields[SERVED_HEADER].string_value or served
    attributes = _attributes(message)
    flags = attributes.get("response.flags")
    flag_bits = (
        int(flags.number_value) if flags is not None and flags.HasField("number_value") else None
    )
    attempt_count = attributes.get("upstream.request_attempt_count")
    if attempt_count is not None and 1 <= attempt_count.number_value < 1000:
        attempts = int(attempt_count.number_value)
    phase = ResponsePhase(
        status=status,
        not_started=not_started,
        flags=flag_bits,
        details=_text(attributes.get("response.code_details")),
        upstream=_text(attributes.get("upstream.address")),
        attempts=attempts,
    )
    return phase, served


def _attributes(message: Any) -> dict[str, Any]:
    found: dict[str, Any] = {}
    # They are grouped by filter, and attribute names are unique among filters.
    for name in message.attributes:
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


def serialize_reply(reply: Reply, whole_retry_after: bool) -> bytes:
    """Return a reply in wire format; `whole_retry_after`: whether Retry-After has whole seconds."""
    if isinstance(reply, RouteReply):
        return _serialize_route(reply)
    if isinstance(reply, ImmediateReply):
        return _serialize_immediate(reply, whole_retry_after)
    return _serialize_pass_or_skip(reply)


def _field(number: int, data: bytes) -> bytes:
    """Serialize a field with bytes or a message (Protocol Buffers, "Encoding": wire type LEN)."""
    size, length = len(data), bytearray()
    while size > 127:
        length.append(size & 127 | 128)
        size >>= 7
    length.append(size)
    return bytes((number << 3 | 2,)) + length + data


# A route is assembled from serialized parts, which are cached: most of its few headers have the same
# values again and again, and building the objects each time takes longer than the decision.


@lru_cache(maxsize=4096)
def _serialize_timeout(timeout_ms: int) -> bytes:
    """Serialize the headers that limit the attempt's time."""
    return bytes(
        ext_proc.HeaderMutation(
            set_headers=[
                _header(UPSTREAM_TIMEOUT_HEADER, str(timeout_ms)),
                _header("request-timeout", f"{timeout_ms}m"),
            ]
        ).SerializeToString()
    )


@lru_cache(maxsize=4096)
def _serialize_endpoints(endpoints: tuple[str, ...], max_age_ms: int) -> tuple[bytes, bytes]:
    """Serialize the headers that name the endpoints, and the response's metadata and mode."""
    destination = ",".join(endpoints)
    lines = (
        (DESTINATION_HEADER, destination),
        (ANSWER_AGE_HEADER, str(max_age_ms)),
        (MAX_RETRIES_HEADER, str(len(endpoints) - 1)),
    )
    mutation = ext_proc.HeaderMutation(set_headers=[_header(name, value) for name, value in lines])
    metadata = struct_pb2.Struct(
        fields={
            DESTINATION_HEADER: struct_pb2.Value(string_value=destination),
            ANSWER_AGE_HEADER: struct_pb2.Value(number_value=max_age_ms),
        }
    )
    metadata_and_mode = ext_proc.ProcessingResponse(
        dynamic_metadata=struct_pb2.Struct(
            fields={METADATA_NAMESPACE: struct_pb2.Value(struct_value=metadata)}
        ),
        mode_override=_HEADERS_ONLY,
    )
    return bytes(mutation.SerializeToString()), bytes(metadata_and_mode.SerializeToString())


def _serialize_route(reply: RouteReply) -> bytes:
    mutation, metadata_and_mode = _serialize_endpoints(reply.endpoints, int(reply.max_age_ms))
    common = _field(_COMMON_MUTATION, mutation + _serialize_timeout(int(reply.timeout_ms)))
    return _field(_REQUEST_HEADERS, _field(_HEADERS_COMMON, common)) + metadata_and_mode


def _serialize_immediate(reply: ImmediateReply, whole_seconds: bool) -> bytes:
    lines = [_header("content-type", "text/plain")]
    if reply.retry_after_ms:
        lines.append(
            _header("retry-after", format_retry_after(reply.retry_after_ms, whole_seconds))
        )
    if reply.allow:
        lines.append(_header("allow", reply.allow.decode()))
    immediate = ext_proc.ImmediateResponse(
        status=http_status_pb2.HttpStatus(code=reply.status),
        headers=ext_proc.HeaderMutation(set_headers=lines),
        body=f"{reply.reason}\n".encode(),
        details="badgercart_" + "".join(c if c.isalnum() else "_" for c in reply.reason),
    )
    return bytes(ext_proc.ProcessingResponse(immediate_response=immediate).SerializeToString())


@cache
def _serialize_pass_or_skip(reply: PassReply | SkipReply) -> bytes:
    if isinstance(reply, SkipReply):
        field = ext_proc.ProcessingResponse.DESCRIPTOR.fields_by_name[reply.kind]
        answer = ext_proc.ProcessingResponse()
        getattr(answer, field.name).SetInParent()
        return bytes(answer.SerializeToString())
    common = ext_proc.CommonResponse()
    if reply.status:
        common.header_mutation.set_headers.append(_header(":status", str(reply.status)))
    headers = ext_proc.HeadersResponse(response=common)
    return bytes(ext_proc.ProcessingResponse(response_headers=headers).SerializeToString())
