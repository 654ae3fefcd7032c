"""The other engine: an etcd cluster, for those who outgrow one machine.

One store process at a time serves from it. It sets the key `holder` under a lease, and every transaction compares
that key and the last revision: a process that was paused beyond its lease writes nothing once another has begun.

A commit that fits one transaction is one. A larger one is staged: its rows are put under keys of their own in
several transactions, then one transaction makes them valid together, and they are moved to their keys after that.
A reader applies what is staged and valid, so that a commit is there whole or not at all here too.
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
    StoreOvertakenError,
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

FORMAT = 1
LEASE_TTL_S = 10
MAX_FENCED_ATTEMPTS = 3  # of a transaction whose lease has expired


class Meta(
    msgspec.Struct,
    frozen=True,
    rename={"store_id": "identity", "highest_token": "token", "staged_chunks": "staged"},
):
    """Value of the key `meta`, which every commit sets."""

    format: int
    store_id: str
    revision: int
    highest_token: int
    staged_chunks: int = 0  # of this revision, that are valid


_meta_decoder = msgspec.json.Decoder(Meta)


class EtcdEngine:
    """A StorageEngine on an etcd cluster.

    Args:
        endpoints: HOST:PORT of the members.
        name: Of the deployment, below whose prefix all keys are.
        ttl_s: Of the lease, in whole seconds; renew_lease() is to be called at least every third of it.
        credentials: Of read_credentials; None for no TLS.
    """

    def __init__(
        self, endpoints: list[str], name: str, ttl_s: int = LEASE_TTL_S, credentials: Any = None
    ) -> None:
        self.prefix = f"/puffintide/{name}/"
        self.ttl_s = ttl_s
        self.client = EtcdClient(endpoints, self.prefix, credentials)
        self._holder_value = secrets.token_hex(8).encode()  # of this process
        self._lease_id = 0
        self._holder_revision = 0  # create revision of this process's `holder`; 0: not held
        self._meta = Meta(FORMAT, "", 0, 0)
        self._meta_revision = 0  # mod revision of `meta` in etcd, as last written or read
        self._staged_rows: list[KeyedRow] = []  # valid, but still to be moved to their keys

    def _acquire(self) -> None:
        """Sets the key `holder` under a new lease. Raises StoreInUseError while another process has it."""
        self._lease_id = self.client.grant_lease(self.ttl_s)
        has_no_holder = pb.Compare(
            result=pb.Compare.EQUAL, target=pb.Compare.VERSION, key=self.client.key("holder"), version=0
        )
        put_holder = self.client.put("holder", self._holder_value, self._lease_id)
        response = self.client.transaction([has_no_holder], [put_holder], ("holder", "meta"))
        if response.succeeded:
            self._holder_revision = response.header.revision
            return
        holders = response.responses[0].response_range.kvs
        if holders and holders[0].value == self._holder_value:  # set by us; the response was lost
            self._holder_revision = holders[0].create_revision
            self._lease_id = holders[0].lease
            return
        self.client.revoke_lease(self._lease_id)
        raise StoreInUseError(f"{self.prefix} in etcd is open in another store")

    def _fence(self) -> list[pb.Compare]:
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
        """Carries out operations if this process still holds the store.

        If the lease has expired while nobody else wrote, it is acquired anew.

        Args:
            operations: To carry out together.
            is_own_meta: Whether a `meta` found instead of the compared one is what the operations set.

        Raises:
            StoreOvertakenError: Another process holds the store, or has written.
            StoreError: The cluster can't be reached, or the lease keeps expiring.
        """
        for _ in range(MAX_FENCED_ATTEMPTS):
            response = self.client.transaction(self._fence(), operations, ("holder", "meta"))
            if response.succeeded:
                return response
            holders, metas = (found.response_range.kvs for found in response.responses)
            if metas and metas[0].mod_revision != self._meta_revision:
                if not is_own_meta(metas[0].value):
                    raise StoreOvertakenError(f"{self.prefix} in etcd was written by another store")
                self._meta_revision = metas[0].mod_revision  # carried out before; the response was lost
                return response
            if not holders:
                self._acquire()
            elif holders[0].create_revision != self._holder_revision:
                raise StoreOvertakenError(f"{self.prefix} in etcd is held by another store")
        raise StoreError(f"{self.prefix} in etcd: the lease runs out again and again")

    def renew_lease(self) -> None:
        """Renews the lease, or acquires it anew.

        Raises:
            StoreOvertakenError: Another process holds the store.
            StoreError: The lease was not renewed, and may expire.
        """
        if not self.client.renew_lease(self._lease_id):
            self._fenced_transaction([])

    def load(self) -> StoreSnapshot:
        """Acquires the store and reads all that is stored.

        Raises:
            StoreInUseError: Another process holds the store.
            StoreDamagedError: A row is damaged or missing.
            StoreError: The cluster can't be read.
        """
        if not self._holder_revision:
            self._acquire()
        stored = dict(self.client.read("", "~"))
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
            raise StoreDamagedError(f"{self.prefix}meta: {error}") from error
        self._meta_revision = pair.mod_revision
        if self._meta.format != FORMAT:
            raise StoreFormatError(f"{self.prefix}meta: format {self._meta.format} is not {FORMAT}")

    def _read_rows(self, stored: dict[str, pb.KeyValue]) -> dict[str, Row]:
        """The rows at their keys, and over them those that are staged and valid."""
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
            raise StoreDamagedError(f"{self.prefix}: {error}") from error
        return rows | dict(self._staged_rows)

    @staticmethod
    def _staging_key(revision: int, chunk_number: int) -> str:
        return f"stage/{revision}/{chunk_number}"

    def _write_meta(self, meta: Meta, operations: list[pb.RequestOp]) -> None:
        value = msgspec.json.encode(meta)
        response = self._fenced_transaction(
            [*operations, self.client.put("meta", value)], lambda found: found == value
        )
        if response.succeeded:
            self._meta_revision = response.header.revision
        self._meta = meta

    def _put_rows(self, rows: list[KeyedRow]) -> list[pb.RequestOp]:
        return [self.client.put(name, encode_row(row)) for name, row in rows]

    def commit(self, commit: Commit) -> None:
        """Writes a commit, staged if it does not fit one transaction.

        Raises:
            StoreOvertakenError: Another process holds the store, or has written.
            StoreError: Nothing of the commit is stored.
        """
        if not self._holder_revision:
            raise StoreError("load() comes first")
        self._move_staged_rows()
        rows = rows_of_commit(commit)
        if fits_transaction(rows):
            self._write_meta(self._meta_of(commit), self._put_rows(rows))
            return
        chunks = list(split_into_chunks(rows))
        for chunk_number, chunk in enumerate(chunks):
            name = self._staging_key(commit.revision, chunk_number)
            self._fenced_transaction([self.client.put(name, encode_chunk(chunk))])
        self._write_meta(self._meta_of(commit, len(chunks)), [])
        self._staged_rows = rows

    def _meta_of(self, commit: Commit, staged_chunks: int = 0) -> Meta:
        return Meta(FORMAT, self._meta.store_id, commit.revision, commit.highest_token, staged_chunks)

    def _move_staged_rows(self) -> None:
        """Moves staged rows to their keys; they are valid already, so this may be left half done."""
        if not self._staged_rows:
            return
        for chunk in split_into_chunks(self._staged_rows):
            self._fenced_transaction(self._put_rows(chunk))
        meta = msgspec.structs.replace(self._meta, staged_chunks=0)
        self._write_meta(meta, [self.client.delete_range("stage/", "stage0")])
        self._staged_rows = []

    def backup(self, path: str) -> int:
        """Raises BackupError, always."""
        raise BackupError(f"{path}: what is kept in etcd is backed up by etcd's own snapshots")

    def close(self) -> None:
        """Revokes the lease, so that the next store process need not wait for its end."""
        with contextlib.suppress(StoreError):  # it expires by itself
            if self._lease_id:
                self.client.revoke_lease(self._lease_id)
        self.client.close()
