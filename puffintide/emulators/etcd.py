"""An emulator of an etcd member with injected faults, for the part of the v3 protocol that the store uses.

It has one member and no consensus, and keeps its data in memory. Transactions, revisions, leases and limits
follow the protocol. The clock is an argument, so that a test decides when leases expire.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Protocol

import grpc

from puffintide.store.etcd import rpc_pb2 as pb
from puffintide.store.etcd.rpc_pb2_grpc import (
    KVServicer,
    LeaseServicer,
    add_KVServicer_to_server,
    add_LeaseServicer_to_server,
)

MAX_OPERATIONS = 128  # Maximum operations in a transaction; the default of etcd.
MAX_REQUEST_BYTES = 1536 * 1024  # The default of etcd.
MAX_WORKERS = 8  # Threads that serve calls.
FIRST_LEASE_ID = 101


@dataclass
class Faults:
    """Faults that are injected into all later calls."""

    no_leader: bool = False  # Whether all calls fail with UNAVAILABLE.
    call_delay_s: float = 0.0  # Delay added to each call, in seconds.
    lose_responses: int = 0  # Number of upcoming writes to execute and answer with UNAVAILABLE.
    no_space: bool = False  # Whether writing transactions fail with RESOURCE_EXHAUSTED.
    compacted_revision: int = 0  # Reads at lower revisions fail with OUT_OF_RANGE.


class _ProtobufMessage(Protocol):
    """Any protobuf message."""

    def ByteSize(self) -> int:
        """Return the length of the encoded message."""


@dataclass
class _Lease:
    ttl_s: int
    expires_at_s: float
    keys: set[bytes] = field(default_factory=set)


class Etcd(KVServicer, LeaseServicer):
    """A member with its keys and leases in memory. Threads serve the gRPC calls.

    Args:
        clock: A function that returns the time in seconds, which leases use.

    Attributes:
        transactions: The number of transactions executed so far.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.faults = Faults()
        self.revision = 1
        self.keys: dict[bytes, pb.KeyValue] = {}
        self.leases: dict[int, _Lease] = {}
        self.transactions = 0
        self._lock = threading.RLock()
        self._next_lease_id = FIRST_LEASE_ID
        self._server: Any = None

    def serve(self) -> int:
        """Listen on a free loopback port and return its number."""
        self._server = grpc.server(ThreadPoolExecutor(MAX_WORKERS))
        add_KVServicer_to_server(self, self._server)
        add_LeaseServicer_to_server(self, self._server)
        port: int = self._server.add_insecure_port("127.0.0.1:0")
        self._server.start()
        return port

    def stop(self) -> None:
        """Close the port and abort calls in progress. Must be called once, after serve()."""
        self._server.stop(None)

    def _begin_call(self, context: grpc.ServicerContext, request: _ProtobufMessage) -> None:
        """Apply the faults and limits that concern all calls, and expire leases."""
        if self.faults.call_delay_s:
            time.sleep(self.faults.call_delay_s)
        if self.faults.no_leader:
            context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")
        if request.ByteSize() > MAX_REQUEST_BYTES:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, "etcdserver: request is too large")
        now = self.clock()
        for lease_id, lease in sorted(self.leases.items()):
            if now >= lease.expires_at_s:
                self._revoke(lease_id)

    def _revoke(self, lease_id: int) -> None:
        """End a lease if it exists, and delete its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is not None and lease.keys:
            self.revision += 1
            for key in lease.keys:
                self.keys.pop(key, None)

    def _header(self) -> pb.ResponseHeader:
        return pb.ResponseHeader(cluster_id=1, member_id=1, revision=self.revision, raft_term=1)

    def _keys_in_range(self, key: bytes, end: bytes) -> list[bytes]:
        """Return the existing keys from key up to, but not including, end; without an end, only key."""
        if not end:
            return [key] if key in self.keys else []
        return sorted(k for k in self.keys if key <= k < end)

    def _range(self, request: pb.RangeRequest) -> pb.RangeResponse:
        found = self._keys_in_range(request.key, request.range_end)
        returned = found[: request.limit] if request.limit else found
        return pb.RangeResponse(
            header=self._header(),
            kvs=[self.keys[k] for k in returned],
            more=len(returned) < len(found),
            count=len(found),
        )

    def Range(self, request: pb.RangeRequest, context: grpc.ServicerContext) -> pb.RangeResponse:
        """Read a range of keys. The current values are returned for any revision."""
        with self._lock:
            self._begin_call(context, request)
            if 0 < request.revision < self.faults.compacted_revision:
                context.abort(
                    grpc.StatusCode.OUT_OF_RANGE,
                    "etcdserver: mvcc: required revision has been compacted",
                )
            return self._range(request)

    def Txn(self, request: pb.TxnRequest, context: grpc.ServicerContext) -> pb.TxnResponse:
        """Execute a transaction."""
        with self._lock:
            self._begin_call(context, request)
            operations = request.success if all(map(self._is_satisfied, request.compare)) else request.failure
            if len(operations) > MAX_OPERATIONS:
                context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, "etcdserver: too many operations in txn request"
                )
            writes = [o for o in operations if o.WhichOneof("request") != "request_range"]
            if writes and self.faults.no_space:
                context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "etcdserver: mvcc: database space exceeded")
            self.transactions += 1
            succeeded = operations is request.success
            if writes:
                self.revision += 1
            responses = [self._execute(operation) for operation in operations]
            if self.faults.lose_responses > 0 and writes:
                self.faults.lose_responses -= 1
                context.abort(grpc.StatusCode.UNAVAILABLE, "transport is closing")
            return pb.TxnResponse(header=self._header(), succeeded=succeeded, responses=responses)

    def _is_satisfied(self, compare: pb.Compare) -> bool:
        """Return whether a condition of a transaction holds."""
        pair = self.keys.get(compare.key, pb.KeyValue())
        operands: dict[int, tuple[Any, Any]] = {
            pb.Compare.VERSION: (pair.version, compare.version),
            pb.Compare.CREATE: (pair.create_revision, compare.create_revision),
            pb.Compare.MOD: (pair.mod_revision, compare.mod_revision),
            pb.Compare.VALUE: (pair.value, compare.value),
        }
        actual, expected = operands[compare.target]
        if compare.result == pb.Compare.EQUAL:
            return bool(actual == expected)
        if compare.result == pb.Compare.NOT_EQUAL:
            return bool(actual != expected)
        return bool(actual > expected if compare.result == pb.Compare.GREATER else actual < expected)

    def _execute(self, operation: pb.RequestOp) -> pb.ResponseOp:
        operation_type = operation.WhichOneof("request")
        if operation_type == "request_range":
            return pb.ResponseOp(response_range=self._range(operation.request_range))
        if operation_type == "request_put":
            return self._put(operation.request_put)
        return self._delete_range(operation.request_delete_range)

    def _put(self, request: pb.PutRequest) -> pb.ResponseOp:
        previous = self.keys.get(request.key)
        self.keys[request.key] = pb.KeyValue(
            key=request.key,
            value=request.value,
            lease=request.lease,
            mod_revision=self.revision,
            create_revision=previous.create_revision if previous is not None else self.revision,
            version=previous.version + 1 if previous is not None else 1,
        )
        if request.lease in self.leases:
            self.leases[request.lease].keys.add(request.key)
        return pb.ResponseOp(response_put=pb.PutResponse(header=self._header()))

    def _delete_range(self, request: pb.DeleteRangeRequest) -> pb.ResponseOp:
        deleted = self._keys_in_range(request.key, request.range_end)
        for key in deleted:
            del self.keys[key]
        return pb.ResponseOp(response_delete_range=pb.DeleteRangeResponse(deleted=len(deleted)))

    def LeaseGrant(
        self, request: pb.LeaseGrantRequest, context: grpc.ServicerContext
    ) -> pb.LeaseGrantResponse:
        """Grant a lease."""
        with self._lock:
            self._begin_call(context, request)
            lease_id = self._next_lease_id
            self._next_lease_id += 1
            self.leases[lease_id] = _Lease(request.TTL, self.clock() + request.TTL)
            return pb.LeaseGrantResponse(header=self._header(), ID=lease_id, TTL=request.TTL)

    def LeaseRevoke(
        self, request: pb.LeaseRevokeRequest, context: grpc.ServicerContext
    ) -> pb.LeaseRevokeResponse:
        """End a lease and delete its keys."""
        with self._lock:
            self._begin_call(context, request)
            self._revoke(request.ID)
            return pb.LeaseRevokeResponse(header=self._header())

    def LeaseKeepAlive(
        self, requests: Iterator[pb.LeaseKeepAliveRequest], context: grpc.ServicerContext
    ) -> Iterator[pb.LeaseKeepAliveResponse]:
        """Renew leases. The response for an expired lease has a TTL of 0."""
        for request in requests:
            with self._lock:
                self._begin_call(context, request)
                lease = self.leases.get(request.ID)
                if lease is not None:
                    lease.expires_at_s = self.clock() + lease.ttl_s
                response = pb.LeaseKeepAliveResponse(
                    header=self._header(), ID=request.ID, TTL=lease.ttl_s if lease is not None else 0
                )
            yield response
