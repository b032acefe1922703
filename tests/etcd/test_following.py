"""A node that follows the stand-in etcd over loopback, and the failures of that."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import grpc
import pytest
from aetcd.rpc import rpc_pb2

from badgercart.app.application import Application
from badgercart.app.cli import main as command_line
from badgercart.app.file import Installation
from badgercart.core.identifiers import stable_id
from badgercart.discovery.etcd import client
from badgercart.discovery.etcd.settings import EtcdSettings, EtcdTls
from badgercart.discovery.freshness import FreshnessState
from badgercart.frontends.http.component import HttpSettings
from badgercart.policy.endpoint import EndpointState
from standins.demo import NodeProcess
from standins.etcd import Etcd
from standins.fleet import operators_file
from tests.net import WAIT_S, Client, ScriptedServer, config, request, run
from tests.processor.test_failures import create_authority, create_certificate_files, key_pem, pem

PREFIX = "/badgercart/servers/"
# How many times slower a test may run than on processors of its own.
MAX_SLOWDOWN = 10
SHORT_TIMES = {
    "progress_ms": 20.0, "silence_ms": 150.0, "call_ms": 1000.0, "retry_first_ms": 5.0,
    "retry_most_ms": 40.0, "doubtful_after_ms": 200.0, "stale_after_ms": 600.0,
}  # fmt: skip


def entry_json(name: str, peer: ScriptedServer | None = None, state: str = "active") -> str:
    port = peer.port if peer else 7000 + len(name)
    return json.dumps({"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": state})


class RunningNode:
    """A running node, and the list that it follows."""

    def __init__(self, application: Application) -> None:
        self.application, self.source, self.http = (
            application,
            application.components["etcd"].source,
            application.components["http"].frontend,
        )

    def listed(self) -> dict[str, str]:
        return {
            member.name: member.entry.state.name.lower()
            for member in self.application.endpoint_table.listed.values()
        }

    async def wait_until(self, condition: Any) -> None:
        """Wait for `WAIT_S` at most, as the processor time of this process counts it.

        Ten thousand entries take seconds of it, which other processes make many times as long.
        """
        started_s = time.process_time()
        async with asyncio.timeout(MAX_SLOWDOWN * WAIT_S):
            while not condition():
                if time.process_time() - started_s > WAIT_S:
                    raise TimeoutError
                await asyncio.sleep(0.002)

    async def wait_for_list(self, **expected: str) -> None:
        try:
            await self.wait_until(lambda: self.listed() == expected)
        except TimeoutError:
            raise AssertionError(f"{self.listed()} is not {expected}") from None

    async def wait_for_state(self, state: FreshnessState) -> None:
        await self.wait_until(lambda: self.source.state is state)

    async def request_status(self) -> int:
        http_client = Client(*await asyncio.open_connection(*self.http.listener.address))
        status, _, _ = await http_client.ask(request())
        http_client.writer.close()
        return status

    async def health_status(self) -> int:
        http_client = Client(*await asyncio.open_connection(*self.http.listener.address))
        status, _, _ = await http_client.ask(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
        http_client.writer.close()
        return status


def etcd_settings(*etcds: Etcd, **changes: Any) -> EtcdSettings:
    endpoints = tuple(("127.0.0.1", etcd.port) for etcd in etcds)
    # Not validated, since the times of tests are shorter than a file may set.
    return EtcdSettings.model_construct(endpoints=endpoints, **SHORT_TIMES | changes)


@asynccontextmanager
async def running_node(*etcds: Etcd, **changes: Any) -> AsyncIterator[RunningNode]:
    http = HttpSettings(listen=("127.0.0.1", 0))
    installation = Installation(config(1), {"http": http, "etcd": etcd_settings(*etcds, **changes)})
    application = Application(installation, asyncio.get_running_loop())
    await application.start()
    try:
        yield RunningNode(application)
    finally:
        application.close()


@asynccontextmanager
async def running_members(count: int = 1) -> AsyncIterator[list[Etcd]]:
    etcds = [await Etcd().start() for _ in range(count)]
    try:
        yield etcds
    finally:
        for etcd in etcds:
            await etcd.stop()


def test_requests_go_to_the_listed_servers_as_the_list_changes() -> None:
    async def test() -> None:
        async with running_members() as (etcd,), running_node(etcd) as node:
            # The node has no list yet.
            assert await node.health_status() == 503 and await node.request_status() == 503
            peer, other = await ScriptedServer().start(), await ScriptedServer().start()
            await etcd.put(PREFIX + "a", entry_json("a", peer))
            await node.wait_for_list(a="ready")
            await node.wait_for_state(FreshnessState.FRESH)
            assert await node.health_status() == 200 and await node.request_status() == 200
            await etcd.txn(
                rpc_pb2.PutRequest(
                    key=f"{PREFIX}a".encode(), value=entry_json("a", peer, "leaving").encode()
                ),
                rpc_pb2.PutRequest(
                    key=f"{PREFIX}b".encode(), value=entry_json("b", other).encode()
                ),
            )
            await node.wait_for_list(a="draining", b="ready")
            assert await node.request_status() == 200 and other.requests.qsize() == 1
            await etcd.delete(PREFIX + "a")
            await node.wait_for_list(b="ready")
            # All changes came over one watch.
            assert node.source.lists_fetched == 1

    run(test())


@pytest.mark.parametrize("fault", ["dropped", "frozen", "no leader", "refused"])
def test_a_broken_watch_is_resumed(fault: str) -> None:
    async def test() -> None:
        async with running_members() as (etcd,):
            await etcd.put(PREFIX + "a", entry_json("a"))
            async with running_node(etcd) as node:
                await node.wait_for_list(a="ready")
                if fault == "dropped":
                    etcd.drop()
                elif fault == "frozen":
                    etcd.frozen = True
                elif fault == "no leader":
                    etcd.leader = False
                    await etcd.wake()
                else:
                    await etcd.stop()
                await node.wait_for_state(FreshnessState.DOUBTFUL) if fault != "dropped" else None
                etcd.store.change(
                    etcd.store.put,
                    rpc_pb2.PutRequest(key=f"{PREFIX}b".encode(), value=entry_json("b").encode()),
                )
                etcd.frozen, etcd.leader = False, True
                if fault == "refused":
                    await etcd.start(etcd.port)
                await etcd.wake()
                await node.wait_for_list(a="ready", b="ready")
                await node.wait_for_state(FreshnessState.FRESH)
                # The watch was resumed, the list not fetched again.
                assert node.source.lists_fetched == 1

    run(test())


def test_a_compaction_causes_a_new_list() -> None:
    async def test() -> None:
        async with running_members() as (etcd,):
            await etcd.put(PREFIX + "a", entry_json("a"))
            async with running_node(etcd, page=2) as node:
                await node.wait_for_list(a="ready")
                await etcd.stop()
                for number in range(8):
                    etcd.store.change(
                        etcd.store.put,
                        rpc_pb2.PutRequest(
                            key=f"{PREFIX}{'b' * (number + 1)}".encode(),
                            value=entry_json("b" * (number + 1)).encode(),
                        ),
                    )
                etcd.store.change(
                    etcd.store.delete, rpc_pb2.DeleteRangeRequest(key=f"{PREFIX}a".encode())
                )
                etcd.store.compact(etcd.store.revision)
                # Compact again while the next list is fetched: its revision is gone at the second
                # page.
                original_range, first_call = etcd.store.range, iter((True,))

                def compacting_range(request: Any) -> Any:
                    if request.revision and next(first_call, False):
                        put = rpc_pb2.PutRequest(
                            key=f"{PREFIX}z".encode(), value=entry_json("z").encode()
                        )
                        etcd.store.change(etcd.store.put, put)
                        etcd.store.compact(etcd.store.revision)
                    return original_range(request)

                etcd.store.range = compacting_range  # type: ignore[method-assign]
                await etcd.start(etcd.port)
                await node.wait_for_list(
                    **{"b" * number: "ready" for number in range(1, 9)}, z="ready"
                )
                assert node.source.lists_fetched == 3

    run(test())


def test_fragments_of_a_broken_stream_are_requested_again() -> None:
    async def test() -> None:
        async with running_members() as (etcd,):
            await etcd.put(PREFIX + "a", entry_json("a"))
            etcd.fragment_bytes = 100
            async with running_node(etcd) as node:
                await node.wait_for_list(a="ready")
                versions = []
                original_on_update = node.source.on_update
                node.source.on_update = lambda update: (
                    versions.append(update.version),
                    original_on_update(update),
                )[1]  # type: ignore[func-returns-value]
                etcd.cut_fragment = 2
                revision = await etcd.txn(
                    *(
                        rpc_pb2.PutRequest(
                            key=f"{PREFIX}{name}".encode(), value=entry_json(name).encode()
                        )
                        for name in ("b", "c", "d")
                    )
                )
                await node.wait_for_list(a="ready", b="ready", c="ready", d="ready")
                # A part of the transaction was never published.
                assert versions == [revision]

    run(test())


def test_the_list_of_a_stale_member_is_not_applied() -> None:
    async def test() -> None:
        async with running_members(2) as (good, old):
            old.cluster, old.store = good.cluster, good.store
            await good.put(PREFIX + "a", entry_json("a"))
            await good.put(PREFIX + "b", entry_json("b"))
            async with running_node(good, old) as node:
                await node.wait_for_list(a="ready", b="ready")
                await good.delete(PREFIX + "a")
                await node.wait_for_list(b="ready")
                # A snapshot is fetched, as after a compaction, from the stale member first.
                assert node.source.task is not None
                node.source.task.cancel()
                await asyncio.wait((node.source.task,))
                node.source.follower.revision, node.source.member = 0, 1
                # The revision at which only `a` was listed.
                old.old_revision = 2
                node.source.task = asyncio.ensure_future(node.source.run())
                await node.wait_until(lambda: node.source.lists_fetched == 3)
                await node.wait_for_state(FreshnessState.FRESH)
                assert node.listed() == {"b": "ready"}

    run(test())


def test_the_list_of_a_restored_backup_replaces_the_old_one() -> None:
    async def test() -> None:
        async with running_members() as (etcd,):
            for name in ("a", "b", "c"):
                await etcd.put(PREFIX + name, entry_json(name))
            async with running_node(etcd) as node:
                await node.wait_for_list(a="ready", b="ready", c="ready")
                await etcd.restart(empty=True, new_cluster=True)
                for name in ("b", "c"):
                    await etcd.put(PREFIX + name, entry_json(name))
                await node.wait_for_list(b="ready", c="ready")

    run(test())


# Entries that are replaced in one transaction.
ENTRY_COUNT = 10_000


def puts(letter: str) -> list[Any]:
    return [
        rpc_pb2.PutRequest(
            key=f"{PREFIX}{letter}{number}".encode(), value=entry_json(f"{letter}{number}").encode()
        )
        for number in range(ENTRY_COUNT)
    ]


def test_an_expired_lease_removes_its_server_and_a_transaction_replaces_all_entries() -> None:
    async def test() -> None:
        async with running_members() as (etcd,):
            lease = etcd.store.grant(0, 30, time.monotonic())
            await etcd.put(PREFIX + "dead", entry_json("dead"), lease.number)
            await etcd.txn(*puts("s"))
            async with running_node(etcd, page=1000, guard_share=0.0) as node:
                await node.wait_until(lambda: len(node.listed()) == ENTRY_COUNT + 1)
                lease.until = 0.0
                await node.wait_until(
                    lambda: len(node.listed()) == ENTRY_COUNT and "dead" not in node.listed()
                )
                list_sizes = []
                original_on_update = node.source.on_update
                node.source.on_update = lambda update: (
                    original_on_update(update),
                    list_sizes.append(len(node.listed())),
                )[0]  # type: ignore[func-returns-value]
                deletion = rpc_pb2.DeleteRangeRequest(
                    key=f"{PREFIX}s".encode(), range_end=f"{PREFIX}t".encode()
                )
                await etcd.txn(deletion, *puts("t"))
                await node.wait_until(lambda: f"t{ENTRY_COUNT - 1}" in node.listed())
                assert list_sizes == [ENTRY_COUNT] and not any(
                    name.startswith("s") for name in node.listed()
                )

    run(test())


def test_expired_tokens_are_renewed_with_user_and_password(tmp_path: Path) -> None:
    async def test() -> None:
        secret = tmp_path / "password"
        secret.write_text("secret\n")
        async with running_members() as (etcd,):
            await etcd.put(PREFIX + "a", entry_json("a"))
            etcd.users = {"node": "secret"}
            async with running_node(etcd, user="node", password_file=str(secret)) as node:
                await node.wait_for_list(a="ready")
                # All tokens have expired.
                etcd.tokens.clear()
                etcd.drop()
                await etcd.put(PREFIX + "b", entry_json("b"))
                await node.wait_for_list(a="ready", b="ready")
                assert etcd.calls["Authenticate"] >= 2
                secret.write_text("wrong\n")
                etcd.tokens.clear()
                etcd.drop()
                await node.wait_for_state(FreshnessState.STALE)
                secret.write_text("secret\n")
                await node.wait_for_state(FreshnessState.FRESH)

    run(test())


def test_mutual_tls(tmp_path: Path) -> None:
    ca = create_authority("ca")
    server, own = (
        create_certificate_files(tmp_path, "etcd", ca),
        create_certificate_files(tmp_path, "node", ca),
    )
    (tmp_path / "ca.pem").write_bytes(pem(ca[1]))
    assert own and key_pem

    async def test() -> None:
        credentials = grpc.ssl_server_credentials([(server[1], server[0])], pem(ca[1]), True)
        etcd = await Etcd().start(credentials=credentials)
        await etcd.put(PREFIX + "a", entry_json("a"))
        files = [str(tmp_path / name) for name in ("ca.pem", "node.pem", "node.key")]
        async with running_node(
            etcd, tls=EtcdTls(ca=files[0], cert=files[1], key=files[2])
        ) as node:
            await node.wait_for_list(a="ready")
        async with running_node(etcd, tls=EtcdTls(ca=files[0])) as node:
            await node.wait_until(lambda: node.source.failing)
            assert node.listed() == {}
        await etcd.stop()

    run(test())


# The age of the list, drains and shedding.


def test_requests_are_shed_while_the_list_is_stale_and_learned_state_is_kept() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running_members() as (etcd,):
            await etcd.put(PREFIX + "a", entry_json("a", peer))
            async with running_node(etcd) as node:
                await node.wait_for_state(FreshnessState.FRESH)
                assert await node.request_status() == 200
                known = node.application.pipeline.policy.fleet.endpoints.by_id[stable_id(b"a")]
                etcd.frozen = True
                await node.wait_for_state(FreshnessState.STALE)
                sent = peer.requests.qsize()
                http_client = Client(*await asyncio.open_connection(*node.http.listener.address))
                status, head, _ = await http_client.ask(request())
                assert status == 503 and b"Retry-After" in head
                assert await node.health_status() == 503 and peer.requests.qsize() == sent
                etcd.frozen = False
                await etcd.wake()
                await node.wait_for_state(FreshnessState.FRESH)
                assert await node.request_status() == 200 and await node.health_status() == 200
                assert (
                    node.application.pipeline.policy.fleet.endpoints.by_id[stable_id(b"a")] is known
                )

    run(test())


def test_with_go_on_a_stale_list_is_used() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running_members() as (etcd,):
            await etcd.put(PREFIX + "a", entry_json("a", peer))
            async with running_node(etcd, when_stale="go-on") as node:
                await node.wait_for_list(a="ready")
                await etcd.stop()
                await node.wait_for_state(FreshnessState.STALE)
                assert await node.request_status() == 200 and await node.health_status() == 200
                await etcd.start(etcd.port)

    run(test())


@pytest.mark.parametrize("drain_received", [True, False])
def test_etcd_becomes_unreachable_after_and_before_a_drain_is_received(
    drain_received: bool,
) -> None:
    async def test() -> None:
        draining, other = await ScriptedServer().start(), await ScriptedServer().start()
        async with running_members() as (etcd,):
            await etcd.put(PREFIX + "a", entry_json("a", draining))
            await etcd.put(PREFIX + "b", entry_json("b", other))
            async with running_node(etcd) as node:
                await node.wait_for_list(a="ready", b="ready")
                if drain_received:
                    await etcd.put(PREFIX + "a", entry_json("a", draining, "leaving"))
                    await node.wait_for_list(a="draining", b="ready")
                await etcd.stop()
                # A drain that can't be received: once the list is stale, no requests are sent.
                if not drain_received:
                    await node.wait_for_state(FreshnessState.STALE)
                before = draining.requests.qsize()
                statuses = {await node.request_status() for _ in range(12)}
                assert draining.requests.qsize() == before
                assert statuses <= ({200, 503} if drain_received else {503})
                await node.wait_for_state(FreshnessState.STALE)
                etcd.store.change(
                    etcd.store.put,
                    rpc_pb2.PutRequest(
                        key=f"{PREFIX}a".encode(),
                        value=entry_json("a", draining, "leaving").encode(),
                    ),
                )
                await etcd.start(etcd.port)
                await node.wait_for_state(FreshnessState.FRESH)
                await node.wait_for_list(a="draining", b="ready")
                assert await node.request_status() == 200 and draining.requests.qsize() == before

    run(test())


def test_a_start_without_etcd_reads_the_known_list_and_uses_it_only_with_go_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client, "SAVE_INTERVAL_S", 0.0)

    async def test() -> None:
        peer, path = await ScriptedServer().start(), tmp_path / "known.json"
        async with running_members() as (etcd,):
            await etcd.put(PREFIX + "a", entry_json("a", peer))
            async with running_node(etcd, known_file=str(path)) as node:
                await node.wait_for_list(a="ready")
                await node.wait_until(path.exists)
            await etcd.stop()
            async with running_node(etcd, known_file=str(path)) as node:
                assert node.listed() == {"a": "ready"}
                assert await node.request_status() == 503 and peer.requests.empty()
            async with running_node(etcd, known_file=str(path), when_stale="go-on") as node:
                assert await node.request_status() == 200
            path.write_bytes(path.read_bytes()[:20])
            async with running_node(etcd, known_file=str(path)) as node:
                assert node.listed() == {}
            await etcd.start(etcd.port)

    run(test())


def test_endpoints_change_without_a_restart() -> None:
    async def test() -> None:
        async with running_members(2) as (first, second):
            await first.put(PREFIX + "a", entry_json("a"))
            await second.put(PREFIX + "b", entry_json("b"))
            async with running_node(first, guard_share=0.0) as node:
                await node.wait_for_list(a="ready")
                elsewhere = {"endpoints": (("127.0.0.1", second.port),)}
                node.source.move(node.source.settings.model_copy(update=elsewhere))
                await node.wait_for_list(b="ready")

    run(test())


def test_times_and_guard_share_change_without_a_restart() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running_members() as (etcd,):
            await etcd.put(PREFIX + "a", entry_json("a", peer))
            async with running_node(etcd, stale_after_ms=1e9, doubtful_after_ms=1e9) as node:
                await node.wait_for_state(FreshnessState.FRESH)
                await etcd.stop()
                shorter = node.source.settings.model_copy(
                    update={"stale_after_ms": 300.0, "doubtful_after_ms": 200.0, "guard_share": 0.1}
                )
                node.source.move(shorter)
                await node.wait_for_state(FreshnessState.STALE)
                assert (
                    await node.request_status() == 503 and node.source.follower.guard.share == 0.1
                )
                node.source.move(shorter.model_copy(update={"when_stale": "go-on"}))
                assert await node.request_status() == 200
                await etcd.start(etcd.port)

    run(test())


def test_sighup_applies_the_endpoints_of_the_file(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_members(2) as (first, second):
            await first.put(PREFIX + "a", entry_json("a"))
            await second.put(PREFIX + "b", entry_json("b"))
            path, node = tmp_path / "site.toml", NodeProcess()
            path.write_text(operators_file("", first.address))
            await node.start(path)
            path.write_text(operators_file("", second.address))
            node.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(WAIT_S):
                while not any("full: b ready" in line for line in node.lines):
                    await asyncio.sleep(0.01)
            assert await node.stop() == 0

    run(test())


def test_a_flapping_server_ends_in_the_state_that_etcd_has() -> None:
    async def test() -> None:
        async with running_members() as (etcd,):  # noqa: SIM117 (the second needs the first)
            async with running_node(etcd) as node:
                for step in range(100):
                    state = "leaving" if step % 3 == 1 else "active"
                    if step % 3 == 2:
                        await etcd.delete(PREFIX + "a")
                    else:
                        await etcd.put(PREFIX + "a", entry_json("a", state=state))
                await etcd.put(PREFIX + "z", entry_json("z"))
                await node.wait_for_list(a="ready", z="ready")
                assert (
                    node.application.pipeline.policy.fleet.endpoints.by_id[
                        stable_id(b"a")
                    ].endpoint.state
                    is EndpointState.READY
                )

    run(test())


# The command line.


def test_operators_list_put_drain_and_remove(capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        async with running_members() as (etcd,), running_node(etcd) as node:

            async def run_members(*arguments: str) -> tuple[int, str]:
                status = await asyncio.to_thread(
                    command_line, ["members", "--etcd", etcd.address, *arguments]
                )
                captured = capsys.readouterr()
                return status, captured.out + captured.err

            assert (await run_members("put", entry_json("a"), "--dry-run"))[
                0
            ] == 0 and node.listed() == {}
            assert (await run_members("put", entry_json("a")))[0] == 0
            assert (await run_members("put", entry_json("b"), "--ttl", "30"))[0] == 0
            await node.wait_for_list(a="ready", b="ready")
            assert (await run_members("drain", "a"))[0] == 0
            await node.wait_for_list(a="draining", b="ready")
            status, output = await run_members("list")
            assert status == 0 and "leaving" in output.splitlines()[1] and "a" in output
            address = "{}:{}".format(*node.http.listener.address)
            status, output = await run_members("list", "--from-node", address)
            assert status == 0 and "0 of 2 entries differ; the node's list is fresh" in output
            etcd.frozen = True
            await etcd.put(PREFIX + "c", entry_json("c"))
            status, output = await run_members("list", "--from-node", address)
            assert status == 1 and "c: etcd" in output and "not listed" in output
            etcd.frozen = False
            await etcd.wake()
            assert (await run_members("drain", "a", "--undo"))[0] == 0
            assert (await run_members("remove", "c", "b"))[0] == 0
            # Two of three servers are more than the guard allows at once.
            await node.wait_until(lambda: node.source.follower.kept_by_guard)
            assert (await run_members("allow-shrink", "on"))[0] == 0
            await node.wait_for_list(a="ready")
            assert (await run_members("allow-shrink", "off"))[0] == 0
            for arguments, status in (
                (("drain", "x"), 1), (("put", "{"), 2), (("put", '{"instanceId":"a"}'), 2),
                (("put", entry_json("a", state="gone")), 2), (("put", entry_json("a"), "--ttl", "0"), 2),
            ):  # fmt: skip
                assert (await run_members(*arguments))[0] == status
        status = await asyncio.to_thread(command_line, ["members", "--etcd", "127.0.0.1:1", "list"])
        assert status == 1

    run(test())
