"""Tests of the processor under faults: floods, many streams, signals, certificates, a broken policy."""

from __future__ import annotations

import asyncio
import datetime
import ipaddress
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import grpc
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from badgercart.frontends.processor import server as processor_server
from badgercart.frontends.processor.ask import fetch_status
from badgercart.frontends.processor.server import TlsError, read_tls
from badgercart.frontends.processor.settings import Tls
from badgercart.policy.events import AttemptEnded, AttemptResult, Request
from badgercart.policy.settings import RequestClass
from standins.demo import NodeProcess
from standins.fleet import Fleet, operators_file
from standins.scripted_proxy import ScriptedProxy, request_message, told_headers
from tests.net import CLASSES, WAIT_S, run
from tests.processors import SERVERS, request_headers, site_with_processor

DESTINATION = "x-gateway-destination-endpoint"
# Malformed messages of each kind. A longer test: `BADGERCART_FLOOD=33334 pytest tests/processor -k
# flood`.
FLOOD_MESSAGES = int(os.environ.get("BADGERCART_FLOOD", "100"))
# The classes of the other tests, with attempts that time out after 40 ms.
SHORT_TIMEOUT_CLASSES = tuple(
    RequestClass(40.0, 9000.0, 1.0, effect) for effect in CLASSES.values()
)


def test_hundreds_of_streams_on_one_connection() -> None:
    async def test() -> None:
        async with site_with_processor(servers=3) as harness, harness.proxy() as proxy:
            # 300 concurrent requests exceed the concurrency limit of three servers. Shedding is
            # disabled, since it is not the subject here.
            harness.pipeline.policy.overload.refresh = lambda *args: ""  # type: ignore[method-assign]
            harness.pipeline.policy.overload.concurrency.limit = 1e9
            streams = [proxy.stream() for _ in range(300)]
            answers = await asyncio.gather(
                *(stream.ask(request_headers("book")) for stream in streams)
            )
            routed = [
                s
                for s, a in zip(streams, answers, strict=True)
                if not a.HasField("immediate_response")
            ]
            assert (
                len(harness.calls.open)
                == len(routed)
                == harness.pipeline.policy.overload.concurrency.current
                > 50
            )
            await asyncio.gather(*(stream.respond(200) for stream in routed))
            await asyncio.gather(*(stream.half_close() for stream in streams))
            await harness.settled()

    run(test())


def test_thousands_of_idle_streams_are_accepted_and_one_above_the_limit_is_not() -> None:
    async def test() -> None:
        async with (
            site_with_processor(max_streams=3000, max_connection_streams=4000) as harness,
            harness.proxy() as proxy,
        ):
            streams = [proxy.stream() for _ in range(3000)]
            await asyncio.gather(*(stream.call.wait_for_connection() for stream in streams))
            await asyncio.gather(*(stream.call.write(request_message({})) for stream in streams))
            await asyncio.gather(*(stream.call.read() for stream in streams))
            assert len(harness.processor.connections) == 3000
            over = proxy.stream()
            # Its refusal may come before its connection is noticed, which ends any wait for that.
            assert await asyncio.wait_for(over.status(), WAIT_S) == "resource_exhausted"
            streams[0].cancel()
            async with asyncio.timeout(WAIT_S):
                while len(harness.processor.connections) == 3000:
                    await asyncio.sleep(0.001)
            assert (await proxy.stream().ask(request_headers())).HasField("request_headers")

    run(test())


def test_a_flood_of_malformed_messages_leaves_nothing_behind_and_others_are_served(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with (
            site_with_processor() as harness,
            harness.proxy() as bad,
            harness.proxy("p-2") as good,
        ):

            async def flood(data: bytes) -> None:
                for _ in range(FLOOD_MESSAGES):
                    stream = bad.raw()
                    await stream.call.write(data)
                    assert await stream.status() == "invalid_argument"

            floods = [
                asyncio.ensure_future(flood(data))
                for data in (b"\xff", b"", b"\x0a\xff", b"\x12\x00" * 40)
            ]
            for _ in range(50):
                stream = good.stream()
                assert (await stream.ask(request_headers())).HasField("request_headers")
                await stream.respond(200)
                await stream.half_close()
            for flooding in floods[:3]:
                await flooding
            floods[3].cancel()
            await asyncio.gather(floods[3], return_exceptions=True)
            await bad.close()
            await harness.settled()
            assert len(harness.of(Request)) == 50

    run(test())


def test_a_message_over_the_size_limit_ends_only_its_stream() -> None:
    async def test() -> None:
        async with site_with_processor(max_message_bytes=2048) as harness, harness.proxy() as proxy:
            stream = proxy.stream()
            await stream.call.write(request_message(request_headers(x_long="y" * 4096)))
            assert await stream.status() == "resource_exhausted"
            assert (await proxy.stream().ask(request_headers())).HasField("request_headers")
            assert len(harness.of(Request)) == 1

    run(test())


def test_streams_without_a_first_message_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(processor_server, "STREAM_CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with site_with_processor(first_message_ms=10.0) as harness, harness.proxy() as proxy:
            stream = proxy.stream()
            assert await asyncio.wait_for(stream.status(), WAIT_S) == "deadline_exceeded"
            await harness.settled()

    run(test())


def test_a_stream_whose_proxy_neither_reads_nor_responds_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(processor_server, "STREAM_CHECK_INTERVAL_S", 0.01)
    # The longest deadline is 9 s, so a stream times out after 0.1 s.
    monkeypatch.setattr(processor_server, "RESPONSE_GRACE_S", -8.9)

    async def test() -> None:
        async with (
            site_with_processor(classes=SHORT_TIMEOUT_CLASSES) as harness,
            harness.proxy() as proxy,
        ):
            stream = proxy.stream()
            await stream.call.write(
                request_message(request_headers("pay"))
            )  # its reply is not read
            await harness.event(AttemptEnded)
            await harness.settled()
            await stream.call.read()  # the reply, which was written before
            assert await stream.status() == "deadline_exceeded"

    run(test())


def test_an_attempt_without_response_times_out_and_its_late_response_is_passed_on() -> None:
    async def test() -> None:
        async with (
            site_with_processor(late_ms=1.0, classes=SHORT_TIMEOUT_CLASSES) as harness,
            harness.proxy() as proxy,
        ):
            failed, late = proxy.stream(), proxy.stream()
            await failed.ask(request_headers("pay", timeout="8000m"))
            await late.ask(request_headers("pay", timeout="8000m"))
            assert (await harness.event(AttemptEnded, 2)).result == AttemptResult.TIMEOUT
            assert (
                harness.pipeline.policy.overload.concurrency.current == 0 and not harness.calls.open
            )
            assert (await late.respond(200)).HasField("response_headers")
            # A 503 would say that a retry does no harm.
            answer = await failed.respond(503)
            assert answer.immediate_response.status.code == 502
            assert len(harness.of(AttemptEnded)) == 2

    run(test())


def test_an_exception_in_the_policy_fails_only_its_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            handle = harness.pipeline.policy.handle

            def broken(now_ms: float, event: object) -> Any:
                raise RuntimeError("broken on purpose")

            harness.pipeline.policy.handle = broken  # type: ignore[method-assign]
            answer = await proxy.stream().ask(request_headers())
            assert answer.immediate_response.status.code == 500
            harness.pipeline.policy.handle = handle  # type: ignore[method-assign]
            stream = proxy.stream()
            await stream.ask(request_headers())
            harness.pipeline.policy.handle = broken  # type: ignore[method-assign]
            # The status becomes 502, since the request may have been executed.
            assert (await stream.respond(503)).HasField("response_headers")
            harness.pipeline.policy.handle = handle  # type: ignore[method-assign]
            assert (await proxy.stream().ask(request_headers())).HasField("request_headers")
            assert len(harness.calls.open) == 1

    run(test())
    assert "broken on purpose" in caplog.text


def test_operators_see_the_record_of_each_proxy() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy("north") as proxy:
            stream = proxy.stream()
            await stream.ask(request_headers())
            status = await asyncio.to_thread(fetch_status, harness.address, None, None, None)
            assert status["open"] == 1 and status["proxies"]["north"]["unseen"] == 1
            assert status["proxies"]["north"]["standing"] == "good"

    run(test())


# The process.


def test_sigterm_finishes_open_streams_and_those_that_still_come(tmp_path: Path) -> None:
    async def test() -> None:
        fleet, node = await Fleet(12).start(), NodeProcess()
        path = tmp_path / "site.toml"
        path.write_text(operators_file(fleet.catalog.address))
        await node.start(path)
        async with (
            ScriptedProxy(node.fronts["processor"]) as proxy,
            ScriptedProxy(node.fronts["processor"]) as other,
        ):
            streams = [proxy.stream() for _ in range(20)]
            answers = await asyncio.gather(
                *(stream.ask(lookup(i)) for i, stream in enumerate(streams))
            )
            assert all(DESTINATION in told_headers(answer) for answer in answers)
            waiting = proxy.stream()  # it is open and has sent no message yet
            await waiting.call.wait_for_connection()
            node.process.send_signal(signal.SIGTERM)
            assert DESTINATION in told_headers(await waiting.ask(lookup(100)))
            # This is a new connection.
            assert DESTINATION in told_headers(await other.stream().ask(lookup(101)))
            for stream in (*streams, waiting):
                assert (await stream.respond(200)).HasField("response_headers")
                await stream.half_close()
            assert await asyncio.wait_for(node.process.wait(), WAIT_S) == 0
        await node.reading
        await fleet.stop()

    run(test())


def lookup(number: int) -> dict[str, str]:
    """Return the headers of a request to the installation of `operators_file`."""
    headers = {"tenant": "pesti", "request-id": f"q-{number}", "request-timeout": "1400m"}
    return headers | {":method": "GET", ":path": f"/cab-lookup/r{number}"}


def test_sighup_reloads_the_servers_and_rejects_an_invalid_file(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "site.toml"
        good = operators_file("x:1").replace(
            '[members]\ncatalog = "x:1"',
            '[[members.server]]\nname = "s-1"\naddress = "127.0.0.1:7001"',
        )
        path.write_text(good)
        node = NodeProcess()
        await node.start(path)
        async with ScriptedProxy(node.fronts["processor"]) as proxy:
            first = told_headers(await proxy.stream().ask(lookup(1)))[DESTINATION]
            path.write_text(good.replace("worth = 8", "worth = -8"))
            node.process.send_signal(signal.SIGHUP)
            await wait_for_log(node, "the configuration stays as it was")
            path.write_text(good.replace("7001", "7002"))
            node.process.send_signal(signal.SIGHUP)
            await wait_for_log(node, "configuration read")
            second = told_headers(await proxy.stream().ask(lookup(2)))[DESTINATION]
            assert (first, second) == (SERVERS[0], SERVERS[1])
        node.process.kill()
        await node.process.wait()
        await node.reading

    run(test())


async def wait_for_log(node: NodeProcess, text: str) -> None:
    """Wait until a text is logged."""
    async with asyncio.timeout(WAIT_S):
        while not any(text in line for line in node.lines):
            await asyncio.sleep(0.01)


# Certificates.


def create_authority(name: str) -> tuple[ec.EllipticCurvePrivateKey, x509.Certificate]:
    """Create a certificate authority: its key and certificate."""
    key = ec.generate_private_key(ec.SECP256R1())
    return key, certificate(name, key, None, key, True)


def certificate(
    name: str, key: Any, issuer: x509.Certificate | None, signer: Any, ca: bool = False
) -> x509.Certificate:
    """Create a certificate for 127.0.0.1."""
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer.subject if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=30))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(ca=ca, path_length=None), critical=True)
        .sign(signer, hashes.SHA256())
    )


def pem(cert: x509.Certificate) -> bytes:
    """Return a certificate as PEM."""
    return cert.public_bytes(serialization.Encoding.PEM)


def key_pem(key: Any) -> bytes:
    """Return a private key as PEM."""
    no_encryption = serialization.NoEncryption()
    return bytes(
        key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, no_encryption
        )
    )


def create_certificate_files(
    folder: Path, name: str, ca: tuple[Any, x509.Certificate]
) -> tuple[bytes, bytes]:
    """Return a new certificate and its key as PEM, and write both to files of that name."""
    key = ec.generate_private_key(ec.SECP256R1())
    pair = pem(certificate(name, key, ca[1], ca[0])), key_pem(key)
    (folder / f"{name}.pem").write_bytes(pair[0])
    (folder / f"{name}.key").write_bytes(pair[1])
    return pair


def test_mutual_tls_requires_a_client_certificate_and_is_reloaded(tmp_path: Path) -> None:
    ca, other_ca = create_authority("ca"), create_authority("other")
    create_certificate_files(tmp_path, "server", ca)
    (tmp_path / "ca.pem").write_bytes(pem(ca[1]))
    north = create_certificate_files(tmp_path, "north", ca)
    unknown = create_certificate_files(tmp_path, "unknown", other_ca)
    tls = Tls(
        cert=str(tmp_path / "server.pem"),
        key=str(tmp_path / "server.key"),
        client_ca=str(tmp_path / "ca.pem"),
    )

    async def route(harness: Any, roots: bytes, own: tuple[bytes, bytes] | None) -> str:
        """Return the endpoint of a route, or how the call failed."""
        credentials = grpc.ssl_channel_credentials(roots, *(reversed(own) if own else ()))
        async with ScriptedProxy(harness.address, credentials=credentials) as proxy:
            try:
                return told_headers(await proxy.stream().ask(request_headers()))[DESTINATION]
            except grpc.RpcError as error:
                return str(error.code().name)

    async def test() -> None:
        async with site_with_processor(tls=tls) as harness:
            assert await route(harness, pem(ca[1]), north) == SERVERS[0]
            assert "north" in harness.calls.proxy_rows()  # named by its certificate
            assert await route(harness, pem(ca[1]), None) == "UNAVAILABLE"
            assert await route(harness, pem(ca[1]), unknown) == "UNAVAILABLE"
            async with ScriptedProxy(harness.address) as plain:
                with pytest.raises(grpc.RpcError):
                    await plain.stream().ask(request_headers())
            assert len(harness.of(Request)) == 1
            # A half-written key is rejected, then a new authority is used on both sides.
            key = (tmp_path / "server.key").read_bytes()
            (tmp_path / "server.key").write_bytes(key[:40])
            assert harness.application.reload(harness.application.installation)[0].startswith(
                "processor: the certificate: "
            )
            assert await route(harness, pem(ca[1]), north) == SERVERS[0]
            create_certificate_files(tmp_path, "server", other_ca)
            (tmp_path / "ca.pem").write_bytes(pem(other_ca[1]))
            assert harness.application.reload(harness.application.installation) == []
            assert await route(harness, pem(other_ca[1]), unknown) == SERVERS[0]
            assert await route(harness, pem(other_ca[1]), north) == "UNAVAILABLE"

    run(test())


def test_a_file_without_a_certificate_is_reported(tmp_path: Path) -> None:
    ca = create_authority("ca")
    create_certificate_files(tmp_path, "server", ca)
    cert, key = str(tmp_path / "server.pem"), str(tmp_path / "server.key")
    for tls, message in (
        (Tls(cert="/none.pem", key=key), "/none.pem"),
        (Tls(cert=key, key=cert), "server.key: holds no whole PEM"),
    ):
        with pytest.raises(TlsError, match=message):
            read_tls(tls)


def test_an_address_in_use_is_reported_with_exit_status_2(tmp_path: Path) -> None:
    async def test() -> None:
        taken = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = taken.sockets[0].getsockname()[1]
        path = tmp_path / "site.toml"
        before, _, after = operators_file("127.0.0.1:1").rpartition("127.0.0.1:0")
        text = f"{before}127.0.0.1:{port}{after}"
        path.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "badgercart",
            "serve",
            str(path),
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await asyncio.wait_for(process.communicate(), WAIT_S)
        assert process.returncode == 2 and str(port) in errors.decode().splitlines()[-1]
        taken.close()

    run(test())


def test_the_platforms_node_imports_none_of_its_libraries() -> None:
    libraries = {"grpc", "envoy", "google", "tomllib", "pydantic", "click", "rich", "structlog"}
    libraries |= {"prometheus_client", "tree_sitter", "graphql", "argparse"}
    code = f"import badgercart.__main__, sys; print(*{libraries} & set(sys.modules))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.split() == []
