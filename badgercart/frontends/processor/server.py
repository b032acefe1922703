"""The processor's gRPC server: drives the state machines.

This module and `ask` are the only ones of the package that do I/O.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from badgercart.config import Address, Config
from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.core.requests import InvalidRequestError
from badgercart.frontends.processor import log_events as events
from badgercart.frontends.processor import messages
from badgercart.frontends.processor.description import DescriptionReader
from badgercart.frontends.processor.machine import Calls, ProtocolError, Reply, Stream, StreamState
from badgercart.frontends.processor.settings import ProcessorSettings, Tls

EXT_PROC_SERVICE = "envoy.service.ext_proc.v3.ExternalProcessor"
OPERATORS_SERVICE = "badgercart.processor.v1.Operators"
# How often streams are checked whose proxies have exceeded a timeout.
STREAM_CHECK_INTERVAL_S = 0.5
WRITE_TIMEOUT_S = 5.0  # for a proxy to read a reply
# How long after the longest deadline a stream may stay open without its response headers.
RESPONSE_GRACE_S = 30.0
DRAIN_ACCEPT_S = 0.6  # how long new streams are accepted after SIGTERM
DRAIN_CHECK_INTERVAL_S = 0.02
DRAIN_QUIET_CHECKS = 3  # successive checks without an open call that end the drain
MAX_PROXY_NAME_CHARS = 128


class TlsError(OSError):
    """PEM files that can't be used."""


def read_tls(tls: Tls) -> Any:
    """Load the certificate for grpcio. Raises TlsError."""
    try:
        cert, key = Path(tls.cert).read_bytes(), Path(tls.key).read_bytes()
        client_ca = Path(tls.client_ca).read_bytes() if tls.client_ca else None
    except OSError as error:
        raise TlsError(f"{error.filename}: {error.strerror}") from None
    for path, data, marker in (
        (tls.cert, cert, b"BEGIN CERTIFICATE"),
        (tls.key, key, b"PRIVATE KEY"),
        (tls.client_ca, client_ca, b"BEGIN CERTIFICATE"),
    ):
        # A file that is only half written would leave the listener without a certificate.
        if data is not None and (
            marker not in data or data.count(b"-----BEGIN") != data.count(b"-----END")
        ):
            raise TlsError(f"{path}: holds no whole PEM of the kind {marker.decode()}")
    return grpc.ssl_server_certificate_configuration([(key, cert)], client_ca)


class StreamConnection:
    """One stream with its unwritten replies and its timeout."""

    def __init__(self, proxy: str) -> None:
        self.replies: deque[Reply] = deque()
        self.stream = Stream(proxy, self.add_reply)
        self.reply_added: asyncio.Future[None] | None = None
        self.task = asyncio.current_task()
        self.timeout_at_s = 0.0  # on the loop's clock; 0: none
        self.timed_out = False

    def add_reply(self, reply: Reply) -> None:
        """Add a reply to be written."""
        self.replies.append(reply)
        if self.reply_added is not None and not self.reply_added.done():
            self.reply_added.set_result(None)


class ProcessorServer:
    """Accepts streams, as many as the settings allow, and answers their messages in order."""

    def __init__(
        self,
        config: Config,
        settings: ProcessorSettings,
        pipeline: RequestPipeline,
        endpoint_table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.settings = settings
        self.pipeline = pipeline
        self.loop = loop
        self.calls = Calls(settings, pipeline, endpoint_table, config.drain_grace)
        self.description_reader = DescriptionReader(config, settings)
        self.longest_deadline_s = config.longest_deadline_ms / 1000
        self.connections: set[StreamConnection] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.certificate: Any = read_tls(settings.tls) if settings.tls else None
        self.server = grpc.aio.server(
            options=(
                ("grpc.max_concurrent_streams", settings.max_connection_streams),
                # Streams that come faster than they are accepted wait; otherwise a burst within the
                # limits would be rejected.
                ("grpc.server.max_pending_requests", settings.max_streams),
                ("grpc.server.max_pending_requests_hard_limit", 2 * settings.max_streams),
                ("grpc.max_receive_message_length", settings.max_message_bytes),
                ("grpc.max_metadata_size", 16384),
                ("grpc.so_reuseport", 0),
                # A connection whose peer has vanished is noticed within 25 s.
                ("grpc.keepalive_time_ms", 20000),
                ("grpc.keepalive_timeout_ms", 5000),
                ("grpc.keepalive_permit_without_calls", 1),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", 5000),
            )
        )
        # Messages are handled as bytes, so that the library does not log malformed ones.
        process = grpc.stream_stream_rpc_method_handler(self.process)
        proxies = grpc.unary_unary_rpc_method_handler(self.proxies)
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(EXT_PROC_SERVICE, {"Process": process}),
                grpc.method_handlers_generic_handler(OPERATORS_SERVICE, {"Proxies": proxies}),
            )
        )
        self.address: Address = settings.listen

    async def start(self) -> None:
        """Listen. Raises OSError if the address can't be used."""
        host, port = self.settings.listen
        try:
            if self.certificate is None:
                port = self.server.add_insecure_port(f"{host}:{port}")
            else:
                tls = self.settings.tls
                credentials = grpc.dynamic_ssl_server_credentials(
                    self.certificate,
                    lambda: self.certificate,
                    require_client_authentication=bool(tls and tls.client_ca),
                )
                port = self.server.add_secure_port(f"{host}:{port}", credentials)
        except RuntimeError as error:
            raise OSError(str(error).splitlines()[0]) from None
        self.address = (host, port)
        await self.server.start()
        self.check_timeouts()
        events.LISTENING(host=host, port=port, tls=" with TLS" if self.certificate else "")

    def replace_certificate(self, certificate: Any) -> None:
        """Use another certificate for new connections; open ones stay as they are."""
        self.certificate = certificate
        events.CERTIFICATE_READ()

    async def drain(self, deadline_ms: float) -> None:
        """Accept streams for a while, finish all calls, and stop at `deadline_ms` at the latest."""
        events.STOPPING(open=len(self.calls.open))
        await asyncio.sleep(DRAIN_ACCEPT_S)
        stopping = self.loop.create_task(self.server.stop(max(0.0, deadline_ms - now_ms()) / 1000))
        quiet_checks = 0
        # One such check is not enough, since there may be a message that is not read yet.
        while quiet_checks < DRAIN_QUIET_CHECKS and not stopping.done():
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            quiet_checks = 0 if self.calls.open else quiet_checks + 1
        await self.server.stop(0)
        await stopping
        self.close()

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def check_timeouts(self) -> None:
        """End streams whose proxies have exceeded a timeout; one timer serves all streams."""
        self.timer = self.loop.call_later(STREAM_CHECK_INTERVAL_S, self.check_timeouts)
        now_s = self.loop.time()
        for connection in self.connections:
            if (
                0 < connection.timeout_at_s < now_s
                and not connection.timed_out
                and connection.task is not None
            ):
                connection.timed_out = True
                connection.task.cancel()

    # Streams.

    def proxy_name(self, context: Any) -> str:
        """Return the caller's name: of its certificate, of its metadata, or its address."""
        names = (
            context.auth_context().get("x509_common_name") if self.certificate is not None else None
        )
        if names:
            return bytes(names[0]).decode("utf-8", "replace")[:MAX_PROXY_NAME_CHARS]
        for key, value in context.invocation_metadata() or ():
            if key in self.settings.headers.proxy and isinstance(value, str):
                return value[:MAX_PROXY_NAME_CHARS]
        return str(context.peer()).rpartition(":")[0][:MAX_PROXY_NAME_CHARS]

    async def process(self, _: Any, context: Any) -> None:
        """Serve one stream (`ExternalProcessor.Process`)."""
        if len(self.connections) >= self.settings.max_streams:
            events.OVER_LIMIT()
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams are open")
        connection = StreamConnection(self.proxy_name(context))
        self.connections.add(connection)
        try:
            await self.drive(connection, context)
        except ProtocolError as error:
            events.PROTOCOL_BROKEN(error=error, proxy=connection.stream.proxy)
            self.close_stream(connection)
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except asyncio.CancelledError:
            self.close_stream(connection)
            if not connection.timed_out:
                raise
            await context.abort(
                grpc.StatusCode.DEADLINE_EXCEEDED, "nothing came, or nothing was read"
            )
        finally:
            self.close_stream(connection)

    def close_stream(self, connection: StreamConnection) -> None:
        """End a stream's open attempt; called before anything else is awaited."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.calls.stream_closed(connection.stream, self.pipeline.clock())

    async def drive(self, connection: StreamConnection, context: Any) -> None:
        """Read messages and write replies until the stream ends."""
        stream, replies = connection.stream, connection.replies
        connection.timeout_at_s = self.loop.time() + self.settings.first_message_ms / 1000
        reading: asyncio.Future[Any] | None = None
        try:
            while True:
                if stream.state is StreamState.WAITING:
                    # The policy has not decided yet. Meanwhile the proxy may end the stream.
                    reading = reading or asyncio.ensure_future(context.read())
                    connection.reply_added = self.loop.create_future()
                    await asyncio.wait(
                        (reading, connection.reply_added), return_when=asyncio.FIRST_COMPLETED
                    )
                    connection.reply_added = None
                if not replies:
                    data, reading = await (reading or context.read()), None
                    if data is grpc.aio.EOF:
                        return
                    self.receive(connection, data)
                connection.timeout_at_s = self.loop.time() + WRITE_TIMEOUT_S
                while replies:
                    await context.write(
                        messages.serialize_reply(replies.popleft(), self.settings.whole_retry_after)
                    )
                if stream.state is StreamState.ENDED:
                    # All requested messages have come. Ending the stream lets the proxy continue.
                    return
                connection.timeout_at_s = (
                    self.loop.time() + self.longest_deadline_s + RESPONSE_GRACE_S
                )
        finally:
            if reading is not None:
                reading.cancel()

    def receive(self, connection: StreamConnection, data: bytes) -> None:
        """Handle one message. Raises ProtocolError."""
        kind, message = messages.parse_message(data)
        if message.observability_mode:
            return  # the proxy waits for no reply and would not execute a decision
        stream, now_ms = connection.stream, self.pipeline.clock()
        if kind == "request_headers":
            try:
                headers = message.request_headers.headers
                wanted = messages.wanted_headers(headers, self.description_reader.wanted)
                description = self.description_reader.read(wanted, len(headers.headers))
            except InvalidRequestError as error:
                self.calls.reject_request(stream, error)
            else:
                self.calls.request_headers_received(
                    stream, description, now_ms, messages.subset_endpoints(message)
                )
        elif kind == "response_headers":
            phase, served = messages.response_phase(message, self.settings.max_headers)
            self.calls.response_headers_received(stream, phase, served, now_ms)
        else:
            self.calls.body_received(stream, kind)

    # For operators.

    async def proxies(self, _: bytes, context: Any) -> bytes:
        """Return the number of open calls and the record of each proxy, as JSON."""
        return json.dumps(
            {"open": len(self.calls.open), "proxies": self.calls.proxy_rows()}
        ).encode()
