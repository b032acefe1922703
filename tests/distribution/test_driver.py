"""Replicas and followers on sockets: frames, buffer limits, disk failures and lost replicas."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from badgercart.config import Address
from badgercart.core.clock import now_ms
from badgercart.distribution import link as link_module
from badgercart.distribution.client import Client
from badgercart.distribution.driver import Runtime
from badgercart.distribution.effects import Persist, PersistSnapshot, UpdateTopic
from badgercart.distribution.follower import Follower
from badgercart.distribution.follower_driver import FollowerDriver
from badgercart.distribution.journal import Journal
from badgercart.distribution.link import (
    FRAME_LENGTH,
    MAX_WRITE_BUFFER_BYTES,
    WRITE_HIGH_WATER_BYTES,
    Link,
)
from badgercart.distribution.messages import (
    MAGIC,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Codec,
    Delta,
    Entry,
    Heartbeat,
    Hello,
    Message,
    Propose,
    ProposeResponse,
    Snapshot,
    Status,
    StatusRequest,
)
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaTiming
from badgercart.distribution.replica_driver import ReplicaAddresses, ReplicaDriver
from badgercart.distribution.replica_selector import FollowerTiming, ReplicaSelector
from badgercart.distribution.topic import Topic
from standins.ports import ReservedPort
from tests.distribution.support import subscribe
from tests.net import WAIT_S, run

GROUP, SECRET = "test", b"a secret of the tests"
CODEC = Codec(GROUP, SECRET)
FAST_REPLICA_TIMING = ReplicaTiming(
    heartbeat_interval_ms=20.0,
    election_timeout_ms=200.0,
    subscriber_heartbeat_interval_ms=20.0,
    reply_timeout_ms=2000.0,
)
FAST_FOLLOWER_TIMING = FollowerTiming(
    silence_timeout_ms=2000.0,
    connect_timeout_ms=1000.0,
    answer_timeout_ms=5000.0,
    reconnect_window_ms=20.0,
    max_reconnect_window_ms=100.0,
)
A, B = "servers/a", "servers/b"


async def wait_until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.002)


async def start_replica(
    folder: Path,
    name: str = "s1",
    others: dict[str, Address] | None = None,
    port: int = 0,
    **changes: Any,
) -> ReplicaDriver:
    """Start a replica; it is the only one of its group unless addresses of others are given."""
    addresses = others or {name: ("127.0.0.1", port)}
    names = tuple(addresses)
    journal = Journal(folder / name, changes.pop("min_compaction_bytes", 1 << 20))
    group = ReplicaGroup(name, names, names)
    replica = Replica(group, FAST_REPLICA_TIMING, random.Random(name), journal.recover(), **changes)
    loop = asyncio.get_running_loop()
    listen = addresses[name]
    runtime = Runtime(loop, now_ms, CODEC)
    driver = ReplicaDriver(
        runtime, replica, journal, ReplicaAddresses(listen, addresses), random.Random(1)
    )
    await driver.start()
    return driver


def start_follower(
    *stores: Address,
    topics: tuple[str, ...] = (A,),
    timing: FollowerTiming = FAST_FOLLOWER_TIMING,
    seed: int = 1,
) -> tuple[FollowerDriver, list[UpdateTopic]]:
    updates: list[UpdateTopic] = []
    selector = ReplicaSelector(len(stores), timing, random.Random(seed))
    follower = Follower("n", topics, selector, timing)
    loop = asyncio.get_running_loop()
    driver = FollowerDriver(Runtime(loop, now_ms, CODEC), follower, stores, updates.append)
    driver.start()
    return driver, updates


async def put(driver: ReplicaDriver, topic: str, **values: str | None) -> ProposeResponse:
    entries = tuple(Entry(k, None if v is None else v.encode()) for k, v in values.items())
    async with asyncio.timeout(WAIT_S), Client(driver.listen, CODEC) as client:
        client.write(Propose(1, topic, entries, -1))
        while not isinstance(message := await client.read(), ProposeResponse):
            pass
        return message


def has_same_topic(driver: FollowerDriver, store: ReplicaDriver, topic: str = A) -> bool:
    followed, replicated = driver.follower.topics.by_name[topic], store.replica.topics.get(topic)
    return replicated is not None and (followed.version, followed.entries) == (
        replicated.version,
        replicated.entries,
    )


@asynccontextmanager
async def running_replica(folder: Path, **changes: Any) -> AsyncIterator[ReplicaDriver]:
    driver = await start_replica(folder, **changes)
    try:
        yield driver
    finally:
        driver.close()


def test_a_follower_gets_a_snapshot_and_then_each_delta(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replica(tmp_path) as store:
            assert (await put(store, A, x="1")).version == 1
            follower, updates = start_follower(store.listen, topics=(A, B))
            await wait_until(
                lambda: has_same_topic(follower, store) and follower.follower.age_ms(now_ms()) < 500
            )
            assert follower.follower.topics.unknown == {B}
            for number in range(2, 30):
                assert (await put(store, A, x=str(number), y=None)).version == number
            await put(store, B, z="1")
            await wait_until(
                lambda: has_same_topic(follower, store) and has_same_topic(follower, store, B)
            )
            assert [update.version for update in updates if update.topic == A] == list(range(1, 30))
            assert follower.follower.dial_count == 1 and not follower.refused and not store.refused
            follower.close()
            await wait_until(lambda: not store.replica.publisher.subscriptions.subscribers)

    run(test())


def test_persisted_topics_survive_compactions_and_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replica(tmp_path, min_compaction_bytes=2000) as store:
            for number in range(60):
                await put(store, A, **{f"k{number % 7}": "v" * 100 + str(number)})
            assert int(next(p.suffix[1:] for p in (tmp_path / "s1").glob("journal.*"))) >= 2
            entries_before = dict(store.replica.topics[A].entries)
        async with running_replica(tmp_path) as store:
            assert (
                store.replica.topics[A].entries == entries_before
                and store.replica.topics[A].version == 60
            )

    run(test())


BAD_FRAMES = {
    "forged": Codec(GROUP, b"another secret of 16").encode(Hello("n", False)),
    "version": MAGIC + bytes((PROTOCOL_VERSION + 1,)) + CODEC.encode(Hello("n", False))[3:],
    "stray": b"nothing of ours at all, though long enough",
    "malformed": MAGIC + bytes((PROTOCOL_VERSION,)) + CODEC.hash(b"\xc1") + b"\xc1",
}


async def wait_until_closed(reader: asyncio.StreamReader) -> None:
    async with asyncio.timeout(WAIT_S):
        with contextlib.suppress(ConnectionError):
            await reader.read()


@pytest.mark.parametrize("kind", [*BAD_FRAMES, "oversized"])
@pytest.mark.parametrize("hello_sent", [False, True])
def test_a_bad_frame_closes_only_its_connection_and_changes_nothing(
    tmp_path: Path, kind: str, hello_sent: bool
) -> None:
    async def test() -> None:
        async with running_replica(tmp_path) as store:
            await put(store, A, x="1")
            follower, _ = start_follower(store.listen)
            await wait_until(lambda: has_same_topic(follower, store))
            reader, writer = await asyncio.open_connection(*store.listen)
            if hello_sent:
                data = CODEC.encode(Hello("n2", False))
                writer.write(FRAME_LENGTH.pack(len(data)) + data)
            if kind == "oversized":
                writer.write(FRAME_LENGTH.pack(MAX_FRAME_BYTES + 1) + b"x")
            else:
                # A valid proposal after the bad frame must be ignored as well.
                valid_frame = CODEC.encode(Propose(1, A, (Entry("x", b"2"),), -1))
                writer.write(
                    FRAME_LENGTH.pack(len(BAD_FRAMES[kind]))
                    + BAD_FRAMES[kind]
                    + FRAME_LENGTH.pack(len(valid_frame))
                    + valid_frame
                )
            await wait_until_closed(reader)
            assert dict(store.refused) == {kind: 1}
            assert store.replica.topics[A].version == 1 and len(store.links) == 1
            await put(store, A, x="3")
            await wait_until(lambda: has_same_topic(follower, store))
            assert follower.follower.dial_count == 1
            writer.close()
            follower.close()

    run(test())


def test_frames_split_into_single_bytes_are_reassembled(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replica(tmp_path) as store:
            reader, writer = await asyncio.open_connection(*store.listen)
            data = b""
            for message in (
                Hello("n", False),
                Propose(1, A, (Entry("x", b"1"),), -1),
                StatusRequest(),
            ):
                frame = CODEC.encode(message)
                data += FRAME_LENGTH.pack(len(frame)) + frame
            for byte in data:
                writer.write(bytes((byte,)))
                await writer.drain()
                await asyncio.sleep(0)
            client = Client(store.listen, CODEC)
            client.reader = reader
            async with asyncio.timeout(WAIT_S):
                assert await client.read() == ProposeResponse(1, 1, "", "")
                status = await client.read()
            assert (
                isinstance(status, Status) and status.role == "leading" and status.commit_index == 2
            )
            writer.close()

    run(test())


class ScriptedReplica:
    """A fake replica that sends fixed messages on each connection and records received ones."""

    def __init__(self, *messages: Message | bytes) -> None:
        self.messages, self.received = messages, asyncio.Queue[Message]()
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> ScriptedReplica:
        self.reserved_port = ReservedPort()
        self.address: Address = self.reserved_port.address
        self.server = await asyncio.start_server(self.serve, *self.address)
        return self

    def send(self, writer: asyncio.StreamWriter, message: Message | bytes) -> None:
        data = message if isinstance(message, bytes) else CODEC.encode(message)
        writer.write(FRAME_LENGTH.pack(len(data)) + data)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        for message in self.messages:
            self.send(writer, message)
        try:
            while True:
                (length,) = FRAME_LENGTH.unpack(await reader.readexactly(FRAME_LENGTH.size))
                self.received.put_nowait(CODEC.decode(await reader.readexactly(length)))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


@pytest.mark.parametrize("kind", BAD_FRAMES)
def test_a_replica_that_sends_bad_frames_is_abandoned_with_nothing_changed(
    tmp_path: Path, kind: str
) -> None:
    async def test() -> None:
        async with running_replica(tmp_path) as store:
            await put(store, A, x="1")
            bad_topic = Topic(3, (Entry("old", b"1"),))
            snapshot = Snapshot(A, 3, bad_topic.digest, 1, 1, (Entry("old", b"1"),))
            delta = Delta(A, 4, bad_topic.digest_with((Entry("old", b"2"),)), (Entry("old", b"2"),))
            bad = await ScriptedReplica(
                Hello("bad", True), snapshot, Heartbeat(0.0), BAD_FRAMES[kind], delta
            ).start()
            follower, updates = start_follower(bad.address)
            await wait_until(lambda: follower.follower.faults["closed"])
            assert [update.version for update in updates][:1] == [3] and follower.refused[kind]
            assert follower.follower.topics.by_name[A].entries == {"old": b"1"}
            follower.close()
            seeds = [seed for seed in range(50) if first_replica(seed) == 0]
            follower, updates = start_follower(bad.address, store.listen, seed=seeds[0])
            await wait_until(lambda: follower.follower.faults["closed"])
            for number in range(3):
                await put(store, A, x=str(number))
            # The replica's versions have passed those of the bad one.
            await wait_until(lambda: has_same_topic(follower, store))
            bad.close()
            follower.close()

    run(test())


def first_replica(seed: int) -> int:
    return ReplicaSelector(2, FAST_FOLLOWER_TIMING, random.Random(seed)).order[0]


def test_a_dial_that_never_completes_is_cancelled_after_its_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running_replica(tmp_path) as store:
            await put(store, A, x="1")
            seed = next(seed for seed in range(50) if first_replica(seed) == 0)
            loop = asyncio.get_running_loop()
            cancelled_dials: asyncio.Queue[str] = asyncio.Queue()
            timing = FollowerTiming(connect_timeout_ms=30.0, reconnect_window_ms=1.0)
            original_dial = FollowerDriver.dial

            async def dial(self: FollowerDriver, effect: Any) -> None:
                if effect.replica == 1:
                    await original_dial(self, effect)
                    return
                try:
                    await loop.create_future()
                except asyncio.CancelledError:
                    cancelled_dials.put_nowait("cancelled")
                    raise

            monkeypatch.setattr(FollowerDriver, "dial", dial)
            follower, _ = start_follower(("127.0.0.1", 9), store.listen, timing=timing, seed=seed)
            await wait_until(lambda: has_same_topic(follower, store))
            async with asyncio.timeout(WAIT_S):
                assert await cancelled_dials.get() == "cancelled"
            assert follower.follower.faults["hangs"] >= 1
            follower.close()

    run(test())


def test_a_doubted_topic_is_repaired_by_a_snapshot_even_if_deltas_are_available(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running_replica(tmp_path) as store:
            await put(store, A, x="1", y="1")
            follower, updates = start_follower(store.listen)
            await wait_until(lambda: has_same_topic(follower, store))
            # Corrupt the topic in memory.
            follower.follower.topics.by_name[A].entries["x"] = b"spoilt"
            await put(store, A, x="2")
            await wait_until(lambda: has_same_topic(follower, store))
            assert follower.follower.faults["digest"] == 1 and updates[-1].is_snapshot
            assert follower.follower.dial_count == 1
            follower.close()

    run(test())


def test_a_connection_that_opens_while_the_driver_closes_is_aborted(tmp_path: Path) -> None:
    async def test() -> None:
        store = await start_replica(tmp_path)
        loop, accepted_link = asyncio.get_running_loop(), store.accept()
        follower, _ = start_follower(store.listen)
        dialled_link = Link(follower, 99)
        # Both connections are established only after their drivers were closed.
        other = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        store.close()
        follower.close()
        for link in (accepted_link, dialled_link):
            address = other.sockets[0].getsockname()
            transport, _ = await loop.create_connection(lambda link=link: link, *address)  # type: ignore[misc]
            assert transport.is_closing() and link.is_closed
        assert not store.links and not follower.links
        other.close()

    run(test())


# Connections whose other end does not read.


def test_a_slow_reader_is_buffered_up_to_a_bound_and_gets_everything_later(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_replica(tmp_path) as store:
            big = {f"k{i}": "v" * 60_000 for i in range(8)}
            topics = tuple(f"t{i}" for i in range(40))
            for topic in topics:
                await put(store, topic, **big)
            reader, writer = await asyncio.open_connection(*store.listen, limit=1000)
            for message in (Hello("n", False), subscribe(*((topic, 0, 0) for topic in topics))):
                data = CODEC.encode(message)
                writer.write(FRAME_LENGTH.pack(len(data)) + data)
            await wait_until(
                lambda: any(
                    subscriber.stalled
                    for subscriber in store.replica.publisher.subscriptions.subscribers.values()
                )
            )
            (link,) = (
                link
                for link in store.links.values()
                if link.number in store.replica.publisher.subscriptions.subscribers
            )
            peak_bytes = 0
            for number in range(20):
                await put(store, topics[-1], k0=str(number))
                assert link.transport is not None
                peak_bytes = max(peak_bytes, link.transport.get_write_buffer_size())
            assert WRITE_HIGH_WATER_BYTES < peak_bytes < MAX_WRITE_BUFFER_BYTES / 2
            topics_received: dict[str, Topic] = {}
            client = Client(store.listen, CODEC)
            client.reader = reader
            async with asyncio.timeout(WAIT_S):
                while any(
                    topic not in topics_received
                    or topics_received[topic].digest != store.replica.topics[topic].digest
                    for topic in topics
                ):
                    received = await client.read()
                    if isinstance(received, Snapshot):
                        # Each snapshot has a single part.
                        topics_received[received.topic] = Topic(received.version, received.entries)
                        assert received.parts == 1
                    elif isinstance(received, Delta):
                        topics_received.setdefault(received.topic, Topic()).apply(received.entries)
            assert topics_received[topics[-1]].version == 21 and not store.refused
            writer.close()

    run(test())


def test_a_connection_that_stalls_for_long_is_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(link_module, "STALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with running_replica(tmp_path) as store:
            for number in range(30):
                await put(store, f"t{number}", **{f"k{i}": "v" * 60_000 for i in range(8)})
            reader, writer = await asyncio.open_connection(*store.listen, limit=1000)
            topics = tuple((f"t{i}", 0, 0) for i in range(30))
            for message in (Hello("n", False), subscribe(*topics)):
                data = CODEC.encode(message)
                writer.write(FRAME_LENGTH.pack(len(data)) + data)
            await wait_until(lambda: store.refused["slow"])
            assert not store.replica.publisher.subscriptions.subscribers
            writer.close()

    run(test())


# Failures of disks and replicas.


def test_a_failing_disk_stops_the_replica_before_it_acknowledges(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        failures: list[Exception] = []
        store = await start_replica(tmp_path)
        store.on_failure = failures.append
        persist = store.disk.persist

        def failing(effect: Persist | PersistSnapshot) -> None:
            assert isinstance(effect, Persist)
            if any(entry.key == "x" for change in effect.changes for entry in change.entries):
                raise OSError(28, "no room")
            persist(effect)

        store.disk.persist = failing  # type: ignore[method-assign]
        assert (await put(store, A, ok="1")).version == 1
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await put(store, A, x="1")
        assert [str(error) for error in failures] == ["[Errno 28] no room"] and not store.is_open
        with pytest.raises(OSError):
            await asyncio.open_connection(*store.listen)
        async with running_replica(tmp_path) as store:
            assert store.replica.topics[A].entries == {"ok": b"1"}

    run(test())


def test_three_replicas_on_sockets_survive_the_loss_of_their_leader(tmp_path: Path) -> None:
    async def test() -> None:
        ports = [ReservedPort() for _ in range(3)]
        addresses: dict[str, Address] = {f"s{i}": port.address for i, port in enumerate(ports, 1)}
        stores = {name: await start_replica(tmp_path, name, addresses) for name in addresses}

        def leader() -> ReplicaDriver | None:
            return next(
                (s for s in stores.values() if s.replica.raft.state.is_leader and s.is_open), None
            )

        follower, updates = start_follower(*addresses.values())
        await wait_until(leader)
        first = leader()
        assert first is not None
        await put(first, A, x="1")
        await wait_until(lambda: has_same_topic(follower, first))
        other = next(store for store in stores.values() if store is not first)
        assert (await put(other, A, x="2")).error == "not-leading"
        first.close()
        del stores[first.replica.group.local]
        await wait_until(leader)
        second = leader()
        assert second is not None and second.replica.raft.state.term > first.replica.raft.state.term
        assert (await put(second, A, x="3")).version == 2
        await wait_until(
            lambda: has_same_topic(follower, second) and follower.follower.age_ms(now_ms()) < 500
        )
        restarted = await start_replica(tmp_path, first.replica.group.local, addresses)
        stores[restarted.replica.group.local] = restarted
        await wait_until(lambda: restarted.replica.topics.get(A, Topic()).version == 2)
        assert [update.version for update in updates] == [1, 2]
        for store in stores.values():
            store.close()
        follower.close()

    run(test())
