"""The distribution between real processes: replicas and nodes, with faults of and between them.

`python -m benchmarks.distribution [--nodes 6] [--changes 20] [--only NAME]`: three stores that vote
and two that only tell, and nodes of `serve` whose list comes from them; each connection goes
through a switch. Every scenario holds what must hold and prints what it took; a promise that is
broken ends the command with 1. Times are this machine's, also as it was busy: they are figures, no
verdicts, but for the bound of the drain.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from datetime import datetime
from pathlib import Path
from typing import Any

from badgercart.config import Address
from badgercart.distribution.client import Client
from badgercart.distribution.link import FRAME_LENGTH
from badgercart.distribution.messages import (
    ANY_VERSION,
    RESEND,
    Codec,
    Entry,
    Hello,
    Propose,
    ProposeResponse,
    Rejection,
    Snapshot,
    Status,
    StatusRequest,
    Subscribe,
    TopicVersion,
)
from lab.trial.processes import LogRecord, NodeError, NodeProcess
from lab.trial.switch import Switch
from standins.fleet import operators_file

HERE = "127.0.0.1"
GROUP, SECRET = "trial", "a secret of the trial"
VOTERS, LEARNERS = ("store-1", "store-2", "store-3"), ("store-4", "store-5")
REPLICAS = VOTERS + LEARNERS
TOPIC = "servers/dispatch"
SERVERS = 100
ANSWER_TIMEOUT_S = 3.0  # s for a store's answer
TIMEOUT_S = 30.0  # s for anything that is waited for
MAX_DRAIN_MS = 500.0  # ms


class BrokenPromiseError(Exception):
    """A promise that did not hold."""


def require(ok: bool, words: str) -> None:
    if not ok:
        raise BrokenPromiseError(words)


class ReplicaProcess(NodeProcess):
    """`python -m badgercart distribution store FILE`."""

    command = ("distribution", "store")
    listening_event = "distribution.listening"


def free_ports(count: int) -> list[int]:
    """Ports that nobody has; held all at once, so that they differ."""
    held = [socket.create_server((HERE, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


def server_entry(number: int, state: str = "active") -> Entry:
    fields = {
        "instanceId": f"s-{number}", "hostPort": f"{HERE}:{10000 + number}", "zone": "angyalfold",
        "machineType": "k2-fast", "cell": 0, "lifecycle": state, "weight": 1.0, "startedAtMs": 0,
    }  # fmt: skip
    return Entry(f"s-{number}", json.dumps(fields).encode())


class Group:
    """All processes, and the switch between them."""

    def __init__(self, folder: Path, nodes: int) -> None:
        self.folder, self.switch, self.codec = folder, Switch(), Codec(GROUP, SECRET.encode())
        self.real = dict(
            zip(REPLICAS, ((HERE, port) for port in free_ports(len(REPLICAS))), strict=True)
        )
        self.replicas = {name: ReplicaProcess(name, folder / f"{name}.toml") for name in REPLICAS}
        self.nodes = {
            f"node-{n}": NodeProcess(f"node-{n}", folder / f"node-{n}.toml") for n in range(nodes)
        }
        self.places = 0
        self.number = 0  # of the topic, as it was last put in force
        self.last_request_id = 0

    async def switched_address(self, source: str, to: str) -> str:
        """The address at which one reaches another through the switch."""
        self.places += 1
        name = f"{source}>{to}"
        host = f"127.0.{1 + self.places // 250}.{1 + self.places % 250}"
        await self.switch.add(name, self.real[to], (host, 0))
        del self.switch.names[HERE]  # by its own address everybody is HERE
        shown = self.switch.endpoints[name].switch_address
        return f"{shown[0]}:{shown[1]}"

    async def start(self) -> None:
        for name in REPLICAS:
            lines = [
                f'[distribution]\nname = "{name}"\nlisten = "{HERE}:{self.real[name][1]}"\ngroup = "{GROUP}"',
                f'secret = "{SECRET}"\nfolder = "{self.folder / name}"',
            ]
            for other in REPLICAS:
                shown = (
                    await self.switched_address(name, other)
                    if other > name
                    else f"{HERE}:{self.real[other][1]}"
                )
                voter = str(other in VOTERS).lower()
                lines.append(
                    f'[[distribution.store]]\nname = "{other}"\naddress = "{shown}"\nvoter = {voter}'
                )
            self.replicas[name].file.write_text("\n".join(lines) + '\n[log]\nformat = "json"\n')
        for name, node in self.nodes.items():
            switched_addresses = [
                await self.switched_address(name, replica) for replica in REPLICAS
            ]
            text = operators_file("").replace('[members]\ncatalog = ""', (
                f'[members.distribution]\ngroup = "{GROUP}"\nsecret = "{SECRET}"\nservice = "dispatch"\n'
                f'when_stale = "go-on"\nstale_after_ms = 4000\nstores = {json.dumps(switched_addresses)}'
            )).replace('name = "demo"', f'name = "{name}"')  # fmt: skip
            node.file.write_text(text)
        await asyncio.gather(*(replica.start() for replica in self.replicas.values()))
        await self.put(tuple(server_entry(n) for n in range(SERVERS)))
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        await self.all_have(self.number)

    async def stop(self) -> None:
        for process in (*self.nodes.values(), *self.replicas.values()):
            if process.process is not None and process.process.returncode is None:
                process.resume()
                await process.kill()
        self.switch.close()

    def cut(self, source: str, to: str, cut: bool = True) -> None:
        """What one says does not come to the other; what that one says does."""
        if f"{source}>{to}" in self.switch.endpoints:
            self.switch.set_fault(HERE, f"{source}>{to}", cut=cut)
        if f"{to}>{source}" in self.switch.endpoints:
            self.switch.set_fault(f"{to}>{source}", HERE, cut=cut)

    # What stores say.

    async def ask(self, replica: str, ask: Callable[[Client], Awaitable[Any]]) -> Any:
        """None where it has no answer in time."""
        try:
            async with (
                asyncio.timeout(ANSWER_TIMEOUT_S),
                Client(self.real[replica], self.codec) as client,
            ):
                return await ask(client)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None

    async def status(self, replica: str) -> Status | None:
        async def ask(client: Client) -> Status:
            client.write(StatusRequest())
            while not isinstance(told := await client.read(), Status):
                pass
            return told

        found = await self.ask(replica, ask)
        return found if isinstance(found, Status) else None

    async def propose(self, replica: str, entries: tuple[Entry, ...]) -> ProposeResponse | None:
        self.last_request_id += 1
        last_request_id = self.last_request_id

        async def ask(client: Client) -> ProposeResponse:
            client.write(Propose(last_request_id, TOPIC, entries, ANY_VERSION))
            while not isinstance(told := await client.read(), ProposeResponse):
                pass
            return told

        found = await self.ask(replica, ask)
        return found if isinstance(found, ProposeResponse) else None

    async def fetch_topic(self, replica: str) -> tuple[int, dict[str, bytes | None]] | None:
        """Number and entries of the topic there."""

        async def ask(client: Client) -> tuple[int, dict[str, bytes | None]] | None:
            client.write(Subscribe((TopicVersion(TOPIC, RESEND, 0),)))
            entries: dict[str, bytes | None] = {}
            while True:
                told = await client.read()
                if isinstance(told, Rejection):
                    return None
                if isinstance(told, Snapshot):
                    entries |= {entry.key: entry.value for entry in told.entries}
                    if told.part == told.parts:
                        return told.version, entries

        found: tuple[int, dict[str, bytes | None]] | None = await self.ask(replica, ask)
        return found

    async def leader(self, among: tuple[str, ...] = REPLICAS) -> str:
        """The store that leads, of those that answer."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                told = [status for name in among if (status := await self.status(name)) is not None]
                leading = [status for status in told if status.role == "leading"]
                if leading:
                    return max(leading, key=lambda status: status.term).name
                await asyncio.sleep(0.05)

    async def put(self, entries: tuple[Entry, ...], among: tuple[str, ...] = REPLICAS) -> float:
        """Have entries in force; when that was said, Unix s."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                told = await self.propose(await self.leader(among), entries)
                if told is not None and not told.error:
                    require(
                        told.version >= self.number,
                        f"number {told.version} came after {self.number}",
                    )
                    self.number = told.version
                    return time.time()

    async def expect_refused(self, replica: str) -> str:
        """Nothing can be put there: why. Broken where it can."""
        told = await self.propose(replica, (server_entry(0, "leaving"), server_entry(1, "leaving")))
        require(
            told is None or bool(told.error), f"{replica} put a change in force that it must not"
        )
        return "no answer" if told is None else told.error

    # What nodes say.

    async def all_have(self, version: int, but: tuple[str, ...] = ()) -> float:
        """Unix s at which the last node had the list of that number in force."""

        def fits(told: LogRecord) -> bool:
            return bool(told["version"] >= version)

        nodes = [node for name, node in self.nodes.items() if name not in but]
        told = await asyncio.gather(*(node.wait_for_event("list.taken", fits) for node in nodes))
        return max(datetime.fromisoformat(str(one["timestamp"])).timestamp() for one in told)

    async def until_equal(self) -> None:
        """All stores have the same in force, in the end."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                found = [await self.fetch_topic(name) for name in REPLICAS]
                first = found[0]
                if (
                    first is not None
                    and first[0] >= self.number
                    and all(one == first for one in found)
                ):
                    self.number = first[
                        0
                    ]  # what was answered with `unknown` may have come into force
                    return
                await asyncio.sleep(0.1)

    async def until_stale(self, name: str) -> None:
        """By its page: of a kind of event that comes again within some seconds the log has only the
        first."""
        host, port = self.nodes[name].frontend_address.rsplit(":", 1)
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /_members HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                told = (await reader.read()).partition(b"\r\n\r\n")[2]
                writer.close()
                if json.loads(told)["state"] == "stale":
                    return
                await asyncio.sleep(0.1)

    def check(self) -> None:
        """No node ever took an older list for a newer one, within a life."""
        for name, node in self.nodes.items():
            for life in range(1, node.lives + 1):
                versions = [
                    told["version"]
                    for told in node.events
                    if told["event"] == "list.taken" and told["life"] == life
                ]
                require(versions == sorted(versions), f"{name} took lists {versions}")


Figures = dict[str, Any]


async def changes(group: Group, count: int) -> Figures:
    """Drains and returns, one after the other, with nothing else amiss."""
    took = []
    for step in range(count):
        said = await group.put(
            (server_entry(step % SERVERS, "leaving" if step % 2 == 0 else "active"),)
        )
        took.append((await group.all_have(group.number) - said) * 1000)
    # It may be in force at a node before the answer is with who asked: less than nothing then.
    require(max(took) < MAX_DRAIN_MS, f"a change bound after {max(took):.0f} ms")
    return {
        "changes": count,
        "last node, median ms": sorted(took)[count // 2],
        "worst ms": max(took),
    }


async def killed(group: Group, _: int) -> Figures:
    """The leader is killed; another leads; the first comes back from its folder."""
    first, begun = await group.leader(), time.time()
    await group.replicas[first].kill()
    rest = tuple(name for name in REPLICAS if name != first)
    said = await group.put((server_entry(2, "leaving"),), rest)
    there = await group.all_have(group.number)
    await group.replicas[first].start()
    await group.put((server_entry(2),))
    await group.until_equal()
    await group.all_have(group.number)
    return {"in force again after s": said - begun, "at the last node after s": there - begun}


async def frozen(group: Group, _: int) -> Figures:
    """The leader is stopped, another leads, the first is woken and thinks that it leads."""
    first = await group.leader()
    group.replicas[first].freeze()
    rest = tuple(name for name in REPLICAS if name != first)
    await group.put((server_entry(3, "leaving"),), rest)
    asked = asyncio.ensure_future(group.expect_refused(first))
    await asyncio.sleep(0)
    group.replicas[first].resume()
    words = await asked
    await group.put((server_entry(3),))
    await group.until_equal()
    await group.all_have(group.number)
    return {"the one that was woken": words}


async def one_way(group: Group, _: int) -> Figures:
    """Nothing that the leader says comes to the other stores; it hears them."""
    first, begun = await group.leader(), time.time()
    rest = tuple(name for name in REPLICAS if name != first)
    for name in rest:
        group.cut(first, name)
    words = await group.expect_refused(first)
    said = await group.put((server_entry(4, "leaving"),), rest)
    for name in rest:
        group.cut(first, name, False)
    await group.until_equal()
    await group.all_have(group.number)
    await group.put((server_entry(4),))
    return {"the one that is not heard": words, "in force elsewhere after s": said - begun}


async def cut_off(group: Group, _: int) -> Figures:
    """A node is cut off from all stores: it goes on, says how old its list is, and takes what it
    missed."""
    name, node = next(iter(group.nodes.items()))
    for replica in REPLICAS:
        group.cut(replica, name)
        group.cut(name, replica)
    place = len(node.events)
    await group.put((server_entry(5, "leaving"),))
    await group.all_have(group.number, (name,))
    await group.until_stale(name)
    require(
        not any(told["event"] == "list.taken" for told in node.events[place:]),
        f"{name} heard of a change",
    )
    for replica in REPLICAS:
        group.cut(replica, name, False)
        group.cut(name, replica, False)
    begun = time.time()
    there = await group.all_have(group.number)
    await group.put((server_entry(5),))
    await group.all_have(group.number)
    return {"has what it missed after s": there - begun}


async def no_majority(group: Group, _: int) -> Figures:
    """Two of three that vote are killed: nothing can be put; all nodes go on; then they come
    back."""
    for name in VOTERS[:2]:
        await group.replicas[name].kill()
    words = {name: await group.expect_refused(name) for name in (VOTERS[2], *LEARNERS)}
    require(set(words.values()) <= {"not-leading", "unknown", "no answer"}, f"they said {words}")
    for name in group.nodes:
        await group.until_stale(name)
    begun = time.time()
    await asyncio.gather(*(group.replicas[name].start() for name in VOTERS[:2]))
    said = await group.put((server_entry(6, "leaving"),))
    await group.all_have(group.number)
    await group.put((server_entry(6),))
    await group.until_equal()
    return {"refused with": sorted(set(words.values())), "in force again after s": said - begun}


async def spoilt(group: Group, _: int) -> Figures:
    """Frames that are none, of another version, of another secret, too long: refused, and nothing
    changes."""
    replica = LEARNERS[0]
    good = group.codec.encode(Propose(1, TOPIC, (server_entry(7, "leaving"),), ANY_VERSION))
    other = Codec(GROUP, b"another secret of the trial").encode(Hello("x", False))
    frames = {
        "version": good[:2] + b"\x07" + good[3:],
        "forged": good[:-1] + bytes((good[-1] ^ 1,)),
        "stray": b"GET / HTTP/1.1\r\n\r\n      ",
        "another secret": other,
    }
    for kind, frame in frames.items():
        ended = await raw(group.real[replica], FRAME_LENGTH.pack(len(frame)) + frame)
        require(ended, f"{replica} kept a connection with a frame of kind {kind}")
    require(
        await raw(group.real[replica], FRAME_LENGTH.pack(1 << 30)),
        "a frame of 1 GiB was waited for",
    )
    told = {
        told["kind"]
        for told in group.replicas[replica].events
        if told["event"] == "distribution.refused"
    }
    require(
        bool(told), f"{replica} named none"
    )  # of a kind of event that comes often only some are logged
    await group.until_equal()
    return {"logged as": sorted(told)}


async def raw(address: Address, data: bytes) -> bool:
    """Whether the other side ends the connection over this."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while await reader.read(65536):
                pass
        return True
    except ConnectionError:
        return True
    except TimeoutError:
        return False
    finally:
        writer.close()


async def emptied(group: Group, _: int) -> Figures:
    """A store that only tells comes back with an empty folder: it is told all, and tells nobody
    less."""
    name = LEARNERS[1]
    await group.replicas[name].kill()
    for path in sorted((group.folder / name).rglob("*"), reverse=True):
        path.unlink()
    begun = time.time()
    await group.replicas[name].start()
    await group.put((server_entry(8, "leaving"),))
    await group.until_equal()
    took = time.time() - begun
    await group.put((server_entry(8),))
    await group.all_have(group.number)
    return {"has all after s": took}


async def churn(group: Group, _: int) -> Figures:
    """Changes while stores are killed and started again, one after the other, by turns."""
    lost = 0
    for step, name in enumerate(REPLICAS):
        await group.replicas[name].kill()
        rest = tuple(other for other in REPLICAS if other != name)
        await group.put((server_entry(20 + step, "leaving"),), rest)
        await group.replicas[name].start()
        await group.put((server_entry(20 + step),))
        found = await group.fetch_topic(await group.leader())
        require(found is not None, "the leader does not tell the topic")
        assert found is not None
        lost += any(
            found[1].get(server_entry(20 + n).key) != server_entry(20 + n).value
            for n in range(step + 1)
        )
    require(lost == 0, "what was in force is not in force any longer")
    await group.until_equal()
    await group.all_have(group.number)
    return {"stores killed": len(REPLICAS), "changes": 2 * len(REPLICAS), "lost": lost}


SCENARIOS = (changes, killed, frozen, one_way, cut_off, no_majority, spoilt, emptied, churn)


async def play(nodes: int, count: int, only: str | None) -> int:
    broken = 0
    with tempfile.TemporaryDirectory() as folder:
        group = Group(Path(folder), nodes)
        try:
            await group.start()
            for scenario in SCENARIOS:
                if only is not None and scenario.__name__ != only:
                    continue
                try:
                    found = await scenario(group, count)
                    group.check()
                    shown = {
                        key: round(v, 2) if isinstance(v, float) else v for key, v in found.items()
                    }
                    print(f"{scenario.__name__}: {json.dumps(shown)}", flush=True)
                except (BrokenPromiseError, NodeError, TimeoutError) as error:
                    broken += 1
                    print(f"{scenario.__name__}: BROKEN: {error!r:.600}", flush=True)
                    for name, replica in group.replicas.items():
                        print(
                            f"  {name}: {await group.status(name)} {replica.events[-3:]}",
                            flush=True,
                        )
                        if replica.process is None or replica.process.returncode is not None:
                            await replica.start()
        finally:
            await group.stop()
    return broken


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.distribution", description=__doc__)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--only", choices=[scenario.__name__ for scenario in SCENARIOS])
    chosen = parser.parse_args(arguments)
    return 1 if asyncio.run(play(chosen.nodes, chosen.changes, chosen.only)) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
