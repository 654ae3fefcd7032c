"""Client of an etcd cluster over the v3 gRPC protocol, with failover between members."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol, TypeVar

import grpc

from puffintide.store.errors import StoreError, StoreFullError
from puffintide.store.etcd import rpc_pb2 as pb
from puffintide.store.etcd.rpc_pb2_grpc import KVStub, LeaseStub

CALL_TIMEOUT_S = 3.0  # Timeout of one gRPC call, in seconds.
MAX_CALL_ATTEMPTS = 3  # Attempts of a call that finds no leader: an election may be in progress.
MAX_READ_ATTEMPTS = 3  # Attempts of a read whose revision is compacted before its last page.
PAGE_KEYS = 500  # Maximum number of keys in one range response.
MAX_MESSAGE_BYTES = 64 << 20  # Maximum size of a received gRPC message, in bytes.

Result = TypeVar("Result")


class TlsFiles(Protocol):
    """Paths of PEM files from a [tls] section."""

    @property
    def ca(self) -> str:
        """Certificate of the certificate authority."""

    @property
    def cert(self) -> str:
        """Certificate of this process."""

    @property
    def key(self) -> str:
        """Private key of this process."""


def read_credentials(files: TlsFiles) -> Any:
    """Return credentials for mutual TLS with the cluster.

    The certificate of each member must name the member's address.

    Raises:
        StoreError: A file cannot be read.
    """
    try:
        ca, key, cert = (Path(path).read_bytes() for path in (files.ca, files.key, files.cert))
    except OSError as error:
        raise StoreError(f"cannot read TLS file {error.filename}: {error.strerror}") from error
    return grpc.ssl_channel_credentials(ca, key, cert)


class EtcdClient:
    """Accesses the keys below one prefix of a cluster.

    Args:
        endpoints: HOST:PORT of each member.
        prefix: Prefix of all keys.
        credentials: Result of read_credentials, or None to connect without TLS.
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
        """Make a call, and retry it at the next member if no member or no leader answers.

        There are MAX_CALL_ATTEMPTS attempts, or one for each member if there are more members.

        A transaction may have been executed although its response was lost. The caller detects this by the
        comparisons of its transactions.

        Raises:
            StoreError: All attempts failed, or the error is not retryable.
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
                    raise StoreFullError(
                        f"call to etcd {', '.join(self.endpoints)} failed: no space left ({reason})"
                    ) from error
                if code not in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED):
                    break
                self._connect_to_next()
        raise StoreError(f"call to etcd {', '.join(self.endpoints)} failed: {reason}") from cause

    def _connect_to_next(self) -> None:
        self.channel.close()
        self._endpoint_index += 1
        self._connect()

    def key(self, name: str) -> bytes:
        """Return the full key of a name below the prefix."""
        return (self.prefix + name).encode()

    def put_operation(self, name: str, value: bytes, lease_id: int = 0) -> pb.RequestOp:
        """Return an operation that sets a key, and attaches it to a lease if one is given."""
        return pb.RequestOp(request_put=pb.PutRequest(key=self.key(name), value=value, lease=lease_id))

    def delete_range_operation(self, first: str, end: str) -> pb.RequestOp:
        """Return an operation that deletes the keys from first up to, but not including, end."""
        return pb.RequestOp(
            request_delete_range=pb.DeleteRangeRequest(key=self.key(first), range_end=self.key(end))
        )

    def transaction(
        self, compare: list[pb.Compare], operations: list[pb.RequestOp], read_on_failure: tuple[str, ...]
    ) -> pb.TxnResponse:
        """Execute operations if all comparisons hold, and otherwise read keys.

        Args:
            compare: Comparisons that must all hold.
            operations: Operations that are executed atomically.
            read_on_failure: Names of the keys to read if a comparison does not hold.

        Raises:
            StoreError: The call failed.
        """
        reads = [pb.RequestOp(request_range=pb.RangeRequest(key=self.key(name))) for name in read_on_failure]
        request = pb.TxnRequest(compare=compare, success=operations, failure=reads)
        response: pb.TxnResponse = self._call(lambda: self._kv.Txn(request, timeout=CALL_TIMEOUT_S))
        return response

    def read_range(self, first: str, end: str) -> list[tuple[str, pb.KeyValue]]:
        """Read all keys from first up to, but not including, end as of one revision.

        Raises:
            StoreError: The cluster cannot be read, or the revision was compacted in each attempt.
        """
        for _ in range(MAX_READ_ATTEMPTS):
            try:
                pairs = self._read_pages(first, end)
            except StoreError as error:
                if "compacted" not in str(error):
                    raise
            else:
                return [(pair.key.decode()[len(self.prefix) :], pair) for pair in pairs]
        raise StoreError(
            f"read from etcd {', '.join(self.endpoints)} failed: "
            f"the revision was compacted in each of {MAX_READ_ATTEMPTS} attempts"
        )

    def _read_pages(self, first: str, end: str) -> list[pb.KeyValue]:
        pairs: list[pb.KeyValue] = []
        key = self.key(first)
        revision = 0  # 0 reads the latest revision.
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
        """Obtain a new lease, and return its id.

        Raises:
            StoreError: The call failed.
        """
        request = pb.LeaseGrantRequest(TTL=ttl_s)
        response = self._call(lambda: self._leases.LeaseGrant(request, timeout=CALL_TIMEOUT_S))
        lease_id: int = response.ID
        return lease_id

    def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease, and return False if it has expired.

        Raises:
            StoreError: The call failed.
        """
        requests = iter([pb.LeaseKeepAliveRequest(ID=lease_id)])
        response = self._call(
            lambda: next(iter(self._leases.LeaseKeepAlive(requests, timeout=CALL_TIMEOUT_S)))
        )
        return bool(response.TTL > 0)

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes the keys attached to it.

        Raises:
            StoreError: The call failed.
        """
        request = pb.LeaseRevokeRequest(ID=lease_id)
        self._call(lambda: self._leases.LeaseRevoke(request, timeout=CALL_TIMEOUT_S))

    def close(self) -> None:
        """Close the connection."""
        self.channel.close()
