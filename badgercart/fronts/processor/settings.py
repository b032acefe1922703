"""What an operator may set of the processor, with defaults; `operator.file` has units and checks."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Tls:
    """PEM files, read at the start and anew on SIGHUP. With `client_ca`, no client without a certificate."""

    cert: str
    key: str
    client_ca: str | None = None


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Where a description has its parts: the first header that is there counts."""

    request_id: tuple[str, ...] = ("request-id", "x-request-id")
    tenant: tuple[str, ...] = ("tenant",)
    idempotency_key: tuple[str, ...] = ("idempotency-key",)
    timeout: tuple[str, ...] = ("request-timeout",)  # 480m or 1500u, as in the platform's protocol
    timeout_ms: tuple[str, ...] = ("x-envoy-expected-rq-timeout-ms",)
    attempt: tuple[str, ...] = ("x-envoy-attempt-count",)
    work_hint: tuple[str, ...] = ("work-hint",)
    retry: tuple[str, ...] = ("client-retry",)
    proxy: tuple[str, ...] = ("x-proxy-name",)  # of the gRPC call, not of the request


@dataclass(slots=True, frozen=True)
class OldAnswers:
    """When a proxy that uses old answers loses its fallbacks, and when it is refused."""

    window: float = 60000.0  # ms over which uses are counted
    no_fallbacks_after: int = 3
    refuse_after: int = 10
    refuse_for: float = 10000.0  # ms


@dataclass(slots=True, frozen=True)
class ProcessorSettings:
    listen: tuple[str, int]
    tls: Tls | None = None
    max_streams: int = 2000  # open at once, over all connections
    max_connection_streams: int = 1000  # open at once on one connection
    max_message: int = 65536  # bytes
    max_headers: int = 128  # of one message
    first_message: float = 60000.0  # ms for a stream to ask
    answer_age: float = 300.0  # ms for which an answer may be used; never more than the drain grace
    drain_grace: float = 500.0  # ms
    fallbacks: int = 1  # servers named behind the first where the class allows another attempt
    later_attempts: bool = False  # whether proxies ask again, with a count above 1, for a further attempt
    later_wait: float = 250.0  # ms for which an ended attempt's request waits to be asked again
    late: float = 50.0  # ms after an attempt's limit for the proxy to tell of its end
    whole_retry_after: bool = False  # whole seconds, rounded up
    max_finals: int = 4096  # requests remembered after their final answer, so that they aren't taken twice
    headers: HeaderNames = field(default_factory=HeaderNames)
    old_answers: OldAnswers = field(default_factory=OldAnswers)
