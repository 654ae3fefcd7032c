"""A stand-in for an etcd member: the part of the v3 protocol that the store uses, in memory, with its faults.

It is no etcd: one member, no disk, no consensus. Transactions, revisions, leases and limits are as the protocol has
them. Faults: no leader (calls answer UNAVAILABLE), slow, an answer lost after the work was done, no space, a
reading of a compacted revision, leases that run out. Time is passed in, so that leases end when a test says so.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

import grpc

from puffintide.store.etcd import rpc_pb2 as pb
from puffintide.store.etcd.rpc_pb2_grpc import (
    KVServicer,
    LeaseServicer,
    add_KVServicer_to_server,
    add_LeaseServicer_to_server,
)

OPERATIONS_MOST = 128
REQUEST_MOST = 1536 * 1024


@dataclass
class Faults:
    no_leader: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0  # so many transactions are carried out and answer UNAVAILABLE
    no_space: bool = False
    compacted: int = 0  # readings at revisions below this are refused


@dataclass
class _Lease:
    ttl: int
    ends: float
    keys: set[bytes] = field(default_factory=set)


class Etcd(KVServicer, LeaseServicer):
    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.faults = Faults()
        self.revision = 1
        self.keys: dict[bytes, pb.KeyValue] = {}
        self.leases: dict[int, _Lease] = {}
        self.transactions = 0
        self._lock = threading.RLock()
        self._next_lease = 100
        self._server: Any = None

    def serve(self) -> int:
        """Listens on a free port of the loopback; gives it."""
        self._server = grpc.server(ThreadPoolExecutor(8))
        add_KVServicer_to_server(self, self._server)
        add_LeaseServicer_to_server(self, self._server)
        port: int = self._server.add_insecure_port("127.0.0.1:0")
        self._server.start()
        return port

    def stop(self) -> None:
        self._server.stop(None)

    # Helpers --------------------------------------------------------------------------------------

    def _enter(self, context: Any, request: Any) -> None:
        if self.faults.slow_s:
            time.sleep(self.faults.slow_s)
        if self.faults.no_leader:
            context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")
        if request.ByteSize() > REQUEST_MOST:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, "etcdserver: request is too large")
        now = self.clock()
        for number, lease in sorted(self.leases.items()):
            if now >= lease.ends:
                self._end(number)

    def _end(self, number: int) -> None:
        lease = self.leases.pop(number, None)
        if lease is not None and lease.keys:
            self.revision += 1
            for key in lease.keys:
                self.keys.pop(key, None)

    def _header(self) -> pb.ResponseHeader:
        return pb.ResponseHeader(cluster_id=1, member_id=1, revision=self.revision, raft_term=1)

    def _in(self, key: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [key] if key in self.keys else []
        return sorted(k for k in self.keys if key <= k < end)

    def _range(self, request: pb.RangeRequest) -> pb.RangeResponse:
        found = self._in(request.key, request.range_end)
        shown = found[: request.limit] if request.limit else found
        return pb.RangeResponse(
            header=self._header(),
            kvs=[self.keys[k] for k in shown],
            more=len(shown) < len(found),
            count=len(found),
        )

    # KV -------------------------------------------------------------------------------------------

    def Range(self, request: pb.RangeRequest, context: Any) -> pb.RangeResponse:
        with self._lock:
            self._enter(context, request)
            if 0 < request.revision < self.faults.compacted:
                context.abort(
                    grpc.StatusCode.OUT_OF_RANGE,
                    "etcdserver: mvcc: required revision has been compacted",
                )
            return self._range(request)

    def Txn(self, request: pb.TxnRequest, context: Any) -> pb.TxnResponse:
        with self._lock:
            self._enter(context, request)
            operations = request.success if all(map(self._holds, request.compare)) else request.failure
            if len(operations) > OPERATIONS_MOST:
                context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, "etcdserver: too many operations in txn request"
                )
            puts = [o for o in operations if o.WhichOneof("request") != "request_range"]
            if puts and self.faults.no_space:
                context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "etcdserver: mvcc: database space exceeded")
            self.transactions += 1
            succeeded = operations is request.success
            if puts:
                self.revision += 1
            responses = [self._carry_out(o) for o in operations]
            if self.faults.lose_answers > 0 and puts:
                self.faults.lose_answers -= 1
                context.abort(grpc.StatusCode.UNAVAILABLE, "transport is closing")
            return pb.TxnResponse(header=self._header(), succeeded=succeeded, responses=responses)

    def _holds(self, compare: pb.Compare) -> bool:
        kv = self.keys.get(compare.key, pb.KeyValue())
        have: Any
        wanted: Any
        have, wanted = {
            pb.Compare.VERSION: (kv.version, compare.version),
            pb.Compare.CREATE: (kv.create_revision, compare.create_revision),
            pb.Compare.MOD: (kv.mod_revision, compare.mod_revision),
            pb.Compare.VALUE: (kv.value, compare.value),
        }[compare.target]
        if compare.result == pb.Compare.EQUAL:
            return bool(have == wanted)
        if compare.result == pb.Compare.NOT_EQUAL:
            return bool(have != wanted)
        return bool(have > wanted if compare.result == pb.Compare.GREATER else have < wanted)

    def _carry_out(self, operation: pb.RequestOp) -> pb.ResponseOp:
        kind = operation.WhichOneof("request")
        if kind == "request_range":
            return pb.ResponseOp(response_range=self._range(operation.request_range))
        if kind == "request_put":
            put = operation.request_put
            old = self.keys.get(put.key)
            self.keys[put.key] = pb.KeyValue(
                key=put.key,
                value=put.value,
                lease=put.lease,
                mod_revision=self.revision,
                create_revision=old.create_revision if old is not None else self.revision,
                version=old.version + 1 if old is not None else 1,
            )
            if put.lease in self.leases:
                self.leases[put.lease].keys.add(put.key)
            return pb.ResponseOp(response_put=pb.PutResponse(header=self._header()))
        request = operation.request_delete_range
        gone = self._in(request.key, request.range_end)
        for key in gone:
            del self.keys[key]
        return pb.ResponseOp(response_delete_range=pb.DeleteRangeResponse(deleted=len(gone)))

    # Leases ---------------------------------------------------------------------------------------

    def LeaseGrant(self, request: pb.LeaseGrantRequest, context: Any) -> pb.LeaseGrantResponse:
        with self._lock:
            self._enter(context, request)
            self._next_lease += 1
            self.leases[self._next_lease] = _Lease(request.TTL, self.clock() + request.TTL)
            return pb.LeaseGrantResponse(header=self._header(), ID=self._next_lease, TTL=request.TTL)

    def LeaseRevoke(self, request: pb.LeaseRevokeRequest, context: Any) -> pb.LeaseRevokeResponse:
        with self._lock:
            self._enter(context, request)
            self._end(request.ID)
            return pb.LeaseRevokeResponse(header=self._header())

    def LeaseKeepAlive(
        self, requests: Iterator[pb.LeaseKeepAliveRequest], context: Any
    ) -> Iterator[pb.LeaseKeepAliveResponse]:
        for request in requests:
            with self._lock:
                self._enter(context, request)
                lease = self.leases.get(request.ID)
                if lease is not None:
                    lease.ends = self.clock() + lease.ttl
                answer = pb.LeaseKeepAliveResponse(
                    header=self._header(), ID=request.ID, TTL=lease.ttl if lease is not None else 0
                )
            yield answer
