"""Test and measure distribution between real processes: replicas and nodes, with faults.

`python -m benchmarks.distribution [--nodes 6] [--changes 20] [--only NAME]` starts three voting
replicas, two learners, and nodes of `serve` that get their list from them. Each connection goes
through a switch that can block it. Every scenario checks its guarantees and prints its measurements;
the exit status is 1 if a guarantee is broken. Times depend on the load of the machine and are not
judged, except for the limit of a drain.
"""

from __future__ import annotations

import argparse
import asyncio
import json
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
from standins.ports import ReservedPort

LOCAL_HOST = "127.0.0.1"
GROUP = "trial"
SECRET = "a secret of the trial"
VOTERS = ("store-1", "store-2", "store-3")
LEARNERS = ("store-4", "store-5")
REPLICAS = VOTERS + LEARNERS
TOPIC = "servers/dispatch"
SERVERS = 100
# How long to wait for the answer of a replica.
ANSWER_TIMEOUT_S = 3.0
# How long to wait for anything else.
TIMEOUT_S = 30.0
# How long a change may take until it is in force at all nodes.
MAX_DRAIN_MS = 500.0


class BrokenPromiseError(Exception):
    """A guarantee did not hold."""


def require(holds: bool, message: str) -> None:
    """Raise an error unless the guarantee holds."""
    if not holds:
        raise BrokenPromiseError(message)


class ReplicaProcess(NodeProcess):
    """Process of `python -m badgercart distribution store FILE`."""

    command = ("distribution", "store")
    listening_event = "distribution.listening"


def server_entry(number: int, state: str = "active") -> Entry:
    """Return the entry of a server in the list."""
    fields = {
        "instanceId": f"s-{number}", "hostPort": f"{LOCAL_HOST}:{10000 + number}", "zone": "angyalfold",
        "machineType": "k2-fast", "cell": 0, "lifecycle": state, "weight": 1.0, "startedAtMs": 0,
    }  # fmt: skip
    return Entry(f"s-{number}", json.dumps(fields).encode())


class Cluster:
    """All replicas and nodes, and the switch between them.

    Attributes:
        addresses: Real address of each replica.
        routes: Number of routes through the switch.
        version: Version of the topic after the last change that came into force.
    """

    def __init__(self, folder: Path, nodes: int) -> None:
        self.folder, self.switch, self.codec = folder, Switch(), Codec(GROUP, SECRET.encode())
        # Kept as long as the cluster, so that a replica finds its port free at each start.
        self.ports = {name: ReservedPort(LOCAL_HOST) for name in REPLICAS}
        self.addresses = {name: port.address for name, port in self.ports.items()}
        self.replicas = {name: ReplicaProcess(name, folder / f"{name}.toml") for name in REPLICAS}
        self.nodes = {
            f"node-{n}": NodeProcess(f"node-{n}", folder / f"node-{n}.toml") for n in range(nodes)
        }
        self.routes = 0
        self.version = 0
        self.last_request_id = 0

    async def switched_address(self, source: str, to: str) -> str:
        """Return the address at which `source` reaches the replica `to` through the switch."""
        self.routes += 1
        name = f"{source}>{to}"
        host = f"127.0.{1 + self.routes // 250}.{1 + self.routes % 250}"
        await self.switch.add(name, self.addresses[to], (host, 0))
        # All processes connect from this address, so the switch must not resolve it to one name.
        del self.switch.names[LOCAL_HOST]
        address = self.switch.endpoints[name].switch_address
        return f"{address[0]}:{address[1]}"

    async def start(self) -> None:
        """Start all replicas and nodes and wait until the nodes have the list."""
        for name in REPLICAS:
            lines = [
                f'[distribution]\nname = "{name}"\nlisten = "{LOCAL_HOST}:{self.addresses[name][1]}"\ngroup = "{GROUP}"',
                f'secret = "{SECRET}"\nfolder = "{self.folder / name}"',
            ]
            for other in REPLICAS:
                address = (
                    await self.switched_address(name, other)
                    if other > name
                    else f"{LOCAL_HOST}:{self.addresses[other][1]}"
                )
                voter = str(other in VOTERS).lower()
                lines.append(
                    f'[[distribution.store]]\nname = "{other}"\naddress = "{address}"\nvoter = {voter}'
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
        await self.wait_for_nodes(self.version)

    async def stop(self) -> None:
        """Kill all processes and close the switch."""
        for process in (*self.nodes.values(), *self.replicas.values()):
            if process.process is not None and process.process.returncode is None:
                process.resume()
                await process.kill()
        self.switch.close()

    def cut(self, source: str, to: str, cut: bool = True) -> None:
        """Block messages from `source` to `to`, but not in the other direction, or end this."""
        if f"{source}>{to}" in self.switch.endpoints:
            self.switch.set_fault(LOCAL_HOST, f"{source}>{to}", cut=cut)
        if f"{to}>{source}" in self.switch.endpoints:
            self.switch.set_fault(f"{to}>{source}", LOCAL_HOST, cut=cut)

    async def call(self, replica: str, exchange: Callable[[Client], Awaitable[Any]]) -> Any:
        """Return the result of an exchange with a replica, or None without an answer in time."""
        try:
            async with (
                asyncio.timeout(ANSWER_TIMEOUT_S),
                Client(self.addresses[replica], self.codec) as client,
            ):
                return await exchange(client)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None

    async def status(self, replica: str) -> Status | None:
        """Return the status of a replica, or None without an answer."""

        async def exchange(client: Client) -> Status:
            client.write(StatusRequest())
            while not isinstance(message := await client.read(), Status):
                pass
            return message

        result = await self.call(replica, exchange)
        return result if isinstance(result, Status) else None

    async def propose(self, replica: str, entries: tuple[Entry, ...]) -> ProposeResponse | None:
        """Propose a change to a replica and return its response, or None without an answer."""
        self.last_request_id += 1
        request_id = self.last_request_id

        async def exchange(client: Client) -> ProposeResponse:
            client.write(Propose(request_id, TOPIC, entries, ANY_VERSION))
            while not isinstance(message := await client.read(), ProposeResponse):
                pass
            return message

        result = await self.call(replica, exchange)
        return result if isinstance(result, ProposeResponse) else None

    async def fetch_topic(self, replica: str) -> tuple[int, dict[str, bytes | None]] | None:
        """Return the version and entries of the topic at a replica."""

        async def exchange(client: Client) -> tuple[int, dict[str, bytes | None]] | None:
            client.write(Subscribe((TopicVersion(TOPIC, RESEND, 0),)))
            entries: dict[str, bytes | None] = {}
            while True:
                message = await client.read()
                if isinstance(message, Rejection):
                    return None
                if isinstance(message, Snapshot):
                    entries |= {entry.key: entry.value for entry in message.entries}
                    if message.part == message.parts:
                        return message.version, entries

        result: tuple[int, dict[str, bytes | None]] | None = await self.call(replica, exchange)
        return result

    async def leader(self, among: tuple[str, ...] = REPLICAS) -> str:
        """Return the leader among the replicas that answer."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                statuses = [
                    status for name in among if (status := await self.status(name)) is not None
                ]
                leading = [status for status in statuses if status.role == "leading"]
                if leading:
                    return max(leading, key=lambda status: status.term).name
                await asyncio.sleep(0.05)

    async def put(self, entries: tuple[Entry, ...], among: tuple[str, ...] = REPLICAS) -> float:
        """Change entries through the leader; return the Unix time in s of its confirmation."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                response = await self.propose(await self.leader(among), entries)
                if response is not None and not response.error:
                    require(
                        response.version >= self.version,
                        f"number {response.version} came after {self.version}",
                    )
                    self.version = response.version
                    return time.time()

    async def expect_rejection(self, replica: str) -> str:
        """Check that a replica rejects a change, and return its reason."""
        response = await self.propose(
            replica, (server_entry(0, "leaving"), server_entry(1, "leaving"))
        )
        require(
            response is None or bool(response.error),
            f"{replica} put a change in force that it must not",
        )
        return "no answer" if response is None else response.error

    async def wait_for_nodes(self, version: int, excluded: tuple[str, ...] = ()) -> float:
        """Wait until all nodes use this version; return the Unix time in s of the last one."""

        def is_recent(record: LogRecord) -> bool:
            return bool(record["version"] >= version)

        nodes = [node for name, node in self.nodes.items() if name not in excluded]
        records = await asyncio.gather(
            *(node.wait_for_event("list.taken", is_recent) for node in nodes)
        )
        return max(
            datetime.fromisoformat(str(record["timestamp"])).timestamp() for record in records
        )

    async def wait_for_convergence(self) -> None:
        """Wait until all replicas have the same version and entries."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                topics = [await self.fetch_topic(name) for name in REPLICAS]
                first = topics[0]
                if (
                    first is not None
                    and first[0] >= self.version
                    and all(topic == first for topic in topics)
                ):
                    # A change that was answered with `unknown` may have come into force.
                    self.version = first[0]
                    return
                await asyncio.sleep(0.1)

    async def wait_until_stale(self, name: str) -> None:
        """Wait until the member page of a node shows a stale list.

        The log does not show it reliably, because it has only the first of several events of the same
        kind within some seconds.
        """
        host, port = self.nodes[name].frontend_address.rsplit(":", 1)
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /_members HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                page = (await reader.read()).partition(b"\r\n\r\n")[2]
                writer.close()
                if json.loads(page)["state"] == "stale":
                    return
                await asyncio.sleep(0.1)

    def check(self) -> None:
        """Check that no node replaced a list by an older one while it ran."""
        for name, node in self.nodes.items():
            for run in range(1, node.lives + 1):
                versions = [
                    record["version"]
                    for record in node.events
                    if record["event"] == "list.taken" and record["life"] == run
                ]
                require(versions == sorted(versions), f"{name} took lists {versions}")


Measurements = dict[str, Any]


async def changes(cluster: Cluster, count: int) -> Measurements:
    """Drain servers and return them to service, one after another, without a fault."""
    delays_ms = []
    for step in range(count):
        confirmed_at = await cluster.put(
            (server_entry(step % SERVERS, "leaving" if step % 2 == 0 else "active"),)
        )
        delays_ms.append((await cluster.wait_for_nodes(cluster.version) - confirmed_at) * 1000)
    # A time is negative if a node uses the change before the caller has the response.
    require(max(delays_ms) < MAX_DRAIN_MS, f"a change bound after {max(delays_ms):.0f} ms")
    return {
        "changes": count,
        "last node, median ms": sorted(delays_ms)[count // 2],
        "worst ms": max(delays_ms),
    }


async def killed(cluster: Cluster, _: int) -> Measurements:
    """Kill the leader, change through the next one, and restart the first from its folder."""
    first_leader, started_at = await cluster.leader(), time.time()
    await cluster.replicas[first_leader].kill()
    others = tuple(name for name in REPLICAS if name != first_leader)
    confirmed_at = await cluster.put((server_entry(2, "leaving"),), others)
    in_force_at = await cluster.wait_for_nodes(cluster.version)
    await cluster.replicas[first_leader].start()
    await cluster.put((server_entry(2),))
    await cluster.wait_for_convergence()
    await cluster.wait_for_nodes(cluster.version)
    return {
        "in force again after s": confirmed_at - started_at,
        "at the last node after s": in_force_at - started_at,
    }


async def frozen(cluster: Cluster, _: int) -> Measurements:
    """Freeze the leader, change through the next one, and resume the first as a stale leader."""
    first_leader = await cluster.leader()
    cluster.replicas[first_leader].freeze()
    others = tuple(name for name in REPLICAS if name != first_leader)
    await cluster.put((server_entry(3, "leaving"),), others)
    rejection = asyncio.ensure_future(cluster.expect_rejection(first_leader))
    await asyncio.sleep(0)
    cluster.replicas[first_leader].resume()
    reason = await rejection
    await cluster.put((server_entry(3),))
    await cluster.wait_for_convergence()
    await cluster.wait_for_nodes(cluster.version)
    return {"the one that was woken": reason}


async def one_way(cluster: Cluster, _: int) -> Measurements:
    """Block all messages from the leader to the other replicas, but not those to the leader."""
    first_leader, started_at = await cluster.leader(), time.time()
    others = tuple(name for name in REPLICAS if name != first_leader)
    for name in others:
        cluster.cut(first_leader, name)
    reason = await cluster.expect_rejection(first_leader)
    confirmed_at = await cluster.put((server_entry(4, "leaving"),), others)
    for name in others:
        cluster.cut(first_leader, name, False)
    await cluster.wait_for_convergence()
    await cluster.wait_for_nodes(cluster.version)
    await cluster.put((server_entry(4),))
    return {
        "the one that is not heard": reason,
        "in force elsewhere after s": confirmed_at - started_at,
    }


async def cut_off(cluster: Cluster, _: int) -> Measurements:
    """Disconnect a node from all replicas.

    It must continue, report that its list is stale, and catch up afterwards.
    """
    name, node = next(iter(cluster.nodes.items()))
    for replica in REPLICAS:
        cluster.cut(replica, name)
        cluster.cut(name, replica)
    event_count = len(node.events)
    await cluster.put((server_entry(5, "leaving"),))
    await cluster.wait_for_nodes(cluster.version, (name,))
    await cluster.wait_until_stale(name)
    require(
        not any(record["event"] == "list.taken" for record in node.events[event_count:]),
        f"{name} heard of a change",
    )
    for replica in REPLICAS:
        cluster.cut(replica, name, False)
        cluster.cut(name, replica, False)
    started_at = time.time()
    in_force_at = await cluster.wait_for_nodes(cluster.version)
    await cluster.put((server_entry(5),))
    await cluster.wait_for_nodes(cluster.version)
    return {"has what it missed after s": in_force_at - started_at}


async def no_majority(cluster: Cluster, _: int) -> Measurements:
    """Kill two of three voters, then restart them.

    Without a majority no change may come into force, and all nodes must continue.
    """
    for name in VOTERS[:2]:
        await cluster.replicas[name].kill()
    reasons = {name: await cluster.expect_rejection(name) for name in (VOTERS[2], *LEARNERS)}
    require(
        set(reasons.values()) <= {"not-leading", "unknown", "no answer"}, f"they said {reasons}"
    )
    for name in cluster.nodes:
        await cluster.wait_until_stale(name)
    started_at = time.time()
    await asyncio.gather(*(cluster.replicas[name].start() for name in VOTERS[:2]))
    confirmed_at = await cluster.put((server_entry(6, "leaving"),))
    await cluster.wait_for_nodes(cluster.version)
    await cluster.put((server_entry(6),))
    await cluster.wait_for_convergence()
    return {
        "refused with": sorted(set(reasons.values())),
        "in force again after s": confirmed_at - started_at,
    }


async def spoilt(cluster: Cluster, _: int) -> Measurements:
    """Send frames that are malformed, too long, or of another version or secret.

    The replica must reject them, and nothing may change.
    """
    replica = LEARNERS[0]
    valid_frame = cluster.codec.encode(
        Propose(1, TOPIC, (server_entry(7, "leaving"),), ANY_VERSION)
    )
    other_secret_frame = Codec(GROUP, b"another secret of the trial").encode(Hello("x", False))
    frames = {
        "version": valid_frame[:2] + b"\x07" + valid_frame[3:],
        "forged": valid_frame[:-1] + bytes((valid_frame[-1] ^ 1,)),
        "stray": b"GET / HTTP/1.1\r\n\r\n      ",
        "another secret": other_secret_frame,
    }
    for kind, frame in frames.items():
        ended = await closes_after(
            cluster.addresses[replica], FRAME_LENGTH.pack(len(frame)) + frame
        )
        require(ended, f"{replica} kept a connection with a frame of kind {kind}")
    require(
        await closes_after(cluster.addresses[replica], FRAME_LENGTH.pack(1 << 30)),
        "a frame of 1 GiB was waited for",
    )
    logged_kinds = {
        record["kind"]
        for record in cluster.replicas[replica].events
        if record["event"] == "distribution.refused"
    }
    # Only some of frequent events of the same kind are logged.
    require(bool(logged_kinds), f"{replica} named none")
    await cluster.wait_for_convergence()
    return {"logged as": sorted(logged_kinds)}


async def closes_after(address: Address, data: bytes) -> bool:
    """Return whether the other side closes the connection after this data."""
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


async def emptied(cluster: Cluster, _: int) -> Measurements:
    """Restart a learner with an empty folder.

    It must get all entries, and no replica may lose any.
    """
    name = LEARNERS[1]
    await cluster.replicas[name].kill()
    for path in sorted((cluster.folder / name).rglob("*"), reverse=True):
        path.unlink()
    started_at = time.time()
    await cluster.replicas[name].start()
    await cluster.put((server_entry(8, "leaving"),))
    await cluster.wait_for_convergence()
    recovery_s = time.time() - started_at
    await cluster.put((server_entry(8),))
    await cluster.wait_for_nodes(cluster.version)
    return {"has all after s": recovery_s}


async def churn(cluster: Cluster, _: int) -> Measurements:
    """Change entries while each replica in turn is killed and restarted."""
    lost = 0
    for step, name in enumerate(REPLICAS):
        await cluster.replicas[name].kill()
        others = tuple(other for other in REPLICAS if other != name)
        await cluster.put((server_entry(20 + step, "leaving"),), others)
        await cluster.replicas[name].start()
        await cluster.put((server_entry(20 + step),))
        result = await cluster.fetch_topic(await cluster.leader())
        require(result is not None, "the leader does not tell the topic")
        assert result is not None
        lost += any(
            result[1].get(server_entry(20 + n).key) != server_entry(20 + n).value
            for n in range(step + 1)
        )
    require(lost == 0, "what was in force is not in force any longer")
    await cluster.wait_for_convergence()
    await cluster.wait_for_nodes(cluster.version)
    return {"stores killed": len(REPLICAS), "changes": 2 * len(REPLICAS), "lost": lost}


SCENARIOS = (changes, killed, frozen, one_way, cut_off, no_majority, spoilt, emptied, churn)


async def run_scenarios(nodes: int, count: int, only: str | None) -> int:
    """Run the scenarios and return the number of those that failed."""
    broken = 0
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), nodes)
        try:
            await cluster.start()
            for scenario in SCENARIOS:
                if only is not None and scenario.__name__ != only:
                    continue
                try:
                    result = await scenario(cluster, count)
                    cluster.check()
                    rounded = {
                        key: round(value, 2) if isinstance(value, float) else value
                        for key, value in result.items()
                    }
                    print(f"{scenario.__name__}: {json.dumps(rounded)}", flush=True)
                except (BrokenPromiseError, NodeError, TimeoutError) as error:
                    broken += 1
                    print(f"{scenario.__name__}: BROKEN: {error!r:.600}", flush=True)
                    for name, replica in cluster.replicas.items():
                        print(
                            f"  {name}: {await cluster.status(name)} {replica.events[-3:]}",
                            flush=True,
                        )
                        if replica.process is None or replica.process.returncode is not None:
                            await replica.start()
        finally:
            await cluster.stop()
    return broken


def main(arguments: list[str]) -> int:
    """Run the scenarios that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.distribution", description=__doc__)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--only", choices=[scenario.__name__ for scenario in SCENARIOS])
    options = parser.parse_args(arguments)
    return 1 if asyncio.run(run_scenarios(options.nodes, options.changes, options.only)) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
