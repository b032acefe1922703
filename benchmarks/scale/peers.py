"""Hollow nodes that know each other, many to a process: what one of them bears as the group grows.

The machine, its uses and the codec are those of a node; only sockets and clocks are not. Each
datagram is encoded by who sends it and decoded by who gets it; the processor's time is that of
machine, uses and codec alone, without the network that is played between them. Times in a group are
virtual, the processor's real.
"""

from __future__ import annotations

import gc
import json
import os
import random
import statistics
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Executor, ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, replace
from multiprocessing import get_context

from badgercart.cluster.broadcast_queue import Queue
from badgercart.cluster.codec import MAX_SYNC, MTU, Codec, Gossip, Packet, Sync
from badgercart.cluster.member import Member
from badgercart.cluster.membership_table import MembershipRecord, Status
from badgercart.cluster.swim import Effect, Posted, SwimProtocol, Timing
from badgercart.cluster.uses import USE, Shares
from badgercart.config import Address
from benchmarks.scale.fit import doublings
from benchmarks.scale.report import Series
from lab.group import WALL, Group

SHARE_MS = 500.0  # between two reports of use in a small group, as the settings have it
BUSY = 10  # tenants that a node has requests of between two reports
LONG = 600_000.0  # ms of a group in which it must agree
STEP = 1000.0  # ms between looks at whether news is still on its way
LEAST_REST = 60_000.0  # ms of a group at rest over which it is measured
SIZES = (40, 1024)  # nodes, without reports of use
WITH_USE = (40, 320)  # nodes, each with reports of use of `TENANTS`
TENANTS = 10
OVER_TENANTS = (8, 64)  # of `NODES` nodes; a node reports of 64 at most
NODES = 80
MEMBERS = (64, 4096)  # that one node knows by itself; it takes no more
AGAIN = 5  # times that a step of one node is taken
SEEDS = (
    3  # of groups under `MANY` nodes; larger ones, and those with reports of use, are played once
)
MANY = 200
MOST_AT_ONCE = 4  # groups, each in a process of its own: one of 1,024 takes a GB


@dataclass(slots=True, frozen=True)
class Mark:
    """What all nodes have borne until a moment."""

    at: float  # ms of the group's time
    spent: int  # ns of the processor
    looked: int
    bytes_out: Counter[str]
    bytes_in: Counter[str]
    messages: Counter[str]


class Hollow(Group):
    """A group whose packets go as bytes, with what each node bears counted."""

    def __init__(
        self, count: int, tenants: int = 0, seed: int = 1, timing: Timing | None = None
    ) -> None:
        self.spent = 0  # ns of machine, uses and codec
        self.messages: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.members: dict[str, Member] = {}
        self.tenants = tenants
        super().__init__(count, seed, timing, expected=count)
        self.topics = (USE,) if tenants else ()
        for name, machine in self.machines.items():
            if tenants:
                member = Member(machine, [100.0] * tenants, SHARE_MS, ("shares",))
                self.members[name] = member
                self.at(self.random.random() * SHARE_MS, self.report, name, member)

    @contextmanager
    def metered(self) -> Iterator[None]:
        since = time.thread_time_ns()
        try:
            yield
        finally:
            self.spent += time.thread_time_ns() - since

    def acquaint(self) -> None:
        """Have all know all, as after a push-pull with one who knew them."""
        claims = tuple(machine.me for machine in self.machines.values())
        me = claims[0]
        for machine in list(self.machines.values())[1:]:
            serial = self.machines[me.name].next_number()
            machine.receive(
                self.now, Packet(me.name, me.boot, 0, serial, (0, 0), Sync(), claims), me.address
            )
            machine.queue = Queue(machine.queue.most)  # it is no news to anybody
        for claim in claims:
            self.machines[me.name].merge(claim, me.name)
        self.machines[me.name].queue = Queue(self.machines[me.name].queue.most)

    # A node's steps, each as bytes in and bytes out.

    def ring(self, name: str, machine: SwimProtocol) -> None:
        if self.machines[name] is not machine or not self.up[name] or machine.due > self.now:
            return
        with self.metered():
            effects = machine.tick(self.now)
        self.run_effects(name, effects)
        self.arm(name)

    def report(self, name: str, member: Member) -> None:
        """What `PeersPart.tick` does."""
        if self.machines[name] is not member.machine or not self.up[name]:
            return
        for tenant in self.random.sample(range(self.tenants), min(BUSY, self.tenants)):
            member.shares.count(tenant)
        with self.metered():
            effects = member.post(self.now, USE, member.shares.report(self.now))
            member.company(self.now)
            every = member.every
        self.run_effects(name, effects)
        self.at(self.now + every, self.report, name, member)

    def run_effects(self, name: str, effects: list[Effect]) -> None:
        member = self.members.get(name)
        for effect in effects:
            if isinstance(effect, Posted) and member is not None:
                with self.metered():
                    member.heard(self.now, effect)
        super().run_effects(name, [effect for effect in effects if not isinstance(effect, Posted)])

    def encoded(self, name: str, packet: Packet) -> bytes:
        with self.metered():
            data = self.codec.encode(packet)
        self.bytes[name] += len(data)
        self.messages[name] += 1
        return data

    def datagram(self, name: str, address: Address, packet: Packet) -> None:
        data = self.encoded(name, packet)
        to = self.addresses.get(address)
        if to is not None:
            source = self.machines[name].me.address
            self.at(self.now + self.way(), self.taken, to, data, source, MTU)

    def taken(self, to: str, data: bytes, source: Address, most: int) -> None:
        if not self.up[to]:
            return
        self.bytes_in[to] += len(data)
        with self.metered():
            effects = self.machines[to].receive(self.now, self.codec.decode(data, most), source)
        self.run_effects(to, effects)
        self.rearm(to)

    def sync(self, name: str, address: Address, packet: Packet) -> None:
        to = self.addresses.get(address)
        if to is not None:
            self.at(self.now + self.way(), self.answered, name, to, self.encoded(name, packet))

    def answered(self, name: str, to: str, data: bytes) -> None:
        if not self.up[to]:
            return
        self.bytes_in[to] += len(data)
        with self.metered():
            asked = self.codec.decode(data, MAX_SYNC)
            answer, effects = self.machines[to].answer_sync(
                self.now, asked, self.machines[name].me.address
            )
        back = self.encoded(to, answer)
        self.run_effects(to, effects)
        self.rearm(to)
        self.at(
            self.now + self.way(), self.taken, name, back, self.machines[to].me.address, MAX_SYNC
        )

    # What is looked at.

    def quiet(self) -> bool:
        """Whether nothing waits to be passed on; with reports of use something always does."""
        return not any(
            len(machine.queue) for name, machine in self.machines.items() if self.up[name]
        )

    def looked(self) -> int:
        """Beliefs and waiting items that the machines have looked at."""
        return sum(machine.view.looked + machine.queue.looked for machine in self.machines.values())

    def mark(self) -> Mark:
        return Mark(
            self.now,
            self.spent,
            self.looked(),
            self.bytes.copy(),
            self.bytes_in.copy(),
            self.messages.copy(),
        )


def rates(group: Hollow, since: Mark) -> dict[str, float]:
    """What a node bore a second since a mark: the mean, and of bytes the most that one bore."""
    seconds, count = (group.now - since.at) / 1000, len(group.machines)
    out = [group.bytes[name] - since.bytes_out[name] for name in group.machines]
    came = [group.bytes_in[name] - since.bytes_in[name] for name in group.machines]
    both = [a + b for a, b in zip(out, came, strict=True)]
    return {
        "bytes out": sum(out) / count / seconds,
        "bytes in": sum(came) / count / seconds,
        "bytes worst": max(both) / seconds,
        "messages": (group.messages.total() - since.messages.total()) / count / seconds,
        "processor": (group.spent - since.spent) / 1e6 / count / seconds,
        "looked": (group.looked() - since.looked) / count / seconds,
    }


def play(count: int, tenants: int = 0, seed: int = 1) -> dict[str, float]:
    """One group: from a cold start to one view, at rest, and to one view again after a death."""
    begun = time.process_time()
    group = Hollow(count, tenants, seed)
    gc.collect()
    gc.freeze()  # what stands is not looked at again and again
    start = group.mark()
    found = {"one view": group.run(LONG, group.agreed) / 1000}
    found |= {f"{name} at start": value for name, value in rates(group, start).items()}
    if not group.agreed():
        return found
    while not tenants and not group.quiet():
        group.run(group.now + STEP)
    found["settled"] = group.now / 1000
    rest = group.mark()
    every = max((member.every for member in group.members.values()), default=0.0)
    group.run(group.now + max(LEAST_REST, 2 * every))
    found |= rates(group, rest)
    if tenants:
        found |= entries(group)
    group.kill("n1")
    died = group.now
    found["one view after a death"] = (
        group.run(died + LONG, lambda: group.buried("n1") and group.agreed()) - died
    ) / 1000
    took = time.process_time() - begun
    figures = json.dumps({name: float(f"{value:.4g}") for name, value in found.items()})
    print(
        f"{count} nodes, {tenants} tenants, seed {seed}: {took:.0f} s of a core, {figures}",
        file=sys.stderr,
    )
    return found


def entries(group: Hollow) -> dict[str, float]:
    """Counts of use that a node keeps, and how old what it knows of another is (s, median)."""
    kept, ages = [], []
    for name, member in group.members.items():
        heard = member.shares.heard
        kept.append(sum(len(counts) for told in heard.values() for _, counts in told.posts))
        ages += [group.now - told.came for other, told in heard.items() if other != name]
    every = statistics.fmean(member.every for member in group.members.values())
    return {
        "entries of use": statistics.fmean(kept),
        "age of use": statistics.median(ages) / 1000 if ages else float("nan"),
        "between reports": every / 1000,
    }


# One node by itself, which has heard of all others.


def informed(members: int, tenants: int) -> Member:
    """A node that knows so many others, and two reports of use from each, as they come over the
    wire."""
    codec = Codec("lab", b"a secret of the lab alone")
    claims = [
        MembershipRecord(
            f"node-{n}",
            0,
            Status.ALIVE,
            (f"10.1.{n >> 8}.{n & 255}", 7946),
            int(WALL) * 1024 + n,
            "zone-1",
            "r",
        )
        for n in range(members)
    ]
    me = MembershipRecord("me", 0, Status.ALIVE, ("10.9.9.9", 7946), 1)
    machine = SwimProtocol(me, Timing(), [], random.Random(1), WALL, members)
    member = Member(machine, [100.0] * tenants, SHARE_MS, ("shares",))
    data = codec.encode(Packet(claims[0].name, claims[0].boot, 0, 1, (0, 0), Sync(), tuple(claims)))
    machine.receive(1.0, codec.decode(data, MAX_SYNC), claims[0].address)
    for serial in (2, 3):
        for claim in claims if tenants else ():
            packet = codec.decode(codec.encode(_use(claim, serial, tenants)))
            for effect in machine.receive(float(serial), packet, claim.address):
                if isinstance(effect, Posted):
                    member.heard(float(serial), effect)
    machine.queue = Queue(1)  # what waits to be passed on is gone after a while
    return member


def by_itself(members: int, tenants: int) -> dict[str, float]:
    """What that node keeps of each other member, and what its long steps take: they hold the event
    loop."""
    gc.collect()
    tracemalloc.start()
    member = informed(members, tenants)
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    codec, machine = Codec("lab", b"a secret of the lab alone"), member.machine

    def round_of_use() -> None:
        member.told = None
        member.company(4.0)

    def push_pull() -> None:
        """One side told, the other heard; nothing in it is news."""
        codec.encode(machine.everything())
        heard = codec.decode(data, len(data))
        machine.receive(5.0, replace(heard, serial=machine.next_number()), machine.me.address)

    data = codec.encode(replace(machine.everything(), sender="another", boot=0))
    return {
        "memory": kept / members,
        "a round of use": took(round_of_use),
        "a push-pull": took(push_pull),
        "bytes of a push-pull": float(len(data)),
    }


def took(what: Callable[[], None]) -> float:
    """ms of the processor, the median of some."""
    found = []
    for _ in range(AGAIN):
        since = time.thread_time_ns()
        what()
        found.append((time.thread_time_ns() - since) / 1e6)
    return statistics.median(found)


def _use(claim: MembershipRecord, serial: int, tenants: int) -> Packet:
    said = Shares([100.0] * tenants, claim.boot)
    said.counts = [serial * 1000 + tenant for tenant in range(tenants)]
    post = (USE, claim.name, serial, said.report(1000.0 * serial))
    return Packet(claim.name, claim.boot, 0, serial, (0, 0), Gossip(), (), (post,))


# The runs.


Plays = list[tuple[int, int, list[dict[str, float]]]]  # nodes, tenants, what each seed gave


def plays(pool: Executor, sizes: Sequence[int], tenants: Sequence[int]) -> Callable[[], Plays]:
    """Begin groups of these sizes with so many tenants, each by its seeds; gives what waits for
    them."""
    begun = [
        (
            nodes,
            of,
            [pool.submit(play, nodes, of, seed) for seed in range(1, 1 + seeds_of(nodes, of))],
        )
        for nodes in reversed(sizes)  # the longest first
        for of in tenants
    ]
    return lambda: [
        (nodes, of, [one.result() for one in told]) for nodes, of, told in reversed(begun)
    ]


def seeds_of(nodes: int, tenants: int) -> int:
    return SEEDS if nodes < MANY and not tenants else 1


UNITS = {  # of what a group is measured by
    "one view": "s",
    "one view after a death": "s",
    "bytes out at start": "B/s a node",
    "messages at start": "/s a node",
    "processor at start": "ms/s a node",
    "bytes out": "B/s a node",
    "bytes in": "B/s a node",
    "bytes worst": "B/s",
    "messages": "/s a node",
    "processor": "ms/s a node",
    "looked": "beliefs and items/s a node",
}
BY_ITSELF = {
    "memory": "B a member",
    "a round of use": "ms",
    "a push-pull": "ms",
    "bytes of a push-pull": "B",
}
OF_USE = {"entries of use": "counts a node", "age of use": "s", "between reports": "s"}


def as_series(
    found: Plays, over: str, fixed: dict[str, float],
    units: dict[str, str],
) -> list[Series]:  # fmt: skip
    """The median of the seeds; of the time to one view also the worst."""
    series = []
    for name, unit in units.items():
        for statistic, of in (("median", statistics.median), ("worst", max)):
            if statistic == "worst" and not name.startswith("one view"):
                continue
            points = sorted(
                (
                    float(tenants if over == "tenants" else nodes),
                    float(of([one[name] for one in told])),
                )
                for nodes, tenants, told in found
                if all(name in one for one in told)
            )
            series.append(Series(name, unit, over, statistic, points, fixed))
    return series


def measure(most: int | None) -> list[Series]:
    """All series; `most` caps nodes, and tenants too."""
    cap = most if most is not None else sys.maxsize

    def sizes(least: int, last: int) -> list[int]:
        return [size for size in doublings(least, last) if size <= cap]

    cores = len(os.sched_getaffinity(0))
    with ProcessPoolExecutor(
        min(cores, MOST_AT_ONCE), get_context("spawn"), max_tasks_per_child=1
    ) as pool:
        without = plays(pool, sizes(*SIZES), [0])
        with_use = plays(pool, sizes(*WITH_USE), [TENANTS])
        over_tenants = plays(pool, [NODES], sizes(*OVER_TENANTS))
        series = as_series(without(), "nodes", {"tenants": 0}, UNITS)
        series += as_series(with_use(), "nodes", {"tenants": TENANTS}, UNITS | OF_USE)
        series += as_series(over_tenants(), "tenants", {"nodes": NODES}, UNITS | OF_USE)
    for tenants in (0, TENANTS, OVER_TENANTS[1]):
        found = [(members, tenants, [by_itself(members, tenants)]) for members in sizes(*MEMBERS)]
        series += as_series(found, "members", {"tenants": tenants}, BY_ITSELF)
    return series
