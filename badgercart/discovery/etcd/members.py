"""What operators do with the entries in etcd, behind `badgercart members`."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import grpc.aio
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from badgercart.app.asking import fetch_page
from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, ExitStatus
from badgercart.config import parse_address
from badgercart.discovery.etcd.client import authenticate, open_channel, prefix_end
from badgercart.discovery.etcd.guard import SHRINK_ALLOWED_KEY
from badgercart.discovery.etcd.settings import EtcdSettings

CALL_TIMEOUT_S = 5.0  # s for each call
COLUMNS = ("instanceId", "hostPort", "zone", "machineType", "lifecycle", "weight", "lease")
LIFECYCLES = ("active", "leaving")


def checked_entry(text: str) -> dict[str, Any]:
    """An entry as it may be written, or CommandError that names what is wrong."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise CommandError(f"the entry is no JSON: {error}", ExitStatus.USAGE) from None
    if not isinstance(raw, dict):
        raise CommandError("the entry is no JSON object", ExitStatus.USAGE)
    name = raw.get("instanceId")
    if not isinstance(name, str) or not name or "/" in name:
        raise CommandError(f"instanceId: {name!r} is no name", ExitStatus.USAGE)
    try:
        parse_address(str(raw.get("hostPort")))
    except ValueError as error:
        raise CommandError(f"hostPort: {error}", ExitStatus.USAGE) from None
    if raw.setdefault("lifecycle", "active") not in LIFECYCLES:
        raise CommandError(
            f"lifecycle: {raw['lifecycle']!r} is none of {', '.join(LIFECYCLES)}", ExitStatus.USAGE
        )
    weight = raw.setdefault("weight", 1.0)
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0 <= weight <= 1e6:
        raise CommandError(f"weight: {weight!r} is not within 0 to 1e6", ExitStatus.USAGE)
    return raw


class Members:
    """One connection to etcd."""

    def __init__(self, settings: EtcdSettings, dry_run: bool = False) -> None:
        self.settings, self.dry_run = settings, dry_run
        self.prefix = settings.prefix.encode()
        self.metadata: list[tuple[str, str]] = []

    async def run(self, act: Callable[[Members], Awaitable[int]]) -> int:
        """Through the first endpoint that answers. Raises CommandError."""
        last: Exception | None = None
        for endpoint in self.settings.endpoints:
            channel = open_channel(self.settings, endpoint)
            try:
                token = await authenticate(self.settings, channel)
                self.metadata = [("token", token)] if token else []
                self.kv = rpc_pb2_grpc.KVStub(channel)
                self.channel = channel
                return await act(self)
            except grpc.RpcError as error:
                last = CommandError(f"{endpoint[0]}:{endpoint[1]}: {error.details()}")
                if error.code() != grpc.StatusCode.UNAVAILABLE:
                    raise last from None
            except OSError as error:
                raise CommandError(str(error)) from None
            finally:
                await channel.close()
        raise last or CommandError("no endpoint")

    async def entries(self) -> list[Any]:
        """All pairs under the prefix, in pages of one revision."""
        start, revision, found = self.prefix, 0, []
        while True:
            request = rpc_pb2.RangeRequest(
                key=start,
                range_end=prefix_end(self.prefix),
                revision=revision,
                limit=self.settings.page,
            )
            page = await self.kv.Range(request, metadata=self.metadata, timeout=CALL_TIMEOUT_S)
            found += page.kvs
            if not page.more:
                return found
            revision = revision or page.header.revision
            start = page.kvs[-1].key + b"\0"

    async def one(self, name: str) -> Any:
        request = rpc_pb2.RangeRequest(key=self.prefix + name.encode())
        answer = await self.kv.Range(request, metadata=self.metadata, timeout=CALL_TIMEOUT_S)
        if not answer.kvs:
            raise CommandError(f"{name} is not listed")
        return answer.kvs[0]

    # What operators do.

    async def list_entries(self, as_json: bool, node: str | None) -> int:
        lines = [line_of(kv, self.prefix) for kv in await self.entries()]
        if node is not None:
            return self.compare(
                [line for line in lines if "fault" not in line], fetch_page(node, "/_members")
            )
        if as_json:
            print("\n".join(map(json.dumps, lines)))
        else:
            show_table(COLUMNS, [row_of(line) for line in lines])
        return ExitStatus.DONE

    def compare(self, lines: list[dict[str, Any]], told: dict[str, Any]) -> int:
        here = {line["instanceId"]: (line["hostPort"], line["lifecycle"]) for line in lines}
        there = {
            line["instanceId"]: (line["hostPort"], line["lifecycle"]) for line in told["instances"]
        }
        differing = [
            name for name in sorted(here.keys() | there.keys()) if here.get(name) != there.get(name)
        ]
        for name in differing:
            shown = [
                " ".join(side[name]) if name in side else "not listed" for side in (here, there)
            ]
            print(f"{name}: etcd {shown[0]}; the node {shown[1]}")
        print(f"{len(differing)} of {len(here)} entries differ; the node's list is {told['state']}")
        return 1 if differing else 0

    async def watch(self) -> int:
        call = rpc_pb2_grpc.WatchStub(self.channel).Watch(metadata=self.metadata)
        create = rpc_pb2.WatchCreateRequest(key=self.prefix, range_end=prefix_end(self.prefix))
        await call.write(rpc_pb2.WatchRequest(create_request=create))
        while (answer := await call.read()) is not grpc.aio.EOF:
            for event in answer.events:
                deleted = event.type == kv_pb2.Event.DELETE
                name = event.kv.key[len(self.prefix) :].decode("utf-8", "replace")
                value = "gone" if deleted else event.kv.value.decode("utf-8", "replace")
                print(f"{event.kv.mod_revision} {name} {value}", flush=True)
        return 0

    async def put(self, text: str, ttl: int | None) -> int:
        entry = checked_entry(await asyncio.to_thread(input) if text == "-" else text)
        lease = 0
        if ttl is not None and not self.dry_run:
            leases = rpc_pb2_grpc.LeaseStub(self.channel)
            request = rpc_pb2.LeaseGrantRequest(TTL=ttl)
            lease = (
                await leases.LeaseGrant(request, metadata=self.metadata, timeout=CALL_TIMEOUT_S)
            ).ID
        return await self.write(entry["instanceId"], json.dumps(entry), lease, None)

    async def drain(self, names: tuple[str, ...], undo: bool) -> int:
        for name in names:
            kv = await self.one(name)
            entry = checked_entry(kv.value.decode("utf-8", "replace"))
            entry["lifecycle"] = "active" if undo else "leaving"
            await self.write(name, json.dumps(entry), kv.lease, kv.mod_revision)
        return 0

    async def write(self, name: str, value: str, lease: int, unchanged: int | None) -> int:
        """Write an entry; where `unchanged` is given, only if its key still is at that revision."""
        print(f"{'would write' if self.dry_run else 'writes'} {name}: {value}")
        if self.dry_run:
            return 0
        put = rpc_pb2.PutRequest(key=self.prefix + name.encode(), value=value.encode(), lease=lease)
        request = rpc_pb2.TxnRequest(success=[rpc_pb2.RequestOp(request_put=put)])
        if unchanged is not None:
            request.compare.add(
                target=rpc_pb2.Compare.MOD,
                result=rpc_pb2.Compare.EQUAL,
                key=put.key,
                mod_revision=unchanged,
            )
        if not (
            await self.kv.Txn(request, metadata=self.metadata, timeout=CALL_TIMEOUT_S)
        ).succeeded:
            raise CommandError(f"{name} was changed by another meanwhile; nothing was written")
        return 0

    async def remove(self, names: tuple[str, ...]) -> int:
        for name in names:
            await self.one(name)
        print(f"{'would remove' if self.dry_run else 'removes'} {', '.join(names)}")
        if self.dry_run:
            return 0
        gone = [
            rpc_pb2.RequestOp(
                request_delete_range=rpc_pb2.DeleteRangeRequest(key=self.prefix + n.encode())
            )
            for n in dict.fromkeys(names)
        ]
        await self.kv.Txn(
            rpc_pb2.TxnRequest(success=gone), metadata=self.metadata, timeout=CALL_TIMEOUT_S
        )
        return 0

    async def allow_shrink(self, on: bool) -> int:
        print(f"{'would set' if self.dry_run else 'sets'} the override {'on' if on else 'off'}")
        if self.dry_run:
            return 0
        key = self.prefix + SHRINK_ALLOWED_KEY.encode()
        if on:
            request = rpc_pb2.PutRequest(key=key, value=b"on")
            await self.kv.Put(request, metadata=self.metadata, timeout=CALL_TIMEOUT_S)
        else:
            delete = rpc_pb2.DeleteRangeRequest(key=key)
            await self.kv.DeleteRange(delete, metadata=self.metadata, timeout=CALL_TIMEOUT_S)
        return 0


def line_of(kv: Any, prefix: bytes) -> dict[str, Any]:
    """An entry as a line, or its key with what is wrong with its value."""
    name = kv.key[len(prefix) :].decode("utf-8", "replace")
    if name == SHRINK_ALLOWED_KEY:
        return {"instanceId": name, "fault": "the list may shrink"}
    try:
        entry = checked_entry(kv.value.decode("utf-8", "replace"))
    except CommandError as error:
        return {"instanceId": name, "fault": str(error)}
    return entry | {"lease": f"{kv.lease:x}" if kv.lease else ""}


def row_of(line: dict[str, Any]) -> tuple[str, ...]:
    if "fault" in line:
        return (line["instanceId"], f"({line['fault']})", *[""] * (len(COLUMNS) - 2))
    return tuple(str(line.get(column, "")) for column in COLUMNS)
