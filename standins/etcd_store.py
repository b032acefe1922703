"""The data of the stand-in etcd: the revisions of all keys, and leases.

It does no I/O, and callers pass the time.

Sources: etcd's "API guarantees" and "Data model" pages, and the comments of `rpc.proto` and
`kv.proto`; codes and texts of errors as in `api/v3rpc/rpctypes/error.go`.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from typing import Any

import grpc
from aetcd.rpc import kv_pb2, rpc_pb2

Code = grpc.StatusCode


class EtcdError(Exception):
    """An error with etcd's status code and text."""

    def __init__(self, code: Any, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = f"etcdserver: {text}"


def compacted() -> EtcdError:
    """Return the error for a revision that is no longer there."""
    return EtcdError(Code.OUT_OF_RANGE, "mvcc: required revision has been compacted")


class Lease:
    """A lease: `ttl` in s, `until` the time of its expiry, `keys` the keys attached to it."""

    def __init__(self, number: int, ttl: int, now: float) -> None:
        self.number, self.ttl = number, ttl
        self.until = now + ttl
        self.keys: set[bytes] = set()


class Store:
    """Keys with all versions since the last compaction; each change is one revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0
        # All keys that have any version, sorted.
        self.keys: list[bytes] = []
        # The KeyValues of each key by rising revision; version 0 stands for a deletion.
        self.versions: dict[bytes, list[Any]] = {}
        # Events by revision.
        self.history: dict[int, list[Any]] = {}
        self.leases: dict[int, Lease] = {}
        self.last_lease = 7_587_848_390_000_000_000
        # The events of the change in progress, and their keys.
        self.pending: list[Any] = []
        self.changing: set[bytes] = set()

    # Reads.

    def within(self, key: bytes, end: bytes) -> Iterator[bytes]:
        """Yield the keys of a range.

        Without an end it is one key; an end of a zero byte stands for all keys from `key` on.
        """
        start = bisect.bisect_left(self.keys, key)
        if not end:
            if start < len(self.keys) and self.keys[start] == key:
                yield key
            return
        stop = len(self.keys) if end == b"\0" else bisect.bisect_left(self.keys, end)
        yield from self.keys[start:stop]

    def at(self, key: bytes, revision: int) -> Any | None:
        """Return a key as it was at a revision, or None where it did not exist."""
        for kv in reversed(self.versions.get(key, ())):
            if kv.mod_revision <= revision:
                return kv if kv.version else None
        return None

    def range(self, request: Any) -> Any:
        """Execute `KV.Range`; the caller adds the response's header."""
        revision = request.revision if request.revision > 0 else self.revision
        if revision > self.revision:
            raise EtcdError(Code.OUT_OF_RANGE, "mvcc: required revision is a future revision")
        if revision < self.compacted:
            raise compacted()
        if not request.key:
            raise EtcdError(Code.INVALID_ARGUMENT, "key is not provided")
        found = [
            kv
            for key in self.within(request.key, request.range_end)
            if (kv := self.at(key, revision))
        ]
        for name, minimum, maximum in (
            ("mod_revision", request.min_mod_revision, request.max_mod_revision),
            ("create_revision", request.min_create_revision, request.max_create_revision),
        ):
            found = [kv for kv in found if getattr(kv, name) >= minimum]
            found = [kv for kv in found if not maximum or getattr(kv, name) <= maximum]
        response = rpc_pb2.RangeResponse(count=len(found))
        if request.count_only:
            return response
        target = ("key", "version", "create_revision", "mod_revision", "value")[request.sort_target]
        if request.sort_order or request.sort_target:
            found.sort(key=lambda kv: getattr(kv, target), reverse=request.sort_order == 2)
        if request.limit and len(found) > request.limit:
            found, response.more = found[: request.limit], True
        for kv in found:
            item = response.kvs.add()
            item.CopyFrom(kv)
            if request.keys_only:
                item.value = b""
        return response

    # Writes. They run within `change`, so that a transaction is one revision.

    def put(self, request: Any) -> Any:
        """Execute `KV.Put` within a change."""
        if not request.key:
            raise EtcdError(Code.INVALID_ARGUMENT, "key is not provided")
        if request.lease and request.lease not in self.leases:
            raise EtcdError(Code.NOT_FOUND, "requested lease not found")
        old = self.at(request.key, self.revision + 1)
        value, lease = request.value, request.lease
        if request.ignore_value or request.ignore_lease:
            if old is None:
                raise EtcdError(Code.INVALID_ARGUMENT, "key not found")
            value = old.value if request.ignore_value else value
            lease = old.lease if request.ignore_lease else lease
        kv = kv_pb2.KeyValue(
            key=request.key,
            create_revision=old.create_revision if old else self.revision + 1,
            mod_revision=self.revision + 1,
            version=old.version + 1 if old else 1,
            value=value,
            lease=lease,
        )
        self.record(kv, old, deleted=False)
        response = rpc_pb2.PutResponse()
        if request.prev_kv and old is not None:
            response.prev_kv.CopyFrom(old)
        return response

    def delete(self, request: Any) -> Any:
        """Execute `KV.DeleteRange` within a change."""
        if not request.key:
            raise EtcdError(Code.INVALID_ARGUMENT, "key is not provided")
        response = rpc_pb2.DeleteRangeResponse()
        for key in list(self.within(request.key, request.range_end)):
            old = self.at(key, self.revision + 1)
            if old is None:
                continue
            self.record(kv_pb2.KeyValue(key=key, mod_revision=self.revision + 1), old, deleted=True)
            response.deleted += 1
            if request.prev_kv:
                response.prev_kvs.add().CopyFrom(old)
        return response

    def record(self, kv: Any, old: Any | None, deleted: bool) -> None:
        """Append a version of a key and its event to the change in progress."""
        if kv.key in self.changing:
            raise EtcdError(Code.INVALID_ARGUMENT, "duplicate key given in txn request")
        event = kv_pb2.Event(type=kv_pb2.Event.DELETE if deleted else kv_pb2.Event.PUT, kv=kv)
        if old is not None:
            event.prev_kv.CopyFrom(old)
            if old.lease in self.leases:
                self.leases[old.lease].keys.discard(kv.key)
        if kv.lease:
            self.leases[kv.lease].keys.add(kv.key)
        if kv.key not in self.versions:
            bisect.insort(self.keys, kv.key)
            self.versions[kv.key] = []
        self.versions[kv.key].append(kv)
        self.pending.append(event)
        self.changing.add(kv.key)

    def change(self, operation: Any, request: Any) -> Any:
        """Execute a write as one revision, completely or not at all."""
        self.pending, self.changing = [], set()
        try:
            response = operation(request)
        except EtcdError:
            for event in self.pending:
                self.versions[event.kv.key].pop()
            self.pending = []
            raise
        if self.pending:
            self.revision += 1
            self.history[self.revision] = self.pending
        self.pending = []
        return response

    def txn(self, request: Any) -> Any:
        """Execute `KV.Txn` within a change."""
        response = rpc_pb2.TxnResponse(
            succeeded=all(self.holds(compare) for compare in request.compare)
        )
        operations = {
            "request_range": (self.range, "response_range"),
            "request_put": (self.put, "response_put"),
            "request_delete_range": (self.delete, "response_delete_range"),
            "request_txn": (self.txn, "response_txn"),
        }
        for request_op in request.success if response.succeeded else request.failure:
            name = request_op.WhichOneof("request")
            if name is None:
                raise EtcdError(Code.INVALID_ARGUMENT, "key not found")
            operation, field = operations[name]
            getattr(response.responses.add(), field).CopyFrom(operation(getattr(request_op, name)))
        return response

    def holds(self, compare: Any) -> bool:
        """Return whether a transaction's condition is true."""
        target = ("version", "create_revision", "mod_revision", "value", "lease")[compare.target]
        wanted = getattr(compare, target)
        keys = list(self.within(compare.key, compare.range_end)) or [compare.key]
        for key in keys:
            kv = self.at(key, self.revision) or kv_pb2.KeyValue()
            if compare.target == rpc_pb2.Compare.VALUE and not kv.version:
                return False
            actual = getattr(kv, target)
            if not (actual == wanted, actual > wanted, actual < wanted, actual != wanted)[
                compare.result
            ]:
                return False
        return True

    def compact(self, revision: int) -> None:
        """Remove events before `revision`, and versions that were replaced by then."""
        if revision <= self.compacted:
            raise compacted()
        if revision > self.revision:
            raise EtcdError(Code.OUT_OF_RANGE, "mvcc: required revision is a future revision")
        self.compacted = revision
        for old_revision in [number for number in self.history if number < revision]:
            del self.history[old_revision]
        for key in list(self.keys):
            kept = self.versions[key]
            first = max(
                (index for index, kv in enumerate(kept) if kv.mod_revision <= revision), default=0
            )
            self.versions[key] = kept = kept[first:]
            if len(kept) == 1 and not kept[0].version:
                del self.versions[key]
                self.keys.remove(key)

    # Leases.

    def grant(self, number: int, ttl: int, now: float) -> Lease:
        """Create a lease; a number of 0 has the store choose one."""
        if number in self.leases:
            raise EtcdError(Code.FAILED_PRECONDITION, "lease already exists")
        if not number:
            self.last_lease += 1
            number = self.last_lease
        lease = self.leases[number] = Lease(number, max(ttl, 1), now)
        return lease

    def lease(self, number: int) -> Lease:
        """Return a lease, or raise EtcdError where it does not exist."""
        if number not in self.leases:
            raise EtcdError(Code.NOT_FOUND, "requested lease not found")
        return self.leases[number]

    def revoke(self, number: int) -> None:
        """Remove the lease and its keys in one revision."""
        keys = sorted(self.lease(number).keys)

        def remove(_: Any) -> None:
            for key in keys:
                self.delete(rpc_pb2.DeleteRangeRequest(key=key))

        self.change(remove, None)
        del self.leases[number]

    def expire(self, now: float) -> None:
        """Revoke all leases whose time is up at `now`."""
        for number in [lease.number for lease in self.leases.values() if lease.until <= now]:
            self.revoke(number)
