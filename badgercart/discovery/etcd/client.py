"""Drives the etcd follower over gRPC: connections, pages, the watch, tokens."""

from __future__ import annotations

import asyncio
import json
import os
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc
import grpc.aio
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate
from badgercart.discovery.etcd import follower as state_machine
from badgercart.discovery.etcd import log_events as events
from badgercart.discovery.etcd.settings import EtcdSettings
from badgercart.discovery.freshness import Freshness, FreshnessLimits, FreshnessState
from badgercart.discovery.log_events import LIST_DOUBTFUL, LIST_FRESH, LIST_STALE

# Between writes of the known file.
SAVE_INTERVAL_S = 5.0
DELETE = kv_pb2.Event.DELETE
MAX_MESSAGE_BYTES = 64 << 20
# The watch id in the response to a progress request. Other progress notifications come unrequested.
REQUESTED_PROGRESS_WATCH_ID = -1
# Wakes up just after the state of the list has changed.
STATE_TIMER_MARGIN_S = 0.001
# A connection whose network falls silent is detected within these times even without requests.
KEEPALIVE = (("grpc.keepalive_time_ms", 2000), ("grpc.keepalive_timeout_ms", 1000))

# The log event of each state of the list.
STATE_EVENTS = {
    FreshnessState.FRESH: LIST_FRESH,
    FreshnessState.DOUBTFUL: LIST_DOUBTFUL,
    FreshnessState.STALE: LIST_STALE,
}


class ConnectionEnded(Exception):
    """A call or stream ended; `failure` says why, for the follower."""

    def __init__(self, failure: state_machine.Failure, text: str) -> None:
        """Take the kind of failure and the text for the log."""
        super().__init__(text)
        self.failure = failure


def failure_of(error: grpc.RpcError) -> state_machine.Failure:
    """Classify an error of etcd by its code and text (see etcd's `rpctypes/error.go`)."""
    code, text = error.code(), error.details() or ""
    if "compacted" in text:
        return state_machine.Failure.COMPACTED
    if (
        code in (grpc.StatusCode.UNAUTHENTICATED, grpc.StatusCode.PERMISSION_DENIED)
        or "user" in text
    ):
        return state_machine.Failure.DENIED
    if code in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED):
        return state_machine.Failure.UNREACHABLE
    return state_machine.Failure.OTHER


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with this prefix."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 255:
            return prefix[:index] + bytes((prefix[index] + 1,))
    return b"\0"


def open_channel(settings: EtcdSettings, address: tuple[str, int]) -> Any:
    """Open a channel to one member. Raises OSError where a PEM file can't be read."""
    target = f"{address[0]}:{address[1]}"
    options = (
        *KEEPALIVE,
        ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
        ("grpc.use_local_subchannel_pool", 1),
        ("grpc.initial_reconnect_backoff_ms", 100),
        ("grpc.max_reconnect_backoff_ms", 1000),
    )
    if settings.tls is None:
        return grpc.aio.insecure_channel(target, options=options)
    tls = settings.tls
    pem = [Path(path).read_bytes() if path else None for path in (tls.ca, tls.key, tls.cert)]
    return grpc.aio.secure_channel(target, grpc.ssl_channel_credentials(*pem), options=options)


async def authenticate(settings: EtcdSettings, channel: Any) -> str | None:
    """Return a token, where there is a user. The password file is read each time."""
    if settings.user is None:
        return None
    password = Path(settings.password_file or os.devnull).read_text().rstrip("\n")
    request = rpc_pb2.AuthenticateRequest(name=settings.user, password=password)
    stub = rpc_pb2_grpc.AuthStub(channel)
    return str((await stub.Authenticate(request, timeout=settings.call_ms / 1000)).token)


def header_of(header: Any) -> state_machine.Header:
    """Return the response header as the follower takes it."""
    return state_machine.Header(header.cluster_id, header.revision)


class EtcdSource:
    """Keeps the endpoint list and its age.

    `on_update` gets snapshots and deltas, `on_state` the state that follows from the list's age.
    `read_entry` reads an entry's JSON, or raises where it is invalid.
    """

    def __init__(
        self,
        settings: EtcdSettings,
        read_entry: Callable[[dict[str, Any]], DiscoveredEndpoint],
        on_update: Callable[[DiscoveryUpdate], None],
        on_state: Callable[[FreshnessState], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Take the callbacks, the node's clock in ms, and a source of jitter."""
        self.settings = settings
        self.on_update, self.on_state, self.clock = on_update, on_state, clock
        self.follower = state_machine.Follower(settings, read_entry, rng)
        self.freshness = Freshness(
            FreshnessLimits(settings.doubtful_after_ms, settings.stale_after_ms)
        )
        self.state = FreshnessState.STALE
        # Index of the member that is connected to. Nodes are spread over the members.
        self.member = rng.randrange(len(settings.endpoints))
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.saving: asyncio.Task[None] | None = None
        # When the request was sent whose response proves the list's freshness; 0: none is open.
        self.requested_at_ms = 0.0
        # When the watch last received a response.
        self.received_at_ms = 0.0
        self.failing = False
        # Received in pages and watch responses.
        self.received_bytes = 0
        # Snapshots fetched.
        self.lists_fetched = 0

    # Start, settings and the main loop.

    def start(self) -> None:
        """Start to follow etcd."""
        self.on_state(self.state)
        self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        """Stop."""
        for job in (self.task, self.timer, self.saving):
            if job is not None:
                job.cancel()

    def move(self, settings: EtcdSettings) -> None:
        """Change the settings.

        The list stays in force and its age continues, until the next list replaces it.
        """
        if settings == self.settings:
            return
        if self.task is not None:
            self.task.cancel()
        self.settings = self.follower.settings = settings
        self.follower.prefix = settings.prefix.encode()
        self.follower.guard.share = settings.guard_share
        self.follower.forget()
        self.freshness.rule = FreshnessLimits(settings.doubtful_after_ms, settings.stale_after_ms)
        self.update_state()
        # Other settings may give the same state other consequences.
        self.on_state(self.state)
        self.member = 0
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Connect again whenever a connection ends."""
        while True:
            delay_ms = 0.0
            try:
                await self.follow()
            except ConnectionEnded as ended:
                # One line for each series of failures.
                if not self.failing:
                    events.FAILED(endpoint=self.endpoint, error=ended)
                self.failing = True
                delay_ms = self.reconnect_delay_ms(self.follower.on_failure(ended.failure))
            except ReconnectRequested as requested:
                delay_ms = self.prepare_reconnect(requested.action)
            except Exception:
                # Any exception must be caught here: if the follower died of it, the node would keep
                # its old list for ever.
                events.BROKEN(True)
                self.follower.forget()
                delay_ms = self.reconnect_delay_ms(
                    self.follower.on_failure(state_machine.Failure.OTHER)
                )
            await asyncio.sleep(delay_ms / 1000)

    @property
    def endpoint(self) -> str:
        """Address of the member that is connected to."""
        return "{}:{}".format(*self.settings.endpoints[self.member])

    def reconnect_delay_ms(self, actions: list[state_machine.Action]) -> float:
        """Process the only action after a failure, a reconnect, and return its delay."""
        (action,) = actions
        assert isinstance(action, state_machine.Reconnect)
        return self.prepare_reconnect(action)

    def prepare_reconnect(self, action: state_machine.Reconnect) -> float:
        """Choose the member to connect to next, and return the delay (ms)."""
        if action.next_member:
            self.member = (self.member + 1) % len(self.settings.endpoints)
        return action.delay_ms

    async def follow(self) -> None:
        """Run one connection, until it ends."""
        try:
            channel = open_channel(self.settings, self.settings.endpoints[self.member])
        except OSError as error:
            raise ConnectionEnded(
                state_machine.Failure.DENIED, f"{error.filename}: {error.strerror}"
            ) from None
        self.requested_at_ms = 0.0
        try:
            token = await authenticate(self.settings, channel)
            # `hasleader`: a member that is partitioned from the others must not serve an old list.
            metadata = [("hasleader", "true"), *([("token", token)] if token else [])]
            actions = self.follower.begin()
            while True:
                following = await self.execute(actions, channel, metadata)
                if following is None:
                    raise ConnectionEnded(state_machine.Failure.OTHER, "nothing more was asked for")
                actions = following
        except grpc.RpcError as error:
            raise ConnectionEnded(
                failure_of(error), f"{error.code().name.lower()}: {error.details()}"
            ) from None
        except OSError as error:
            raise ConnectionEnded(state_machine.Failure.DENIED, str(error)) from None
        finally:
            await channel.close()

    async def execute(
        self, actions: list[state_machine.Action], channel: Any, metadata: list[tuple[str, str]]
    ) -> list[state_machine.Action] | None:
        """Execute the follower's actions, and return those that follow from a page."""
        following: list[state_machine.Action] | None = None
        for action in actions:
            if isinstance(action, state_machine.FetchPage):
                following = await self.fetch_page(action, channel, metadata)
            elif isinstance(action, state_machine.OpenWatch):
                await self.watch(action, channel, metadata)
            else:
                self.execute_now(action)
        return following

    def execute_now(self, action: state_machine.Action) -> None:
        """Execute an action that needs no call."""
        if isinstance(action, state_machine.PublishUpdate):
            self.on_update(action.update)
            self.schedule_save()
        elif isinstance(action, state_machine.LogProblem):
            events.REPORT(text=action.text)
        elif isinstance(action, state_machine.ListConfirmed):
            self.confirm_list()
        elif isinstance(action, state_machine.Reconnect):
            raise ReconnectRequested(action)

    # Calls.

    async def fetch_page(
        self, action: state_machine.FetchPage, channel: Any, metadata: list[tuple[str, str]]
    ) -> list[state_machine.Action]:
        """Fetch one page of the list, and return the follower's next actions."""
        if not action.revision:
            self.requested_at_ms, self.lists_fetched = self.clock(), self.lists_fetched + 1
        prefix = self.settings.prefix.encode()
        request = rpc_pb2.RangeRequest(
            key=action.start,
            range_end=prefix_end(prefix),
            revision=action.revision,
            limit=action.limit,
        )
        stub = rpc_pb2_grpc.KVStub(channel)
        response = await stub.Range(
            request, metadata=metadata, timeout=self.settings.call_ms / 1000
        )
        self.received_bytes += response.ByteSize()
        pairs = [state_machine.KeyValue(kv.key, kv.value, kv.mod_revision) for kv in response.kvs]
        page = state_machine.RangePage(header_of(response.header), pairs, response.more)
        return self.follower.on_page(page, self.clock())

    async def watch(
        self, action: state_machine.OpenWatch, channel: Any, metadata: list[tuple[str, str]]
    ) -> None:
        """Read a watch until it ends or falls silent, which raises."""
        prefix = self.settings.prefix.encode()
        call = rpc_pb2_grpc.WatchStub(channel).Watch(metadata=metadata)
        create = rpc_pb2.WatchCreateRequest(
            key=prefix,
            range_end=prefix_end(prefix),
            start_revision=action.start_revision,
            progress_notify=True,
            fragment=True,
        )
        progress_task: asyncio.Future[None] | None = None
        read_task: asyncio.Future[Any] | None = None
        try:
            async with asyncio.timeout(self.settings.call_ms / 1000):
                await call.write(rpc_pb2.WatchRequest(create_request=create))
            self.requested_at_ms = 0.0
            progress_task = asyncio.ensure_future(self.request_progress(call))
            while True:
                read_task = next_read = asyncio.ensure_future(call.read())
                await asyncio.wait((next_read, progress_task), return_when=asyncio.FIRST_COMPLETED)
                if not next_read.done():
                    # Raises why the progress requests ended.
                    await progress_task
                response = await next_read
                if response is grpc.aio.EOF:
                    raise ConnectionEnded(state_machine.Failure.UNREACHABLE, "the watch ended")
                self.process_watch_response(response)
        except TimeoutError:
            raise ConnectionEnded(
                state_machine.Failure.UNREACHABLE, "the watch can't be had"
            ) from None
        finally:
            for task in (progress_task, read_task):
                if task is not None:
                    task.cancel()
            call.cancel()

    async def request_progress(self, call: Any) -> None:
        """Request the watch's progress periodically; silence ends the connection."""
        request = rpc_pb2.WatchRequest(progress_request=rpc_pb2.WatchProgressRequest())
        # Silence is counted in completed sleeps, not by the clock. A stall of this process, as while
        # it applies thousands of changes in one response, counts as one sleep. Otherwise the watch
        # would be closed just as they are read, and closed again each time they are sent again.
        step_ms = min(self.settings.progress_ms, self.settings.silence_ms / 4)
        received_at_ms, silent_ms, next_request_ms = self.received_at_ms, 0.0, 0.0
        while True:
            if self.clock() >= next_request_ms:
                # The time of an unanswered request is kept (etcd ignores progress requests while a
                # watch lags behind): a later response proves the list as of the first of them.
                self.requested_at_ms = self.requested_at_ms or self.clock()
                await call.write(request)
                next_request_ms = self.clock() + self.settings.progress_ms
            await asyncio.sleep(step_ms / 1000)
            silent_ms = (
                silent_ms + step_ms
                if self.requested_at_ms and self.received_at_ms == received_at_ms
                else 0.0
            )
            received_at_ms = self.received_at_ms
            if silent_ms >= self.settings.silence_ms:
                raise ConnectionEnded(state_machine.Failure.UNREACHABLE, "the watch is silent")

    def process_watch_response(self, response: Any) -> None:
        """Pass one watch response to the follower, and execute its actions."""
        self.received_bytes += response.ByteSize()
        self.received_at_ms = self.clock()
        header = header_of(response.header)
        is_progress = not (
            response.events or response.created or response.canceled or response.fragment
        )
        # Progress notifications that come unrequested prove nothing.
        if is_progress and response.watch_id == REQUESTED_PROGRESS_WATCH_ID:
            actions = self.follower.on_progress(header)
        else:
            events = [
                state_machine.KeyValue(
                    event.kv.key,
                    None if event.type == DELETE else event.kv.value,
                    event.kv.mod_revision,
                )
                for event in response.events
            ]
            change = state_machine.WatchResponse(
                header,
                events,
                response.created,
                response.canceled,
                response.compact_revision,
                response.fragment,
                response.cancel_reason,
            )
            actions = self.follower.on_watch_response(change, self.clock())
        for action in actions:
            self.execute_now(action)

    # The age of the list.

    def confirm_list(self) -> None:
        """Record that the list was complete when the request was sent that is now answered."""
        if self.requested_at_ms:
            self.freshness.proof(self.requested_at_ms)
            self.requested_at_ms = 0.0
        if self.failing:
            events.ANSWERS(endpoint=self.endpoint)
            self.failing = False
        self.update_state()

    def update_state(self) -> None:
        """Publish a change of state, and set the timer for the next one."""
        now_ms = self.clock()
        state = self.freshness.state(now_ms)
        if state is not self.state:
            age = f"{self.freshness.age(now_ms) / 1000:.1f}"
            STATE_EVENTS[state](age=age, was=self.state.value, version=self.follower.revision)
            self.state = state
            self.on_state(state)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due_ms = self.freshness.next_change(now_ms)
        if due_ms is not None:
            self.timer = asyncio.get_running_loop().call_later(
                max(0.0, due_ms - now_ms) / 1000 + STATE_TIMER_MARGIN_S, self.update_state
            )

    # The known file: the latest list, for a start while etcd is unreachable.

    def read_known_file(self) -> dict[str, Any] | None:
        """Return the content of the known file, or None where there is no valid one."""
        path = self.settings.known_file
        if path is None:
            return None
        try:
            raw = json.loads(Path(path).read_bytes())
            return raw if isinstance(raw, dict) else None
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as error:
            events.KNOWN_UNUSABLE(path=path, error=error)
            return None

    def schedule_save(self) -> None:
        """Save the list within SAVE_INTERVAL_S, unless that is scheduled already."""
        if self.settings.known_file is not None and (self.saving is None or self.saving.done()):
            self.saving = asyncio.ensure_future(self.save())

    async def save(self) -> None:
        """Wait, then write the known file."""
        await asyncio.sleep(SAVE_INTERVAL_S)
        entries = [json.loads(value) for value in self.follower.values.values()]
        raw = {"generation": self.follower.revision, "reset": True, "instances": entries}
        try:
            await asyncio.to_thread(
                replace_file, Path(self.settings.known_file or ""), json.dumps(raw).encode()
            )
        except OSError as error:
            events.KNOWN_UNWRITTEN(error=error)


class ReconnectRequested(Exception):
    """The follower requests a new connection."""

    def __init__(self, action: state_machine.Reconnect) -> None:
        """Take the follower's action."""
        super().__init__()
        self.action = action


def replace_file(path: Path, data: bytes) -> None:
    """Write a file atomically."""
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
