"""A node that follows a real replica, the process of a replica, and the operators' commands."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from badgercart.app.application import Application
from badgercart.app.cli import main as command_line
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import Installation, load_installation
from badgercart.config import Address
from badgercart.core.clock import now_ms
from badgercart.discovery.freshness import FreshnessState
from badgercart.distribution.client import Client as ReplicaClient
from badgercart.distribution.component import DistributedDiscoveryComponent, build_replica_driver
from badgercart.distribution.entry_file import parse_entries
from badgercart.distribution.messages import Codec, Entry, Propose, ProposeResponse
from badgercart.distribution.replica_driver import ReplicaDriver
from badgercart.distribution.replica_file import load_replica_file
from badgercart.distribution.settings import FollowerSettings, ReplicaEntry, ReplicaSettings
from badgercart.frontends.http.component import HttpSettings
from badgercart.metrics.component import MetricsSettings
from standins.ports import ReservedPort
from tests.net import WAIT_S, Client, ScriptedServer, config, request, run

ROOT = Path(__file__).parent.parent.parent
GROUP, SECRET, TOPIC = "test", "a secret of the tests", "servers/dispatch"


def store_settings(folder: Path, port: int = 0, **changes: Any) -> ReplicaSettings:
    entry = ReplicaEntry(name="s1", address=("127.0.0.1", port), voter=True)
    values: dict[str, Any] = {
        "heartbeat_ms": 20.0,
        "election_ms": 200.0,
        "beat_ms": 20.0,
        "store": (entry,),
    }
    return ReplicaSettings(
        listen=("127.0.0.1", port),
        name="s1",
        group=GROUP,
        secret=SECRET,
        folder=str(folder),
        **values | changes,
    )


async def start_store(folder: Path, port: int = 0) -> ReplicaDriver:
    loop = asyncio.get_running_loop()
    driver = build_replica_driver(store_settings(folder, port), "/", loop, now_ms)
    await driver.start()
    return driver


@asynccontextmanager
async def running_store(folder: Path, port: int = 0) -> AsyncIterator[ReplicaDriver]:
    driver = await start_store(folder, port)
    try:
        yield driver
    finally:
        driver.close()


def node_settings(*stores: Address, **changes: Any) -> FollowerSettings:
    values: dict[str, Any] = {
        "group": GROUP, "secret": SECRET, "service": "dispatch", "window_ms": 5.0, "window_most_ms": 20.0,
        "doubtful_after_ms": 200.0, "stale_after_ms": 600.0,
    }  # fmt: skip
    return FollowerSettings(stores=stores, **values | changes)


class Node:
    """A running node, its discovery component and its list of servers."""

    def __init__(self, application: Application) -> None:
        self.application, self.http = application, application.components["http"].frontend  # type: ignore[attr-defined]
        component = application.components["distribution"]
        assert isinstance(component, DistributedDiscoveryComponent)
        self.component = component

    def listed(self) -> dict[str, str]:
        return {
            m.name: m.entry.state.name.lower()
            for m in self.application.endpoint_table.listed.values()
        }

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.002)

    async def wait_for_list(self, **expected: str) -> None:
        try:
            await self.wait_until(lambda: self.listed() == expected)
        except TimeoutError:
            raise AssertionError(f"{self.listed()} is not {expected}") from None

    async def wait_for_state(self, state: FreshnessState) -> None:
        await self.wait_until(lambda: self.component.state is state)

    async def get(self, data: bytes) -> tuple[int, bytes]:
        client = Client(*await asyncio.open_connection(*self.http.listener.address))
        status, _, body = await client.ask(data)
        client.writer.close()
        return status, body

    async def request_status(self) -> int:
        return (await self.get(request()))[0]

    async def health(self) -> int:
        return (await self.get(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0]


@asynccontextmanager
async def running_node(*stores: Address, **changes: Any) -> AsyncIterator[Node]:
    parts = {
        "http": HttpSettings(listen=("127.0.0.1", 0)),
        "distribution": node_settings(*stores, **changes),
    }
    application = Application(Installation(config(1), parts), asyncio.get_running_loop())
    await application.start()
    try:
        yield Node(application)
    finally:
        application.close()


def server_entry(
    name: str, peer: ScriptedServer | None = None, state: str = "active"
) -> dict[str, Any]:
    port = peer.port if peer else 7000 + len(name)
    return {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": state}


async def propose_entries(
    driver: ReplicaDriver, *servers: dict[str, Any], topic: str = TOPIC, **other_values: Any
) -> int:
    """Propose entries to a replica without the checks of the `put` command."""
    values = {each["instanceId"]: json.dumps(each).encode() for each in servers} | other_values
    entries = tuple(Entry(key, value) for key, value in values.items())
    async with (
        asyncio.timeout(WAIT_S),
        ReplicaClient(driver.listen, Codec(GROUP, SECRET.encode())) as client,
    ):
        client.write(Propose(1, topic, entries, -1))
        while not isinstance(result := await client.read(), ProposeResponse):
            pass
    assert not result.error, result
    return result.version


NODE_FILE = """\
[fleet]
zones = ["a"]
[[class]]
name = "find"
aim_ms = 400
deadline_ms = 1000
worth = 2
effect = "safe"
[members.distribution]
group = "test"
secret = "a secret of the tests"
service = "dispatch"
stores = [{stores}]
[fronts.http]
listen = "127.0.0.1:0"
"""


def node_file(folder: Path, *stores: Address) -> str:
    path = folder / "node.toml"
    path.write_text(NODE_FILE.format(stores=", ".join(f'"{host}:{port}"' for host, port in stores)))
    return str(path)


async def run_command(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str, str]:
    status = await asyncio.to_thread(command_line, ["distribution", *arguments])
    result = capsys.readouterr()
    return status, result.out, result.err


# The node.


def test_the_list_is_followed_and_a_draining_server_reaches_the_policy(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        async with running_store(tmp_path / "s") as store, running_node(store.listen) as node:
            # The node has no list yet.
            assert await node.health() == 503 and await node.request_status() == 503
            await node.wait_until(lambda: node.component.follower.topics.unknown)
            first, second = await ScriptedServer().start(), await ScriptedServer().start()
            path, entries_file = node_file(tmp_path, store.listen), tmp_path / "lines.json"
            entries_file.write_text(json.dumps([server_entry("a", first)]))
            result = await run_command(capsys, "put", path, TOPIC, "--file", str(entries_file))
            assert result == (0, f"{TOPIC}: in force as number 1\n", "")
            await node.wait_for_list(a="ready")
            await node.wait_for_state(FreshnessState.FRESH)
            assert (
                await node.health() == 200
                and await node.request_status() == 200
                and first.requests.qsize() == 1
            )
            entries_file.write_text(
                json.dumps([server_entry("a", first, "leaving"), server_entry("b", second)])
            )
            status, _, _ = await run_command(
                capsys, "put", path, TOPIC, "--file", str(entries_file), "--expected", "1"
            )
            assert status == 0
            # Both entries belong to one change, so they are applied together.
            await node.wait_for_list(a="draining", b="ready")
            for _ in range(20):
                assert await node.request_status() == 200
            assert first.requests.qsize() == 1 and second.requests.qsize() == 20
            entries_file.write_text('{"a": null}')
            assert (await run_command(capsys, "put", path, TOPIC, "--file", str(entries_file)))[
                0
            ] == 0
            await node.wait_for_list(b="ready")
            assert (
                node.application.endpoint_table.version == 3
                and node.component.follower.topics.change_count == 3
            )

    run(test())


@pytest.mark.parametrize("when_stale", ["refuse", "go-on"])
def test_a_node_without_a_replica_keeps_its_list_and_reports_its_age(
    tmp_path: Path, when_stale: str, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    async def test() -> None:
        peer = await ScriptedServer().start()
        store = await start_store(tmp_path / "s")
        async with running_node(store.listen, when_stale=when_stale) as node:
            await propose_entries(store, server_entry("a", peer), server_entry("b", peer))
            await node.wait_for_list(a="ready", b="ready")
            await node.wait_for_state(FreshnessState.FRESH)
            store.close()
            await node.wait_until(lambda: node.component.follower.age_ms(now_ms()) > 100)
            assert (
                node.listed() == {"a": "ready", "b": "ready"} and await node.request_status() == 200
            )
            ages = [node.component.follower.age_ms(now_ms())]
            await node.wait_for_state(FreshnessState.DOUBTFUL)
            assert await node.request_status() == 200
            await node.wait_for_state(FreshnessState.STALE)
            assert node.component.follower.age_ms(now_ms()) > ages[0] and node.listed() == {
                "a": "ready",
                "b": "ready",
            }
            assert await node.request_status() == (503 if when_stale == "refuse" else 200)
            assert node.application.endpoint_table.suspended is (when_stale == "refuse")
            store = await start_store(tmp_path / "s", store.listen[1])
            await propose_entries(store, server_entry("b", peer, "leaving"))
            await node.wait_for_list(a="ready", b="draining")
            await node.wait_for_state(FreshnessState.FRESH)
            assert (
                await node.request_status() == 200
                and node.component.follower.topics.by_name[TOPIC].version == 2
            )
            store.close()

    run(test())
    assert "the server list is stale" in caplog.text and "is left" in caplog.text


def test_a_replica_with_an_older_journal_is_abandoned(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with (
            running_store(tmp_path / "s") as store,
            running_store(tmp_path / "other") as other,
        ):
            for number in range(3):
                await propose_entries(store, server_entry(f"s{number}"))
            await propose_entries(other, server_entry("old"))
            async with running_node(store.listen) as node:
                await node.wait_for_list(s0="ready", s1="ready", s2="ready")
                store.close()
                node.component.reload(node_settings(other.listen))
                await node.wait_until(lambda: node.component.follower.faults["behind"] >= 3)
                assert node.listed() == {"s0": "ready", "s1": "ready", "s2": "ready"}
                await node.wait_for_state(FreshnessState.STALE)
                restored_store = await start_store(tmp_path / "s")
                node.component.reload(node_settings(other.listen, restored_store.listen))
                await propose_entries(restored_store, server_entry("s3"))
                await node.wait_until(
                    lambda: "s3" in node.listed() and node.component.state is FreshnessState.FRESH
                )
                assert "old" not in node.listed()
                restored_store.close()

    run(test())
    assert "behind: the follower has number 3, this store 1" in caplog.text


INVALID_ENTRIES: dict[str, bytes] = {
    "no JSON": b"{",
    "no line": b"[]",
    "no address": b'{"instanceId": "b", "lifecycle": "active"}',
    "bad address": b'{"instanceId": "b", "hostPort": "b", "lifecycle": "active"}',
    "another key": b'{"instanceId": "c", "hostPort": "h:1", "lifecycle": "active"}',
    "unknown lifecycle": b'{"instanceId": "b", "hostPort": "h:1", "lifecycle": "gone"}',
    "no weight": b'{"instanceId": "b", "hostPort": "h:1", "lifecycle": "active", "weight": NaN}',
    "too deep": b"[" * 30_000,
}


@pytest.mark.parametrize("case", INVALID_ENTRIES)
def test_an_invalid_entry_changes_nothing_until_it_is_corrected(
    tmp_path: Path, case: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with running_store(tmp_path / "s") as store, running_node(store.listen) as node:
            await propose_entries(store, server_entry("a"))
            await node.wait_for_list(a="ready")
            await node.wait_for_state(FreshnessState.FRESH)
            await propose_entries(
                store, server_entry("a", state="leaving"), b=INVALID_ENTRIES[case]
            )
            # The delta and the snapshot that is requested after it are both unusable.
            await node.wait_until(lambda: caplog.text.count("as of 2 can't be used") == 2)
            # The valid entry of the same change is not applied either.
            assert node.listed() == {"a": "ready"}
            # The list ages because it is known to be old.
            await node.wait_for_state(FreshnessState.DOUBTFUL)
            assert (
                node.component.follower.dial_count == 1
                and node.component.follower.faults["unusable"] == 1
            )
            await propose_entries(store, server_entry("b"))
            await node.wait_for_list(a="draining", b="ready")
            await node.wait_for_state(FreshnessState.FRESH)
            assert node.component.follower.dial_count == 1

    run(test())


def test_a_snapshot_is_requested_if_the_policy_fails_on_an_update(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running_store(tmp_path / "s") as store, running_node(store.listen) as node:
            await propose_entries(store, server_entry("a"))
            await node.wait_for_list(a="ready")
            policy = node.application.pipeline.policy
            handle = policy.handle
            broken: list[Any] = []

            def break_once(now: float, event: Any) -> Any:
                if getattr(event, "version", 0) == 2 and not broken:
                    broken.append(event)
                    raise RuntimeError("odd")
                return handle(now, event)

            monkeypatch.setattr(policy, "handle", break_once)
            await propose_entries(store, server_entry("b"))
            await node.wait_until(lambda: node.component.follower.topics.change_count == 3)
            assert (
                broken
                and node.listed() == {"a": "ready", "b": "ready"}
                and node.component.follower.dial_count == 1
            )
            await node.wait_for_state(FreshnessState.FRESH)

    run(test())


def test_a_reload_applies_new_replicas_and_timeouts_and_keeps_the_list(tmp_path: Path) -> None:
    async def test() -> None:
        store = await start_store(tmp_path / "s")
        async with running_node(store.listen) as node:
            await propose_entries(store, server_entry("a"))
            await node.wait_for_list(a="ready")
            old_driver = node.component.driver
            store.close()
            restarted_store = await start_store(tmp_path / "s")
            new_settings = node_settings(
                restarted_store.listen,
                when_stale="go-on",
                service="other",
                stale_after_ms=700.0,
                group="g2",
            )
            installed = node.application.installation
            installation = Installation(
                installed.config, installed.component_settings | {"distribution": new_settings}
            )
            assert (
                node.application.reload(installation) == []
                and not old_driver.is_open
                and not old_driver.links
            )
            await propose_entries(restarted_store, server_entry("b"))
            await node.wait_for_list(a="ready", b="ready")
            assert (
                node.component.topic == TOPIC
                and node.component.follower.freshness.rule.stale_after_ms == 700
            )
            assert node.component.follower.topics.change_count == 2
            restarted_store.close()
            await node.wait_for_state(FreshnessState.STALE)
            assert not node.application.endpoint_table.suspended
            current_driver = node.component.driver
            # A reload without changes keeps the driver.
            assert (
                node.application.reload(installation) == []
                and node.component.driver is current_driver
            )

    run(test())


def test_a_replica_beside_other_components_serves_its_own_node_and_has_metrics(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        port = ReservedPort()
        parts = {
            "http": HttpSettings(listen=("127.0.0.1", 0)),
            "metrics": MetricsSettings(listen=("127.0.0.1", 0)),
            "distribution": node_settings(port.address),
            "distribution-store": store_settings(Path("store"), port.number),
        }
        installation = Installation(config(1), parts, folder=str(tmp_path))
        application = Application(installation, asyncio.get_running_loop())
        await application.start()
        node = Node(application)
        assert (tmp_path / "store" / "snapshot").exists() or any((tmp_path / "store").iterdir())
        driver = application.components["distribution-store"].driver  # type: ignore[attr-defined]
        await propose_entries(driver, server_entry("a"))
        await node.wait_for_list(a="ready")
        await node.wait_for_state(FreshnessState.FRESH)
        _, body = await node.get(b"GET /_distribution HTTP/1.1\r\nHost: x\r\n\r\n")
        result = json.loads(body)
        assert (
            result["topics"] == {TOPIC: 1} and result["state"] == "fresh" and result["changes"] == 1
        )
        assert result["store"] == f"127.0.0.1:{port.number}" and result["age_ms"] < 600
        meters = application.host.metrics.metrics
        figures = {name: meter.values() for name, meter in meters.items() if "distribution" in name}
        assert figures["badgercart_distribution_number"] == {TOPIC: 1.0}
        assert figures["badgercart_distribution_changes"] == {"": 1.0}
        assert figures["badgercart_distribution_dials"][""] >= 1
        assert meters["badgercart_store_leading"].values() == {"": 1.0}
        assert meters["badgercart_store_followers"].values() == {"": 1.0}
        assert 0 <= meters["badgercart_list_age_seconds"].values()[""] < 1
        second = Application(installation, asyncio.get_running_loop())
        with pytest.raises(
            Exception, match="distribution-store does not start: .*another process has it"
        ):
            await second.start()
        application.close()

    run(test())


# Commands.


def test_commands_show_topics_replicas_and_errors(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        unreachable = ReservedPort()
        async with running_store(tmp_path / "s") as store:
            path, entries_file = (
                node_file(tmp_path, unreachable.address, store.listen),
                tmp_path / "l.json",
            )
            status, _, err = await run_command(capsys, "get", path, TOPIC)
            assert status == 1 and f"{TOPIC}: there is no such topic yet" in err
            entries_file.write_text(json.dumps([server_entry("a"), server_entry("b")]))
            assert (await run_command(capsys, "put", path, TOPIC, "--file", str(entries_file)))[
                0
            ] == 0
            entries_file.write_text('{"pesti": {"quota_per_s": 46}, "odd": "text"}')
            assert (
                await run_command(
                    capsys, "put", path, "settings/tenants", "--file", str(entries_file)
                )
            )[0] == 0
            status, out, _ = await run_command(capsys, "get", path, "settings/tenants", "--json")
            entries = {"odd": "text", "pesti": {"quota_per_s": 46}}
            assert status == 0
            assert json.loads(out) == {"topic": "settings/tenants", "number": 1, "entries": entries}
            status, out, _ = await run_command(capsys, "get", path, TOPIC)
            assert (
                status == 0 and f"{TOPIC}: 2 entries as of number 1" in out and '"hostPort"' in out
            )
            status, out, _ = await run_command(capsys, "status", path)
            # The other address of the group has no listener.
            assert status == 0 and "leading" in out and "127.0.0.1" in out
            status, out, _ = await run_command(capsys, "status", path, "--json")
            assert [list(columns) for columns in json.loads(out).values()][0] == ["error"]
            result = json.loads(out)[f"127.0.0.1:{store.listen[1]}"]
            assert (result["name"], result["leader"], result["topics"], result["entries"]) == (
                "s1",
                "s1",
                2,
                4,
            )
            assert result["committed"] == 3 and result["age_ms"] < 5000
            entries_file.write_text(json.dumps([server_entry("c")]))
            arguments = ("put", path, TOPIC, "--file", str(entries_file), "--expected", "0")
            status, _, err = await run_command(capsys, *arguments)
            assert (
                status == 1
                and "conflict: number 0 was expected, it is 1; nothing was changed" in err
            )
            assert store.replica.topics[TOPIC].version == 1
            other_secret_file = tmp_path / "wrong.toml"
            other_secret_file.write_text(
                Path(path).read_text().replace("a secret of the tests", "another secret than it")
            )
            status, _, err = await run_command(capsys, "get", str(other_secret_file), TOPIC)
            assert status == 1 and "its hash is not this group's" in err
            assert store.refused["forged"] == 1
        status, _, err = await run_command(capsys, "status", path)
        assert status == 1 and "no store that answers leads" in err
        status, _, err = await run_command(capsys, "put", path, TOPIC, "--file", str(entries_file))
        assert status == 1 and "no store can do that" in err
        status, _, err = await run_command(capsys, "get", path, "")
        assert status == 2 and "is no topic" in err

    run(test())


def test_a_put_without_a_response_is_not_sent_to_another_replica(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        async def close_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # Close the connection after the request has begun to arrive.
            await reader.readexactly(10)
            writer.close()

        server = await asyncio.start_server(close_early, "127.0.0.1", 0)
        async with running_store(tmp_path / "s") as store:
            path = node_file(tmp_path, server.sockets[0].getsockname(), store.listen)
            (entries_file := tmp_path / "l.json").write_text(json.dumps([server_entry("a")]))
            status, _, err = await run_command(
                capsys, "put", path, TOPIC, "--file", str(entries_file)
            )
            assert status == 1 and "it may be in force or not" in err and not store.replica.topics
        server.close()

    run(test())


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("{", "line 1 column 2"),
        ("[]", "neither a list of lines nor"),
        ("{}", "neither a list of lines nor"),
        ("3", "neither a list of lines nor"),
        ("[1]", "no line with an instanceId"),
        ('[{"hostPort": "h:1"}]', "no line with an instanceId"),
        ('[{"instanceId": "a"}]', "a: 'hostPort' is missing"),
        ('[{"instanceId": "a", "hostPort": "h", "lifecycle": "active"}]', "no host:port"),
        (
            '[{"instanceId": "a", "hostPort": "h:1", "lifecycle": "odd"}]',
            "a: 'odd' is missing, or none",
        ),
        (
            '{"b": {"instanceId": "a", "hostPort": "h:1", "lifecycle": "active"}}',
            "b: instanceId is 'a'",
        ),
        ('{"a": {"instanceId": "a", "weight": NaN}}', "NaN is no number"),
        ('[{"instanceId": "a"}, {"instanceId": "a"}]', "stands there twice"),
        ("[" * 30_000, "nested too deeply"),
        ('{"' + "a" * 201 + '": null}', "is no name"),
        (json.dumps({f"k{i}": None for i in range(4097)}), "is over 4096"),
    ],
)
def test_entries_that_are_invalid_for_nodes_are_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, expected_text: str
) -> None:
    path = node_file(tmp_path, ("127.0.0.1", 1))
    (entries_file := tmp_path / "l.json").write_text(text)
    assert command_line(["distribution", "put", path, TOPIC, "--file", str(entries_file)]) == 2
    assert expected_text in capsys.readouterr().err


def test_other_topics_accept_any_json_value() -> None:
    assert parse_entries(b'{"a": 1, "b": null}', "settings/x") == (
        Entry("a", b"1"),
        Entry("b", None),
    )


# The settings file and the process of a replica.

STORE_FILE = """\
[distribution]
name = "s1"
listen = "127.0.0.1:{port}"
group = "test"
secret = "a secret of the tests"
folder = "store"
beat_ms = 20
[[distribution.store]]
name = "s1"
address = "127.0.0.1:{port}"
voter = true
"""


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        (
            'name = "s1"\nlisten',
            'name = "s2"\nlisten',
            "line 2: distribution.name: 's2' is none of the stores",
        ),
        ("voter = true", "voter = false", "distribution.store: has no voter"),
        (
            "beat_ms = 20",
            "election_ms = 200",
            "distribution.election_ms: is not three times heartbeat_ms",
        ),
        ("beat_ms = 20", "beat = 20", "line 7: distribution.beat: is not known here"),
        ("a secret of the tests", "short", "line 5: distribution.secret"),
        ('folder = "store"\n', "", "folder is missing"),
        (
            "voter = true",
            'voter = true\n[[distribution.store]]\nname = "s1"\naddress = "h:1"',
            "stands here twice",
        ),
    ],
)
def test_each_fault_of_a_replicas_file_is_reported_with_line_and_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, expected_text: str
) -> None:
    path = tmp_path / "store.toml"
    text = STORE_FILE.format(port=7401)
    assert old in text
    path.write_text(text.replace(old, new))
    with pytest.raises(SettingsFileError) as caught:
        load_replica_file(str(path))
    assert expected_text in str(caught.value)
    assert command_line(["distribution", "store", str(path)]) == 2
    assert expected_text in capsys.readouterr().err
    path.write_text(NODE_FILE.format(stores='"h:1"') + text.replace(old, new))
    with pytest.raises(SettingsFileError, match=expected_text.rpartition(": ")[2]):
        # The same fault is reported for an installation.
        load_installation(str(path))


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        ('"h:1"', "", "is an empty list"),
        ('"h:1"', '"h:1", "h:1"', "names an address twice"),
        (
            'service = "dispatch"',
            'service = "dispatch"\ndoubtful_after_ms = 20000',
            "later than stale_after_ms",
        ),
        (
            'service = "dispatch"',
            'service = "dispatch"\nwindow_ms = 40000',
            "longer than window_most_ms",
        ),
        (
            'service = "dispatch"',
            'service = "dispatch"\nwhen_stale = "hope"',
            "none of refuse, go-on",
        ),
    ],
)
def test_each_fault_of_a_nodes_settings_is_reported(
    tmp_path: Path, old: str, new: str, expected_text: str
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(NODE_FILE.format(stores='"h:1"'))
    load_installation(str(path))
    path.write_text(NODE_FILE.format(stores='"h:1"').replace(old, new))
    with pytest.raises(SettingsFileError, match=expected_text):
        load_installation(str(path))


def test_a_file_without_replicas_is_rejected_by_the_commands(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = str(ROOT / "deploy" / "peers.toml")
    assert command_line(["distribution", "status", path]) == 2
    assert "has neither [members.distribution] nor [distribution]" in capsys.readouterr().err
    assert command_line(["distribution", "store", path]) == 2
    assert "an installation is run by `serve`" in capsys.readouterr().err
    example = str(ROOT / "deploy" / "distribution-store.toml")
    assert command_line(["distribution", "store", "--check", example]) == 0


def test_a_replica_process_keeps_committed_changes_after_a_kill(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def launch(path: Path) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "badgercart", "distribution", "store", str(path),
            stderr=asyncio.subprocess.PIPE, cwd=ROOT,
        )  # fmt: skip
        assert process.stderr is not None
        async with asyncio.timeout(6 * WAIT_S):
            while b"distribution.listening" not in (result := await process.stderr.readline()):
                assert result, "the process has ended"
        return process

    async def test() -> None:
        port = ReservedPort()
        path, entries_file = tmp_path / "store.toml", tmp_path / "l.json"
        path.write_text(STORE_FILE.format(port=port.number))
        entries_file.write_text(json.dumps([server_entry("a")]))
        process = await launch(path)
        async with running_node(
            port.address, stale_after_ms=60_000.0, doubtful_after_ms=30_000.0
        ) as node:
            assert (
                await run_command(capsys, "put", str(path), TOPIC, "--file", str(entries_file))
            )[0] == 0
            await node.wait_for_list(a="ready")
            second = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "badgercart", "distribution", "store", str(path),
                stderr=asyncio.subprocess.PIPE, cwd=ROOT,
            )  # fmt: skip
            _, err = await second.communicate()
            assert second.returncode == 2 and b"another process has it" in err
            process.kill()
            await process.wait()
            process = await launch(path)
            status, out, _ = await run_command(capsys, "get", str(path), TOPIC, "--json")
            assert status == 0 and json.loads(out)["entries"] == {"a": server_entry("a")}
            entries_file.write_text(json.dumps([server_entry("a", state="leaving")]))
            assert (
                await run_command(capsys, "put", str(path), TOPIC, "--file", str(entries_file))
            )[0] == 0
            await node.wait_for_list(a="draining")
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(test())


def test_the_node_does_not_import_the_distribution() -> None:
    code = (
        "import sys, badgercart.__main__, badgercart.node; "
        "print([m for m in sys.modules if m.startswith('badgercart.distribution') or m == 'msgspec'])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"


def test_an_installation_without_distribution_imports_no_library_for_it(tmp_path: Path) -> None:
    code = (
        "import sys; from badgercart.app.file import load_installation; "
        f"load_installation({str(ROOT / 'deploy' / 'etcd.toml')!r}); "
        "print(sorted(m for m in sys.modules if m.startswith('badgercart.distribution.')))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == str(
        ["badgercart.distribution.component", "badgercart.distribution.settings"]
    )


def test_an_unknown_age_is_null_on_the_page(tmp_path: Path) -> None:
    async def test() -> None:
        unreachable = ReservedPort()
        async with running_node(unreachable.address) as node:
            _, body = await node.get(b"GET /_distribution HTTP/1.1\r\nHost: x\r\n\r\n")
            result = json.loads(body)
            assert (
                result["age_ms"] is None and result["store"] is None and result["state"] == "stale"
            )
            assert (
                node.component.follower.age_ms(now_ms()) == math.inf
                and node.application.endpoint_table.suspended
            )

    run(test())
