"""What operators do with the entries in etcd, behind `python -m badgercart members`.

Exit status: 0 done, and with --from-node no difference; 1 could not be done, or a difference; 2 bad input.
"""

from __future__ import annotations

import argparse
import asyncio
import http.client
import json
from collections.abc import Awaitable, Callable
from typing import Any

import grpc
import grpc.aio
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from badgercart.config import parse_address
from badgercart.membership.etcd.client import authenticate, open_channel, prefix_end
from badgercart.membership.etcd.guard import OVERRIDE
from badgercart.membership.etcd.settings import EtcdSettings, EtcdTls

PATIENCE = 5.0  # s for each call
COLUMNS = ("instanceId", "hostPort", "zone", "machineType", "lifecycle", "weight", "lease")
LIFECYCLES = ("active", "leaving")


class MembersError(Exception):
    """What can't be done, and the exit status that says so."""

    def __init__(self, text: str, status: int = 1) -> None:
        super().__init__(text)
        self.status = status


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--etcd", required=True, metavar="HOST:PORT[,…]", help="members of etcd")
    parser.add_argument(
        "--prefix", default=EtcdSettings(()).prefix, help="of the entries' keys (%(default)s)"
    )
    parser.add_argument("--user", help="the user, with --password-file")
    parser.add_argument("--password-file", metavar="FILE")
    parser.add_argument("--ca", metavar="PEM", help="the authority of etcd's certificate, where it has TLS")
    parser.add_argument("--cert", metavar="PEM", help="this client's certificate")
    parser.add_argument("--key", metavar="PEM", help="and its key")
    acts = parser.add_subparsers(dest="act", required=True, metavar="WHAT")
    shown = acts.add_parser("list", help="all entries, in a table")
    shown.add_argument("--json", action="store_true", help="one JSON object a line")
    shown.add_argument(
        "--from-node", metavar="HOST:PORT", help="compare with what the node behind this HTTP front believes"
    )
    acts.add_parser("watch", help="changes as they come, one a line, until interrupted")
    put = acts.add_parser("put", help="write an entry")
    put.add_argument("entry", help="the JSON of a list line; - reads it from standard input")
    put.add_argument("--ttl", type=int, metavar="S", help="bind it to a lease of so many seconds")
    drain = acts.add_parser("drain", help="have a server finish what it has and get nothing new")
    drain.add_argument("--undo", action="store_true", help="make it active again")
    remove = acts.add_parser("remove", help="delete entries")
    for act in (drain, remove):
        act.add_argument("names", nargs="+", metavar="INSTANCE")
    shrink = acts.add_parser("allow-shrink", help="let the list shrink below the guard's share")
    shrink.add_argument("how", choices=("on", "off"))
    for act in (put, drain, remove, shrink):
        act.add_argument("--dry-run", action="store_true", help="say what would be done, and do nothing")


def settings_of(chosen: argparse.Namespace) -> EtcdSettings:
    try:
        endpoints = tuple(parse_address(text) for text in chosen.etcd.split(","))
    except ValueError as error:
        raise MembersError(f"--etcd: {error}", 2) from None
    tls = EtcdTls(chosen.ca, chosen.cert, chosen.key) if chosen.ca else None
    return EtcdSettings(
        endpoints, chosen.prefix, chosen.user, chosen.password_file, tls, call=PATIENCE * 1000
    )


def checked_entry(text: str) -> dict[str, Any]:
    """An entry as it may be written, or MembersError that names what is wrong."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise MembersError(f"the entry is no JSON: {error}", 2) from None
    if not isinstance(raw, dict):
        raise MembersError("the entry is no JSON object", 2)
    name = raw.get("instanceId")
    if not isinstance(name, str) or not name or "/" in name:
        raise MembersError(f"instanceId: {name!r} is no name", 2)
    try:
        parse_address(str(raw.get("hostPort")))
    except ValueError as error:
        raise MembersError(f"hostPort: {error}", 2) from None
    if raw.setdefault("lifecycle", "active") not in LIFECYCLES:
        raise MembersError(f"lifecycle: {raw['lifecycle']!r} is none of {', '.join(LIFECYCLES)}", 2)
    weight = raw.setdefault("weight", 1.0)
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0 <= weight <= 1e6:
        raise MembersError(f"weight: {weight!r} is not within 0 to 1e6", 2)
    return raw


class Members:
    """One connection to etcd."""

    def __init__(self, chosen: argparse.Namespace) -> None:
        self.chosen = chosen
        self.settings = settings_of(chosen)
        self.prefix = self.settings.prefix.encode()
        self.metadata: list[tuple[str, str]] = []

    async def run(self) -> int:
        """Through the first endpoint that answers."""
        last: Exception | None = None
        for endpoint in self.settings.endpoints:
            channel = open_channel(self.settings, endpoint)
            try:
                token = await authenticate(self.settings, channel)
                self.metadata = [("token", token)] if token else []
                self.kv = rpc_pb2_grpc.KVStub(channel)
                self.channel = channel
                return await self.acts()[self.chosen.act]()
            except grpc.RpcError as error:
                last = MembersError(f"{endpoint[0]}:{endpoint[1]}: {error.details()}")
                if error.code() != grpc.StatusCode.UNAVAILABLE:
                    raise last from None
            except OSError as error:
                raise MembersError(str(error)) from None
            finally:
                await channel.close()
        raise last or MembersError("no endpoint")

    def acts(self) -> dict[str, Callable[[], Awaitable[int]]]:
        return {
            "list": self.list_entries,
            "watch": self.watch,
            "put": self.put,
            "drain": self.drain,
            "remove": self.remove,
            "allow-shrink": self.allow_shrink,
        }

    async def entries(self) -> list[Any]:
        """All pairs under the prefix, in pages of one revision."""
        start, revision, found = self.prefix, 0, []
        while True:
            request = rpc_pb2.RangeRequest(
                key=start, range_end=prefix_end(self.prefix), revision=revision, limit=self.settings.page
            )
            page = await self.kv.Range(request, metadata=self.metadata, timeout=PATIENCE)
            found += page.kvs
            if not page.more:
                return found
            revision = revision or page.header.revision
            start = page.kvs[-1].key + b"\0"

    async def one(self, name: str) -> Any:
        request = rpc_pb2.RangeRequest(key=self.prefix + name.encode())
        answer = await self.kv.Range(request, metadata=self.metadata, timeout=PATIENCE)
        if not answer.kvs:
            raise MembersError(f"{name} is not listed")
        return answer.kvs[0]

    # What operators do.

    async def list_entries(self) -> int:
        lines = [line_of(kv, self.prefix) for kv in await self.entries()]
        if self.chosen.from_node:
            return self.compare([line for line in lines if "fault" not in line])
        print("\n".join(map(json.dumps, lines)) if self.chosen.json else table(lines))
        return 0

    def compare(self, lines: list[dict[str, Any]]) -> int:
        told = from_node(self.chosen.from_node)
        here = {line["instanceId"]: (line["hostPort"], line["lifecycle"]) for line in lines}
        there = {line["instanceId"]: (line["hostPort"], line["lifecycle"]) for line in told["instances"]}
        differing = [name for name in sorted(here.keys() | there.keys()) if here.get(name) != there.get(name)]
        for name in differing:
            shown = [" ".join(side[name]) if name in side else "not listed" for side in (here, there)]
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

    async def put(self) -> int:
        text = self.chosen.entry
        entry = checked_entry(await asyncio.to_thread(input) if text == "-" else text)
        lease = 0
        if self.chosen.ttl is not None:
            if self.chosen.ttl < 1:
                raise MembersError("--ttl must be 1 or more", 2)
            if not self.chosen.dry_run:
                leases = rpc_pb2_grpc.LeaseStub(self.channel)
                request = rpc_pb2.LeaseGrantRequest(TTL=self.chosen.ttl)
                lease = (await leases.LeaseGrant(request, metadata=self.metadata, timeout=PATIENCE)).ID
        return await self.write(entry["instanceId"], json.dumps(entry), lease, None)

    async def drain(self) -> int:
        for name in self.chosen.names:
            kv = await self.one(name)
            entry = checked_entry(kv.value.decode("utf-8", "replace"))
            entry["lifecycle"] = "active" if self.chosen.undo else "leaving"
            await self.write(name, json.dumps(entry), kv.lease, kv.mod_revision)
        return 0

    async def write(self, name: str, value: str, lease: int, unchanged: int | None) -> int:
        """Write an entry; where `unchanged` is given, only if its key still is at that revision."""
        print(f"{'would write' if self.chosen.dry_run else 'writes'} {name}: {value}")
        if self.chosen.dry_run:
            return 0
        put = rpc_pb2.PutRequest(key=self.prefix + name.encode(), value=value.encode(), lease=lease)
        request = rpc_pb2.TxnRequest(success=[rpc_pb2.RequestOp(request_put=put)])
        if unchanged is not None:
            request.compare.add(
                target=rpc_pb2.Compare.MOD, result=rpc_pb2.Compare.EQUAL, key=put.key, mod_revision=unchanged
            )
        if not (await self.kv.Txn(request, metadata=self.metadata, timeout=PATIENCE)).succeeded:
            raise MembersError(f"{name} was changed by another meanwhile; nothing was written")
        return 0

    async def remove(self) -> int:
        for name in self.chosen.names:
            await self.one(name)
        print(f"{'would remove' if self.chosen.dry_run else 'removes'} {', '.join(self.chosen.names)}")
        if self.chosen.dry_run:
            return 0
        gone = [
            rpc_pb2.RequestOp(request_delete_range=rpc_pb2.DeleteRangeRequest(key=self.prefix + n.encode()))
            for n in dict.fromkeys(self.chosen.names)
        ]
        await self.kv.Txn(rpc_pb2.TxnRequest(success=gone), metadata=self.metadata, timeout=PATIENCE)
        return 0

    async def allow_shrink(self) -> int:
        on = self.chosen.how == "on"
        print(f"{'would set' if self.chosen.dry_run else 'sets'} the override {self.chosen.how}")
        if self.chosen.dry_run:
            return 0
        key = self.prefix + OVERRIDE.encode()
        if on:
            request = rpc_pb2.PutRequest(key=key, value=b"on")
            await self.kv.Put(request, metadata=self.metadata, timeout=PATIENCE)
        else:
            delete = rpc_pb2.DeleteRangeRequest(key=key)
            await self.kv.DeleteRange(delete, metadata=self.metadata, timeout=PATIENCE)
        return 0


def line_of(kv: Any, prefix: bytes) -> dict[str, Any]:
    """An entry as a line, or its key with what is wrong with its value."""
    name = kv.key[len(prefix) :].decode("utf-8", "replace")
    if name == OVERRIDE:
        return {"instanceId": name, "fault": "the list may shrink"}
    try:
        entry = checked_entry(kv.value.decode("utf-8", "replace"))
    except MembersError as error:
        return {"instanceId": name, "fault": str(error)}
    return entry | {"lease": f"{kv.lease:x}" if kv.lease else ""}


def table(lines: list[dict[str, Any]]) -> str:
    rows: list[tuple[str, ...]] = [COLUMNS]
    for line in lines:
        if "fault" in line:
            rows.append((line["instanceId"], f"({line['fault']})", *[""] * (len(COLUMNS) - 2)))
        else:
            rows.append(tuple(str(line.get(column, "")) for column in COLUMNS))
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    shown = ["  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in rows]
    return "\n".join(shown)


def from_node(address: str) -> dict[str, Any]:
    """What a node believes, from `GET /_members` of its HTTP front."""
    try:
        host, port = parse_address(address)
        connection = http.client.HTTPConnection(host, port, timeout=PATIENCE)
        connection.request("GET", "/_members")
        answer = connection.getresponse()
        if answer.status != 200:
            raise MembersError(f"{address}: status {answer.status}")
        told: dict[str, Any] = json.loads(answer.read())
        return told
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise MembersError(f"{address}: {error}") from None


def run(chosen: argparse.Namespace) -> int:
    return asyncio.run(Members(chosen).run())
