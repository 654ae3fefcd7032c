"""Calls to an etcd cluster over its published v3 protocol (gRPC), with failover between its members."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol, TypeVar

import grpc

from puffintide.store.errors import StoreError, StoreFullError
from puffintide.store.etcd import rpc_pb2 as pb
from puffintide.store.etcd.rpc_pb2_grpc import KVStub, LeaseStub

CALL_TIMEOUT_S = 3.0
MAX_CALL_ATTEMPTS = 3  # of a call that reached no leader: one may be being elected
MAX_READ_ATTEMPTS = 3  # of a read whose revision is compacted meanwhile
PAGE_KEYS = 500  # of one range request
MAX_MESSAGE_BYTES = 64 << 20

Result = TypeVar("Result")


class TlsFiles(Protocol):
    """Paths of PEM files, as a [tls] section has them."""

    @property
    def ca(self) -> str:
        """Certificate of the authority."""

    @property
    def cert(self) -> str:
        """Certificate of this process."""

    @property
    def key(self) -> str:
        """Private key of this process."""


def read_credentials(files: TlsFiles) -> Any:
    """Credentials for mutual TLS towards the cluster; its members' certificates name their addresses.

    Raises:
        StoreError: A file can't be read.
    """
    try:
        ca, key, cert = (Path(path).read_bytes() for path in (files.ca, files.key, files.cert))
    except OSError as error:
        raise StoreError(f"{error.filename}: {error.strerror}") from error
    return grpc.ssl_channel_credentials(ca, key, cert)


class EtcdClient:
    """Keys below one prefix of a cluster.

    Args:
        endpoints: HOST:PORT of the members.
        prefix: Of all keys.
        credentials: Of read_credentials; None for no TLS.
    """

    def __init__(self, endpoints: list[str], prefix: str, credentials: Any = None) -> None:
        self.endpoints = endpoints
        self.prefix = prefix
        self.credentials = credentials
        self._endpoint_index = 0
        self._connect()

    def _connect(self) -> None:
        address = self.endpoints[self._endpoint_index % len(self.endpoints)]
        options = [("grpc.max_receive_message_length", MAX_MESSAGE_BYTES), ("grpc.enable_http_proxy", 0)]
        if self.credentials is None:
            self.channel = grpc.insecure_channel(address, options)
        else:
            self.channel = grpc.secure_channel(address, self.credentials, options)
        self._kv = KVStub(self.channel)  # type: ignore[no-untyped-call]
        self._leases = LeaseStub(self.channel)  # type: ignore[no-untyped-call]

    def _call(self, call: Callable[[], Result]) -> Result:
        """Makes a call; where no member or no leader answers, it is retried at the next member.

        A transaction may have been carried out though its response is lost: the caller finds out by what it
        compares.

        Raises:
            StoreError: All attempts failed, or the error is one that a retry does not help.
        """
        reason = ""
        cause: grpc.RpcError | None = None
        for _ in range(max(MAX_CALL_ATTEMPTS, len(self.endpoints))):
            try:
                return call()
            except grpc.RpcError as error:
                cause = error
                code = error.code() if isinstance(error, grpc.Call) else None
                reason = f"{code.name.lower() if code else 'error'}: {error.details() if code else error}"
                if code is grpc.StatusCode.RESOURCE_EXHAUSTED:
                    raise StoreFullError(f"etcd {self.endpoints}: no room left ({reason})") from error
                if code not in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED):
                    break
                self._connect_to_next()
        raise StoreError(f"etcd {', '.join(self.endpoints)}: {reason}") from cause

    def _connect_to_next(self) -> None:
        self.channel.close()
        self._endpoint_index += 1
        self._connect()

    def key(self, name: str) -> bytes:
        """The full key of a name below the prefix."""
        return (self.prefix + name).encode()

    def put(self, name: str, value: bytes, lease_id: int = 0) -> pb.RequestOp:
        """An operation that sets a key, which ends with the lease if one is given."""
        return pb.RequestOp(request_put=pb.PutRequest(key=self.key(name), value=value, lease=lease_id))

    def delete_range(self, first: str, end: str) -> pb.RequestOp:
        """An operation that deletes the keys from first up to end."""
        return pb.RequestOp(
            request_delete_range=pb.DeleteRangeRequest(key=self.key(first), range_end=self.key(end))
        )

    def transaction(
        self, compare: list[pb.Compare], operations: list[pb.RequestOp], read_on_failure: tuple[str, ...]
    ) -> pb.TxnResponse:
        """Carries out operations if all comparisons hold, and otherwise reads some keys. Raises StoreError."""
        reads = [pb.RequestOp(request_range=pb.RangeRequest(key=self.key(name))) for name in read_on_failure]
        request = pb.TxnRequest(compare=compare, success=operations, failure=reads)
        response: pb.TxnResponse = self._call(lambda: self._kv.Txn(request, timeout=CALL_TIMEOUT_S))
        return response

    def read(self, first: str, end: str) -> list[tuple[str, pb.KeyValue]]:
        """Reads all keys from first up to end, as of one revision.

        Raises:
            StoreError: The cluster can't be read, or the revision was compacted at every attempt.
        """
        for _ in range(MAX_READ_ATTEMPTS):
            try:
                pairs = self._read_pages(first, end)
            except StoreError as error:
                if "compacted" not in str(error):
                    raise
            else:
                return [(pair.key.decode()[len(self.prefix) :], pair) for pair in pairs]
        raise StoreError(f"etcd {', '.join(self.endpoints)}: compacted at every reading")

    def _read_pages(self, first: str, end: str) -> list[pb.KeyValue]:
        pairs: list[pb.KeyValue] = []
        key = self.key(first)
        revision = 0  # 0: the latest
        while True:
            page = self._read_page(
                pb.RangeRequest(key=key, range_end=self.key(end), limit=PAGE_KEYS, revision=revision)
            )
            pairs += page.kvs
            revision = revision or page.header.revision
            if not page.more:
                return pairs
            key = page.kvs[-1].key + b"\0"

    def _read_page(self, request: pb.RangeRequest) -> pb.RangeResponse:
        response: pb.RangeResponse = self._call(lambda: self._kv.Range(request, timeout=CALL_TIMEOUT_S))
        return response

    def grant_lease(self, ttl_s: int) -> int:
        """Takes a new lease and returns its id. Raises StoreError."""
        request = pb.LeaseGrantRequest(TTL=ttl_s)
        response = self._call(lambda: self._leases.LeaseGrant(request, timeout=CALL_TIMEOUT_S))
        lease_id: int = response.ID
        return lease_id

    def renew_lease(self, lease_id: int) -> bool:
        """Renews a lease; returns False when it has expired. Raises StoreError."""
        requests = iter([pb.LeaseKeepAliveRequest(ID=lease_id)])
        response = self._call(
            lambda: next(iter(self._leases.LeaseKeepAlive(requests, timeout=CALL_TIMEOUT_S)))
        )
        return bool(response.TTL > 0)

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease, and the keys that are set with it. Raises StoreError."""
        request = pb.LeaseRevokeRequest(ID=lease_id)
        self._call(lambda: self._leases.LeaseRevoke(request, timeout=CALL_TIMEOUT_S))

    def close(self) -> None:
        """Closes the connection."""
        self.channel.close()
