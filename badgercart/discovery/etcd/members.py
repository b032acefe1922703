"""Lists and changes the entries in etcd, for the command `badgercart members`."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import grpc.aio
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, ExitStatus
from badgercart.app.node_client import fetch_page
from badgercart.config import parse_address
from badgercart.discovery.etcd.client import authenticate, open_channel, prefix_end
from badgercart.discovery.etcd.guard import SHRINK_ALLOWED_KEY
from badgercart.discovery.etcd.settings import EtcdSettings

CALL_TIMEOUT_S = 5.0
COLUMNS = ("instanceId", "hostPort", "zone", "machineType", "lifecycle", "weight", "lease")
LIFECYCLES = ("active", "leaving")


def checked_entry(text: str) -> dict[str, Any]:
    """Parse an entry and add defaults. Raises CommandError with what is wrong."""
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
        """Take how to connect, and whether changes are printed instead of made."""
        self.settings, self.dry_run = settings, dry_run
        self.prefix = settings.prefix.encode()
        self.metadata: list[tuple[str, str]] = []

    async def run(self, action: Callable[[Members], Awaitable[int]]) -> int:
        """Execute an action through the first endpoint that responds. Raises CommandError."""
        last: Exception | None = None
        for endpoint in self.settings.endpoints:
            channel = open_channel(self.settings, endpoint)
            try:
                token = await authenticate(self.settings, channel)
                self.metadata = [("token", token)] if token else []
                self.kv = rpc_pb2_grpc.KVStub(channel)
                self.channel = channel
                return await action(self)
            except grpc.RpcError as error:
                last = CommandError(f"{endpoint[0]}:{endpoint[1]}: {error.details()}")
                if error.code() != grpc.StatusCode.UNAVAILABLE:
                    raise last from None
            except OSError as error:
                raise CommandError(str(error)) from None
            finally:
                await channel.close()
        raise last or CommandError("no endpoint")

    async def pairs(self) -> list[Any]:
        """Return all pairs under the prefix, fetched in pages of one revision."""
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

    async def pair(self, name: str) -> Any:
        """Return the pair of one instance. Raises CommandError where it is not listed."""
        request = rpc_pb2.RangeRequest(key=self.prefix + name.encode())
        response = await self.kv.Range(request, metadata=self.metadata, timeout=CALL_TIMEOUT_S)
        if not response.kvs:
            raise CommandError(f"{name} is not listed")
        return response.kvs[0]

    # Commands. Each returns the exit status.

    async def list_entries(self, as_json: bool, node: str | None) -> int:
        """Print all entries, or their differences to the list of a node."""
        lines = [line_of(kv, self.prefix) for kv in await self.pairs()]
        if node is not None:
            return self.compare(
                [line for line in lines if "fault" not in line], fetch_page(node, "/_members")
            )
        if as_json:
            print("\n".join(map(json.dumps, lines)))
        else:
            show_table(COLUMNS, [row_of(line) for line in lines])
        return ExitStatus.DONE

    def compare(self, lines: list[dict[str, Any]], page: dict[str, Any]) -> int:
        """Print where the entries and a node's list differ."""
        in_etcd = {line["instanceId"]: (line["hostPort"], line["lifecycle"]) for line in lines}
        in_node = {
            line["instanceId"]: (line["hostPort"], line["lifecycle"]) for line in page["instances"]
        }
        differing = [
            name
            for name in sorted(in_etcd.keys() | in_node.keys())
            if in_etcd.get(name) != in_node.get(name)
        ]
        for name in differing:
            shown = [
                " ".join(side[name]) if name in side else "not listed"
                for side in (in_etcd, in_node)
            ]
            print(f"{name}: etcd {shown[0]}; the node {shown[1]}")
        print(
            f"{len(differing)} of {len(in_etcd)} entries differ; the node's list is {page['state']}"
        )
        return 1 if differing else 0

    async def watch(self) -> int:
        """Print changes until the watch ends."""
        call = rpc_pb2_grpc.WatchStub(self.channel).Watch(metadata=self.metadata)
        create = rpc_pb2.WatchCreateRequest(key=self.prefix, range_end=prefix_end(self.prefix))
        await call.write(rpc_pb2.WatchRequest(create_request=create))
        while (response := await call.read()) is not grpc.aio.EOF:
            for event in response.events:
                deleted = event.type == kv_pb2.Event.DELETE
                name = event.kv.key[len(self.prefix) :].decode("utf-8", "replace")
                value = "gone" if deleted else event.kv.value.decode("utf-8", "replace")
                print(f"{event.kv.mod_revision} {name} {value}", flush=True)
        return 0

    async def put(self, text: str, ttl: int | None) -> int:
        """Write the entry `text`, or one from standard input, bound to a lease of `ttl` seconds."""
        entry = checked_entry(await asyncio.to_thread(input) if text == "-" else text)
        lease_id = 0
        if ttl is not None and not self.dry_run:
            leases = rpc_pb2_grpc.LeaseStub(self.channel)
            request = rpc_pb2.LeaseGrantRequest(TTL=ttl)
            lease_id = (
                await leases.LeaseGrant(request, metadata=self.metadata, timeout=CALL_TIMEOUT_S)
            ).ID
        return await self.write(entry["instanceId"], json.dumps(entry), lease_id, None)

    async def drain(self, names: tuple[str, ...], undo: bool) -> int:
        """Mark instances as leaving, or with `undo` as active."""
        for name in names:
            kv = await self.pair(name)
            entry = checked_entry(kv.value.decode("utf-8", "replace"))
            entry["lifecycle"] = "active" if undo else "leaving"
            await self.write(name, json.dumps(entry), kv.lease, kv.mod_revision)
        return 0

    async def write(
        self, name: str, value: str, lease_id: int, expected_revision: int | None
    ) -> int:
        """Write an entry, and only if its key is still at the expected revision, if there is one."""
        print(f"{'would write' if self.dry_run else 'writes'} {name}: {value}")
        if self.dry_run:
            return 0
        put = rpc_pb2.PutRequest(
            key=self.prefix + name.encode(), value=value.encode(), lease=lease_id
        )
        request = rpc_pb2.TxnRequest(success=[rpc_pb2.RequestOp(request_put=put)])
        if expected_revision is not None:
            request.compare.add(
                target=rpc_pb2.Compare.MOD,
                result=rpc_pb2.Compare.EQUAL,
                key=put.key,
                mod_revision=expected_revision,
            )
        if not (
            await self.kv.Txn(request, metadata=self.metadata, timeout=CALL_TIMEOUT_S)
        ).succeeded:
            raise CommandError(f"{name} was changed by another meanwhile; nothing was written")
        return 0

    async def remove(self, names: tuple[str, ...]) -> int:
        """Delete the entries of instances in one revision."""
        for name in names:
            await self.pair(name)
        print(f"{'would remove' if self.dry_run else 'removes'} {', '.join(names)}")
        if self.dry_run:
            return 0
        deletions = [
            rpc_pb2.RequestOp(
                request_delete_range=rpc_pb2.DeleteRangeRequest(key=self.prefix + name.encode())
            )
            for name in dict.fromkeys(names)
        ]
        await self.kv.Txn(
            rpc_pb2.TxnRequest(success=deletions), metadata=self.metadata, timeout=CALL_TIMEOUT_S
        )
        return 0

    async def allow_shrink(self, on: bool) -> int:
        """Set or delete the key that overrides the guard against shrinking lists."""
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
    """Return an entry to print, or its key with what is wrong with its value."""
    name = kv.key[len(prefix) :].decode("utf-8", "replace")
    if name == SHRINK_ALLOWED_KEY:
        return {"instanceId": name, "fault": "the list may shrink"}
    try:
        entry = checked_entry(kv.value.decode("utf-8", "replace"))
    except CommandError as error:
        return {"instanceId": name, "fault": str(error)}
    return entry | {"lease": f"{kv.lease:x}" if kv.lease else ""}


def row_of(line: dict[str, Any]) -> tuple[str, ...]:
    """Return the columns of an entry in the table."""
    if "fault" in line:
        return (line["instanceId"], f"({line['fault']})", *[""] * (len(COLUMNS) - 2))
    return tuple(str(line.get(column, "")) for column in COLUMNS)
