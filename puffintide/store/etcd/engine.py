"""Storage engine on an etcd cluster, for deployments that outgrow one machine.

One store process at a time serves from it. It sets the key `holder` under a lease, and every transaction
compares that key and the last revision. A process that was paused beyond its lease therefore cannot write
once another process has started.

A commit that fits one transaction is written as one. A larger commit is staged: its rows are written under
staging keys in several transactions, one transaction then makes them valid together, and afterwards they are
moved to their final keys. A reader applies staged rows that are valid, so that large commits are atomic too.
"""

from __future__ import annotations

import contextlib
import secrets
from collections.abc import Callable
from typing import Any

import msgspec

from puffintide.store.engine import Commit, StoreSnapshot
from puffintide.store.errors import (
    BackupError,
    StoreDamagedError,
    StoreError,
    StoreFormatError,
    StoreInUseError,
    StoreSupersededError,
)
from puffintide.store.etcd import rpc_pb2 as pb
from puffintide.store.etcd.client import EtcdClient
from puffintide.store.etcd.rows import (
    COMMAND_PREFIX,
    SLICE_PREFIX,
    KeyedRow,
    Row,
    add_to_snapshot,
    decode_chunk,
    decode_row,
    encode_chunk,
    encode_row,
    fits_transaction,
    rows_of_commit,
    split_into_chunks,
)

FORMAT = 1  # Version of the stored format.
LEASE_TTL_S = 10  # Time to live of the holder's lease, in seconds.
MAX_FENCED_ATTEMPTS = 3  # Attempts of a transaction whose lease has expired.


class Meta(
    msgspec.Struct,
    frozen=True,
    rename={"store_id": "identity", "highest_token": "token", "staged_chunks": "staged"},
):
    """Value of the key `meta`, which every commit updates."""

    format: int
    store_id: str
    revision: int
    highest_token: int
    staged_chunks: int = 0  # Number of valid staged chunks of this revision.


_meta_decoder = msgspec.json.Decoder(Meta)


class EtcdEngine:
    """StorageEngine on an etcd cluster.

    Args:
        endpoints: HOST:PORT of each member.
        name: Name of the deployment, which is part of the prefix of all keys.
        ttl_s: Time to live of the lease, in whole seconds. The caller calls renew_lease() at least every
            third of it.
        credentials: Result of read_credentials, or None to connect without TLS.
    """

    def __init__(
        self, endpoints: list[str], name: str, ttl_s: int = LEASE_TTL_S, credentials: Any = None
    ) -> None:
        self.prefix = f"/puffintide/{name}/"
        self.ttl_s = ttl_s
        self.client = EtcdClient(endpoints, self.prefix, credentials)
        self._holder_value = secrets.token_hex(8).encode()  # Identifies this process.
        self._lease_id = 0
        self._holder_revision = 0  # Create revision of this process's `holder` key, or 0 before it is set.
        self._meta = Meta(FORMAT, "", 0, 0)
        self._meta_revision = 0  # Mod revision of `meta` in etcd, as last written or read.
        self._staged_rows: list[KeyedRow] = []  # Valid rows that are not yet moved to their final keys.

    def _acquire_store(self) -> None:
        """Set the key `holder` under a new lease.

        Raises:
            StoreInUseError: Another process holds the store.
            StoreError: The cluster cannot be reached.
        """
        self._lease_id = self.client.grant_lease(self.ttl_s)
        has_no_holder = pb.Compare(
            result=pb.Compare.EQUAL, target=pb.Compare.VERSION, key=self.client.key("holder"), version=0
        )
        put_holder = self.client.put_operation("holder", self._holder_value, self._lease_id)
        response = self.client.transaction([has_no_holder], [put_holder], ("holder", "meta"))
        if response.succeeded:
            self._holder_revision = response.header.revision
            return
        holders = response.responses[0].response_range.kvs
        if holders and holders[0].value == self._holder_value:
            # An earlier attempt of this process set the key, but its response was lost.
            self._holder_revision = holders[0].create_revision
            self._lease_id = holders[0].lease
            return
        self.client.revoke_lease(self._lease_id)
        raise StoreInUseError(f"{self.prefix} in etcd is in use by another store process")

    def _fencing_comparisons(self) -> list[pb.Compare]:
        return [
            pb.Compare(
                result=pb.Compare.EQUAL,
                target=pb.Compare.CREATE,
                key=self.client.key("holder"),
                create_revision=self._holder_revision,
            ),
            pb.Compare(
                result=pb.Compare.EQUAL,
                target=pb.Compare.MOD,
                key=self.client.key("meta"),
                mod_revision=self._meta_revision,
            ),
        ]

    def _fenced_transaction(
        self, operations: list[pb.RequestOp], is_own_meta: Callable[[bytes], bool] = lambda _: False
    ) -> pb.TxnResponse:
        """Execute operations if this process still holds the store.

        If the lease has expired and no other process holds the store or has written to it, the store is
        acquired again.

        Args:
            operations: Operations that are executed atomically.
            is_own_meta: Returns whether a `meta` value other than the compared one was set by these
                operations.

        Raises:
            StoreSupersededError: Another process holds the store, or has written to it.
            StoreError: The cluster cannot be reached, or the lease expired in each attempt.
        """
        for _ in range(MAX_FENCED_ATTEMPTS):
            response = self.client.transaction(self._fencing_comparisons(), operations, ("holder", "meta"))
            if response.succeeded:
                return response
            holders, metas = (found.response_range.kvs for found in response.responses)
            if metas and metas[0].mod_revision != self._meta_revision:
                if not is_own_meta(metas[0].value):
                    raise StoreSupersededError(f"{self.prefix} in etcd was written by another store process")
                self._meta_revision = metas[0].mod_revision  # Executed earlier, but the response was lost.
                return response
            if not holders:
                self._acquire_store()
            elif holders[0].create_revision != self._holder_revision:
                raise StoreSupersededError(f"{self.prefix} in etcd is held by another store process")
        raise StoreError(
            f"transaction on {self.prefix} in etcd failed: "
            f"the lease expired in each of {MAX_FENCED_ATTEMPTS} attempts"
        )

    def renew_lease(self) -> None:
        """Renew the lease, or acquire it again if it has expired.

        Raises:
            StoreSupersededError: Another process holds the store, or has written to it.
            StoreError: The lease was not renewed, and may expire.
        """
        if not self.client.renew_lease(self._lease_id):
            self._fenced_transaction([])

    def load(self) -> StoreSnapshot:
        """Acquire the store, and read the complete stored state.

        Raises:
            StoreInUseError: Another process holds the store.
            StoreDamagedError: A row is damaged or missing.
            StoreError: The cluster cannot be read.
        """
        if not self._holder_revision:
            self._acquire_store()
        stored = dict(self.client.read_range("", "~"))
        if "meta" not in stored:
            self._meta = Meta(FORMAT, secrets.token_hex(8), 0, 0)
            self._write_meta(self._meta, [])
            return StoreSnapshot(self._meta.store_id)
        self._read_meta(stored["meta"])
        snapshot = StoreSnapshot(self._meta.store_id, self._meta.revision, self._meta.highest_token)
        for name, row in sorted(self._read_rows(stored).items()):
            add_to_snapshot(snapshot, self.prefix, name, row)
        return snapshot

    def _read_meta(self, pair: pb.KeyValue) -> None:
        try:
            self._meta = _meta_decoder.decode(pair.value)
        except msgspec.DecodeError as error:
            raise StoreDamagedError(f"cannot load {self.prefix}meta from etcd: {error}") from error
        self._meta_revision = pair.mod_revision
        if self._meta.format != FORMAT:
            raise StoreFormatError(
                f"{self.prefix}meta: format {self._meta.format} is not the supported format {FORMAT}"
            )

    def _read_rows(self, stored: dict[str, pb.KeyValue]) -> dict[str, Row]:
        """Return the rows at their final keys, overridden by valid staged rows."""
        rows: dict[str, Row] = {}
        try:
            for name, pair in stored.items():
                if name.startswith((SLICE_PREFIX, COMMAND_PREFIX)):
                    rows[name] = decode_row(pair.value)
            self._staged_rows = []
            for chunk_number in range(self._meta.staged_chunks):
                name = self._staging_key(self._meta.revision, chunk_number)
                self._staged_rows += decode_chunk(stored[name].value)
        except (msgspec.DecodeError, KeyError) as error:
            raise StoreDamagedError(f"cannot load the rows below {self.prefix} in etcd: {error!r}") from error
        return rows | dict(self._staged_rows)

    @staticmethod
    def _staging_key(revision: int, chunk_number: int) -> str:
        return f"stage/{revision}/{chunk_number}"

    def _write_meta(self, meta: Meta, operations: list[pb.RequestOp]) -> None:
        value = msgspec.json.encode(meta)
        response = self._fenced_transaction(
            [*operations, self.client.put_operation("meta", value)], lambda found: found == value
        )
        if response.succeeded:
            self._meta_revision = response.header.revision
        self._meta = meta

    def _put_rows(self, rows: list[KeyedRow]) -> list[pb.RequestOp]:
        return [self.client.put_operation(name, encode_row(row)) for name, row in rows]

    def commit(self, commit: Commit) -> None:
        """Write a commit, and stage it if it does not fit one transaction.

        Raises:
            StoreSupersededError: Another process holds the store, or has written to it.
            StoreError: The commit failed. It may be stored nevertheless if the response was lost in each attempt.
        """
        if not self._holder_revision:
            raise StoreError(
                f"commit of revision {commit.revision} to {self.prefix} in etcd: load() was not called"
            )
        self._move_staged_rows()
        rows = rows_of_commit(commit)
        if fits_transaction(rows):
            self._write_meta(self._meta_of(commit), self._put_rows(rows))
            return
        chunks = list(split_into_chunks(rows))
        for chunk_number, chunk in enumerate(chunks):
            name = self._staging_key(commit.revision, chunk_number)
            self._fenced_transaction([self.client.put_operation(name, encode_chunk(chunk))])
        self._write_meta(self._meta_of(commit, len(chunks)), [])
        self._staged_rows = rows

    def _meta_of(self, commit: Commit, staged_chunks: int = 0) -> Meta:
        return Meta(FORMAT, self._meta.store_id, commit.revision, commit.highest_token, staged_chunks)

    def _move_staged_rows(self) -> None:
        """Move staged rows to their final keys.

        The rows are valid already, so an interrupted move loses nothing.
        """
        if not self._staged_rows:
            return
        for chunk in split_into_chunks(self._staged_rows):
            self._fenced_transaction(self._put_rows(chunk))
        meta = msgspec.structs.replace(self._meta, staged_chunks=0)
        self._write_meta(meta, [self.client.delete_range_operation("stage/", "stage0")])
        self._staged_rows = []

    def backup(self, path: str) -> int:
        """Reject the backup, as etcd has its own snapshots.

        Raises:
            BackupError: Always.
        """
        raise BackupError(f"backup to {path} is not supported by the etcd engine; use etcd's own snapshots")

    def close(self) -> None:
        """Revoke the lease, so that the next store process need not wait until it expires."""
        with contextlib.suppress(StoreError):  # Otherwise the lease expires after its time to live.
            if self._lease_id:
                self.client.revoke_lease(self._lease_id)
        self.client.close()
