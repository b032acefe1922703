"""A small etcd v3 over real gRPC, with faults on command: `python -m standins.etcd --listen HOST:PORT`.

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
from standins.ports import ReservedPort

# Interval of the periodic check for expired leases.
EXPIRY_SCAN_INTERVAL_S = 0.05
# Below this progress interval every periodic check wakes the watch streams, so that progress
# notifications are sent in time.
SHORT_PROGRESS_INTERVAL_S = 60
MAX_MESSAGE_BYTES = 64 << 20
# gRPC's default of 5 minutes would end connections of clients with more frequent keepalive pings.
MIN_PING_INTERVAL_MS = 100
MEMBER_ID = 0x8E9E05C52164694D
NO_LEADER = EtcdError(Code.UNAVAILABLE, "no leader")


class Watcher:
    """One watch of a stream, with `next`, the first revision whose events it was not sent."""

    def __init__(self, number: int, request: Any, start: int) -> None:
        self.number, self.next = number, start
        self.key, self.end = request.key, request.range_end
        self.prev_kv, self.fragment, self.progress = (
            request.prev_kv,
            request.fragment,
            request.progress_notify,
        )
        # The event types that the client wants left out.
        self.excluded_types = set(request.filters)
        # When the last response was sent, in s on the monotonic clock.
        self.last_sent_at = 0.0

    def wants(self, event: Any) -> bool:
        """Return whether the event is in the watch's key range and of a type that it wants."""
        key = event.kv.key
        in_range = (
            key == self.key
            if not self.end
            else key >= self.key and (self.end == b"\0" or key < self.end)
        )
        return in_range and event.type not in self.excluded_types


class Etcd:
    """One etcd member.

    Its faults are attributes and methods. `calls` counts the calls by RPC method.
    """

    def __init__(self) -> None:
        self.store = Store()
        self.cluster = secrets.randbits(63)
        self.term = 2
        self.port = 0
        self.fragment_bytes = 1_500_000
        # Interval of progress notifications in s: etcd's default.
        self.progress_interval = 600.0
        # Passwords by user name. Where there is any user, each call needs a token.
        self.users: dict[str, str] = {}
        # When each token expires, in s on the monotonic clock.
        self.tokens: dict[str, float] = {}
        self.token_lifetime_s = 300.0
        self.calls: dict[str, int] = {}
        # Faults.
        # While true, watches send nothing and connections stay open.
        self.frozen = False
        # Delay in s ahead of each response.
        self.delay = 0.0
        # While true, watch responses with events are sent twice.
        self.twice = False
        self.leader = True
        # Reads are answered as of this revision; 0 for no fault.
        self.old_revision = 0
        # The stream ends after so many fragments of one response; 0 for no fault.
        self.cut_fragment = 0
        self.streams: set[asyncio.Task[Any]] = set()
        self.changed = asyncio.Condition()
        self.server: Any = None

    # Start and stop.

    async def start(self, port: int = 0, credentials: Any = None, host: str = "127.0.0.1") -> Etcd:
        """Listen on `port`, or on the port of the last start, or on a free port.

        A free port stays the server's own while it is stopped.
        """
        self.server = grpc.aio.server(
            options=(
                ("grpc.so_reuseport", 0),
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
                ("grpc.http2.min_recv_ping_interval_without_data_ms", MIN_PING_INTERVAL_MS),
                ("grpc.keepalive_permit_without_calls", 1),
            )
        )
        for add_service, service in (
            (rpc_pb2_grpc.add_KVServicer_to_server, KV(self)),
            (rpc_pb2_grpc.add_WatchServicer_to_server, Watch(self)),
            (rpc_pb2_grpc.add_LeaseServicer_to_server, Leases(self)),
            (rpc_pb2_grpc.add_AuthServicer_to_server, Auth(self)),
            (rpc_pb2_grpc.add_ClusterServicer_to_server, Cluster(self)),
            (rpc_pb2_grpc.add_MaintenanceServicer_to_server, Maintenance(self)),
        ):
            add_service(service, self.server)
        if not port and not self.port:
            self.reserved_port = ReservedPort(host)
            port = self.reserved_port.number
        address = f"{host}:{port or self.port}"
        if credentials is None:
            self.port = self.server.add_insecure_port(address)
        else:
            self.port = self.server.add_secure_port(address, credentials)
        await self.server.start()
        self.expiry_task = asyncio.ensure_future(self.expire_leases())
        return self

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        return f"127.0.0.1:{self.port}"

    async def stop(self) -> None:
        """Stop listening, so that connections are refused; the data stays for a later `start`."""
        self.expiry_task.cancel()
        await self.server.stop(0)

    async def restart(self, empty: bool = False, new_cluster: bool = False) -> None:
        """Restart at the same address with other data, as a restore from an old backup or none."""
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

    async def expire_leases(self) -> None:
        """Remove expired leases at each interval."""
        while True:
            await asyncio.sleep(EXPIRY_SCAN_INTERVAL_S)
            before = self.store.revision
            self.store.expire(time.monotonic())
            if self.store.revision != before or self.progress_interval < SHORT_PROGRESS_INTERVAL_S:
                await self.wake()

    async def wake(self) -> None:
        """Have every watch stream check for responses that are due."""
        async with self.changed:
            self.changed.notify_all()

    # Writes by a test, without a client.

    async def put(self, key: str | bytes, value: str | bytes, lease: int = 0) -> int:
        """Write a key and return the revision."""
        key, value = (item.encode() if isinstance(item, str) else item for item in (key, value))
        self.store.change(self.store.put, rpc_pb2.PutRequest(key=key, value=value, lease=lease))
        await self.wake()
        return self.store.revision

    async def delete(self, key: str | bytes, end: bytes = b"") -> int:
        """Delete a key or a range of keys and return the revision."""
        key = key.encode() if isinstance(key, str) else key
        self.store.change(self.store.delete, rpc_pb2.DeleteRangeRequest(key=key, range_end=end))
        await self.wake()
        return self.store.revision

    async def txn(self, *operations: Any) -> int:
        """Carry out puts and deletes in one revision, and return it."""
        request = rpc_pb2.TxnRequest()
        for operation in operations:
            put = isinstance(operation, rpc_pb2.PutRequest)
            name = "request_put" if put else "request_delete_range"
            getattr(request.success.add(), name).CopyFrom(operation)
        self.store.change(self.store.txn, request)
        await self.wake()
        return self.store.revision

    async def compact(self, revision: int = 0) -> None:
        """Compact up to `revision`, or up to the current one where it is 0."""
        self.store.compact(revision or self.store.revision)
        await self.wake()

    # Shared by all services.

    def header(self, revision: int = 0) -> Any:
        """Return a response header."""
        return rpc_pb2.ResponseHeader(
            cluster_id=self.cluster,
            member_id=MEMBER_ID,
            revision=revision or self.old_revision or self.store.revision,
            raft_term=self.term,
        )

    async def enter(self, name: str, context: Any) -> None:
        """Apply the faults and check the leader and the token, as for every call.

        Raises EtcdError where the call is to fail.
        """
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
        """Execute one unary call; an error ends it with etcd's status code and text."""
        try:
            await self.enter(name, context)
            before = self.store.revision
            response = work()
            if hasattr(response, "header"):
                response.header.CopyFrom(self.header())
            if self.store.revision != before or name == "Compact":
                await self.wake()
            return response
        except EtcdError as error:
            await context.abort(error.code, error.text)


class Service:
    """Base class of the gRPC services."""

    def __init__(self, etcd: Etcd) -> None:
        self.etcd = etcd


# The generated base classes have no types, which is why each service ignores a type error.
class KV(Service, rpc_pb2_grpc.KVServicer):  # type: ignore[misc]
    """The KV service."""

    async def Range(self, request: Any, context: Any) -> Any:
        """Read a key or a range of keys."""
        etcd = self.etcd

        def work() -> Any:
            if etcd.old_revision and not request.revision:
                request.revision = etcd.old_revision
            return etcd.store.range(request)

        return await etcd.answer("Range", context, work)

    async def Put(self, request: Any, context: Any) -> Any:
        """Write a key."""
        store = self.etcd.store
        return await self.etcd.answer("Put", context, lambda: store.change(store.put, request))

    async def DeleteRange(self, request: Any, context: Any) -> Any:
        """Delete a key or a range of keys."""
        store = self.etcd.store
        return await self.etcd.answer(
            "DeleteRange", context, lambda: store.change(store.delete, request)
        )

    async def Txn(self, request: Any, context: Any) -> Any:
        """Execute a transaction."""
        store = self.etcd.store
        return await self.etcd.answer("Txn", context, lambda: store.change(store.txn, request))

    async def Compact(self, request: Any, context: Any) -> Any:
        """Compact the history up to a revision."""

        def work() -> Any:
            self.etcd.store.compact(request.revision)
            return rpc_pb2.CompactionResponse()

        return await self.etcd.answer("Compact", context, work)


class Leases(Service, rpc_pb2_grpc.LeaseServicer):  # type: ignore[misc]
    """The Lease service."""

    async def LeaseGrant(self, request: Any, context: Any) -> Any:
        """Create a lease."""

        def work() -> Any:
            lease = self.etcd.store.grant(request.ID, request.TTL, time.monotonic())
            return rpc_pb2.LeaseGrantResponse(ID=lease.number, TTL=lease.ttl)

        return await self.etcd.answer("LeaseGrant", context, work)

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:
        """Revoke a lease and delete its keys."""

        def work() -> Any:
            self.etcd.store.revoke(request.ID)
            return rpc_pb2.LeaseRevokeResponse()

        return await self.etcd.answer("LeaseRevoke", context, work)

    async def LeaseKeepAlive(self, request_iterator: Any, context: Any) -> Any:
        """Extend leases, one for each request of the stream."""
        async for request in request_iterator:
            response = rpc_pb2.LeaseKeepAliveResponse(header=self.etcd.header(), ID=request.ID)
            lease = self.etcd.store.leases.get(request.ID)
            # For a lease that does not exist the TTL in the response stays 0.
            if lease is not None:
                lease.until = time.monotonic() + lease.ttl
                response.TTL = lease.ttl
            yield response

    async def LeaseTimeToLive(self, request: Any, context: Any) -> Any:
        """Return the remaining time and the keys of a lease."""

        def work() -> Any:
            lease = self.etcd.store.leases.get(request.ID)
            if lease is None:
                return rpc_pb2.LeaseTimeToLiveResponse(ID=request.ID, TTL=-1)
            remaining_s = max(0, int(lease.until - time.monotonic()))
            keys = sorted(lease.keys) if request.keys else []
            return rpc_pb2.LeaseTimeToLiveResponse(
                ID=request.ID, TTL=remaining_s, grantedTTL=lease.ttl, keys=keys
            )

        return await self.etcd.answer("LeaseTimeToLive", context, work)

    async def LeaseLeases(self, request: Any, context: Any) -> Any:
        """List all leases."""

        def work() -> Any:
            leases = [rpc_pb2.LeaseStatus(ID=number) for number in self.etcd.store.leases]
            return rpc_pb2.LeaseLeasesResponse(leases=leases)

        return await self.etcd.answer("LeaseLeases", context, work)


class Auth(Service, rpc_pb2_grpc.AuthServicer):  # type: ignore[misc]
    """The Auth service, as far as clients log in."""

    async def Authenticate(self, request: Any, context: Any) -> Any:
        """Check a password and return a token."""
        etcd = self.etcd

        def work() -> Any:
            if not etcd.users:
                raise EtcdError(Code.FAILED_PRECONDITION, "authentication is not enabled")
            if etcd.users.get(request.name) != request.password:
                raise EtcdError(
                    Code.INVALID_ARGUMENT, "authentication failed, invalid user ID or password"
                )
            token = secrets.token_hex(8)
            etcd.tokens[token] = time.monotonic() + etcd.token_lifetime_s
            return rpc_pb2.AuthenticateResponse(token=token)

        return await etcd.answer("Authenticate", context, work)


class Cluster(Service, rpc_pb2_grpc.ClusterServicer):  # type: ignore[misc]
    """The Cluster service, as far as clients use it when they start."""

    async def MemberList(self, request: Any, context: Any) -> Any:
        """Return this process as the only member."""
        member = rpc_pb2.Member(
            ID=MEMBER_ID, name="standin", clientURLs=[f"http://{self.etcd.address}"]
        )
        return await self.etcd.answer(
            "MemberList", context, lambda: rpc_pb2.MemberListResponse(members=[member])
        )


class Maintenance(Service, rpc_pb2_grpc.MaintenanceServicer):  # type: ignore[misc]
    """The Maintenance service, as far as clients use it when they start."""

    async def Status(self, request: Any, context: Any) -> Any:
        """Return the version and the leader."""
        response = rpc_pb2.StatusResponse(
            version="3.5.0", leader=MEMBER_ID if self.etcd.leader else 0, raftTerm=self.etcd.term
        )
        return await self.etcd.answer("Status", context, lambda: response)


class Watch(Service, rpc_pb2_grpc.WatchServicer):  # type: ignore[misc]
    """The Watch service."""

    async def Watch(self, request_iterator: Any, context: Any) -> None:
        """Serve the watches of one stream until either direction ends."""
        etcd = self.etcd
        try:
            await etcd.enter("Watch", context)
        except EtcdError as error:
            await context.abort(error.code, error.text)
        stream = WatchStream(etcd, context)
        task = asyncio.current_task()
        assert task is not None
        etcd.streams.add(task)
        sending = asyncio.ensure_future(stream.send_due())
        receiving = asyncio.ensure_future(stream.receive())
        try:
            done, _ = await asyncio.wait((sending, receiving), return_when=asyncio.FIRST_COMPLETED)
            for part in done:
                if part.exception() is not None and not isinstance(part.exception(), grpc.RpcError):
                    raise part.exception() or AssertionError
        except EtcdError as error:
            await context.abort(error.code, error.text)
        except asyncio.CancelledError:
            await context.abort(Code.UNAVAILABLE, "etcdserver: stream dropped")
        finally:
            etcd.streams.discard(task)
            sending.cancel()
            receiving.cancel()


class WatchStream:
    """All watches of one stream.

    Due events are read from the store's history, so that no queue grows for a slow reader.
    """

    def __init__(self, etcd: Etcd, context: Any) -> None:
        self.etcd, self.context = etcd, context
        self.watchers: dict[int, Watcher] = {}
        self.last_watch_id = -1
        # Responses about created and canceled watches that are to be sent, and "progress" for each
        # progress request.
        self.control: deque[Any] = deque()

    async def receive(self) -> None:
        """Process the client's messages until it closes the stream."""
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
        """Create a watch, or reject one whose id is in use."""
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
            while self.last_watch_id + 1 in self.watchers:
                self.last_watch_id += 1
            self.last_watch_id += 1
            number = self.last_watch_id
        start = request.start_revision or self.etcd.store.revision + 1
        self.watchers[number] = Watcher(number, request, start)
        self.control.append(rpc_pb2.WatchResponse(watch_id=number, created=True))

    def cancelled(self, number: int, reason: str = "", compact_revision: int = 0) -> None:
        """Queue the response that tells the client of a canceled watch."""
        self.control.append(
            rpc_pb2.WatchResponse(
                watch_id=number,
                canceled=True,
                cancel_reason=reason,
                compact_revision=compact_revision,
            )
        )

    async def send_due(self) -> None:
        """Send what is due at each change, until the stream ends."""
        etcd = self.etcd
        while True:
            async with etcd.changed:
                if not self.due():
                    await etcd.changed.wait()
            if etcd.frozen:
                continue
            if not etcd.leader and any(
                name == "hasleader" for name, _ in self.context.invocation_metadata()
            ):
                raise NO_LEADER
            progress_requested = False
            while self.control:
                message = self.control.popleft()
                if message == "progress":
                    progress_requested = True
                else:
                    await self.send(message)
            for watcher in list(self.watchers.values()):
                await self.catch_up(watcher)
            if progress_requested and all(
                watcher.next > etcd.store.revision for watcher in self.watchers.values()
            ):
                await self.send(rpc_pb2.WatchResponse(watch_id=-1))

    def due(self) -> bool:
        """Return whether there is anything to send."""
        store, now = self.etcd.store, time.monotonic()
        if self.etcd.frozen:
            return False
        progress_due = now - self.etcd.progress_interval
        return bool(self.control) or any(
            watcher.next <= store.revision
            or (watcher.progress and watcher.last_sent_at < progress_due)
            for watcher in self.watchers.values()
        )

    async def catch_up(self, watcher: Watcher) -> None:
        """Send a watch the events up to the current revision, or cancel it after a compaction."""
        store, now = self.etcd.store, time.monotonic()
        if watcher.next < store.compacted:
            del self.watchers[watcher.number]
            self.cancelled(watcher.number, compacted().args[0], store.compacted)
            return
        while (
            watcher.next <= store.revision
            and watcher.number in self.watchers
            # A client may have received a response before the call that sent it returns here.
            and not self.etcd.frozen
        ):
            revision, events = watcher.next, []
            for event in store.history.get(revision, ()):
                if watcher.wants(event):
                    sent = kv_pb2.Event()
                    sent.CopyFrom(event)
                    if not watcher.prev_kv:
                        sent.ClearField("prev_kv")
                    events.append(sent)
            watcher.next = revision + 1
            if events:
                watcher.last_sent_at = now
                await self.send_events(watcher, events, revision)
            if watcher.next < store.compacted:
                await self.catch_up(watcher)
                return
        if watcher.progress and now - watcher.last_sent_at >= self.etcd.progress_interval:
            watcher.last_sent_at = now
            await self.send(rpc_pb2.WatchResponse(watch_id=watcher.number))

    async def send_events(self, watcher: Watcher, events: list[Any], revision: int) -> None:
        """Send the events of one revision, in fragments where the watch permits them."""
        fragments: list[list[Any]] = [[]]
        size = 0
        for event in events:
            if (
                watcher.fragment
                and fragments[-1]
                and size + event.ByteSize() > self.etcd.fragment_bytes
            ):
                fragments.append([])
                size = 0
            fragments[-1].append(event)
            size += event.ByteSize()
        for number, fragment in enumerate(fragments, 1):
            if self.etcd.cut_fragment and number > self.etcd.cut_fragment:
                self.etcd.cut_fragment = 0
                raise EtcdError(Code.UNAVAILABLE, "stream cut between fragments")
            more = number < len(fragments)
            response = rpc_pb2.WatchResponse(
                watch_id=watcher.number, fragment=more, events=fragment
            )
            await self.send(response, max(revision, 0))

    async def send(self, response: Any, revision: int = 0) -> None:
        """Send one response, twice where that fault is set and it has events."""
        response.header.CopyFrom(self.etcd.header(revision))
        if self.etcd.delay:
            await asyncio.sleep(self.etcd.delay)
        # Decided before the first one, which the client may have received before `write` returns.
        copies = 2 if self.etcd.twice and response.events else 1
        for _ in range(copies):
            await self.context.write(response)


# The command line program.


async def command(etcd: Etcd, words: list[str]) -> str:
    """Inject the fault that a line of standard input names, and return the line to print."""
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
    """Serve until the process ends, and carry out commands from standard input."""
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
    """Run the program and return its exit code."""
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
