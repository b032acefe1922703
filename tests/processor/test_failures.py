"""The processor when things go wrong round it: floods, crowds, signals, certificates, a broken
policy."""

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
from badgercart.frontends.processor.ask import ask
from badgercart.frontends.processor.server import TlsError, read_tls
from badgercart.frontends.processor.settings import Tls
from badgercart.policy.events import AttemptEnded, AttemptResult, Request
from badgercart.policy.settings import RequestClass
from standins.demo import NodeProcess
from standins.fleet import Fleet, operators_file
from standins.scripted_proxy import ScriptedProxy, request_message, told_headers
from tests.net import CLASSES, WAIT_S, run
from tests.processors import SERVERS, described, site_with_processor

DESTINATION = "x-gateway-destination-endpoint"
# Bad messages of each kind; the long form is `BADGERCART_FLOOD=33334 pytest tests/processor -k
# flood`.
FLOOD = int(os.environ.get("BADGERCART_FLOOD", "100"))
# The classes of the other tests, with attempts that time out after 40 ms.
QUICK = tuple(RequestClass(40.0, 9000.0, 1.0, effect) for effect in CLASSES.values())


def test_hundreds_of_streams_on_one_connection() -> None:
    async def test() -> None:
        async with site_with_processor(servers=3) as bench, bench.proxy() as proxy:
            # 300 at once are a burst beyond three servers' need: what is cut is another matter
            # here.
            bench.join.policy.overload.refresh = lambda *told: ""  # type: ignore[method-assign]
            bench.join.policy.overload.concurrency.limit = 1e9
            streams = [proxy.stream() for _ in range(300)]
            answers = await asyncio.gather(*(stream.ask(described("book")) for stream in streams))
            routed = [
                s
                for s, a in zip(streams, answers, strict=True)
                if not a.HasField("immediate_response")
            ]
            assert (
                len(bench.calls.open)
                == len(routed)
                == bench.join.policy.overload.concurrency.current
                > 50
            )
            await asyncio.gather(*(stream.respond(200) for stream in routed))
            await asyncio.gather(*(stream.half_close() for stream in streams))
            await bench.settled()

    run(test())


def test_thousands_of_idle_streams_are_within_the_limit_and_one_more_is_not() -> None:
    async def test() -> None:
        async with (
            site_with_processor(max_streams=3000, max_connection_streams=4000) as bench,
            bench.proxy() as proxy,
        ):
            streams = [proxy.stream() for _ in range(3000)]
            await asyncio.gather(*(stream.call.wait_for_connection() for stream in streams))
            await asyncio.gather(*(stream.call.write(request_message({})) for stream in streams))
            await asyncio.gather(*(stream.call.read() for stream in streams))
            assert len(bench.processor.connections) == 3000
            over = proxy.stream()
            await over.call.wait_for_connection()
            assert await over.status() == "resource_exhausted"
            streams[0].cancel()
            async with asyncio.timeout(WAIT_S):
                while len(bench.processor.connections) == 3000:
                    await asyncio.sleep(0.001)
            assert (await proxy.stream().ask(described())).HasField("request_headers")

    run(test())


def test_a_flood_of_bad_messages_leaves_nothing_and_the_good_are_served(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as bad, bench.proxy("p-2") as good:

            async def flood(data: bytes) -> None:
                for _ in range(FLOOD):
                    stream = bad.raw()
                    await stream.call.write(data)
                    assert await stream.status() == "invalid_argument"

            floods = [
                asyncio.ensure_future(flood(data))
                for data in (b"\xff", b"", b"\x0a\xff", b"\x12\x00" * 40)
            ]
            for _ in range(50):
                stream = good.stream()
                assert (await stream.ask(described())).HasField("request_headers")
                await stream.respond(200)
                await stream.half_close()
            for flooding in floods[:3]:
                await flooding
            floods[3].cancel()
            await asyncio.gather(floods[3], return_exceptions=True)
            await bad.close()
            await bench.settled()
            assert len(bench.of(Request)) == 50

    run(test())


def test_a_message_over_the_limit_ends_its_stream_alone() -> None:
    async def test() -> None:
        async with site_with_processor(max_message_bytes=2048) as bench, bench.proxy() as proxy:
            stream = proxy.stream()
            await stream.call.write(request_message(described(x_long="y" * 4096)))
            assert await stream.status() == "resource_exhausted"
            assert (await proxy.stream().ask(described())).HasField("request_headers")
            assert len(bench.of(Request)) == 1

    run(test())


def test_streams_that_never_ask_are_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(processor_server, "SWEEP", 0.01)

    async def test() -> None:
        async with site_with_processor(first_message_ms=10.0) as bench, bench.proxy() as proxy:
            stream = proxy.stream()
            await stream.call.wait_for_connection()
            assert await stream.status() == "deadline_exceeded"
            await bench.settled()

    run(test())


def test_a_proxy_that_never_reads_or_answers_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(processor_server, "SWEEP", 0.01)
    monkeypatch.setattr(processor_server, "LINGER", -8.9)  # s; the longest deadline is 9 s

    async def test() -> None:
        async with site_with_processor(classes=QUICK) as bench, bench.proxy() as proxy:
            stream = proxy.stream()
            await stream.call.write(request_message(described("pay")))  # and reads nothing
            await bench.event(AttemptEnded)
            await bench.settled()
            await stream.call.read()  # the answer, long since
            assert await stream.status() == "deadline_exceeded"

    run(test())


def test_an_attempt_without_an_end_times_out_and_its_late_response_is_let_through() -> None:
    async def test() -> None:
        async with site_with_processor(late_ms=1.0, classes=QUICK) as bench, bench.proxy() as proxy:
            quiet, late = proxy.stream(), proxy.stream()
            await quiet.ask(described("pay", timeout="8000m"))
            await late.ask(described("pay", timeout="8000m"))
            assert (await bench.event(AttemptEnded, 2)).result == AttemptResult.TIMEOUT
            assert bench.join.policy.overload.concurrency.current == 0 and not bench.calls.open
            assert (await late.respond(200)).HasField("response_headers")
            # A refusal by the proxy would promise that trying again does no harm.
            answer = await quiet.respond(503)
            assert answer.immediate_response.status.code == 502
            assert len(bench.of(AttemptEnded)) == 2

    run(test())


def test_a_policy_that_raises_costs_its_request_alone(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            handle = bench.join.policy.handle

            def broken(now: float, event: object) -> Any:
                raise RuntimeError("broken on purpose")

            bench.join.policy.handle = broken  # type: ignore[method-assign]
            answer = await proxy.stream().ask(described())
            assert answer.immediate_response.status.code == 500
            bench.join.policy.handle = handle  # type: ignore[method-assign]
            stream = proxy.stream()
            await stream.ask(described())
            bench.join.policy.handle = broken  # type: ignore[method-assign]
            assert (await stream.respond(503)).HasField(
                "response_headers"
            )  # with 502: nothing is promised
            bench.join.policy.handle = handle  # type: ignore[method-assign]
            assert (await proxy.stream().ask(described())).HasField("request_headers")
            assert len(bench.calls.open) == 1

    run(test())
    assert "broken on purpose" in caplog.text


def test_operators_see_the_account_of_each_proxy() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy("north") as proxy:
            stream = proxy.stream()
            await stream.ask(described())
            told = await asyncio.to_thread(ask, bench.address, None, None, None)
            assert told["open"] == 1 and told["proxies"]["north"]["unseen"] == 1
            assert told["proxies"]["north"]["standing"] == "good"

    run(test())


# The process.


def test_sigterm_answers_what_is_open_and_what_still_comes(tmp_path: Path) -> None:
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
            waiting = proxy.stream()  # open, and has not asked yet
            await waiting.call.wait_for_connection()
            node.process.send_signal(signal.SIGTERM)
            assert DESTINATION in told_headers(await waiting.ask(lookup(100)))
            assert DESTINATION in told_headers(
                await other.stream().ask(lookup(101))
            )  # a new connection
            for stream in (*streams, waiting):
                assert (await stream.respond(200)).HasField("response_headers")
                await stream.half_close()
            assert await asyncio.wait_for(node.process.wait(), WAIT_S) == 0
        await node.reading
        await fleet.stop()

    run(test())


def lookup(number: int) -> dict[str, str]:
    headers = {"tenant": "pesti", "request-id": f"q-{number}", "request-timeout": "1400m"}
    return headers | {":method": "GET", ":path": f"/cab-lookup/r{number}"}


def test_sighup_takes_the_files_servers_anew_and_keeps_a_bad_file_out(tmp_path: Path) -> None:
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
            await said(node, "the configuration stays as it was")
            path.write_text(good.replace("7001", "7002"))
            node.process.send_signal(signal.SIGHUP)
            await said(node, "configuration read")
            second = told_headers(await proxy.stream().ask(lookup(2)))[DESTINATION]
            assert (first, second) == (SERVERS[0], SERVERS[1])
        node.process.kill()
        await node.process.wait()
        await node.reading

    run(test())


async def said(node: NodeProcess, words: str) -> None:
    async with asyncio.timeout(WAIT_S):
        while not any(words in line for line in node.lines):
            await asyncio.sleep(0.01)


# Certificates.


def authority(name: str) -> tuple[ec.EllipticCurvePrivateKey, x509.Certificate]:
    key = ec.generate_private_key(ec.SECP256R1())
    return key, certificate(name, key, None, key, True)


def certificate(
    name: str, key: Any, issuer: x509.Certificate | None, signer: Any, ca: bool = False
) -> x509.Certificate:
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
    return cert.public_bytes(serialization.Encoding.PEM)


def key_pem(key: Any) -> bytes:
    none = serialization.NoEncryption()
    return bytes(
        key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, none)
    )


def written(folder: Path, name: str, ca: tuple[Any, x509.Certificate]) -> tuple[bytes, bytes]:
    """A certificate and its key as PEM, in files of that name too."""
    key = ec.generate_private_key(ec.SECP256R1())
    made = pem(certificate(name, key, ca[1], ca[0])), key_pem(key)
    (folder / f"{name}.pem").write_bytes(made[0])
    (folder / f"{name}.key").write_bytes(made[1])
    return made


def test_mutual_tls_answers_nobody_without_a_certificate_and_is_read_anew(tmp_path: Path) -> None:
    ca, other_ca = authority("ca"), authority("other")
    written(tmp_path, "server", ca)
    (tmp_path / "ca.pem").write_bytes(pem(ca[1]))
    north = written(tmp_path, "north", ca)
    stranger = written(tmp_path, "stranger", other_ca)
    tls = Tls(
        cert=str(tmp_path / "server.pem"),
        key=str(tmp_path / "server.key"),
        client_ca=str(tmp_path / "ca.pem"),
    )

    async def asked(bench: Any, roots: bytes, own: tuple[bytes, bytes] | None) -> str:
        """The endpoint told, or how the call failed."""
        credentials = grpc.ssl_channel_credentials(roots, *(reversed(own) if own else ()))
        async with ScriptedProxy(bench.address, credentials=credentials) as proxy:
            try:
                return told_headers(await proxy.stream().ask(described()))[DESTINATION]
            except grpc.RpcError as error:
                return str(error.code().name)

    async def test() -> None:
        async with site_with_processor(tls=tls) as bench:
            assert await asked(bench, pem(ca[1]), north) == SERVERS[0]
            assert "north" in bench.calls.rows()  # known by its certificate's name
            assert await asked(bench, pem(ca[1]), None) == "UNAVAILABLE"
            assert await asked(bench, pem(ca[1]), stranger) == "UNAVAILABLE"
            async with ScriptedProxy(bench.address) as plain:
                with pytest.raises(grpc.RpcError):
                    await plain.stream().ask(described())
            assert len(bench.of(Request)) == 1
            # A new authority on both sides, and half of a file in between.
            key = (tmp_path / "server.key").read_bytes()
            (tmp_path / "server.key").write_bytes(key[:40])
            assert bench.site.reload(bench.site.installation)[0].startswith(
                "processor: the certificate: "
            )
            assert await asked(bench, pem(ca[1]), north) == SERVERS[0]
            written(tmp_path, "server", other_ca)
            (tmp_path / "ca.pem").write_bytes(pem(other_ca[1]))
            assert bench.site.reload(bench.site.installation) == []
            assert await asked(bench, pem(other_ca[1]), stranger) == SERVERS[0]
            assert await asked(bench, pem(other_ca[1]), north) == "UNAVAILABLE"

    run(test())


def test_files_that_hold_no_certificate_are_named(tmp_path: Path) -> None:
    ca = authority("ca")
    written(tmp_path, "server", ca)
    cert, key = str(tmp_path / "server.pem"), str(tmp_path / "server.key")
    for tls, words in (
        (Tls(cert="/none.pem", key=key), "/none.pem"),
        (Tls(cert=key, key=cert), "server.key: holds no whole PEM"),
    ):
        with pytest.raises(TlsError, match=words):
            read_tls(tls)


def test_a_listener_that_can_not_be_had_is_told_with_exit_status_2(tmp_path: Path) -> None:
    async def test() -> None:
        taken = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = taken.sockets[0].getsockname()[1]
        path = tmp_path / "site.toml"
        ahead, mark, behind = operators_file("127.0.0.1:1").rpartition("127.0.0.1:0")
        text = f"{ahead}127.0.0.1:{port}{behind}"
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


def test_the_platforms_node_imports_nothing_of_it() -> None:
    heavy = {"grpc", "envoy", "google", "tomllib", "pydantic", "click", "rich", "structlog"}
    heavy |= {"prometheus_client", "tree_sitter", "graphql", "argparse"}
    code = f"import badgercart.__main__, sys; print(*{heavy} & set(sys.modules))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.split() == []
