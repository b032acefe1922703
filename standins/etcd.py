"""A small etcd v3 over real gRPC, with faults on command: `python -m standins.etcd --listen
HOST:PORT`.

KV, Watch, Lease, Auth, and as much of Cluster and Maintenance as clients ask of at their start. In
service of tests it can drop or freeze watches, delay, say things twice, compact, lose its leader,
serve an old revision, come back empty or as another cluster, and refuse connections. As a program
it takes the names of faults from standard input, one a line.
"""

from __future__ import annotations

import argparse
import asyncio
import secrets
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import grpc
import grpc.aio
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from standins.etcd_store import Code, EtcdError, Store, compacted

TICK = 0.05  # s between looks for leases that have expired
MEMBER = 0x8E9E05C52164694D
NO_LEADER = EtcdError(Code.UNAVAILABLE, "no leader")


class Watcher:
    """One watch on a stream, and the revision from which on it has to be told."""

    def __init__(self, number: int, request: Any, start: int) -> None:
        self.number, self.next = number, start
        self.key, self.end = request.key, request.range_end
        self.prev_kv, self.fragment, self.progress = (
            request.prev_kv,
            request.fragment,
            request.progress_notify,
        )
        self.without = set(request.filters)
        self.told = 0.0  # when anything was said last

    def wants(self, event: Any) -> bool:
        key = event.kv.key
        inside = (
            key == self.key
            if not self.end
            else key >= self.key and (self.end == b"\0" or key < self.end)
        )
        return inside and event.type not in self.without


class Etcd:
    """One member. Faults are attributes and methods; `calls` counts what was asked."""

    def __init__(self) -> None:
        self.store = Store()
        self.cluster = secrets.randbits(63)
        self.term = 2
        self.port = 0
        self.fragment_bytes = 1_500_000
        self.progress_interval = 600.0  # s, etcd's default
        self.users: dict[str, str] = {}  # with any, a token is wanted
        self.tokens: dict[str, float] = {}  # until when
        self.token_time = 300.0  # s
        self.calls: dict[str, int] = {}
        # Faults.
        self.frozen = False  # watches say nothing; connections stay
        self.delay = 0.0  # s ahead of every answer
        self.twice = False  # watch responses are sent twice
        self.leader = True
        self.old_revision = 0  # reads are answered as at this revision; 0: no fault
        self.cut_fragment = 0  # end the stream after so many fragments of one response
        self.streams: set[asyncio.Task[Any]] = set()
        self.changed = asyncio.Condition()
        self.server: Any = None

    # Start and stop.

    async def start(self, port: int = 0, credentials: Any = None, host: str = "127.0.0.1") -> Etcd:
        self.server = grpc.aio.server(
            options=(
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", 64 << 20),
                ("grpc.max_send_message_length", 64 << 20),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", 100),
                ("grpc.keepalive_permit_without_calls", 1),
            )
        )
        for add, service in (
            (rpc_pb2_grpc.add_KVServicer_to_server, KV(self)),
            (rpc_pb2_grpc.add_WatchServicer_to_server, Watch(self)),
            (rpc_pb2_grpc.add_LeaseServicer_to_server, Leases(self)),
            (rpc_pb2_grpc.add_AuthServicer_to_server, Auth(self)),
            (rpc_pb2_grpc.add_ClusterServicer_to_server, Cluster(self)),
            (rpc_pb2_grpc.add_MaintenanceServicer_to_server, Maintenance(self)),
        ):
            add(service, self.server)
        address = f"{host}:{port or self.port}"
        if credentials is None:
            self.port = self.server.add_insecure_port(address)
        else:
            self.port = self.server.add_secure_port(address, credentials)
        await self.server.start()
        self.ticking = asyncio.ensure_future(self.tick())
        return self

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def stop(self) -> None:
        """Refuse connections from here on; what is held stays for a `start`."""
        self.ticking.cancel()
        await self.server.stop(0)

    async def restart(self, empty: bool = False, new_cluster: bool = False) -> None:
        """As from a backup that is older, or none: the same address, other data."""
        await self.stop()
        if empty:
            self.store = Store()
        if new_cluster:
            self.cluster = secrets.randbits(63)
        await self.start(self.port)

    def drop(self) -> None:
        """End every watch stream."""
        for task in list(self.streams):
            task.cancel()

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            before = self.store.revision
            self.store.expire(time.monotonic())
            if self.store.revision != before or self.progress_interval < 60:
                await self.wake()

    async def wake(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    # For tests, without a client.

    async def put(self, key: str | bytes, value: str | bytes, lease: int = 0) -> int:
        key, value = (item.encode() if isinstance(item, str) else item for item in (key, value))
        self.store.change(self.store.put, rpc_pb2.PutRequest(key=key, value=value, lease=lease))
        await self.wake()
        return self.store.revision

    async def delete(self, key: str | bytes, end: bytes = b"") -> int:
        key = key.encode() if isinstance(key, str) else key
        self.store.change(self.store.delete, rpc_pb2.DeleteRangeRequest(key=key, range_end=end))
        await self.wake()
        return self.store.revision

    async def txn(self, *operations: Any) -> int:
        """Puts and deletes in one revision."""
        request = rpc_pb2.TxnRequest()
        for operation in operations:
            put = isinstance(operation, rpc_pb2.PutRequest)
            name = "request_put" if put else "request_delete_range"
            getattr(request.success.add(), name).CopyFrom(operation)
        self.store.change(self.store.txn, request)
        await self.wake()
        return self.store.revision

    async def compact(self, revision: int = 0) -> None:
        self.store.compact(revision or self.store.revision)
        await self.wake()

    # What all services share.

    def header(self, revision: int = 0) -> Any:
        return rpc_pb2.ResponseHeader(
            cluster_id=self.cluster,
            member_id=MEMBER,
            revision=revision or self.old_revision or self.store.revision,
            raft_term=self.term,
        )

    async def enter(self, name: str, context: Any) -> None:
        """What every call goes through: faults, the leader, the token."""
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.delay:
            await asyncio.sleep(self.delay)
        metadata = dict(context.invocation_metadata() or ())
        if not self.leader and (
            metadata.get("hasleader") == "true" or name in ("Put", "DeleteRange", "Txn")
        ):
            raise NO_LEADER
        if self.users and name != "Authenticate":
            token = metadata.get("token") or metadata.get("authorization") or ""
            if not token:
                raise EtcdError(Code.INVALID_ARGUMENT, "user name is empty")
            if self.tokens.get(str(token), 0.0) < time.monotonic():
                raise EtcdError(Code.UNAUTHENTICATED, "invalid auth token")

    async def answer(self, name: str, context: Any, work: Callable[[], Any]) -> Any:
        """One unary call, with its errors as etcd sends them."""
        try:
            await self.enter(name, context)
            before = self.store.revision
            answer = work()
            if hasattr(answer, "header"):
                answer.header.CopyFrom(self.header())
            if self.store.revision != before or name == "Compact":
                await self.wake()
            return answer
        except EtcdError as error:
            await context.abort(error.code, error.text)


class Service:
    def __init__(self, etcd: Etcd) -> None:
        self.etcd = etcd


class KV(Service, rpc_pb2_grpc.KVServicer):  # type: ignore[misc]  # it comes without types
    async def Range(self, request: Any, context: Any) -> Any:
        etcd = self.etcd

        def work() -> Any:
            if etcd.old_revision and not request.revision:
                request.revision = etcd.old_revision
            return etcd.store.range(request)

        return await etcd.answer("Range", context, work)

    async def Put(self, request: Any, context: Any) -> Any:
        store = self.etcd.store
        return await self.etcd.answer("Put", context, lambda: store.change(store.put, request))

    async def DeleteRange(self, request: Any, context: Any) -> Any:
        store = self.etcd.store
        return await self.etcd.answer(
            "DeleteRange", context, lambda: store.change(store.delete, request)
        )

    async def Txn(self, request: Any, context: Any) -> Any:
        store = self.etcd.store
        return await self.etcd.answer("Txn", context, lambda: store.change(store.txn, request))

    async def Compact(self, request: Any, context: Any) -> Any:
        def work() -> Any:
            self.etcd.store.compact(request.revision)
            return rpc_pb2.CompactionResponse()

        return await self.etcd.answer("Compact", context, work)


class Leases(Service, rpc_pb2_grpc.LeaseServicer):  # type: ignore[misc]
    async def LeaseGrant(self, request: Any, context: Any) -> Any:
        def work() -> Any:
            lease = self.etcd.store.grant(request.ID, request.TTL, time.monotonic())
            return rpc_pb2.LeaseGrantResponse(ID=lease.number, TTL=lease.ttl)

        return await self.etcd.answer("LeaseGrant", context, work)

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:
        def work() -> Any:
            self.etcd.store.revoke(request.ID)
            return rpc_pb2.LeaseRevokeResponse()

        return await self.etcd.answer("LeaseRevoke", context, work)

    async def LeaseKeepAlive(self, request_iterator: Any, context: Any) -> Any:
        async for request in request_iterator:
            answer = rpc_pb2.LeaseKeepAliveResponse(header=self.etcd.header(), ID=request.ID)
            lease = self.etcd.store.leases.get(request.ID)
            if lease is not None:  # one that is not there is told by a TTL of 0
                lease.until = time.monotonic() + lease.ttl
                answer.TTL = lease.ttl
            yield answer

    async def LeaseTimeToLive(self, request: Any, context: Any) -> Any:
        def work() -> Any:
            lease = self.etcd.store.leases.get(request.ID)
            if lease is None:
                return rpc_pb2.LeaseTimeToLiveResponse(ID=request.ID, TTL=-1)
            left = max(0, int(lease.until - time.monotonic()))
            keys = sorted(lease.keys) if request.keys else []
            return rpc_pb2.LeaseTimeToLiveResponse(
                ID=request.ID, TTL=left, grantedTTL=lease.ttl, keys=keys
            )

        return await self.etcd.answer("LeaseTimeToLive", context, work)

    async def LeaseLeases(self, request: Any, context: Any) -> Any:
        def work() -> Any:
            leases = [rpc_pb2.LeaseStatus(ID=number) for number in self.etcd.store.leases]
            return rpc_pb2.LeaseLeasesResponse(leases=leases)

        return await self.etcd.answer("LeaseLeases", context, work)


class Auth(Service, rpc_pb2_grpc.AuthServicer):  # type: ignore[misc]
    async def Authenticate(self, request: Any, context: Any) -> Any:
        etcd = self.etcd

        def work() -> Any:
            if not etcd.users:
                raise EtcdError(Code.FAILED_PRECONDITION, "authentication is not enabled")
            if etcd.users.get(request.name) != request.password:
                raise EtcdError(
                    Code.INVALID_ARGUMENT, "authentication failed, invalid user ID or password"
                )
            token = secrets.token_hex(8)
            etcd.tokens[token] = time.monotonic() + etcd.token_time
            return rpc_pb2.AuthenticateResponse(token=token)

        return await etcd.answer("Authenticate", context, work)


class Cluster(Service, rpc_pb2_grpc.ClusterServicer):  # type: ignore[misc]
    async def MemberList(self, request: Any, context: Any) -> Any:
        member = rpc_pb2.Member(
            ID=MEMBER, name="standin", clientURLs=[f"http://{self.etcd.address}"]
        )
        return await self.etcd.answer(
            "MemberList", context, lambda: rpc_pb2.MemberListResponse(members=[member])
        )


class Maintenance(Service, rpc_pb2_grpc.MaintenanceServicer):  # type: ignore[misc]
    async def Status(self, request: Any, context: Any) -> Any:
        answer = rpc_pb2.StatusResponse(
            version="3.5.0", leader=MEMBER if self.etcd.leader else 0, raftTerm=self.etcd.term
        )
        return await self.etcd.answer("Status", context, lambda: answer)


class Watch(Service, rpc_pb2_grpc.WatchServicer):  # type: ignore[misc]
    async def Watch(self, request_iterator: Any, context: Any) -> None:
        etcd = self.etcd
        try:
            await etcd.enter("Watch", context)
        except EtcdError as error:
            await context.abort(error.code, error.text)
        stream = WatchStream(etcd, context)
        task = asyncio.current_task()
        assert task is not None
        etcd.streams.add(task)
        telling = asyncio.ensure_future(stream.tell())
        hearing = asyncio.ensure_future(stream.hear())
        try:
            done, _ = await asyncio.wait((telling, hearing), return_when=asyncio.FIRST_COMPLETED)
            for one in done:
                if one.exception() is not None and not isinstance(one.exception(), grpc.RpcError):
                    raise one.exception() or AssertionError
        except EtcdError as error:
            await context.abort(error.code, error.text)
        except asyncio.CancelledError:
            await context.abort(Code.UNAVAILABLE, "etcdserver: stream dropped")
        finally:
            etcd.streams.discard(task)
            telling.cancel()
            hearing.cancel()


class WatchStream:
    """All watches of one stream. What is due is read from the history: no queue grows for a slow
    reader."""

    def __init__(self, etcd: Etcd, context: Any) -> None:
        self.etcd, self.context = etcd, context
        self.watchers: dict[int, Watcher] = {}
        self.last = -1
        self.control: deque[Any] = deque()  # created, canceled, progress

    async def hear(self) -> None:
        while (request := await self.context.read()) is not grpc.aio.EOF:
            kind = request.WhichOneof("request_union")
            if kind == "create_request":
                self.create(request.create_request)
            elif kind == "cancel_request":
                if self.watchers.pop(request.cancel_request.watch_id, None) is not None:
                    self.cancelled(request.cancel_request.watch_id)
            elif kind == "progress_request":
                self.control.append("progress")
            await self.etcd.wake()

    def create(self, request: Any) -> None:
        number = request.watch_id
        if number in self.watchers:
            self.control.append(
                rpc_pb2.WatchResponse(
                    watch_id=-1, created=True, canceled=True,
                    cancel_reason="mvcc: duplicate watch ID provided on the WatchStream",
                )
            )  # fmt: skip
            return
        if not number:
            while self.last + 1 in self.watchers:
                self.last += 1
            self.last += 1
            number = self.last
        start = request.start_revision or self.etcd.store.revision + 1
        self.watchers[number] = Watcher(number, request, start)
        self.control.append(rpc_pb2.WatchResponse(watch_id=number, created=True))

    def cancelled(self, number: int, reason: str = "", compact_revision: int = 0) -> None:
        self.control.append(
            rpc_pb2.WatchResponse(
                watch_id=number,
                canceled=True,
                cancel_reason=reason,
                compact_revision=compact_revision,
            )
        )

    async def tell(self) -> None:
        etcd = self.etcd
        while True:
            async with etcd.changed:
                if not self.due():
                    await etcd.changed.wait()
            if etcd.frozen:
                continue
            if not etcd.leader and any(
                k == "hasleader" for k, _ in self.context.invocation_metadata()
            ):
                raise NO_LEADER
            asked = False
            while self.control:
                message = self.control.popleft()
                if message == "progress":
                    asked = True
                else:
                    await self.send(message)
            for watcher in list(self.watchers.values()):
                await self.catch_up(watcher)
            if asked and all(w.next > etcd.store.revision for w in self.watchers.values()):
                await self.send(rpc_pb2.WatchResponse(watch_id=-1))

    def due(self) -> bool:
        store, now = self.etcd.store, time.monotonic()
        if self.etcd.frozen:
            return False
        late = now - self.etcd.progress_interval
        return bool(self.control) or any(
            w.next <= store.revision or (w.progress and w.told < late)
            for w in self.watchers.values()
        )

    async def catch_up(self, watcher: Watcher) -> None:
        store, now = self.etcd.store, time.monotonic()
        if watcher.next < store.compacted:
            del self.watchers[watcher.number]
            self.cancelled(watcher.number, compacted().args[0], store.compacted)
            return
        while watcher.next <= store.revision and watcher.number in self.watchers:
            revision, events = watcher.next, []
            for event in store.history.get(revision, ()):
                if watcher.wants(event):
                    told = kv_pb2.Event()
                    told.CopyFrom(event)
                    if not watcher.prev_kv:
                        told.ClearField("prev_kv")
                    events.append(told)
            watcher.next = revision + 1
            if events:
                watcher.told = now
                await self.send_events(watcher, events, revision)
            if watcher.next < store.compacted:
                await self.catch_up(watcher)
                return
        if watcher.progress and now - watcher.told >= self.etcd.progress_interval:
            watcher.told = now
            await self.send(rpc_pb2.WatchResponse(watch_id=watcher.number))

    async def send_events(self, watcher: Watcher, events: list[Any], revision: int) -> None:
        parts: list[list[Any]] = [[]]
        size = 0
        for event in events:
            if (
                watcher.fragment
                and parts[-1]
                and size + event.ByteSize() > self.etcd.fragment_bytes
            ):
                parts.append([])
                size = 0
            parts[-1].append(event)
            size += event.ByteSize()
        for number, part in enumerate(parts, 1):
            if self.etcd.cut_fragment and number > self.etcd.cut_fragment:
                self.etcd.cut_fragment = 0
                raise EtcdError(Code.UNAVAILABLE, "stream cut between fragments")
            more = number < len(parts)
            answer = rpc_pb2.WatchResponse(watch_id=watcher.number, fragment=more, events=part)
            await self.send(answer, max(revision, 0))

    async def send(self, answer: Any, revision: int = 0) -> None:
        answer.header.CopyFrom(self.etcd.header(revision))
        if self.etcd.delay:
            await asyncio.sleep(self.etcd.delay)
        await self.context.write(answer)
        if self.etcd.twice and answer.events:
            await self.context.write(answer)


# As a program.


async def command(etcd: Etcd, words: list[str]) -> str:
    """One fault by its name; what it did, in a line."""
    match words:
        case ["drop"]:
            etcd.drop()
        case ["freeze"]:
            etcd.frozen = True
        case ["thaw"]:
            etcd.frozen = False
            await etcd.wake()
        case ["delay", seconds]:
            etcd.delay = float(seconds)
        case ["twice", "on" | "off" as how]:
            etcd.twice = how == "on"
        case ["compact", *revision]:
            await etcd.compact(int(revision[0]) if revision else 0)
        case ["leader", "on" | "off" as how]:
            etcd.leader = how == "on"
            await etcd.wake()
        case ["old", revision]:
            etcd.old_revision = int(revision)
        case ["restart", *how]:
            await etcd.restart("empty" in how, "new" in how)
        case ["refuse"]:
            await etcd.stop()
        case ["accept"]:
            await etcd.start(etcd.port)
        case ["expire"]:
            etcd.store.expire(float("inf"))
            await etcd.wake()
        case _:
            return (
                "drop, freeze, thaw, delay S, twice on|off, compact [REVISION], leader on|off, "
                "old REVISION, restart [empty] [new], refuse, accept, expire"
            )
    return "done"


async def serve(host: str, port: int) -> None:
    etcd = await Etcd().start(port, host=host)
    print(f"listening on {host}:{etcd.port}", flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        if words := line.split():
            try:
                print(await command(etcd, words), flush=True)
            except (ValueError, EtcdError) as error:
                print(error, flush=True)
    await etcd.server.wait_for_termination()


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m standins.etcd", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:2379", metavar="HOST:PORT")
    host, _, port = parser.parse_args().listen.rpartition(":")
    if not host or not port.isdecimal():
        parser.error("--listen wants HOST:PORT")
    try:
        asyncio.run(serve(host, int(port)))
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
