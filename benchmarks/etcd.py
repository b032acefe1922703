"""Measure discovery through etcd, from a `Put` to the policy, and the cost within the policy.

`python -m benchmarks.etcd` starts the etcd stand-in in a process of its own, writes entries and then
changes, and prints the results of one run. The bare gRPC stub reads the same changes for comparison.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import random
import resource
import statistics
import sys
import time
from typing import Any

import grpc.aio
from aetcd.rpc import rpc_pb2, rpc_pb2_grpc

from badgercart.core.clock import now_ms
from badgercart.core.endpoint_table import DiscoveryUpdate, EndpointTable
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.discovery.entries import ListReader
from badgercart.discovery.etcd.client import EtcdSource, prefix_end
from badgercart.discovery.etcd.settings import EtcdSettings
from badgercart.policy import Policy, Settings
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, Request, TimerFired, UpdateKind
from badgercart.policy.settings import Idempotency, RequestClass
from tests.net import config

PREFIX = "/badgercart/servers/"
# Numbers of servers.
FLEET_SIZES = (10, 100, 1000, 10000)
# Entries that are written in one transaction at the start.
ENTRIES_PER_TRANSACTION = 100
# How long to wait for the last changes after they were written.
FOLLOWING_TIMEOUT_S = 10
# The total time in s of this many responses is printed as the time of one in ms.
WATCH_RESPONSES = 1000
# The cost of a change is the mean of so many.
POLICY_CHANGES = 400
# The time of a request is the lowest mean of so many repetitions.
REPETITIONS = 5
REQUESTS_PER_REPETITION = 1000
CLASSES = (
    RequestClass(580.0, 1400.0, 2.0, Idempotency.IDEMPOTENT),
    RequestClass(750.0, 1900.0, 8.0, Idempotency.KEYED, deduplication_window_ms=6000.0),
)


def server_entry(number: int, state: str = "active") -> bytes:
    """Return the value of the entry of a server."""
    fields = {
        "instanceId": f"s-{number}", "hostPort": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000",
        "zone": "a", "machineType": "m", "cell": 0, "lifecycle": state, "weight": 2.0, "startedAtMs": 0,
    }  # fmt: skip
    return json.dumps(fields).encode()


def entry_key(number: int) -> bytes:
    """Return the key of the entry of a server."""
    return f"{PREFIX}s-{number}".encode()


async def write_entries(address: str, entries: int, rate: float, seconds: float) -> None:
    """Write all entries, wait for a line of input, then change entries at a rate.

    This runs in a process of its own.
    """
    async with grpc.aio.insecure_channel(address) as channel:
        kv = rpc_pb2_grpc.KVStub(channel)
        for first in range(0, entries, ENTRIES_PER_TRANSACTION):
            ops = [
                rpc_pb2.RequestOp(
                    request_put=rpc_pb2.PutRequest(key=entry_key(n), value=server_entry(n))
                )
                for n in range(first, min(first + ENTRIES_PER_TRANSACTION, entries))
            ]
            await kv.Txn(rpc_pb2.TxnRequest(success=ops))
        print("filled", flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
        rng, started_at, count, pending_puts = random.Random(1), time.monotonic(), 0, set()
        while (elapsed_s := time.monotonic() - started_at) < seconds:
            while count < elapsed_s * rate:
                count += 1
                number = rng.randrange(entries)
                # The entry holds the time of the put, in a field that only this benchmark reads.
                entry = json.loads(server_entry(number, rng.choice(("active", "leaving"))))
                entry["sentAt"] = time.monotonic()
                request = rpc_pb2.PutRequest(
                    key=entry_key(number), value=json.dumps(entry).encode()
                )
                task = asyncio.ensure_future(kv.Put(request))
                pending_puts.add(task)
                task.add_done_callback(pending_puts.discard)
            await asyncio.sleep(0.002)
        await asyncio.gather(*pending_puts)
        print(count, flush=True)


async def start_process(*arguments: str) -> asyncio.subprocess.Process:
    """Start a Python process whose input and output are pipes."""
    return await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )  # fmt: skip


def processor_seconds() -> float:
    """Return the processor time in seconds that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def resident_mib() -> float:
    """Return the resident memory of this process in MiB."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / (1 << 20)


class DiscoveryChain:
    """The whole path of discovery: etcd source, endpoint table, policy.

    Attributes:
        pending: Times of puts that were read and not yet applied.
        delays_ms: Times from a put until its change was applied.
        changes: Number of changes applied.
    """

    def __init__(self, port: int) -> None:
        base = config(1)
        self.pipeline = RequestPipeline(
            Settings(classes=CLASSES, key_affinity=True), 1, asyncio.get_running_loop()
        )
        reader = ListReader(base)
        self.endpoint_table = EndpointTable(reader, self.pipeline)
        self.delays_ms: list[float] = []
        self.changes = 0

        def read(raw: dict[str, Any]) -> Any:
            self.sent_at = raw.get("sentAt", 0.0)
            if self.sent_at:
                self.pending.append(self.sent_at)
            return reader.read_entry(raw)

        self.pending: list[float] = []
        settings = EtcdSettings(endpoints=(("127.0.0.1", port),), guard_share=0.0)
        self.source = EtcdSource(
            settings, read, self.on_update, lambda state: None, now_ms, random.Random(1)
        )

    def on_update(self, update: DiscoveryUpdate) -> None:
        """Apply an update and record the delays of its changes."""
        self.endpoint_table.apply(update)
        now = time.monotonic()
        self.delays_ms += [(now - sent_at) * 1000 for sent_at in self.pending]
        self.changes += len(self.pending)
        self.pending.clear()


async def watch_with_stub(port: int, revision: int, delays_ms: list[float]) -> None:
    """Watch the prefix with the gRPC stub alone and record the delays of changes."""
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = rpc_pb2_grpc.WatchStub(channel).Watch()
        prefix = PREFIX.encode()
        create = rpc_pb2.WatchCreateRequest(
            key=prefix, range_end=prefix_end(prefix), start_revision=revision
        )
        await call.write(rpc_pb2.WatchRequest(create_request=create))
        while (response := await call.read()) is not grpc.aio.EOF:
            now = time.monotonic()
            delays_ms += [
                (now - json.loads(event.kv.value)["sentAt"]) * 1000 for event in response.events
            ]


def format_percentiles(delays_ms: list[float]) -> str:
    """Return the median and the 99th percentile as text."""
    percentiles = statistics.quantiles(delays_ms, n=100)
    return f"p50 {percentiles[49]:.1f} ms, p99 {percentiles[98]:.1f} ms"


async def measure_following(entries: int, rate: float, seconds: float) -> None:
    """Measure the read of the whole list, then the delay and the rate of changes."""
    etcd = await start_process("-m", "standins.etcd", "--listen", "127.0.0.1:0")
    assert etcd.stdout is not None
    port = int((await etcd.stdout.readline()).decode().rpartition(":")[2])
    arguments = (
        "-m",
        "benchmarks.etcd",
        "writer",
        f"127.0.0.1:{port}",
        str(entries),
        str(rate),
        str(seconds),
    )
    writer = await start_process(*arguments)
    assert writer.stdout is not None and writer.stdin is not None
    await writer.stdout.readline()
    before_mib = resident_mib()
    chain, started_at, processor_s_before = (
        DiscoveryChain(port),
        time.monotonic(),
        processor_seconds(),
    )
    chain.source.start()
    while len(chain.endpoint_table.listed) < entries:
        await asyncio.sleep(0.001)
    list_time_s = time.monotonic() - started_at
    grown_mib = resident_mib() - before_mib
    print(
        f"the whole list of {entries}: {list_time_s * 1000:.0f} ms, {chain.source.received_bytes / 1e6:.1f} MB, "
        f"{processor_seconds() - processor_s_before:.2f} s of a core, {grown_mib:.0f} MiB"
    )
    stub_delays_ms: list[float] = []
    watching = asyncio.ensure_future(
        watch_with_stub(port, chain.source.follower.revision + 1, stub_delays_ms)
    )
    await asyncio.sleep(0.2)
    processor_s_before, started_at = processor_seconds(), time.monotonic()
    writer.stdin.write(b"go\n")
    count = int(await writer.stdout.readline())
    write_time_s = time.monotonic() - started_at
    end = time.monotonic() + FOLLOWING_TIMEOUT_S
    while chain.changes + len(chain.pending) < count and time.monotonic() < end:
        await asyncio.sleep(0.01)
    elapsed_s = time.monotonic() - started_at
    # Puts that changed nothing stay pending until the next update.
    followed = chain.changes + len(chain.pending)
    print(
        f"{count} changes at {count / write_time_s:.0f} a second, {followed} followed in {elapsed_s:.2f} s: "
        f"put to policy {format_percentiles(chain.delays_ms)}; the bare stub {format_percentiles(stub_delays_ms)}"
    )
    print(
        f"both together used {(processor_seconds() - processor_s_before) / elapsed_s:.2f} of a core"
    )
    print(f"rate of the follower, of the bare stub's: {followed / max(1, len(stub_delays_ms)):.2f}")
    watching.cancel()
    chain.source.close()
    for process in (writer, etcd):
        if process.returncode is None:
            process.kill()
            await process.wait()
    for count in sorted({100, 1000, entries}):
        await measure_change(count)


async def measure_change(entries: int) -> None:
    """Measure a change from its watch response to the policy, and the read of the response alone."""
    from badgercart.discovery.etcd.follower import (
        Follower,
        Header,
        KeyValue,
        PublishUpdate,
        RangePage,
        WatchResponse,
    )

    chain = DiscoveryChain(1)
    follower = Follower(
        EtcdSettings(endpoints=(("127.0.0.1", 1),), guard_share=0.0),
        ListReader(config(1)).read_entry,
        random.Random(1),
    )
    follower.begin()
    pairs = [KeyValue(entry_key(index), server_entry(index), 1) for index in range(entries)]
    for action in follower.on_page(RangePage(Header(1, 1), pairs, False), 0.0):
        if isinstance(action, PublishUpdate):
            chain.endpoint_table.apply(action.update)
    # The policy adds a long list to the hash ring in slices.
    while chain.pipeline.policy.fleet.virtual_nodes.pending:
        chain.pipeline.dispatch(TimerFired(0))
    responses = []
    for index in range(WATCH_RESPONSES):
        response = rpc_pb2.WatchResponse(
            header=rpc_pb2.ResponseHeader(cluster_id=1, revision=index + 2)
        )
        event = response.events.add()
        event.kv.key, event.kv.value = (
            entry_key(index % entries),
            server_entry(index % entries, "leaving"),
        )
        event.kv.mod_revision = index + 2
        responses.append(response.SerializeToString())
    started_at = time.perf_counter()
    for data in responses:
        response = rpc_pb2.WatchResponse.FromString(data)
        json.loads(response.events[0].kv.value)
    read_ms = time.perf_counter() - started_at
    started_at = time.perf_counter()
    for data in responses:
        response = rpc_pb2.WatchResponse.FromString(data)
        events = [
            KeyValue(event.kv.key, event.kv.value, event.kv.mod_revision)
            for event in response.events
        ]
        for action in follower.on_watch_response(
            WatchResponse(Header(1, response.header.revision), events), 0.0
        ):
            if isinstance(action, PublishUpdate):
                chain.endpoint_table.apply(action.update)
    change_ms = time.perf_counter() - started_at
    print(
        f"a change among {entries}: {change_ms:.3f} ms from response to policy, {read_ms:.3f} to read it alone"
    )


def measure_policy() -> None:
    """Measure one changed entry, a whole list and a request in the policy, by the size of the fleet."""
    first_cost_s: dict[str, float] = {}
    for count in FLEET_SIZES:
        policy = Policy(Settings(classes=CLASSES, key_affinity=True), 1)
        entries = [
            Endpoint(index + 1, 0, index % 2, 0, EndpointState.READY, 1.0 + index % 3, 0.0)
            for index in range(count)
        ]
        started_at = time.perf_counter()
        policy.handle(0.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
        list_s = time.perf_counter() - started_at
        slice_times_s: list[float] = []
        while policy.fleet.virtual_nodes.pending:
            started_at = time.perf_counter()
            policy.handle(0.0, TimerFired(0))
            slice_times_s.append(time.perf_counter() - started_at)
        rng, changes = random.Random(1), POLICY_CHANGES
        changed_endpoints = []
        for index in range(changes):
            endpoint = entries[rng.randrange(count)]
            state = EndpointState.DRAINING if index % 2 else EndpointState.READY
            changed_endpoints.append(
                Endpoint(endpoint.id, 0, endpoint.kind, 0, state, endpoint.size, 0.0)
            )
        started_at = time.perf_counter()
        for changed_endpoint in changed_endpoints:
            policy.handle(1.0, EndpointUpdate(UpdateKind.DELTA, 2, [changed_endpoint]))
        change_s = (time.perf_counter() - started_at) / changes
        policy.handle(2.0, EndpointUpdate(UpdateKind.SNAPSHOT, 3, entries))
        request_s = float("inf")
        for repetition in range(REPETITIONS):
            started_at = time.perf_counter()
            for index in range(REQUESTS_PER_REPETITION):
                now = 10.0 + index / 100
                policy.handle(
                    now,
                    Request(
                        repetition * REQUESTS_PER_REPETITION + index + 1,
                        index % 2,
                        now + 900,
                        index * 7919 % 500 + 1,
                    ),
                )
            request_s = min(request_s, (time.perf_counter() - started_at) / REQUESTS_PER_REPETITION)
            for index in range(REQUESTS_PER_REPETITION):
                policy.lifecycle.finish(repetition * REQUESTS_PER_REPETITION + index + 1)
            for server in policy.fleet.endpoints.by_id.values():
                server.open_attempts.clear()
            policy.overload.concurrency.current = 0
        first_cost_s.setdefault("request", request_s)
        slices_text = (
            f", then {len(slice_times_s)} slices of {max(slice_times_s) * 1000:.1f} ms at most"
            if slice_times_s
            else ""
        )
        print(
            f"{count:6} servers: a changed line {change_s * 1000:.3f} ms; "
            f"a whole list {list_s * 1000:.1f} ms{slices_text}; a request {request_s * 1e6:.0f} microseconds, "
            f"{request_s / first_cost_s['request']:.2f} of that for {FLEET_SIZES[0]}"
        )


def main() -> int:
    """Run the benchmark, or the process that writes entries, as the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.etcd", description=__doc__)
    parser.add_argument("what", nargs="*", help=argparse.SUPPRESS)
    parser.add_argument("--entries", type=int, default=10000)
    parser.add_argument("--rate", type=float, default=1000.0, help="changes a second (1000)")
    parser.add_argument("--seconds", type=float, default=5.0, help="of changes (5)")
    arguments = parser.parse_args()
    if arguments.what:
        _, address, entries, rate, seconds = arguments.what
        asyncio.run(write_entries(address, int(entries), float(rate), float(seconds)))
        return 0
    asyncio.run(measure_following(arguments.entries, arguments.rate, arguments.seconds))
    # Keeps the garbage collector from scanning the objects of the first part during the second.
    gc.collect()
    gc.freeze()
    measure_policy()
    return 0


if __name__ == "__main__":
    sys.exit(main())
