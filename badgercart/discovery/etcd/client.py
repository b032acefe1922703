"""Drives the follower over etcd's gRPC API: connections, pages, the watch, tokens."""

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
from badgercart.discovery.etcd import follower as machine
from badgercart.discovery.etcd import log_events as events
from badgercart.discovery.etcd.settings import EtcdSettings
from badgercart.discovery.freshness import Freshness, FreshnessLimits, FreshnessState
from badgercart.discovery.log_events import LIST_DOUBTFUL, LIST_FRESH, LIST_STALE

SAVE_INTERVAL_S = 5.0  # s between writes of the known file
DELETE = kv_pb2.Event.DELETE
MAX_MESSAGE = 64 << 20  # bytes of one answer
# A network that goes silent under a connection is noticed within these times even where nothing is
# asked.
KEEPALIVE = (("grpc.keepalive_time_ms", 2000), ("grpc.keepalive_timeout_ms", 1000))


AGED = {
    FreshnessState.FRESH: LIST_FRESH,
    FreshnessState.DOUBTFUL: LIST_DOUBTFUL,
    FreshnessState.STALE: LIST_STALE,
}


class Ended(Exception):
    """What was open has ended; why, for the follower."""

    def __init__(self, failure: machine.Failure, text: str) -> None:
        super().__init__(text)
        self.failure = failure


def failure_of(error: grpc.RpcError) -> machine.Failure:
    """etcd's errors by their codes and texts (`rpctypes/error.go`)."""
    code, text = error.code(), error.details() or ""
    if "compacted" in text:
        return machine.Failure.COMPACTED
    if (
        code in (grpc.StatusCode.UNAUTHENTICATED, grpc.StatusCode.PERMISSION_DENIED)
        or "user" in text
    ):
        return machine.Failure.DENIED
    if code in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED):
        return machine.Failure.UNREACHABLE
    return machine.Failure.OTHER


def prefix_end(prefix: bytes) -> bytes:
    """The first key behind all that begin so."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 255:
            return prefix[:at] + bytes((prefix[at] + 1,))
    return b"\0"


def open_channel(settings: EtcdSettings, address: tuple[str, int]) -> Any:
    """Raises OSError where a PEM file can't be read."""
    target = f"{address[0]}:{address[1]}"
    options = (
        *KEEPALIVE,
        ("grpc.max_receive_message_length", MAX_MESSAGE),
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
    """A token, where there is a user. The password is read anew each time."""
    if settings.user is None:
        return None
    password = Path(settings.password_file or os.devnull).read_text().rstrip("\n")
    request = rpc_pb2.AuthenticateRequest(name=settings.user, password=password)
    stub = rpc_pb2_grpc.AuthStub(channel)
    return str((await stub.Authenticate(request, timeout=settings.call_ms / 1000)).token)


def header_of(header: Any) -> machine.Header:
    return machine.Header(header.cluster_id, header.revision)


class EtcdSource:
    """Keeps a roster's list and its age. `on_list` takes whole lists and changes, `on_state` their
    age."""

    def __init__(
        self,
        settings: EtcdSettings,
        read: Callable[[dict[str, Any]], DiscoveredEndpoint],
        on_list: Callable[[DiscoveryUpdate], None],
        on_state: Callable[[FreshnessState], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.on_list, self.on_state, self.clock = on_list, on_state, clock
        self.follower = machine.Follower(settings, read, rng)
        self.freshness = Freshness(
            FreshnessLimits(settings.doubtful_after_ms, settings.stale_after_ms)
        )
        self.state = FreshnessState.STALE
        self.member = rng.randrange(len(settings.endpoints))  # nodes spread over the members
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.saving: asyncio.Task[None] | None = None
        self.asked = 0.0  # when the question was sent that waits for its answer; 0: none
        self.heard = 0.0  # when the watch said anything last
        self.failing = False
        self.received_bytes = 0  # received in lists and changes
        self.lists_fetched = 0  # whole lists fetched

    # Life.

    def start(self) -> None:
        self.on_state(self.state)
        self.task = asyncio.get_running_loop().create_task(self.run())

    def close(self) -> None:
        for job in (self.task, self.timer, self.saving):
            if job is not None:
                job.cancel()

    def move(self, settings: EtcdSettings) -> None:
        """Other endpoints or credentials: the list stays in force, its age runs on, all is asked
        anew."""
        if settings == self.settings:
            return
        if self.task is not None:
            self.task.cancel()
        self.settings = self.follower.settings = settings
        self.follower.prefix = settings.prefix.encode()
        self.follower.guard.share = settings.guard_share
        self.follower.forget()
        self.freshness.rule = FreshnessLimits(settings.doubtful_after_ms, settings.stale_after_ms)
        self.look()
        self.on_state(self.state)  # what follows from the same state may be another thing now
        self.member = 0
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        while True:
            delay = 0.0
            try:
                await self.follow()
            except Ended as ended:
                if not self.failing:  # one line for each stretch of failures
                    events.FAILED(endpoint=self.endpoint, error=ended)
                self.failing = True
                delay = self.obey_wait(self.follower.on_failure(ended.failure))
            except LeaveStream as left:
                delay = self.wait(left.wait)
            except Exception:
                # Whatever it was: a follower that dies of it would leave the node with its list for
                # ever.
                events.BROKEN(True)
                self.follower.forget()
                delay = self.obey_wait(self.follower.on_failure(machine.Failure.OTHER))
            await asyncio.sleep(delay / 1000)

    @property
    def endpoint(self) -> str:
        """The member that is asked."""
        return "{}:{}".format(*self.settings.endpoints[self.member])

    def obey_wait(self, orders: list[machine.Action]) -> float:
        (order,) = orders
        assert isinstance(order, machine.Reconnect)
        return self.wait(order)

    def wait(self, order: machine.Reconnect) -> float:
        if order.next_member:
            self.member = (self.member + 1) % len(self.settings.endpoints)
        return order.delay

    async def follow(self) -> None:
        """One connection, until it ends."""
        try:
            channel = open_channel(self.settings, self.settings.endpoints[self.member])
        except OSError as error:
            raise Ended(machine.Failure.DENIED, f"{error.filename}: {error.strerror}") from None
        self.asked = 0.0
        try:
            token = await authenticate(self.settings, channel)
            # A member that is cut off from the others must not feed us its past.
            metadata = [("hasleader", "true"), *([("token", token)] if token else [])]
            orders = self.follower.begin()
            while True:
                following = await self.obey(orders, channel, metadata)
                if following is None:
                    raise Ended(machine.Failure.OTHER, "nothing more was asked for")
                orders = following
        except grpc.RpcError as error:
            raise Ended(
                failure_of(error), f"{error.code().name.lower()}: {error.details()}"
            ) from None
        except OSError as error:
            raise Ended(machine.Failure.DENIED, str(error)) from None
        finally:
            await channel.close()

    async def obey(
        self, orders: list[machine.Action], channel: Any, metadata: list[tuple[str, str]]
    ) -> list[machine.Action] | None:
        following: list[machine.Action] | None = None
        for order in orders:
            if isinstance(order, machine.FetchPage):
                following = await self.page(order, channel, metadata)
            elif isinstance(order, machine.OpenWatch):
                await self.watch(order, channel, metadata)
            else:
                self.obey_now(order)
        return following

    def obey_now(self, order: machine.Action) -> None:
        """What needs no call."""
        if isinstance(order, machine.PublishUpdate):
            self.on_list(order.update)
            self.save_later()
        elif isinstance(order, machine.LogProblem):
            events.REPORT(text=order.text)
        elif isinstance(order, machine.ListConfirmed):
            self.proven()
        elif isinstance(order, machine.Reconnect):
            raise LeaveStream(order)

    # Calls.

    async def page(
        self, order: machine.FetchPage, channel: Any, metadata: list[tuple[str, str]]
    ) -> list[machine.Action]:
        if not order.revision:
            self.asked, self.lists_fetched = self.clock(), self.lists_fetched + 1
        prefix = self.settings.prefix.encode()
        request = rpc_pb2.RangeRequest(
            key=order.start,
            range_end=prefix_end(prefix),
            revision=order.revision,
            limit=order.limit,
        )
        stub = rpc_pb2_grpc.KVStub(channel)
        answer = await stub.Range(request, metadata=metadata, timeout=self.settings.call_ms / 1000)
        self.received_bytes += answer.ByteSize()
        pairs = [machine.KeyValue(kv.key, kv.value, kv.mod_revision) for kv in answer.kvs]
        page = machine.RangePage(header_of(answer.header), pairs, answer.more)
        return self.follower.on_page(page, self.clock())

    async def watch(
        self, order: machine.OpenWatch, channel: Any, metadata: list[tuple[str, str]]
    ) -> None:
        prefix = self.settings.prefix.encode()
        call = rpc_pb2_grpc.WatchStub(channel).Watch(metadata=metadata)
        create = rpc_pb2.WatchCreateRequest(
            key=prefix,
            range_end=prefix_end(prefix),
            start_revision=order.start,
            progress_notify=True,
            fragment=True,
        )
        asking: asyncio.Future[None] | None = None
        reading: asyncio.Future[Any] | None = None
        try:
            async with asyncio.timeout(self.settings.call_ms / 1000):
                await call.write(rpc_pb2.WatchRequest(create_request=create))
            self.asked = 0.0
            asking = asyncio.ensure_future(self.ask_progress(call))
            while True:
                reading = next_one = asyncio.ensure_future(call.read())
                await asyncio.wait((next_one, asking), return_when=asyncio.FIRST_COMPLETED)
                if not next_one.done():
                    await asking  # raises what it found
                answer = await next_one
                if answer is grpc.aio.EOF:
                    raise Ended(machine.Failure.UNREACHABLE, "the watch ended")
                self.told(answer)
        except TimeoutError:
            raise Ended(machine.Failure.UNREACHABLE, "the watch can't be had") from None
        finally:
            for task in (asking, reading):
                if task is not None:
                    task.cancel()
            call.cancel()

    async def ask_progress(self, call: Any) -> None:
        """Ask over and over whether all has been told; silence ends the connection."""
        request = rpc_pb2.WatchRequest(progress_request=rpc_pb2.WatchProgressRequest())
        # Silence is counted in steps that were waited through. A stall of our own, as over
        # thousands of changes in one response, counts as one: else the watch would be left just as
        # they are read, and left again each time that they are sent anew.
        step = min(self.settings.progress_ms, self.settings.silence_ms / 4)
        heard, quiet, ask_at = self.heard, 0.0, 0.0
        while True:
            if self.clock() >= ask_at:
                # One that is not answered (etcd passes them over while a watch lags behind) stands:
                # what is answered later proves the list as of the first of them.
                self.asked = self.asked or self.clock()
                await call.write(request)
                ask_at = self.clock() + self.settings.progress_ms
            await asyncio.sleep(step / 1000)
            quiet = quiet + step if self.asked and self.heard == heard else 0.0
            heard = self.heard
            if quiet >= self.settings.silence_ms:
                raise Ended(machine.Failure.UNREACHABLE, "the watch is silent")

    def told(self, answer: Any) -> None:
        """One watch response."""
        self.received_bytes += answer.ByteSize()
        self.heard = self.clock()
        header = header_of(answer.header)
        plain = not (answer.events or answer.created or answer.canceled or answer.fragment)
        if (
            plain and answer.watch_id == -1
        ):  # to a question for progress; others come unasked and prove nothing
            orders = self.follower.on_progress(header)
        else:
            events = [
                machine.KeyValue(
                    event.kv.key,
                    None if event.type == DELETE else event.kv.value,
                    event.kv.mod_revision,
                )
                for event in answer.events
            ]
            change = machine.WatchResponse(
                header,
                events,
                answer.created,
                answer.canceled,
                answer.compact_revision,
                answer.fragment,
                answer.cancel_reason,
            )
            orders = self.follower.on_watch_response(change, self.clock())
        for order in orders:
            self.obey_now(order)

    # The age of the list.

    def proven(self) -> None:
        """What was asked for last has been answered: the list was whole when it was asked."""
        if self.asked:
            self.freshness.proof(self.asked)
            self.asked = 0.0
        if self.failing:
            events.ANSWERS(endpoint=self.endpoint)
            self.failing = False
        self.look()

    def look(self) -> None:
        """Say a change of state, and wake up for the next one."""
        now = self.clock()
        state = self.freshness.state(now)
        if state is not self.state:
            age = f"{self.freshness.age(now) / 1000:.1f}"
            AGED[state](age=age, was=self.state.value, version=self.follower.revision)
            self.state = state
            self.on_state(state)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.freshness.next_change(now)
        if due is not None:
            self.timer = asyncio.get_running_loop().call_later(
                max(0.0, due - now) / 1000 + 0.001, self.look
            )

    # The list as it was last held, for a start while etcd is away.

    def read_known_file(self) -> dict[str, Any] | None:
        """The known file, or None where there is none that can be used."""
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

    def save_later(self) -> None:
        if self.settings.known_file is not None and (self.saving is None or self.saving.done()):
            self.saving = asyncio.ensure_future(self.save())

    async def save(self) -> None:
        await asyncio.sleep(SAVE_INTERVAL_S)
        lines = [json.loads(value) for value in self.follower.values.values()]
        raw = {"generation": self.follower.revision, "reset": True, "instances": lines}
        try:
            await asyncio.to_thread(
                replace_file, Path(self.settings.known_file or ""), json.dumps(raw).encode()
            )
        except OSError as error:
            events.KNOWN_UNWRITTEN(error=error)


class LeaveStream(Exception):
    """The follower wants to begin again."""

    def __init__(self, wait: machine.Reconnect) -> None:
        super().__init__()
        self.wait = wait


def replace_file(path: Path, data: bytes) -> None:
    """Whole or not at all."""
    fresh = path.with_name(path.name + ".new")
    with fresh.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)
