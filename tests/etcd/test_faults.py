"""Injects faults of etcd in any order, under traffic.

In the end the node's list is etcd's, and no request was sent against the rules: by a stale list, to a
server that drains for longer than its grace, or to one that is not listed. The short form runs in CI
on a fixed seed; `BADGERCART_RUNS=1000 pytest tests/etcd/test_faults.py` is the long one, on new seeds.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from badgercart.app.application import Application
from badgercart.app.file import Installation
from badgercart.core.ports import AttemptRequest, IncomingRequest, UpstreamResponse
from badgercart.discovery.freshness import FreshnessState
from badgercart.policy.events import AttemptResult
from standins.etcd import Etcd
from tests.etcd.test_following import PREFIX, etcd_settings
from tests.net import WAIT_S, config, run

RUNS = int(os.environ.get("BADGERCART_RUNS", "0"))
DRAIN_GRACE_MS = 500.0
# How much later than its limit the state may be published, since a timer does it.
STATE_DELAY_MS = 100.0
STEPS = (
    "put", "drain", "delete", "many", "bad", "drop", "freeze", "thaw", "lose leader", "find leader",
    "compact", "stop", "start", "restore", "twice", "once", "cut", "old", "present", "expire", "wait",
    "long wait",
)  # fmt: skip


class Traffic:
    """Sends requests that succeed at once, and checks every attempt against the rules."""

    def __init__(self, application: Application) -> None:
        self.application, self.pipeline = application, application.pipeline
        self.attempts = self.sheds = 0
        self.faults: list[str] = []

    def start_request(self) -> None:
        now_ms, request_id = self.pipeline.clock(), self.pipeline.next_request_id()
        self.pipeline.accept(
            request_id, IncomingRequest(0, 0, request_id % 7 + 1, now_ms + 8000.0, None), self, self
        )

    def send(self, attempt: AttemptRequest) -> None:
        self.attempts += 1
        endpoint_table, source, now_ms = (
            self.application.endpoint_table,
            self.application.components["etcd"].source,
            self.pipeline.clock(),
        )
        if source.state is FreshnessState.STALE:
            self.faults.append("sent by a stale list")
        # A timer publishes the state; the list's present age must agree with it.
        if source.freshness.age(now_ms) > source.settings.stale_after_ms + STATE_DELAY_MS:
            self.faults.append("the list is older than its state says")
        draining_since_ms = endpoint_table.draining_since.get(attempt.endpoint_id)
        if draining_since_ms is not None and now_ms - draining_since_ms > DRAIN_GRACE_MS:
            self.faults.append("sent to a drained server")
        if attempt.endpoint_id not in endpoint_table.listed:
            self.faults.append("sent to a server that is not listed")
        result = (
            attempt.request_id,
            attempt.attempt,
            attempt.endpoint_id,
            AttemptResult.OK,
            1.0,
            UpstreamResponse(200),
        )
        self.pipeline.timers.call_later(0, self.pipeline.attempt_ended, *result)

    def cancel(self, request_id: int, number: int) -> None: ...

    def abandon_attempt(self, request_id: int, number: int) -> None: ...

    def client_is_gone(self) -> bool:
        return False

    def on_response(self, response: UpstreamResponse) -> None: ...

    def on_shed(self, retry_after_ms: float) -> None:
        self.sheds += 1

    def on_failure(self, internal_error: bool) -> None:
        self.faults.append("failed")


class FaultInjector:
    """Injects faults and changes into the stand-in etcd, by name."""

    def __init__(self, etcd: Etcd, seed: int) -> None:
        self.etcd, self.random = etcd, random.Random(seed)
        self.running = True
        self.names = [f"s{number}" for number in range(5)]

    def entry_json(self, name: str, state: str) -> str:
        return json.dumps({"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": state})

    async def inject(self, fault: str) -> None:
        etcd, name = self.etcd, self.random.choice(self.names)
        match fault:
            case "put" | "drain":
                state = "active" if fault == "put" else "leaving"
                await etcd.put(PREFIX + name, self.entry_json(name, state))
            case "delete":
                await etcd.delete(PREFIX + name)
            case "many":
                for other in self.random.sample(self.names, 3):
                    await etcd.put(
                        PREFIX + other,
                        self.entry_json(other, self.random.choice(("active", "leaving"))),
                    )
            case "bad":
                await etcd.put(
                    PREFIX + "bad", self.random.choice(("{", "[]", "", '{"instanceId": 1}'))
                )
            case "drop":
                etcd.drop()
            case "freeze" | "thaw":
                etcd.frozen = fault == "freeze"
                await etcd.wake()
            case "lose leader" | "find leader":
                etcd.leader = fault == "find leader"
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
                etcd.twice = fault == "twice"
            case "cut":
                etcd.fragment_bytes, etcd.cut_fragment = 60, 1
            case "old" | "present":
                etcd.old_revision = max(1, etcd.store.compacted) if fault == "old" else 0
            case "expire":
                lease = etcd.store.grant(0, 60, 0.0)
                await etcd.put(PREFIX + name, self.entry_json(name, "active"), lease.number)
                lease.until = 0.0
            case "wait":
                await asyncio.sleep(0.02)
            case "long wait":
                await asyncio.sleep(0.25)

    async def repair(self) -> None:
        etcd = self.etcd
        etcd.frozen = etcd.twice = False
        etcd.leader, etcd.old_revision, etcd.cut_fragment = True, 0, 0
        if not self.running:
            await etcd.start(etcd.port)
        etcd.store.expire(float("inf"))
        await etcd.wake()


async def run_faults(seed: int, steps: list[str]) -> None:
    etcd = await Etcd().start()
    for name in ("s0", "s1", "s2"):
        entry = {"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": "active"}
        await etcd.put(PREFIX + name, json.dumps(entry))
    chosen = etcd_settings(etcd, guard_share=0.0, stale_after_ms=400.0, page=2)
    installation = Installation(config(1), {"etcd": chosen})
    application = Application(installation, asyncio.get_running_loop())
    await application.start()
    traffic, injector = Traffic(application), FaultInjector(etcd, seed)

    async def send_requests() -> None:
        while True:
            traffic.start_request()
            await asyncio.sleep(0.002)

    sending = asyncio.ensure_future(send_requests())
    try:
        for step in steps:
            await injector.inject(step)
            await asyncio.sleep(0.01)
        await injector.repair()
        async with asyncio.timeout(WAIT_S):
            while (
                application.components["etcd"].source is None
                or application.components["etcd"].source.state is not FreshnessState.FRESH
                or node_list(application) != etcd_list(etcd)
            ):
                await asyncio.sleep(0.005)
    except TimeoutError:
        raise AssertionError(f"{node_list(application)} is not {etcd_list(etcd)}") from None
    finally:
        sending.cancel()
        application.close()
        await etcd.stop()
    assert traffic.faults == [] and not application.pipeline.in_flight


def node_list(application: Application) -> dict[str, str]:
    lifecycles = {0: "active", 2: "leaving"}
    return {
        member.name: lifecycles[int(member.entry.state)]
        for member in application.endpoint_table.listed.values()
    }


def etcd_list(etcd: Etcd) -> dict[str, Any]:
    entries = {}
    for key in etcd.store.within(PREFIX.encode(), b"\0"):
        kv = etcd.store.at(key, etcd.store.revision)
        if kv is not None and key != f"{PREFIX}bad".encode():
            entry = json.loads(kv.value)
            entries[entry["instanceId"]] = entry["lifecycle"]
    return entries


@settings(
    max_examples=RUNS or 12,
    derandomize=not RUNS,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 1 << 30), st.lists(st.sampled_from(STEPS), min_size=3, max_size=14))
def test_after_any_faults_the_list_is_etcds_and_no_attempt_broke_a_rule(
    seed: int, steps: list[str]
) -> None:
    run(run_faults(seed, steps))
