"""Numbered changes told by topic: hollow nodes and stores on a virtual clock, real machines and
codec.

A fleet of so many nodes has its part of the target's servers, services and changes, and all the
stores that are set aside. Each node follows the services that it serves; beside that stands the
same fleet in which every node follows everything, which is what a watch of the whole list costs.
Bytes are those of the frames, without TCP's own; processor times are those of the machines and the
codec, in one process; the network takes 1 ms.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import statistics
import time
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any

from badgercart.distribution.effects import Close, Dial, Effect, Recovered, Send, Take
from badgercart.distribution.follower import Follower
from badgercart.distribution.follower import Timing as FollowerTiming
from badgercart.distribution.messages import Codec, Delta, Entry, Hello, Propose, Proposed, Whole
from badgercart.distribution.store import Store, Timing
from benchmarks.capacity.target import TARGET
from benchmarks.scale.report import Series

SIZES = (125, 250, 500, 1000, 2000, 4000, 8600)
EVERYTHING_TO = 500  # nodes, where each follows everything
STORES = TARGET.machines
VOTERS = 5
SERVED = 40  # services that a node serves; assumed, as in docs/CAPACITY.md
HOP = 1.0  # ms
LONG = 10.0  # s of changes
SPREAD = 5000.0  # ms over which nodes start
AT_ONCE = 100  # lists that are put in at a time, below what a store has wait
PER_RESTART = 3  # changes of a list for each restart: drains, is gone, is back
DAY = 86400.0


class Machine:
    """A store or a follower, and what it has cost."""

    def __init__(self, made: Any) -> None:
        self.made = made
        self.busy = 0.0  # s of processor time
        self.sent = self.read = self.frames = 0  # bytes out, bytes in, frames in
        self.ends: dict[
            int, tuple[Machine, int]
        ] = {}  # by connection: who is at the other end, by which
        self.wake = float("inf")
        self.dialled: set[str] = set()

    def clear(self) -> None:
        self.busy, self.sent, self.read, self.frames = 0.0, 0, 0, 0


class Fleet:
    """All stores and nodes of one group in one process."""

    def __init__(self, nodes: int, topics: Callable[[int], tuple[str, ...]], seed: int) -> None:
        self.now, self.number, self.order = 0.0, itertools.count(1), itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.codec, self.random = Codec("scale", b"a secret of the scale test"), random.Random(seed)
        self.taken: dict[tuple[str, int], list[float]] = defaultdict(
            list
        )  # by topic and number: when
        self.answers: dict[int, Proposed] = {}
        self.connects: list[float] = []  # when nodes came to a store
        names = tuple(f"store-{n:02d}" for n in range(STORES))
        self.stores = {
            name: Machine(
                Store(name, names[:VOTERS], names, Timing(), random.Random(n), Recovered())
            )
            for n, name in enumerate(names)
        }
        timing = FollowerTiming()
        self.nodes = [
            Machine(Follower(f"node-{n}", topics(n), STORES, timing, random.Random(1000 + n)))
            for n in range(nodes)
        ]
        for machine in self.stores.values():
            self.carry(machine, machine.made.start)
        for place, machine in enumerate(
            self.nodes
        ):  # not in the same instant: no store takes so many
            self.at(SPREAD * place / nodes, partial(self.carry, machine, machine.made.start))

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), what))

    def carry(self, machine: Machine, call: Callable[..., list[Effect]], *told: Any) -> None:
        """Have a machine told something, and do what it wants."""
        begun = time.thread_time()
        effects = call(self.now, *told)
        frames = [
            (effect, self.codec.encode(effect.message) if isinstance(effect, Send) else b"")
            for effect in effects
        ]
        machine.busy += time.thread_time() - begun
        made = machine.made
        for effect, data in frames:
            if isinstance(effect, Send):
                machine.sent += len(data) + 4
                if (end := machine.ends.get(effect.connection)) is not None:
                    self.at(self.now + HOP, partial(self.arrive, *end, data))
            elif isinstance(effect, Dial):
                self.connects.append(self.now)
                self.join(machine, effect.connection, list(self.stores.values())[effect.store])
                self.at(
                    self.now + HOP, partial(self.carry, machine, made.connected, effect.connection)
                )
            elif isinstance(effect, Take):
                self.taken[effect.topic, effect.number].append(self.now)
            elif isinstance(effect, Close):
                self.cut(machine, effect.connection)
        if isinstance(made, Store):
            for name in made.wanted:
                if name not in machine.dialled:
                    machine.dialled.add(name)
                    mine = next(self.number)
                    self.join(machine, mine, self.stores[name])
                    self.at(
                        self.now + HOP, partial(self.carry, machine, made.connected, mine, name)
                    )
        if made.due < machine.wake or machine.wake < self.now:
            machine.wake = made.due
            if machine.wake < float("inf"):
                self.at(max(machine.wake, self.now), partial(self.tick, machine))

    def join(self, caller: Machine, mine: int, called: Machine) -> None:
        theirs = next(self.number)
        caller.ends[mine], called.ends[theirs] = (called, theirs), (caller, mine)
        self.at(self.now + HOP / 2, partial(self.carry, called, called.made.accepted, theirs))

    def cut(self, machine: Machine, connection: int) -> None:
        if (end := machine.ends.pop(connection, None)) is not None:
            other, theirs = end
            other.ends.pop(theirs, None)
            for one, by in ((machine, other), (other, machine)):
                one.dialled.discard(getattr(by.made, "name", ""))
            self.at(self.now + HOP, partial(self.carry, other, other.made.closed, theirs))
            self.carry(machine, machine.made.closed, connection)

    def arrive(self, machine: Machine, connection: int, data: bytes) -> None:
        if connection not in machine.ends:
            return
        begun = time.thread_time()
        message = self.codec.decode(data)
        machine.busy += time.thread_time() - begun
        machine.read += len(data) + 4
        machine.frames += isinstance(message, Delta | Whole)
        self.carry(machine, machine.made.received, connection, message)

    def tick(self, machine: Machine) -> None:
        if machine.made.due <= self.now:
            machine.wake = float("inf")
            self.carry(machine, machine.made.tick)
        elif machine.made.due < float("inf"):
            machine.wake = machine.made.due
            self.at(machine.wake, partial(self.tick, machine))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until

    # What operators put in.

    def leader(self) -> Machine:
        """The store that leads, once the group has agreed on one."""
        for _ in range(600):
            self.run(self.now + 100.0)
            for machine in self.stores.values():
                if machine.made.leading:
                    return machine
        raise RuntimeError("no store led within a minute")

    def put(self, caller: Caller, topic: str, entries: tuple[Entry, ...]) -> int:
        """Have a change proposed now; the serial by which its answer is known."""
        serial = next(self.number)
        data = self.codec.encode(Propose(serial, topic, entries, -1))
        machine, connection = caller.machine.ends[caller.connection]
        self.at(self.now + HOP, partial(self.arrive, machine, connection, data))
        return serial


class Caller:
    """An operator's connection to the leader; as a machine it takes answers and wants nothing."""

    due = float("inf")

    def __init__(self, fleet: Fleet, leader: Machine) -> None:
        self.fleet, self.machine, self.connection = fleet, Machine(self), 0
        fleet.join(self.machine, 0, leader)
        fleet.run(fleet.now + 2 * HOP)
        machine, connection = self.machine.ends[0]
        fleet.arrive(machine, connection, fleet.codec.encode(Hello("operator", False)))

    def received(self, now: float, connection: int, message: object) -> list[Effect]:
        if isinstance(message, Proposed):
            self.fleet.answers[message.serial] = message
        return []

    def closed(self, now: float, connection: int) -> list[Effect]:
        raise RuntimeError("the leader has closed its operator's connection")


def line(number: int, state: str = "active") -> Entry:
    """One server as the catalog tells it."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    told = {
        "instanceId": f"s-{number:08x}", "hostPort": f"{host}:9000",
        "zone": f"zone-{number % TARGET.zones}", "machineType": "m2", "cell": number % 64, "lifecycle": state,
        "weight": 1.0, "startedAtMs": 1_700_000_000_000 + number,
    }  # fmt: skip
    return Entry(f"s-{number:08x}", json.dumps(told).encode())


class Played:
    """One fleet of a size, brought up, and a stretch of changes told to it."""

    def __init__(self, nodes: int, everything: bool, seed: int = 1) -> None:
        part = nodes / TARGET.nodes
        self.services = max(SERVED, round(TARGET.services * part))
        self.servers = max(self.services, round(TARGET.servers * part))
        self.rate = (
            (TARGET.restarts * PER_RESTART + TARGET.changes) * part / DAY
        )  # changes a second
        ways = random.Random(seed)
        names = [f"servers/service-{n}" for n in range(self.services)]

        def topics(node: int) -> tuple[str, ...]:
            return tuple(names) if everything else tuple(sorted(ways.sample(names, SERVED)))

        self.fleet = fleet = Fleet(nodes, topics, seed)
        caller = Caller(fleet, fleet.leader())
        serials = []
        for at, name in enumerate(names):
            serials.append(
                fleet.put(
                    caller, name, tuple(line(n) for n in range(at, self.servers, self.services))
                )
            )
            if at % AT_ONCE == 0:
                fleet.run(fleet.now + 50.0)
        fleet.run(max(fleet.now + 5000.0, 2 * SPREAD))
        refused = [
            told for serial in serials if (told := fleet.answers.get(serial)) is None or told.error
        ]
        if refused:
            raise RuntimeError(
                f"{len(refused)} of {len(serials)} lists were not taken: {refused[0]}"
            )
        self.machines = (*fleet.stores.values(), *fleet.nodes)
        self.quiet = self.stretch(caller, names, ways, 0.0)
        # Enough changes to see, whatever their rate: bytes and times of one are worked out against
        # the quiet.
        self.count = 200
        self.told = self.stretch(caller, names, ways, self.count / LONG)

    def stretch(
        self, caller: Caller, names: list[str], ways: random.Random, rate: float
    ) -> dict[str, float]:
        """LONG s with so many changes a second; means a second, by machine."""
        fleet, answered = self.fleet, []
        for machine in self.machines:
            machine.clear()
        begun = fleet.now
        fleet.taken.clear()
        put: dict[int, tuple[str, float]] = {}
        for step in range(round(LONG * rate)):
            fleet.run(begun + step / rate * 1000)
            number = ways.randrange(self.servers)
            name = names[number % self.services]
            put[
                fleet.put(
                    caller, name, (line(number, ways.choice(("active", "leaving")) + str(step)),)
                )
            ] = (
                name,
                fleet.now,
            )
        fleet.run(begun + LONG * 1000)
        for serial, (name, at) in put.items():
            if (told := fleet.answers.get(serial)) is None or told.error:
                raise RuntimeError(f"a change was not taken: {told}")
            answered += [last - at for last in fleet.taken[name, told.number][-1:]]
        leader = max(fleet.stores.values(), key=lambda machine: machine.sent)
        others = [machine for machine in fleet.stores.values() if machine is not leader]
        return {
            "to all": max(answered, default=0.0),
            "node bytes": statistics.mean(machine.read + machine.sent for machine in fleet.nodes)
            / LONG,
            "node busy": statistics.mean(machine.busy for machine in fleet.nodes) / LONG * 1000,
            "leader bytes": (leader.read + leader.sent) / LONG,
            "leader busy": leader.busy / LONG * 1000,
            "store bytes": max(machine.read + machine.sent for machine in others) / LONG,
            "store busy": max(machine.busy for machine in others) / LONG * 1000,
            "deltas": sum(machine.frames for machine in fleet.nodes),
        }

    def at_target_rate(self, name: str) -> float:
        """A mean a second with this fleet's part of the target's changes."""
        return (
            self.quiet[name] + (self.told[name] - self.quiet[name]) * self.rate * LONG / self.count
        )


def measure(most: int | None) -> list[Series]:
    costs = {
        "bytes at the target's rate of changes": ("node bytes", "B/s a node"),
        "processor at the target's rate of changes": ("node busy", "ms/s a node"),
        "bytes of a leader": ("leader bytes", "B/s"),
        "processor of a leader": ("leader busy", "ms/s"),
        "bytes of the busiest other store": ("store bytes", "B/s"),
        "processor of the busiest other store": ("store busy", "ms/s"),
    }
    found: dict[tuple[str, bool], list[tuple[float, float]]] = defaultdict(list)
    for everything in (False, True):
        for nodes in SIZES:
            if nodes > (most or SIZES[-1]) or (everything and nodes > EVERYTHING_TO):
                continue
            played = Played(nodes, everything)
            for name, (key, _) in costs.items():
                found[name, everything].append((nodes, played.at_target_rate(key)))
            found["a change in force at the last node", everything].append(
                (nodes, played.told["to all"])
            )
            found["frames to nodes for a change", everything].append(
                (nodes, played.told["deltas"] / played.count)
            )
    units = {name: unit for name, (_, unit) in costs.items()}
    return [
        Series(
            name, units.get(name, "ms" if "force" in name else "frames"), "nodes",
            "worst of 200" if "force" in name else "mean", points,
            {"stores": STORES, "voters": VOTERS, "services followed": -1 if everything else SERVED},
        )
        for (name, everything), points in found.items()
    ]  # fmt: skip
