"""The processor's listener: drives the machine with grpcio. The only file here that does I/O."""

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
from badgercart.frontends.processor.description import Describer
from badgercart.frontends.processor.machine import At, Calls, Illegal, Reply, Stream
from badgercart.frontends.processor.settings import ProcessorSettings, Tls

SERVICE = "envoy.service.ext_proc.v3.ExternalProcessor"
OPERATORS = "badgercart.processor.v1.Operators"
SWEEP = 0.5  # s between looks for streams that wait for their proxy for too long
WRITE_TIME = 5.0  # s for a proxy to take what was written to it
LINGER = (
    30.0  # s beyond its attempt's time that a stream may stay open without its response headers
)
ACCEPT_FOR = 0.6  # s after SIGTERM during which new streams are accepted
DRAIN_LOOK = 0.02  # s between looks whether all calls are over
MAX_NAME = 128  # characters of a proxy's name


class TlsError(OSError):
    """PEM files that can't be used."""


def read_tls(tls: Tls) -> Any:
    """The listener's certificate as grpcio wants it. Raises TlsError."""
    try:
        cert, key = Path(tls.cert).read_bytes(), Path(tls.key).read_bytes()
        client_ca = Path(tls.client_ca).read_bytes() if tls.client_ca else None
    except OSError as error:
        raise TlsError(f"{error.filename}: {error.strerror}") from None
    for path, data, mark in (
        (tls.cert, cert, b"BEGIN CERTIFICATE"),
        (tls.key, key, b"PRIVATE KEY"),
        (tls.client_ca, client_ca, b"BEGIN CERTIFICATE"),
    ):
        # Half of a file that is being written would leave the listener with no certificate at all.
        if data is not None and (
            mark not in data or data.count(b"-----BEGIN") != data.count(b"-----END")
        ):
            raise TlsError(f"{path}: holds no whole PEM of the kind {mark.decode()}")
    return grpc.ssl_server_certificate_configuration([(key, cert)], client_ca)


class Connection:
    """One stream as it is driven: what is to be written, and until when its proxy may take its
    time."""

    def __init__(self, proxy: str) -> None:
        self.out: deque[Reply] = deque()
        self.stream = Stream(proxy, self.put)
        self.ready: asyncio.Future[None] | None = None
        self.task = asyncio.current_task()
        self.until = 0.0  # on the loop's clock
        self.swept = False

    def put(self, reply: Reply) -> None:
        self.out.append(reply)
        if self.ready is not None and not self.ready.done():
            self.ready.set_result(None)


class Processor:
    """Takes streams, at most as many as the settings allow, and answers each message in its
    turn."""

    def __init__(
        self,
        config: Config,
        settings: ProcessorSettings,
        join: RequestPipeline,
        roster: EndpointTable,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.settings = settings
        self.join = join
        self.loop = loop
        self.calls = Calls(settings, join, roster, config.drain_grace)
        self.describer = Describer(config, settings)
        self.deadline = config.longest_deadline_ms / 1000
        self.connections: set[Connection] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.certificate: Any = read_tls(settings.tls) if settings.tls else None
        self.server = grpc.aio.server(
            options=(
                ("grpc.max_concurrent_streams", settings.max_connection_streams),
                # Streams that come faster than they are taken wait, or a burst within the limits is
                # cut off.
                ("grpc.server.max_pending_requests", settings.max_streams),
                ("grpc.server.max_pending_requests_hard_limit", 2 * settings.max_streams),
                ("grpc.max_receive_message_length", settings.max_message_bytes),
                ("grpc.max_metadata_size", 16384),
                ("grpc.so_reuseport", 0),
                # A connection whose other end is gone without a word is noticed within 25 s.
                ("grpc.keepalive_time_ms", 20000),
                ("grpc.keepalive_timeout_ms", 5000),
                ("grpc.keepalive_permit_without_calls", 1),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", 5000),
            )
        )
        # Bytes in and out: a message that is none must not end in the library's log.
        process = grpc.stream_stream_rpc_method_handler(self.process)
        proxies = grpc.unary_unary_rpc_method_handler(self.proxies)
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(SERVICE, {"Process": process}),
                grpc.method_handlers_generic_handler(OPERATORS, {"Proxies": proxies}),
            )
        )
        self.address: Address = settings.listen

    async def start(self) -> None:
        """Raises OSError where the address can't be had."""
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
        self.sweep()
        events.LISTENING(host=host, port=port, tls=" with TLS" if self.certificate else "")

    def replace_certificate(self, certificate: Any) -> None:
        """Connections that are open stay as they are."""
        self.certificate = certificate
        events.CERTIFICATE_READ()

    async def drain(self, until: float) -> None:
        """Take what still comes, see all calls to their end, until then (ms) at most, then end."""
        events.STOPPING(open=len(self.calls.open))
        await asyncio.sleep(ACCEPT_FOR)
        stopping = self.loop.create_task(self.server.stop(max(0.0, until - now_ms()) / 1000))
        quiet = 0
        while quiet < 3 and not stopping.done():  # a message may just lie unread
            await asyncio.sleep(DRAIN_LOOK)
            quiet = 0 if self.calls.open else quiet + 1
        await self.server.stop(0)
        await stopping
        self.close()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def sweep(self) -> None:
        """End streams whose proxy neither asks nor reads; one timer serves all of them."""
        self.timer = self.loop.call_later(SWEEP, self.sweep)
        now = self.loop.time()
        for connection in self.connections:
            if 0 < connection.until < now and not connection.swept and connection.task is not None:
                connection.swept = True
                connection.task.cancel()

    # Streams.

    def name(self, context: Any) -> str:
        """Who calls: its certificate's name, what it calls itself, or its address."""
        names = (
            context.auth_context().get("x509_common_name") if self.certificate is not None else None
        )
        if names:
            return bytes(names[0]).decode("utf-8", "replace")[:MAX_NAME]
        for key, value in context.invocation_metadata() or ():
            if key in self.settings.headers.proxy and isinstance(value, str):
                return value[:MAX_NAME]
        return str(context.peer()).rpartition(":")[0][:MAX_NAME]

    async def process(self, _: Any, context: Any) -> None:
        """`ExternalProcessor.Process`."""
        if len(self.connections) >= self.settings.max_streams:
            events.OVER_LIMIT()
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams are open")
        connection = Connection(self.name(context))
        self.connections.add(connection)
        try:
            await self.drive(connection, context)
        except Illegal as error:
            events.PROTOCOL_BROKEN(error=error, proxy=connection.stream.proxy)
            self.end(connection)
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except asyncio.CancelledError:
            self.end(connection)
            if not connection.swept:
                raise
            await context.abort(
                grpc.StatusCode.DEADLINE_EXCEEDED, "nothing came, or nothing was read"
            )
        finally:
            self.end(connection)

    def end(self, connection: Connection) -> None:
        """What is out on a stream ends with it, before anything else is awaited."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.calls.closed(connection.stream, self.join.clock())

    async def drive(self, connection: Connection, context: Any) -> None:
        """Take messages and write replies until the proxy is done."""
        stream, out = connection.stream, connection.out
        connection.until = self.loop.time() + self.settings.first_message_ms / 1000
        reading: asyncio.Future[Any] | None = None
        try:
            while True:
                if stream.at is At.ASKED:
                    # The policy holds the request for its turn. Meanwhile its proxy may give up.
                    reading = reading or asyncio.ensure_future(context.read())
                    connection.ready = self.loop.create_future()
                    await asyncio.wait(
                        (reading, connection.ready), return_when=asyncio.FIRST_COMPLETED
                    )
                    connection.ready = None
                if not out:
                    data, reading = await (reading or context.read()), None
                    if data is grpc.aio.EOF:
                        return
                    self.receive(connection, data)
                connection.until = self.loop.time() + WRITE_TIME
                while out:
                    await context.write(
                        messages.write(out.popleft(), self.settings.whole_retry_after)
                    )
                if stream.at is At.ENDED:
                    # All that was asked for has come: the end of the stream says so, and a proxy
                    # goes on.
                    return
                connection.until = self.loop.time() + self.deadline + LINGER
        finally:
            if reading is not None:
                reading.cancel()

    def receive(self, connection: Connection, data: bytes) -> None:
        """One message."""
        kind, message = messages.read(data)
        if message.observability_mode:
            return  # nobody waits for a reply, and nothing that was chosen would be done
        stream, now = connection.stream, self.join.clock()
        if kind == "request_headers":
            try:
                headers = message.request_headers.headers
                wanted = messages.pairs(headers, self.describer.wanted)
                described = self.describer.read(wanted, len(headers.headers))
            except InvalidRequestError as error:
                self.calls.bad_request(stream, error)
            else:
                self.calls.request(stream, described, now, messages.subset(message))
        elif kind == "response_headers":
            phase, served = messages.response_phase(message, self.settings.max_headers)
            self.calls.response(stream, phase, served, now)
        else:
            self.calls.body(stream, kind)

    # For operators.

    async def proxies(self, _: bytes, context: Any) -> bytes:
        """The account of each proxy, as JSON."""
        return json.dumps({"open": len(self.calls.open), "proxies": self.calls.rows()}).encode()
