"""The stand-in etcd behaves as etcd, seen by a third-party client and by the published stubs."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aetcd
import grpc
import grpc.aio
import pytest
from aetcd.rpc import rpc_pb2, rpc_pb2_grpc

from standins.etcd import Etcd, WatchStream
from tests.net import WAIT_S, run


@asynccontextmanager
async def running_member(**faults: Any) -> AsyncIterator[Etcd]:
    etcd = await Etcd().start()
    for name, value in faults.items():
        setattr(etcd, name, value)
    try:
        yield etcd
    finally:
        await etcd.stop()


@asynccontextmanager
async def open_watch(etcd: Etcd, **create: Any) -> AsyncIterator[Any]:
    async with grpc.aio.insecure_channel(etcd.address) as channel:
        call = rpc_pb2_grpc.WatchStub(channel).Watch(metadata=(("hasleader", "true"),))
        request = rpc_pb2.WatchCreateRequest(key=b"k", range_end=b"l", **create)
        await call.write(rpc_pb2.WatchRequest(create_request=request))
        yield call


async def read_response(call: Any) -> Any:
    return await asyncio.wait_for(call.read(), WAIT_S)


def test_a_third_party_client_reads_writes_and_compares() -> None:
    async def test() -> None:
        async with running_member() as etcd, aetcd.Client("127.0.0.1", etcd.port) as client:
            await client.put(b"a", b"1")
            await client.put(b"b", b"2")
            await client.put(b"c", b"3")
            assert (await client.get(b"b")).value == b"2"
            assert await client.get(b"x") is None
            assert [kv.key for kv in await client.get_range(b"a", b"c")] == [b"a", b"b"]
            found = await client.get_all(sort_order="descend", sort_target="value")
            assert [kv.value for kv in found] == [b"3", b"2", b"1"]
            assert await client.replace(b"a", b"1", b"9") and not await client.replace(
                b"a", b"1", b"8"
            )
            before = etcd.store.revision
            ok, _ = await client.transaction(
                compare=[client.transactions.value(b"a") == b"9"],
                success=[client.transactions.put(b"d", b"4"), client.transactions.delete(b"c")],
                failure=[],
            )
            # Both changes have one revision.
            assert ok and etcd.store.revision == before + 1
            assert (await client.delete(b"a")) is not None and await client.get(b"a") is None
            assert (await client.delete_range(b"a", b"z")).deleted == 2

    run(test())


def test_a_third_party_client_watches() -> None:
    async def test() -> None:
        async with running_member() as etcd, aetcd.Client("127.0.0.1", etcd.port) as client:
            await client.put(b"k/0", b"0")
            start = etcd.store.revision + 1
            await client.put(b"k/1", b"1")
            watch = await client.watch_prefix(b"k/", start_revision=start)
            await client.put(b"k/2", b"2")
            await client.put(b"other", b"")
            await client.delete(b"k/1")
            events = []
            async with asyncio.timeout(WAIT_S):
                async for event in watch:
                    events.append((str(event.kind), event.kv.key))
                    if len(events) == 3:
                        break
            assert events == [("PUT", b"k/1"), ("PUT", b"k/2"), ("DELETE", b"k/1")]
            await watch.cancel()

    run(test())


def test_a_third_party_client_holds_leases_and_logs_in() -> None:
    async def test() -> None:
        async with running_member() as etcd, aetcd.Client("127.0.0.1", etcd.port) as client:
            lease = await client.lease(30)
            await client.put(b"l", b"1", lease=lease)
            assert (await client.get_lease_info(lease.id)).keys == [b"l"]
            await lease.refresh()
            await client.revoke_lease(lease.id)
            assert await client.get(b"l") is None
            other = await client.lease(1)
            await client.put(b"m", b"1", lease=other)
            etcd.store.leases[other.id].until = 0.0
            async with asyncio.timeout(WAIT_S):
                while await client.get(b"m") is not None:
                    await asyncio.sleep(0.01)
        async with running_member(users={"root": "secret"}) as etcd:
            async with aetcd.Client("127.0.0.1", etcd.port, "root", "secret") as client:
                await client.put(b"a", b"1")
            with pytest.raises(aetcd.exceptions.ClientError):
                async with aetcd.Client("127.0.0.1", etcd.port, "root", "wrong") as client:
                    await client.put(b"a", b"1")

    run(test())


def test_errors_have_the_codes_and_texts_of_etcd() -> None:
    async def test() -> None:
        async with running_member() as etcd, grpc.aio.insecure_channel(etcd.address) as channel:
            kv, leases = rpc_pb2_grpc.KVStub(channel), rpc_pb2_grpc.LeaseStub(channel)
            for _ in range(5):
                await etcd.put("k", "v")
            await etcd.compact(4)
            code = grpc.StatusCode
            for call, request, expected_code, expected_text in (
                (kv.Range, rpc_pb2.RangeRequest(key=b"k", revision=3), code.OUT_OF_RANGE,
                 "etcdserver: mvcc: required revision has been compacted"),
                (kv.Range, rpc_pb2.RangeRequest(key=b"k", revision=99), code.OUT_OF_RANGE,
                 "etcdserver: mvcc: required revision is a future revision"),
                (kv.Put, rpc_pb2.PutRequest(), code.INVALID_ARGUMENT, "etcdserver: key is not provided"),
                (kv.Put, rpc_pb2.PutRequest(key=b"k", lease=7), code.NOT_FOUND,
                 "etcdserver: requested lease not found"),
                (kv.Compact, rpc_pb2.CompactionRequest(revision=2), code.OUT_OF_RANGE,
                 "etcdserver: mvcc: required revision has been compacted"),
                (leases.LeaseRevoke, rpc_pb2.LeaseRevokeRequest(ID=7), code.NOT_FOUND,
                 "etcdserver: requested lease not found"),
            ):  # fmt: skip
                with pytest.raises(grpc.aio.AioRpcError) as caught:
                    await call(request)
                assert (caught.value.code(), caught.value.details()) == (
                    expected_code,
                    expected_text,
                )
            assert (await kv.Range(rpc_pb2.RangeRequest(key=b"k", revision=4))).kvs[
                0
            ].mod_revision == 4

    run(test())


def test_a_list_in_pages_stays_at_its_revision() -> None:
    async def test() -> None:
        async with running_member() as etcd, grpc.aio.insecure_channel(etcd.address) as channel:
            for number in range(5):
                await etcd.put(f"k{number}", "old")
            kv = rpc_pb2_grpc.KVStub(channel)
            first = await kv.Range(rpc_pb2.RangeRequest(key=b"k", range_end=b"l", limit=3))
            assert first.more and first.count == 5 and len(first.kvs) == 3
            await etcd.put("k4", "new")
            await etcd.delete("k3")
            at = first.header.revision
            rest = await kv.Range(
                rpc_pb2.RangeRequest(key=b"k2\0", range_end=b"l", limit=3, revision=at)
            )
            assert [kv.value for kv in rest.kvs] == [b"old", b"old"] and not rest.more

    run(test())


def test_a_watch_from_compacted_history_is_cancelled() -> None:
    async def test() -> None:
        async with running_member() as etcd:
            for _ in range(6):
                await etcd.put("k", "v")
            await etcd.compact(5)
            async with open_watch(etcd, start_revision=3) as call:
                assert (await read_response(call)).created
                cancelled = await read_response(call)
                assert cancelled.canceled and cancelled.compact_revision == 5
            async with open_watch(etcd, start_revision=5) as call:
                assert (await read_response(call)).created
                assert [event.kv.mod_revision for event in (await read_response(call)).events] == [
                    5
                ]
                assert [event.kv.mod_revision for event in (await read_response(call)).events] == [
                    6
                ]

    run(test())


def test_fragments_filters_and_progress() -> None:
    async def test() -> None:
        filters = [rpc_pb2.WatchCreateRequest.NODELETE]
        async with running_member(fragment_bytes=60) as etcd:  # noqa: SIM117 (the second needs the first)
            async with open_watch(etcd, fragment=True, filters=filters) as call:
                assert (await read_response(call)).created
                await etcd.put("k0", "gone")
                assert len((await read_response(call)).events) == 1
                await etcd.delete("k0")
                puts = [rpc_pb2.PutRequest(key=b"k%d" % i, value=b"v" * 30) for i in range(3)]
                revision = await etcd.txn(*puts)
                parts = [await read_response(call) for _ in range(3)]
                assert [part.fragment for part in parts] == [True, True, False]
                assert {event.kv.mod_revision for part in parts for event in part.events} == {
                    revision
                }
                ask = rpc_pb2.WatchRequest(progress_request=rpc_pb2.WatchProgressRequest())
                await call.write(ask)
                progress = await read_response(call)
                assert (progress.watch_id, progress.header.revision, len(progress.events)) == (
                    -1,
                    revision,
                    0,
                )
                cancel = rpc_pb2.WatchCancelRequest(watch_id=parts[0].watch_id)
                await call.write(rpc_pb2.WatchRequest(cancel_request=cancel))
                assert (await read_response(call)).canceled

    run(test())


def test_a_fault_set_while_a_response_is_sent_applies_to_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_send = WatchStream.send

    async def send(self: WatchStream, response: Any, revision: int = 0) -> None:
        await original_send(self, response, revision)
        if response.created:
            self.etcd.frozen = True
            await self.etcd.put("k", "1")

    async def test() -> None:
        async with running_member() as etcd, open_watch(etcd) as call:
            assert (await read_response(call)).created
            waiting = asyncio.ensure_future(call.read())
            done, _ = await asyncio.wait((waiting,), timeout=0.05)
            assert not done
            etcd.frozen = False
            await etcd.wake()
            assert (await asyncio.wait_for(waiting, WAIT_S)).events[0].kv.value == b"1"

    monkeypatch.setattr(WatchStream, "send", send)
    run(test())


def test_faults_do_what_they_say() -> None:
    async def test() -> None:
        async with running_member() as etcd:
            async with open_watch(etcd) as call:
                assert (await read_response(call)).created
                etcd.frozen = True
                await etcd.put("k", "1")
                waiting = asyncio.ensure_future(call.read())
                done, _ = await asyncio.wait((waiting,), timeout=0.05)
                assert not done
                etcd.frozen = False
                await etcd.wake()
                assert (await asyncio.wait_for(waiting, WAIT_S)).events[0].kv.value == b"1"
                etcd.twice = True
                await etcd.put("k", "2")
                assert (await read_response(call)).events == (await read_response(call)).events
                etcd.leader = False
                await etcd.wake()
                with pytest.raises(grpc.aio.AioRpcError, match="no leader"):
                    await read_response(call)
            etcd.leader, etcd.twice = True, False
            async with open_watch(etcd) as call:
                assert (await read_response(call)).created
                etcd.drop()
                with pytest.raises(grpc.aio.AioRpcError):
                    await read_response(call)
            cluster = etcd.cluster
            await etcd.restart(empty=True, new_cluster=True)
            assert etcd.cluster != cluster and etcd.store.revision == 1

    run(test())


def test_it_runs_as_a_program_that_reads_faults_from_standard_input() -> None:
    async def test() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "standins.etcd", "--listen", "127.0.0.1:0",
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        assert process.stdin is not None and process.stdout is not None

        async def read_line() -> str:
            assert process.stdout is not None
            return (await asyncio.wait_for(process.stdout.readline(), WAIT_S)).decode().strip()

        first_line = await read_line()
        assert first_line.startswith("listening on 127.0.0.1:")
        async with aetcd.Client("127.0.0.1", int(first_line.rpartition(":")[2])) as client:
            await client.put(b"a", b"1")
            process.stdin.write(b"old 1\n")
            assert await read_line() == "done"
            assert await client.get(b"a") is None
            process.stdin.write(b"mischief\n")
            assert (await read_line()).startswith("drop, freeze")
        process.kill()
        await process.wait()

    run(test())
