"""Following etcd: from a `Put` to the policy, beside the bare stub on the same stream; and the
policy's part.

`python -m benchmarks.etcd` starts the stand-in in a process of its own, writes entries and then
changes, and prints the figures of one run.
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
FLEETS = (10, 100, 1000, 10000)
CLASSES = (
    RequestClass(580.0, 1400.0, 2.0, Idempotency.IDEMPOTENT),
    RequestClass(750.0, 1900.0, 8.0, Idempotency.KEYED, deduplication_window_ms=6000.0),
)


def entry(number: int, state: str = "active") -> bytes:
    line = {
        "instanceId": f"s-{number}", "hostPort": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000",
        "zone": "a", "machineType": "m", "cell": 0, "lifecycle": state, "weight": 2.0, "startedAtMs": 0,
    }  # fmt: skip
    return json.dumps(line).encode()


def key(number: int) -> bytes:
    return f"{PREFIX}s-{number}".encode()


async def writer(address: str, entries: int, rate: float, seconds: float) -> None:
    """In a process of its own: fills the prefix, waits for a line, then changes entries at a
    rate."""
    async with grpc.aio.insecure_channel(address) as channel:
        kv = rpc_pb2_grpc.KVStub(channel)
        for start in range(0, entries, 100):
            ops = [
                rpc_pb2.RequestOp(request_put=rpc_pb2.PutRequest(key=key(n), value=entry(n)))
                for n in range(start, min(start + 100, entries))
            ]
            await kv.Txn(rpc_pb2.TxnRequest(success=ops))
        print("filled", flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
        rng, began, count, under_way = random.Random(1), time.monotonic(), 0, set()
        while (passed := time.monotonic() - began) < seconds:
            while count < passed * rate:
                count += 1
                number = rng.randrange(entries)
                # The time of the put travels in the entry, as a weight that is hardly any other.
                line = json.loads(entry(number, rng.choice(("active", "leaving"))))
                line["sentAt"] = time.monotonic()
                request = rpc_pb2.PutRequest(key=key(number), value=json.dumps(line).encode())
                task = asyncio.ensure_future(kv.Put(request))
                under_way.add(task)
                task.add_done_callback(under_way.discard)
            await asyncio.sleep(0.002)
        await asyncio.gather(*under_way)
        print(count, flush=True)


async def child(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )  # fmt: skip


def cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def resident() -> float:
    """MiB."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / (1 << 20)


class Follower:
    """The whole way: source, roster, policy."""

    def __init__(self, port: int) -> None:
        base = config(1)
        self.join = RequestPipeline(
            Settings(classes=CLASSES, key_affinity=True), 1, asyncio.get_running_loop()
        )
        reader = ListReader(base)
        self.roster = EndpointTable(reader, self.join)
        self.delays: list[float] = []
        self.changes = 0

        def read(raw: dict[str, Any]) -> Any:
            self.sent = raw.get("sentAt", 0.0)
            if self.sent:
                self.pending.append(self.sent)
            return reader.read_entry(raw)

        self.pending: list[float] = []
        settings = EtcdSettings(endpoints=(("127.0.0.1", port),), guard_share=0.0)
        self.source = EtcdSource(
            settings, read, self.took, lambda state: None, now_ms, random.Random(1)
        )

    def took(self, told: DiscoveryUpdate) -> None:
        self.roster.apply(told)
        now = time.monotonic()
        self.delays += [(now - sent) * 1000 for sent in self.pending]
        self.changes += len(self.pending)
        self.pending.clear()


async def bare(port: int, revision: int, delays: list[float]) -> None:
    """The stub alone, on the same stream."""
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = rpc_pb2_grpc.WatchStub(channel).Watch()
        prefix = PREFIX.encode()
        create = rpc_pb2.WatchCreateRequest(
            key=prefix, range_end=prefix_end(prefix), start_revision=revision
        )
        await call.write(rpc_pb2.WatchRequest(create_request=create))
        while (answer := await call.read()) is not grpc.aio.EOF:
            now = time.monotonic()
            delays += [
                (now - json.loads(event.kv.value)["sentAt"]) * 1000 for event in answer.events
            ]


def shown(delays: list[float]) -> str:
    cuts = statistics.quantiles(delays, n=100)
    return f"p50 {cuts[49]:.1f} ms, p99 {cuts[98]:.1f} ms"


async def follow(entries: int, rate: float, seconds: float) -> None:
    etcd = await child("-m", "standins.etcd", "--listen", "127.0.0.1:0")
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
    writing = await child(*arguments)
    assert writing.stdout is not None and writing.stdin is not None
    await writing.stdout.readline()
    before = resident()
    follower, began, used = Follower(port), time.monotonic(), cpu()
    follower.source.start()
    while len(follower.roster.listed) < entries:
        await asyncio.sleep(0.001)
    took = time.monotonic() - began
    grown = resident() - before
    print(
        f"the whole list of {entries}: {took * 1000:.0f} ms, {follower.source.received_bytes / 1e6:.1f} MB, "
        f"{cpu() - used:.2f} s of a core, {grown:.0f} MiB"
    )
    delays: list[float] = []
    reading = asyncio.ensure_future(bare(port, follower.source.follower.revision + 1, delays))
    await asyncio.sleep(0.2)
    used, began = cpu(), time.monotonic()
    writing.stdin.write(b"go\n")
    count = int(await writing.stdout.readline())
    wrote = time.monotonic() - began
    end = time.monotonic() + 10
    while follower.changes + len(follower.pending) < count and time.monotonic() < end:
        await asyncio.sleep(0.01)
    passed = time.monotonic() - began
    followed = follower.changes + len(follower.pending)  # what changed nothing waits for the next
    print(
        f"{count} changes at {count / wrote:.0f} a second, {followed} followed in {passed:.2f} s: "
        f"put to policy {shown(follower.delays)}; the bare stub {shown(delays)}"
    )
    print(f"both together used {(cpu() - used) / passed:.2f} of a core")
    print(f"rate of the follower, of the bare stub's: {followed / max(1, len(delays)):.2f}")
    reading.cancel()
    follower.source.close()
    for process in (writing, etcd):
        if process.returncode is None:
            process.kill()
            await process.wait()
    for count in sorted({100, 1000, entries}):
        await catch_up(count)


async def catch_up(entries: int) -> None:
    """The cost of a change from a watch response to the policy, beside reading the response
    alone."""
    from badgercart.discovery.etcd.follower import Follower as Machine
    from badgercart.discovery.etcd.follower import (
        Header,
        KeyValue,
        PublishUpdate,
        RangePage,
        WatchResponse,
    )

    follower = Follower(1)
    machine = Machine(
        EtcdSettings(endpoints=(("127.0.0.1", 1),), guard_share=0.0),
        ListReader(config(1)).read_entry,
        random.Random(1),
    )
    machine.begin()
    pairs = [KeyValue(key(n), entry(n), 1) for n in range(entries)]
    for order in machine.on_page(RangePage(Header(1, 1), pairs, False), 0.0):
        if isinstance(order, PublishUpdate):
            follower.roster.apply(order.update)
    while (
        follower.join.policy.fleet.virtual_nodes.pending
    ):  # the long list goes on the ring in slices
        follower.join.dispatch(TimerFired(0))
    answers = []
    for number in range(1000):
        answer = rpc_pb2.WatchResponse(
            header=rpc_pb2.ResponseHeader(cluster_id=1, revision=number + 2)
        )
        event = answer.events.add()
        event.kv.key, event.kv.value = key(number % entries), entry(number % entries, "leaving")
        event.kv.mod_revision = number + 2
        answers.append(answer.SerializeToString())
    start = time.perf_counter()
    for data in answers:
        answer = rpc_pb2.WatchResponse.FromString(data)
        json.loads(answer.events[0].kv.value)
    alone = time.perf_counter() - start
    start = time.perf_counter()
    for data in answers:
        answer = rpc_pb2.WatchResponse.FromString(data)
        events = [KeyValue(e.kv.key, e.kv.value, e.kv.mod_revision) for e in answer.events]
        for order in machine.on_watch_response(
            WatchResponse(Header(1, answer.header.revision), events), 0.0
        ):
            if isinstance(order, PublishUpdate):
                follower.roster.apply(order.update)
    whole = time.perf_counter() - start
    print(
        f"a change among {entries}: {whole:.3f} ms from response to policy, {alone:.3f} to read it alone"
    )


def policy() -> None:
    """One changed line, a whole list and a request, as the fleet grows."""
    first: dict[str, float] = {}
    for count in FLEETS:
        made = Policy(Settings(classes=CLASSES, key_affinity=True), 1)
        entries = [
            Endpoint(n + 1, 0, n % 2, 0, EndpointState.READY, 1.0 + n % 3, 0.0)
            for n in range(count)
        ]
        start = time.perf_counter()
        made.handle(0.0, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
        whole = time.perf_counter() - start
        slices: list[float] = []
        while made.fleet.virtual_nodes.pending:
            start = time.perf_counter()
            made.handle(0.0, TimerFired(0))
            slices.append(time.perf_counter() - start)
        rng, changes = random.Random(1), 400
        lines = []
        for number in range(changes):
            old = entries[rng.randrange(count)]
            state = EndpointState.DRAINING if number % 2 else EndpointState.READY
            lines.append(Endpoint(old.id, 0, old.kind, 0, state, old.size, 0.0))
        start = time.perf_counter()
        for line in lines:
            made.handle(1.0, EndpointUpdate(UpdateKind.DELTA, 2, [line]))
        change = (time.perf_counter() - start) / changes
        made.handle(2.0, EndpointUpdate(UpdateKind.SNAPSHOT, 3, entries))
        best = float("inf")
        for turn in range(5):
            start = time.perf_counter()
            for number in range(1000):
                now = 10.0 + number / 100
                made.handle(
                    now,
                    Request(
                        turn * 1000 + number + 1, number % 2, now + 900, number * 7919 % 500 + 1
                    ),
                )
            best = min(best, (time.perf_counter() - start) / 1000)
            for number in range(1000):
                made.lifecycle.finish(turn * 1000 + number + 1)
            for server in made.fleet.endpoints.by_id.values():
                server.open_attempts.clear()
            made.overload.concurrency.current = 0
        first.setdefault("request", best)
        longest = (
            f", then {len(slices)} slices of {max(slices) * 1000:.1f} ms at most" if slices else ""
        )
        print(
            f"{count:6} servers: a changed line {change * 1000:.3f} ms; "
            f"a whole list {whole * 1000:.1f} ms{longest}; a request {best * 1e6:.0f} microseconds, "
            f"{best / first['request']:.2f} of that for {FLEETS[0]}"
        )


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.etcd", description=__doc__)
    parser.add_argument("what", nargs="*", help=argparse.SUPPRESS)
    parser.add_argument("--entries", type=int, default=10000)
    parser.add_argument("--rate", type=float, default=1000.0, help="changes a second (1000)")
    parser.add_argument("--seconds", type=float, default=5.0, help="of changes (5)")
    chosen = parser.parse_args()
    if chosen.what:
        _, address, entries, rate, seconds = chosen.what
        asyncio.run(writer(address, int(entries), float(rate), float(seconds)))
        return 0
    asyncio.run(follow(chosen.entries, chosen.rate, chosen.seconds))
    gc.collect()
    gc.freeze()  # what the first part left must not be looked at in the second
    policy()
    return 0


if __name__ == "__main__":
    sys.exit(main())
