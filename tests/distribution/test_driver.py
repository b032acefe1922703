"""Stores and followers on sockets: frames, bounds of buffers, disks that fail, stores that die."""

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
from badgercart.distribution import driver as module
from badgercart.distribution.driver import HIGH, LENGTH, MOST, Client, FollowerDriver, StoreDriver
from badgercart.distribution.effects import Keep, Take
from badgercart.distribution.follower import Follower
from badgercart.distribution.follower import Timing as FollowerTiming
from badgercart.distribution.journal import Journal
from badgercart.distribution.messages import (
    MAGIC,
    MAX_FRAME,
    VERSION,
    Beat,
    Codec,
    Delta,
    Entry,
    Hello,
    Message,
    Propose,
    Proposed,
    Status,
    StatusRequest,
    Subscribe,
    Whole,
)
from badgercart.distribution.store import Store
from badgercart.distribution.store import Timing as StoreTiming
from badgercart.distribution.topic import Topic
from tests.net import WAIT, run

GROUP, SECRET = "test", b"a secret of the tests"
CODEC = Codec(GROUP, SECRET)
QUICK = StoreTiming(heartbeat=20.0, election=200.0, beat=20.0, patience=2000.0)
BRISK = FollowerTiming(silence=2000.0, dial=1000.0, answer=5000.0, window=20.0, longest=100.0)
A, B = "servers/a", "servers/b"


async def until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(WAIT):
        while not condition():
            await asyncio.sleep(0.002)


def free_ports(count: int) -> list[int]:
    import socket

    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports


async def store_at(
    folder: Path,
    name: str = "s1",
    others: dict[str, Address] | None = None,
    port: int = 0,
    **changes: Any,
) -> StoreDriver:
    """A store that is up; alone where there are no others."""
    addresses = others or {name: ("127.0.0.1", port)}
    names = tuple(addresses)
    journal = Journal(folder / name, changes.pop("floor", 1 << 20))
    store = Store(name, names, names, QUICK, random.Random(name), journal.recover(), **changes)
    loop = asyncio.get_running_loop()
    listen = addresses[name]
    driver = StoreDriver(loop, now_ms, store, journal, CODEC, listen, addresses, random.Random(1))
    await driver.start()
    return driver


def following(
    *stores: Address, topics: tuple[str, ...] = (A,), timing: FollowerTiming = BRISK, seed: int = 1
) -> tuple[FollowerDriver, list[Take]]:
    taken: list[Take] = []
    follower = Follower("n", topics, len(stores), timing, random.Random(seed))
    loop = asyncio.get_running_loop()
    driver = FollowerDriver(loop, now_ms, follower, CODEC, stores, taken.append)
    driver.start()
    return driver, taken


async def put(driver: StoreDriver, topic: str, **values: str | None) -> Proposed:
    entries = tuple(Entry(k, None if v is None else v.encode()) for k, v in values.items())
    async with asyncio.timeout(WAIT), Client(driver.listen, CODEC) as client:
        client.write(Propose(1, topic, entries, -1))
        while not isinstance(told := await client.read(), Proposed):
            pass
        return told


def same(driver: FollowerDriver, store: StoreDriver, topic: str = A) -> bool:
    held, there = driver.follower.topics[topic], store.store.topics.get(topic)
    return there is not None and (held.number, held.entries) == (there.number, there.entries)


@asynccontextmanager
async def alone(folder: Path, **changes: Any) -> AsyncIterator[StoreDriver]:
    driver = await store_at(folder, **changes)
    try:
        yield driver
    finally:
        driver.close()


def test_a_follower_is_told_the_whole_and_then_each_change(tmp_path: Path) -> None:
    async def test() -> None:
        async with alone(tmp_path) as store:
            assert (await put(store, A, x="1")).number == 1
            follower, taken = following(store.listen, topics=(A, B))
            await until(lambda: same(follower, store) and follower.follower.age(now_ms()) < 500)
            assert follower.follower.unknown == {B}
            for number in range(2, 30):
                assert (await put(store, A, x=str(number), y=None)).number == number
            await put(store, B, z="1")
            await until(lambda: same(follower, store) and same(follower, store, B))
            assert [take.number for take in taken if take.topic == A] == list(range(1, 30))
            assert follower.follower.dials == 1 and not follower.refused and not store.refused
            follower.close()
            await until(lambda: not store.store.teller.followers)

    run(test())


def test_what_a_store_kept_is_there_after_a_restart_and_compactions(tmp_path: Path) -> None:
    async def test() -> None:
        async with alone(tmp_path, floor=2000) as store:
            for number in range(60):
                await put(store, A, **{f"k{number % 7}": "v" * 100 + str(number)})
            assert store.disk.generation >= 2
            had = dict(store.store.topics[A].entries)
        async with alone(tmp_path) as store:
            assert store.store.topics[A].entries == had and store.store.topics[A].number == 60

    run(test())


BAD = {
    "forged": Codec(GROUP, b"another secret of 16").encode(Hello("n", False)),
    "version": MAGIC + bytes((VERSION + 1,)) + CODEC.encode(Hello("n", False))[3:],
    "stray": b"nothing of ours at all, though long enough",
    "malformed": MAGIC + bytes((VERSION,)) + CODEC.tag(b"\xc1") + b"\xc1",
}


async def ended(reader: asyncio.StreamReader) -> None:
    async with asyncio.timeout(WAIT):
        with contextlib.suppress(ConnectionError):
            await reader.read()


@pytest.mark.parametrize("kind", [*BAD, "oversized"])
@pytest.mark.parametrize("greeted", [False, True])
def test_a_bad_frame_ends_its_connection_alone_and_changes_nothing(
    tmp_path: Path, kind: str, greeted: bool
) -> None:
    async def test() -> None:
        async with alone(tmp_path) as store:
            await put(store, A, x="1")
            follower, _ = following(store.listen)
            await until(lambda: same(follower, store))
            reader, writer = await asyncio.open_connection(*store.listen)
            if greeted:
                data = CODEC.encode(Hello("n2", False))
                writer.write(LENGTH.pack(len(data)) + data)
            if kind == "oversized":
                writer.write(LENGTH.pack(MAX_FRAME + 1) + b"x")
            else:
                # A good change behind it is not taken either.
                more = CODEC.encode(Propose(1, A, (Entry("x", b"2"),), -1))
                writer.write(
                    LENGTH.pack(len(BAD[kind])) + BAD[kind] + LENGTH.pack(len(more)) + more
                )
            await ended(reader)
            assert dict(store.refused) == {kind: 1}
            assert store.store.topics[A].number == 1 and len(store.links) == 1
            await put(store, A, x="3")
            await until(lambda: same(follower, store))
            assert follower.follower.dials == 1
            writer.close()
            follower.close()

    run(test())


def test_frames_in_any_pieces_are_the_same_frames(tmp_path: Path) -> None:
    async def test() -> None:
        async with alone(tmp_path) as store:
            reader, writer = await asyncio.open_connection(*store.listen)
            data = b""
            for message in (
                Hello("n", False),
                Propose(1, A, (Entry("x", b"1"),), -1),
                StatusRequest(),
            ):
                frame = CODEC.encode(message)
                data += LENGTH.pack(len(frame)) + frame
            for byte in data:
                writer.write(bytes((byte,)))
                await writer.drain()
                await asyncio.sleep(0)
            client = Client(store.listen, CODEC)
            client.reader = reader
            async with asyncio.timeout(WAIT):
                assert await client.read() == Proposed(1, 1, "", "")
                status = await client.read()
            assert isinstance(status, Status) and status.role == "leading" and status.committed == 2
            writer.close()

    run(test())


class Scripted:
    """A store of the test's own: what it says to each connection, and what it was told."""

    def __init__(self, *says: Message | bytes) -> None:
        self.says, self.heard = says, asyncio.Queue[Message]()
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Scripted:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address: Address = self.server.sockets[0].getsockname()[:2]
        return self

    def say(self, writer: asyncio.StreamWriter, message: Message | bytes) -> None:
        data = message if isinstance(message, bytes) else CODEC.encode(message)
        writer.write(LENGTH.pack(len(data)) + data)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        for message in self.says:
            self.say(writer, message)
        try:
            while True:
                (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
                self.heard.put_nowait(CODEC.decode(await reader.readexactly(length)))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


@pytest.mark.parametrize("kind", BAD)
def test_a_store_that_speaks_badly_is_left_for_another_with_nothing_changed(
    tmp_path: Path, kind: str
) -> None:
    async def test() -> None:
        async with alone(tmp_path) as store:
            await put(store, A, x="1")
            held = Topic(3, (Entry("old", b"1"),))
            whole = Whole(A, 3, held.digest, 1, 1, (Entry("old", b"1"),))
            change = Delta(A, 4, held.digest_with((Entry("old", b"2"),)), (Entry("old", b"2"),))
            bad = await Scripted(Hello("bad", True), whole, Beat(0.0), BAD[kind], change).start()
            follower, taken = following(bad.address)
            await until(lambda: follower.follower.faults["closed"])
            assert [take.number for take in taken][:1] == [3] and follower.refused[kind]
            assert follower.follower.topics[A].entries == {"old": b"1"}
            follower.close()
            seeds = [seed for seed in range(50) if first_store(seed) == 0]
            follower, taken = following(bad.address, store.listen, seed=seeds[0])
            await until(lambda: follower.follower.faults["closed"])
            for number in range(3):
                await put(store, A, x=str(number))
            await until(lambda: same(follower, store))  # its numbers went past the bad one's
            bad.close()
            follower.close()

    run(test())


def first_store(seed: int) -> int:
    return Follower("n", (A,), 2, BRISK, random.Random(seed)).order[0]


def test_a_store_whose_connection_never_comes_up_is_left_after_its_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with alone(tmp_path) as store:
            await put(store, A, x="1")
            seed = next(seed for seed in range(50) if first_store(seed) == 0)
            loop = asyncio.get_running_loop()
            hung: asyncio.Queue[str] = asyncio.Queue()
            timing = FollowerTiming(dial=30.0, window=1.0)
            real = FollowerDriver.dial

            async def dial(self: FollowerDriver, effect: Any) -> None:
                if effect.store == 1:
                    return await real(self, effect)
                try:
                    return await loop.create_future()
                except asyncio.CancelledError:
                    hung.put_nowait("cancelled")
                    raise

            monkeypatch.setattr(FollowerDriver, "dial", dial)
            follower, _ = following(("127.0.0.1", 9), store.listen, timing=timing, seed=seed)
            await until(lambda: same(follower, store))
            async with asyncio.timeout(WAIT):
                assert await hung.get() == "cancelled"
            assert follower.follower.faults["hangs"] >= 1
            follower.close()

    run(test())


def test_a_doubt_is_mended_by_the_whole_though_the_store_has_all_changes(tmp_path: Path) -> None:
    async def test() -> None:
        async with alone(tmp_path) as store:
            await put(store, A, x="1", y="1")
            follower, taken = following(store.listen)
            await until(lambda: same(follower, store))
            follower.follower.topics[A].entries["x"] = b"spoilt"  # as by a fault in memory
            await put(store, A, x="2")
            await until(lambda: same(follower, store))
            assert follower.follower.faults["digest"] == 1 and taken[-1].whole
            assert follower.follower.dials == 1
            follower.close()

    run(test())


def test_a_connection_that_comes_up_as_the_driver_closes_is_ended(tmp_path: Path) -> None:
    async def test() -> None:
        store = await store_at(tmp_path)
        loop, coming = asyncio.get_running_loop(), store.coming()
        follower, _ = following(store.listen)
        late = module.Link(follower, 99)
        # Both wait to be told of their connections while their drivers close.
        other = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        store.close()
        follower.close()
        for link in (coming, late):
            address = other.sockets[0].getsockname()
            transport, _ = await loop.create_connection(lambda link=link: link, *address)  # type: ignore[misc]
            assert transport.is_closing() and link.ended
        assert not store.links and not follower.links
        other.close()

    run(test())


# Who does not read.


def test_who_does_not_read_is_told_no_more_than_a_bound_and_all_of_it_later(tmp_path: Path) -> None:
    async def test() -> None:
        async with alone(tmp_path) as store:
            big = {f"k{i}": "v" * 60_000 for i in range(8)}
            topics = tuple(f"t{i}" for i in range(40))
            for topic in topics:
                await put(store, topic, **big)
            reader, writer = await asyncio.open_connection(*store.listen, limit=1000)
            for message in (Hello("n", False), Subscribe(tuple((topic, 0, 0) for topic in topics))):
                data = CODEC.encode(message)
                writer.write(LENGTH.pack(len(data)) + data)
            await until(lambda: any(f.stalled for f in store.store.teller.followers.values()))
            (link,) = (
                link for link in store.links.values() if link.number in store.store.teller.followers
            )
            peak = 0
            for number in range(20):
                await put(store, topics[-1], k0=str(number))
                assert link.transport is not None
                peak = max(peak, link.transport.get_write_buffer_size())
            assert HIGH < peak < MOST / 2
            had: dict[str, Topic] = {}
            client = Client(store.listen, CODEC)
            client.reader = reader
            async with asyncio.timeout(WAIT):
                while any(
                    topic not in had or had[topic].digest != store.store.topics[topic].digest
                    for topic in topics
                ):
                    told = await client.read()
                    if isinstance(told, Whole):
                        had[told.topic] = Topic(told.number, told.entries)  # each in one part
                        assert told.parts == 1
                    elif isinstance(told, Delta):
                        had.setdefault(told.topic, Topic()).change(told.entries)
            assert had[topics[-1]].number == 21 and not store.refused
            writer.close()

    run(test())


def test_who_does_not_read_for_long_is_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "STALL", 0.05)

    async def test() -> None:
        async with alone(tmp_path) as store:
            for number in range(30):
                await put(store, f"t{number}", **{f"k{i}": "v" * 60_000 for i in range(8)})
            reader, writer = await asyncio.open_connection(*store.listen, limit=1000)
            topics = tuple((f"t{i}", 0, 0) for i in range(30))
            for message in (Hello("n", False), Subscribe(topics)):
                data = CODEC.encode(message)
                writer.write(LENGTH.pack(len(data)) + data)
            await until(lambda: store.refused["slow"])
            assert not store.store.teller.followers
            writer.close()

    run(test())


# Disks and others that fail.


def test_a_disk_that_fails_ends_the_store_before_it_says_what_it_did_not_keep(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        failures: list[Exception] = []
        store = await store_at(tmp_path)
        store.failed = failures.append
        kept = store.disk.keep

        def keep(effect: Keep) -> None:
            if any(entry.key == "x" for change in effect.changes for entry in change.entries):
                raise OSError(28, "no room")
            kept(effect)

        store.disk.keep = keep  # type: ignore[method-assign]
        assert (await put(store, A, ok="1")).number == 1
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await put(store, A, x="1")
        assert [str(error) for error in failures] == ["[Errno 28] no room"] and not store.open
        with pytest.raises(OSError):
            await asyncio.open_connection(*store.listen)
        async with alone(tmp_path) as store:
            assert store.store.topics[A].entries == {"ok": b"1"}

    run(test())


def test_three_stores_on_sockets_go_on_without_the_one_that_leads(tmp_path: Path) -> None:
    async def test() -> None:
        addresses: dict[str, Address] = {
            f"s{i}": ("127.0.0.1", port) for i, port in enumerate(free_ports(3), 1)
        }
        stores = {name: await store_at(tmp_path, name, addresses) for name in addresses}

        def leader() -> StoreDriver | None:
            return next((s for s in stores.values() if s.store.leading and s.open), None)

        follower, taken = following(*addresses.values())
        await until(leader)
        first = leader()
        assert first is not None
        await put(first, A, x="1")
        await until(lambda: same(follower, first))
        other = next(store for store in stores.values() if store is not first)
        assert (await put(other, A, x="2")).error == "not-leading"
        first.close()
        del stores[first.store.name]
        await until(leader)
        second = leader()
        assert second is not None and second.store.term > first.store.term
        assert (await put(second, A, x="3")).number == 2
        await until(lambda: same(follower, second) and follower.follower.age(now_ms()) < 500)
        back = await store_at(tmp_path, first.store.name, addresses)
        stores[back.store.name] = back
        await until(lambda: back.store.topics.get(A, Topic()).number == 2)
        assert [take.number for take in taken] == [1, 2]
        for store in stores.values():
            store.close()
        follower.close()

    run(test())
