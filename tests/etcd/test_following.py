"""A site that follows the stand-in etcd over loopback, and each way in which that can fail."""

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

from badgercart.app.cli import main as command_line
from badgercart.app.file import Installation
from badgercart.app.site import Application
from badgercart.core.identifiers import stable_id
from badgercart.discovery.etcd import client
from badgercart.discovery.etcd.settings import EtcdSettings, EtcdTls
from badgercart.discovery.freshness import FreshnessState
from badgercart.frontends.http.component import HttpSettings
from badgercart.policy.endpoint import EndpointState as ServerState
from standins.demo import NodeProcess
from standins.etcd import Etcd
from standins.fleet import operators_file
from tests.net import WAIT, Client, Peer, config, request, run
from tests.processor.test_failures import create_authority, create_certificate_files, key_pem, pem

PREFIX = "/badgercart/servers/"
QUICK = {
    "progress_ms": 20.0, "silence_ms": 150.0, "call_ms": 1000.0, "retry_first_ms": 5.0,
    "retry_most_ms": 40.0, "doubtful_after_ms": 200.0, "stale_after_ms": 600.0,
}  # fmt: skip


def entry(name: str, peer: Peer | None = None, state: str = "active") -> str:
    port = peer.port if peer else 7000 + len(name)
    return json.dumps({"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": state})


class Following:
    """A running site and what it believes."""

    def __init__(self, site: Application) -> None:
        self.site, self.source, self.http = (
            site,
            site.components["etcd"].source,
            site.components["http"].frontend,
        )

    def listed(self) -> dict[str, str]:
        return {
            m.name: m.entry.state.name.lower() for m in self.site.endpoint_table.listed.values()
        }

    async def until(self, condition: Any) -> None:
        async with asyncio.timeout(WAIT):
            while not condition():
                await asyncio.sleep(0.002)

    async def lists(self, **wanted: str) -> None:
        try:
            await self.until(lambda: self.listed() == wanted)
        except TimeoutError:
            raise AssertionError(f"{self.listed()} is not {wanted}") from None

    async def state(self, state: FreshnessState) -> None:
        await self.until(lambda: self.source.state is state)

    async def ask(self) -> int:
        client_ = Client(*await asyncio.open_connection(*self.http.listener.address))
        status, _, _ = await client_.ask(request())
        client_.writer.close()
        return status

    async def health(self) -> int:
        client_ = Client(*await asyncio.open_connection(*self.http.listener.address))
        status, _, _ = await client_.ask(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
        client_.writer.close()
        return status


def settings(*etcds: Etcd, **changes: Any) -> EtcdSettings:
    endpoints = tuple(("127.0.0.1", etcd.port) for etcd in etcds)
    # Unchecked: the times of tests are shorter than any that may stand in a file.
    return EtcdSettings.model_construct(endpoints=endpoints, **QUICK | changes)


@asynccontextmanager
async def following(*etcds: Etcd, **changes: Any) -> AsyncIterator[Following]:
    http = HttpSettings(listen=("127.0.0.1", 0))
    what = Installation(config(1), {"http": http, "etcd": settings(*etcds, **changes)})
    site = Application(what, asyncio.get_running_loop())
    await site.start()
    try:
        yield Following(site)
    finally:
        site.close()


@asynccontextmanager
async def members(count: int = 1) -> AsyncIterator[list[Etcd]]:
    etcds = [await Etcd().start() for _ in range(count)]
    try:
        yield etcds
    finally:
        for etcd in etcds:
            await etcd.stop()


def test_the_list_is_followed_and_requests_go_where_it_says() -> None:
    async def test() -> None:
        async with members() as (etcd,), following(etcd) as node:
            assert await node.health() == 503 and await node.ask() == 503  # nothing is known yet
            peer, other = await Peer().start(), await Peer().start()
            await etcd.put(PREFIX + "a", entry("a", peer))
            await node.lists(a="ready")
            await node.state(FreshnessState.FRESH)
            assert await node.health() == 200 and await node.ask() == 200
            await etcd.txn(
                rpc_pb2.PutRequest(
                    key=f"{PREFIX}a".encode(), value=entry("a", peer, "leaving").encode()
                ),
                rpc_pb2.PutRequest(key=f"{PREFIX}b".encode(), value=entry("b", other).encode()),
            )
            await node.lists(a="draining", b="ready")
            assert await node.ask() == 200 and other.requests.qsize() == 1
            await etcd.delete(PREFIX + "a")
            await node.lists(b="ready")
            assert node.source.lists_fetched == 1  # all of it over one watch

    run(test())


@pytest.mark.parametrize("fault", ["dropped", "frozen", "no leader", "refused"])
def test_a_watch_that_breaks_resumes_where_it_stopped(fault: str) -> None:
    async def test() -> None:
        async with members() as (etcd,):
            await etcd.put(PREFIX + "a", entry("a"))
            async with following(etcd) as node:
                await node.lists(a="ready")
                if fault == "dropped":
                    etcd.drop()
                elif fault == "frozen":
                    etcd.frozen = True
                elif fault == "no leader":
                    etcd.leader = False
                    await etcd.wake()
                else:
                    await etcd.stop()
                await node.state(FreshnessState.DOUBTFUL) if fault != "dropped" else None
                etcd.store.change(
                    etcd.store.put,
                    rpc_pb2.PutRequest(key=f"{PREFIX}b".encode(), value=entry("b").encode()),
                )
                etcd.frozen, etcd.leader = False, True
                if fault == "refused":
                    await etcd.start(etcd.port)
                await etcd.wake()
                await node.lists(a="ready", b="ready")
                await node.state(FreshnessState.FRESH)
                assert node.source.lists_fetched == 1  # resumed, not listed again

    run(test())


def test_history_that_was_compacted_away_is_listed_again() -> None:
    async def test() -> None:
        async with members() as (etcd,):
            await etcd.put(PREFIX + "a", entry("a"))
            async with following(etcd, page=2) as node:
                await node.lists(a="ready")
                await etcd.stop()
                for number in range(8):
                    etcd.store.change(
                        etcd.store.put,
                        rpc_pb2.PutRequest(
                            key=f"{PREFIX}{'b' * (number + 1)}".encode(),
                            value=entry("b" * (number + 1)).encode(),
                        ),
                    )
                etcd.store.change(
                    etcd.store.delete, rpc_pb2.DeleteRangeRequest(key=f"{PREFIX}a".encode())
                )
                etcd.store.compact(etcd.store.revision)
                # And again in the middle of the list that follows: its revision is gone at the
                # second page.
                ranged, once = etcd.store.range, iter((True,))

                def range_(asked: Any) -> Any:
                    if asked.revision and next(once, False):
                        put = rpc_pb2.PutRequest(
                            key=f"{PREFIX}z".encode(), value=entry("z").encode()
                        )
                        etcd.store.change(etcd.store.put, put)
                        etcd.store.compact(etcd.store.revision)
                    return ranged(asked)

                etcd.store.range = range_  # type: ignore[method-assign]
                await etcd.start(etcd.port)
                await node.lists(**{"b" * number: "ready" for number in range(1, 9)}, z="ready")
                assert node.source.lists_fetched == 3

    run(test())


def test_fragments_that_are_cut_off_are_asked_for_again() -> None:
    async def test() -> None:
        async with members() as (etcd,):
            await etcd.put(PREFIX + "a", entry("a"))
            etcd.fragment_bytes = 100
            async with following(etcd) as node:
                await node.lists(a="ready")
                versions = []
                took = node.source.on_update
                node.source.on_update = lambda told: (versions.append(told.version), took(told))[1]  # type: ignore[func-returns-value]
                etcd.cut_fragment = 2
                revision = await etcd.txn(
                    *(
                        rpc_pb2.PutRequest(
                            key=f"{PREFIX}{name}".encode(), value=entry(name).encode()
                        )
                        for name in ("b", "c", "d")
                    )
                )
                await node.lists(a="ready", b="ready", c="ready", d="ready")
                assert versions == [revision]  # never a part of it

    run(test())


def test_a_stale_member_that_answers_first_is_not_believed() -> None:
    async def test() -> None:
        async with members(2) as (good, old):
            old.cluster, old.store = good.cluster, good.store
            await good.put(PREFIX + "a", entry("a"))
            await good.put(PREFIX + "b", entry("b"))
            async with following(good, old) as node:
                await node.lists(a="ready", b="ready")
                await good.delete(PREFIX + "a")
                await node.lists(b="ready")
                # The whole list is wanted, as after a compaction, and the stale one is asked first.
                assert node.source.task is not None
                node.source.task.cancel()
                await asyncio.wait((node.source.task,))
                node.source.follower.revision, node.source.member = 0, 1
                old.old_revision = 2  # when only `a` was there
                node.source.task = asyncio.ensure_future(node.source.run())
                await node.until(lambda: node.source.lists_fetched == 3)
                await node.state(FreshnessState.FRESH)
                assert node.listed() == {"b": "ready"}

    run(test())


def test_a_restored_backup_is_taken_whole() -> None:
    async def test() -> None:
        async with members() as (etcd,):
            for name in ("a", "b", "c"):
                await etcd.put(PREFIX + name, entry(name))
            async with following(etcd) as node:
                await node.lists(a="ready", b="ready", c="ready")
                await etcd.restart(empty=True, new_cluster=True)
                for name in ("b", "c"):
                    await etcd.put(PREFIX + name, entry(name))
                await node.lists(b="ready", c="ready")

    run(test())


COUNT = 10_000  # entries that are replaced in one go


def puts(letter: str) -> list[Any]:
    return [
        rpc_pb2.PutRequest(
            key=f"{PREFIX}{letter}{number}".encode(), value=entry(f"{letter}{number}").encode()
        )
        for number in range(COUNT)
    ]


def test_leases_take_a_dead_server_away_and_entries_in_bulk_are_replaced() -> None:
    async def test() -> None:
        async with members() as (etcd,):
            lease = etcd.store.grant(0, 30, time.monotonic())
            await etcd.put(PREFIX + "dead", entry("dead"), lease.number)
            await etcd.txn(*puts("s"))
            async with following(etcd, page=1000, guard_share=0.0) as node:
                await node.until(lambda: len(node.listed()) == COUNT + 1)
                lease.until = 0.0
                await node.until(
                    lambda: len(node.listed()) == COUNT and "dead" not in node.listed()
                )
                seen = []
                took = node.source.on_update
                node.source.on_update = lambda told: (took(told), seen.append(len(node.listed())))[
                    0
                ]  # type: ignore[func-returns-value]
                gone = rpc_pb2.DeleteRangeRequest(
                    key=f"{PREFIX}s".encode(), range_end=f"{PREFIX}t".encode()
                )
                await etcd.txn(gone, *puts("t"))
                await node.until(lambda: f"t{COUNT - 1}" in node.listed())
                assert seen == [COUNT] and not any(name.startswith("s") for name in node.listed())

    run(test())


def test_user_and_password_with_tokens_that_expire(tmp_path: Path) -> None:
    async def test() -> None:
        secret = tmp_path / "password"
        secret.write_text("secret\n")
        async with members() as (etcd,):
            await etcd.put(PREFIX + "a", entry("a"))
            etcd.users = {"node": "secret"}
            async with following(etcd, user="node", password_file=str(secret)) as node:
                await node.lists(a="ready")
                etcd.tokens.clear()  # all have expired
                etcd.drop()
                await etcd.put(PREFIX + "b", entry("b"))
                await node.lists(a="ready", b="ready")
                assert etcd.calls["Authenticate"] >= 2
                secret.write_text("wrong\n")
                etcd.tokens.clear()
                etcd.drop()
                await node.state(FreshnessState.STALE)
                secret.write_text("secret\n")
                await node.state(FreshnessState.FRESH)

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
        await etcd.put(PREFIX + "a", entry("a"))
        files = [str(tmp_path / name) for name in ("ca.pem", "node.pem", "node.key")]
        async with following(etcd, tls=EtcdTls(ca=files[0], cert=files[1], key=files[2])) as node:
            await node.lists(a="ready")
        async with following(etcd, tls=EtcdTls(ca=files[0])) as node:
            await node.until(lambda: node.source.failing)
            assert node.listed() == {}
        await etcd.stop()

    run(test())


# Age, drains and refusing.


def test_a_stale_list_is_refused_openly_and_comes_back_with_what_was_learned() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with members() as (etcd,):
            await etcd.put(PREFIX + "a", entry("a", peer))
            async with following(etcd) as node:
                await node.state(FreshnessState.FRESH)
                assert await node.ask() == 200
                known = node.site.pipeline.policy.fleet.endpoints.by_id[stable_id(b"a")]
                etcd.frozen = True
                await node.state(FreshnessState.STALE)
                sent = peer.requests.qsize()
                client_ = Client(*await asyncio.open_connection(*node.http.listener.address))
                status, head, _ = await client_.ask(request())
                assert status == 503 and b"Retry-After" in head
                assert await node.health() == 503 and peer.requests.qsize() == sent
                etcd.frozen = False
                await etcd.wake()
                await node.state(FreshnessState.FRESH)
                assert await node.ask() == 200 and await node.health() == 200
                assert node.site.pipeline.policy.fleet.endpoints.by_id[stable_id(b"a")] is known

    run(test())


def test_where_the_file_says_go_on_a_stale_list_is_used() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with members() as (etcd,):
            await etcd.put(PREFIX + "a", entry("a", peer))
            async with following(etcd, when_stale="go-on") as node:
                await node.lists(a="ready")
                await etcd.stop()
                await node.state(FreshnessState.STALE)
                assert await node.ask() == 200 and await node.health() == 200
                await etcd.start(etcd.port)

    run(test())


@pytest.mark.parametrize("heard", [True, False])
def test_etcd_goes_away_after_and_before_a_drain_was_written(heard: bool) -> None:
    async def test() -> None:
        draining, other = await Peer().start(), await Peer().start()
        async with members() as (etcd,):
            await etcd.put(PREFIX + "a", entry("a", draining))
            await etcd.put(PREFIX + "b", entry("b", other))
            async with following(etcd) as node:
                await node.lists(a="ready", b="ready")
                if heard:
                    await etcd.put(PREFIX + "a", entry("a", draining, "leaving"))
                    await node.lists(a="draining", b="ready")
                await etcd.stop()
                if not heard:  # it can't be heard: from the limit on nothing is sent at all
                    await node.state(FreshnessState.STALE)
                before = draining.requests.qsize()
                statuses = {await node.ask() for _ in range(12)}
                assert draining.requests.qsize() == before
                assert statuses <= ({200, 503} if heard else {503})
                await node.state(FreshnessState.STALE)
                etcd.store.change(
                    etcd.store.put,
                    rpc_pb2.PutRequest(
                        key=f"{PREFIX}a".encode(), value=entry("a", draining, "leaving").encode()
                    ),
                )
                await etcd.start(etcd.port)
                await node.state(FreshnessState.FRESH)
                await node.lists(a="draining", b="ready")
                assert await node.ask() == 200 and draining.requests.qsize() == before

    run(test())


def test_a_restart_with_etcd_away_knows_the_old_list_and_does_not_use_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client, "SAVE_INTERVAL_S", 0.0)

    async def test() -> None:
        peer, path = await Peer().start(), tmp_path / "known.json"
        async with members() as (etcd,):
            await etcd.put(PREFIX + "a", entry("a", peer))
            async with following(etcd, known_file=str(path)) as node:
                await node.lists(a="ready")
                await node.until(path.exists)
            await etcd.stop()
            async with following(etcd, known_file=str(path)) as node:
                assert node.listed() == {"a": "ready"}
                assert await node.ask() == 503 and peer.requests.empty()
            async with following(etcd, known_file=str(path), when_stale="go-on") as node:
                assert await node.ask() == 200
            path.write_bytes(path.read_bytes()[:20])
            async with following(etcd, known_file=str(path)) as node:
                assert node.listed() == {}
            await etcd.start(etcd.port)

    run(test())


def test_other_endpoints_are_taken_without_a_restart() -> None:
    async def test() -> None:
        async with members(2) as (first, second):
            await first.put(PREFIX + "a", entry("a"))
            await second.put(PREFIX + "b", entry("b"))
            async with following(first, guard_share=0.0) as node:
                await node.lists(a="ready")
                elsewhere = {"endpoints": (("127.0.0.1", second.port),)}
                node.source.move(node.source.settings.model_copy(update=elsewhere))
                await node.lists(b="ready")

    run(test())


def test_other_times_and_another_guard_hold_from_the_move_on() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with members() as (etcd,):
            await etcd.put(PREFIX + "a", entry("a", peer))
            async with following(etcd, stale_after_ms=1e9, doubtful_after_ms=1e9) as node:
                await node.state(FreshnessState.FRESH)
                await etcd.stop()
                shorter = node.source.settings.model_copy(
                    update={"stale_after_ms": 300.0, "doubtful_after_ms": 200.0, "guard_share": 0.1}
                )
                node.source.move(shorter)
                await node.state(FreshnessState.STALE)
                assert await node.ask() == 503 and node.source.follower.guard.share == 0.1
                node.source.move(shorter.model_copy(update={"when_stale": "go-on"}))
                assert await node.ask() == 200
                await etcd.start(etcd.port)

    run(test())


def test_sighup_moves_a_node_to_the_endpoints_that_its_file_names(tmp_path: Path) -> None:
    async def test() -> None:
        async with members(2) as (first, second):
            await first.put(PREFIX + "a", entry("a"))
            await second.put(PREFIX + "b", entry("b"))
            path, node = tmp_path / "site.toml", NodeProcess()
            path.write_text(operators_file("", first.address))
            await node.start(path)
            path.write_text(operators_file("", second.address))
            node.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(WAIT):
                while not any("full: b ready" in line for line in node.lines):
                    await asyncio.sleep(0.01)
            assert await node.stop() == 0

    run(test())


def test_a_flapping_server_ends_as_etcd_has_it() -> None:
    async def test() -> None:
        async with members() as (etcd,):  # noqa: SIM117  # one needs the other
            async with following(etcd) as node:
                for turn in range(100):
                    state = "leaving" if turn % 3 == 1 else "active"
                    if turn % 3 == 2:
                        await etcd.delete(PREFIX + "a")
                    else:
                        await etcd.put(PREFIX + "a", entry("a", state=state))
                await etcd.put(PREFIX + "z", entry("z"))
                await node.lists(a="ready", z="ready")
                assert (
                    node.site.pipeline.policy.fleet.endpoints.by_id[stable_id(b"a")].endpoint.state
                    is ServerState.READY
                )

    run(test())


# The command line.


def test_operators_list_put_drain_and_remove(capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        async with members() as (etcd,), following(etcd) as node:

            async def members_(*words: str) -> tuple[int, str]:
                status = await asyncio.to_thread(
                    command_line, ["members", "--etcd", etcd.address, *words]
                )
                said = capsys.readouterr()
                return status, said.out + said.err

            assert (await members_("put", entry("a"), "--dry-run"))[0] == 0 and node.listed() == {}
            assert (await members_("put", entry("a")))[0] == 0
            assert (await members_("put", entry("b"), "--ttl", "30"))[0] == 0
            await node.lists(a="ready", b="ready")
            assert (await members_("drain", "a"))[0] == 0
            await node.lists(a="draining", b="ready")
            status, said = await members_("list")
            assert status == 0 and "leaving" in said.splitlines()[1] and "a" in said
            address = "{}:{}".format(*node.http.listener.address)
            status, said = await members_("list", "--from-node", address)
            assert status == 0 and "0 of 2 entries differ; the node's list is fresh" in said
            etcd.frozen = True
            await etcd.put(PREFIX + "c", entry("c"))
            status, said = await members_("list", "--from-node", address)
            assert status == 1 and "c: etcd" in said and "not listed" in said
            etcd.frozen = False
            await etcd.wake()
            assert (await members_("drain", "a", "--undo"))[0] == 0
            assert (await members_("remove", "c", "b"))[0] == 0
            await node.until(
                lambda: node.source.follower.kept_by_guard
            )  # more than the guard lets go at once
            assert (await members_("allow-shrink", "on"))[0] == 0
            await node.lists(a="ready")
            assert (await members_("allow-shrink", "off"))[0] == 0
            for words, status in (
                (("drain", "x"), 1), (("put", "{"), 2), (("put", '{"instanceId":"a"}'), 2),
                (("put", entry("a", state="gone")), 2), (("put", entry("a"), "--ttl", "0"), 2),
            ):  # fmt: skip
                assert (await members_(*words))[0] == status
        status = await asyncio.to_thread(command_line, ["members", "--etcd", "127.0.0.1:1", "list"])
        assert status == 1

    run(test())
