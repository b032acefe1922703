"""The operator's settings of the external processor."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from badgercart.app.model import MAX_DURATION_MS, Address, Headers, Name, Table

StreamCount = Annotated[int, Field(ge=1, le=100_000)]


class Tls(Table, title="Tls"):
    """TLS on the listener, from PEM files that are read anew on SIGHUP"""  # noqa: D400

    cert: Name = Field(description="the file with the certificate and its chain")
    key: Name = Field(description="the file with its private key")
    client_ca: Name | None = Field(
        None,
        description="the file with the authorities of clients' certificates; with it nobody without one "
        "is answered",
    )


class HeaderNames(Table, title="HeaderNames"):
    """which headers describe a request; of several the first that is there counts"""  # noqa: D400

    request_id: Headers = Field(("request-id", "x-request-id"), description="the request's id")
    tenant: Headers = Field(("tenant",), description="the tenant")
    idempotency_key: Headers = Field(("idempotency-key",), description="the idempotency key")
    timeout: Headers = Field(
        ("request-timeout",), description="the time that is left, as 480m or 1500u"
    )
    timeout_ms: Headers = Field(
        ("x-envoy-expected-rq-timeout-ms",), description="the time that is left, in ms"
    )
    attempt: Headers = Field(
        ("x-envoy-attempt-count",), description="the number of the attempt, from 1"
    )
    work_hint: Headers = Field(("work-hint",), description="a guess at the work, in microseconds")
    retry: Headers = Field(("client-retry",), description="a 1 for a client's retry")
    proxy: Headers = Field(
        ("x-proxy-name",), description="the calling proxy's name, in the metadata of its call"
    )


class OldAnswers(Table, title="OldAnswers"):
    """what happens to a proxy that uses answers beyond their age"""  # noqa: D400

    window_ms: float = Field(
        60000.0,
        ge=1000,
        le=MAX_DURATION_MS,
        description="the time over which uses are counted (ms)",
    )
    no_fallbacks_after: int = Field(
        3, ge=1, le=100_000, description="uses after which it gets no fallbacks"
    )
    refuse_after: int = Field(10, ge=1, le=100_000, description="uses after which it is refused")
    refuse_for_ms: float = Field(
        10000.0,
        ge=100,
        le=MAX_DURATION_MS,
        description="the time for which it then is refused (ms)",
    )


class ProcessorSettings(Table, title="ProcessorSettings"):
    """a listener for proxies that ask by Envoy's external processing protocol"""  # noqa: D400

    listen: Address = Field(description="the host:port to listen on")
    tls: Tls | None = None
    max_streams: StreamCount = Field(
        2000, description="streams open at once; one more ends with RESOURCE_EXHAUSTED"
    )
    max_connection_streams: StreamCount = Field(
        1000, description="streams open at once on one connection; more wait at the proxy"
    )
    max_message_bytes: int = Field(
        65536,
        ge=1024,
        le=1 << 22,
        description="the size of one message (bytes); a larger one ends its stream",
    )
    max_headers: int = Field(
        128, ge=8, le=1000, description="headers in one message; more are answered 431"
    )
    first_message_ms: float = Field(
        60000.0,
        ge=100,
        le=MAX_DURATION_MS,
        description="the time for a stream to ask (ms), after which it is ended",
    )
    answer_age_ms: float = Field(
        300.0,
        ge=1,
        le=500,
        description="the time for which an answer may be used (ms), at most fleet.drain_grace_ms",
    )
    fallbacks: int = Field(
        1, ge=0, le=8, description="servers named behind the first where the class allows it"
    )
    later_attempts: bool = Field(
        False,
        description="whether proxies ask again here for a further attempt, as an upstream filter does",
    )
    later_wait_ms: float = Field(
        250.0,
        ge=1,
        le=MAX_DURATION_MS,
        description="the time for which a request waits to be asked again (ms)",
    )
    late_ms: float = Field(
        50.0,
        ge=1,
        le=MAX_DURATION_MS,
        description="the time after an attempt's limit for the proxy to tell its end (ms)",
    )
    whole_retry_after: bool = Field(
        False, description="whether Retry-After is told in whole seconds, rounded up"
    )
    max_finals: int = Field(
        4096, ge=1, le=1_000_000, description="requests remembered after their final answer"
    )
    headers: HeaderNames = HeaderNames()
    old_answers: OldAnswers = OldAnswers()
