"""Faults of etcd in any order, under traffic: the list ends as etcd's, and nothing is sent that
must not be.

The short form runs in CI on a fixed seed; `BADGERCART_RUNS=1000 pytest tests/etcd/test_faults.py`
is the long one, on new seeds.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from badgercart.app.file import Installation
from badgercart.app.site import Application
from badgercart.core.ports import Answer, AttemptRequest, IncomingRequest
from badgercart.discovery.freshness import FreshnessState
from badgercart.policy.events import AttemptResult
from standins.etcd import Etcd
from tests.etcd.test_following import PREFIX
from tests.etcd.test_following import settings as etcd_settings
from tests.net import WAIT, config, run

RUNS = int(os.environ.get("BADGERCART_RUNS", "0"))
GRACE = 500.0  # ms
STEPS = (
    "put", "drain", "delete", "many", "bad", "drop", "freeze", "thaw", "lose leader", "find leader",
    "compact", "stop", "start", "restore", "twice", "once", "cut", "old", "present", "expire", "wait",
    "long wait",
)  # fmt: skip


class Traffic:
    """Requests without end, each answered as soon as it is sent; every send is checked."""

    def __init__(self, site: Application) -> None:
        self.site, self.join = site, site.pipeline
        self.sends = self.refusals = 0
        self.faults: list[str] = []

    def ask(self) -> None:
        now, number = self.join.clock(), self.join.next_request_id()
        self.join.accept(
            number, IncomingRequest(0, 0, number % 7 + 1, now + 8000.0, None), self, self
        )

    def send(self, order: AttemptRequest) -> None:
        self.sends += 1
        roster, source, now = (
            self.site.endpoint_table,
            self.site.components["etcd"].source,
            self.join.clock(),
        )
        if source.state is FreshnessState.STALE:
            self.faults.append("sent by a stale list")
        # The state is told by a timer; what the ages say at this very moment must agree with it.
        if source.freshness.age(now) > source.settings.stale_after_ms + 100.0:
            self.faults.append("the list is older than its state says")
        told = roster.draining_since.get(order.endpoint_id)
        if told is not None and now - told > GRACE:
            self.faults.append("sent to a drained server")
        if order.endpoint_id not in roster.listed:
            self.faults.append("sent to a server that is not listed")
        elapsed = (
            order.request_id,
            order.attempt,
            order.endpoint_id,
            AttemptResult.OK,
            1.0,
            Answer(200),
        )
        self.join.timers.call_later(0, self.join.attempt_ended, *elapsed)

    def cancel(self, request_id: int, number: int) -> None: ...

    def abandon_attempt(self, request_id: int, number: int) -> None: ...

    def client_is_gone(self) -> bool:
        return False

    def on_answer(self, answer: Answer) -> None: ...

    def on_shed(self, wait: float) -> None:
        self.refusals += 1

    def on_failure(self, broken: bool) -> None:
        self.faults.append("failed")


class Story:
    """One order of faults."""

    def __init__(self, etcd: Etcd, seed: int) -> None:
        self.etcd, self.random = etcd, random.Random(seed)
        self.running = True
        self.names = [f"s{number}" for number in range(5)]

    def value(self, name: str, state: str) -> str:
        return json.dumps({"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": state})

    async def step(self, what: str) -> None:
        etcd, name = self.etcd, self.random.choice(self.names)
        match what:
            case "put" | "drain":
                state = "active" if what == "put" else "leaving"
                await etcd.put(PREFIX + name, self.value(name, state))
            case "delete":
                await etcd.delete(PREFIX + name)
            case "many":
                for other in self.random.sample(self.names, 3):
                    await etcd.put(
                        PREFIX + other, self.value(other, self.random.choice(("active", "leaving")))
                    )
            case "bad":
                await etcd.put(
                    PREFIX + "bad", self.random.choice(("{", "[]", "", '{"instanceId": 1}'))
                )
            case "drop":
                etcd.drop()
            case "freeze" | "thaw":
                etcd.frozen = what == "freeze"
                await etcd.wake()
            case "lose leader" | "find leader":
                etcd.leader = what == "find leader"
                await etcd.wake()
            case "compact":
                if etcd.store.compacted < etcd.store.revision:
                    await etcd.compact()
            case "stop" if self.running:
                await etcd.stop()
                self.running = False
            case "start" if not self.running:
                await etcd.start(etcd.port)
                self.running = True
            case "restore" if self.running:
                await etcd.restart(empty=True, new_cluster=True)
            case "twice" | "once":
                etcd.twice = what == "twice"
            case "cut":
                etcd.fragment_bytes, etcd.cut_fragment = 60, 1
            case "old" | "present":
                etcd.old_revision = max(1, etcd.store.compacted) if what == "old" else 0
            case "expire":
                lease = etcd.store.grant(0, 60, 0.0)
                await etcd.put(PREFIX + name, self.value(name, "active"), lease.number)
                lease.until = 0.0
            case "wait":
                await asyncio.sleep(0.02)
            case "long wait":
                await asyncio.sleep(0.25)

    async def mend(self) -> None:
        etcd = self.etcd
        etcd.frozen = etcd.twice = False
        etcd.leader, etcd.old_revision, etcd.cut_fragment = True, 0, 0
        if not self.running:
            await etcd.start(etcd.port)
        etcd.store.expire(float("inf"))
        await etcd.wake()


async def play(seed: int, steps: list[str]) -> None:
    etcd = await Etcd().start()
    for name in ("s0", "s1", "s2"):
        line = {"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": "active"}
        await etcd.put(PREFIX + name, json.dumps(line))
    chosen = etcd_settings(etcd, guard_share=0.0, stale_after_ms=400.0, page=2)
    what = Installation(config(1), {"etcd": chosen})
    site = Application(what, asyncio.get_running_loop())
    await site.start()
    traffic, story = Traffic(site), Story(etcd, seed)

    async def ask() -> None:
        while True:
            traffic.ask()
            await asyncio.sleep(0.002)

    asking = asyncio.ensure_future(ask())
    try:
        for step in steps:
            await story.step(step)
            await asyncio.sleep(0.01)
        await story.mend()
        async with asyncio.timeout(WAIT):
            while (
                site.components["etcd"].source is None
                or site.components["etcd"].source.state is not FreshnessState.FRESH
                or listed(site) != held(etcd)
            ):
                await asyncio.sleep(0.005)
    except TimeoutError:
        raise AssertionError(f"{listed(site)} is not {held(etcd)}") from None
    finally:
        asking.cancel()
        site.close()
        await etcd.stop()
    assert traffic.faults == [] and not site.pipeline.in_flight


def listed(site: Application) -> dict[str, str]:
    names = {0: "active", 2: "leaving"}
    return {m.name: names[int(m.entry.state)] for m in site.endpoint_table.listed.values()}


def held(etcd: Etcd) -> dict[str, Any]:
    found = {}
    for key in etcd.store.within(PREFIX.encode(), b"\0"):
        kv = etcd.store.at(key, etcd.store.revision)
        if kv is not None and key != f"{PREFIX}bad".encode():
            line = json.loads(kv.value)
            found[line["instanceId"]] = line["lifecycle"]
    return found


@settings(
    max_examples=RUNS or 12,
    derandomize=not RUNS,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 1 << 30), st.lists(st.sampled_from(STEPS), min_size=3, max_size=14))
def test_after_any_faults_the_list_is_etcds_and_no_send_broke_a_rule(
    seed: int, steps: list[str]
) -> None:
    run(play(seed, steps))
