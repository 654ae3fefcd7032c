"""The other engine: an etcd cluster, over its published v3 protocol (gRPC), for those who outgrow one machine.

One store process at a time serves from it. It holds a key under a lease, and every transaction compares that key
and the last revision: a process that was paused beyond its lease and wakes again writes nothing once another has
begun.

A commit of up to ROWS_MOST rows is one transaction. A larger one is staged: its rows are put under keys of their
own in several transactions, then one transaction makes them valid together, and they are moved to their places
after that. A reader applies what is staged and valid, so that a commit is there whole or not at all here too.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Protocol, TypeVar

import grpc
import msgspec
import xxhash

from puffintide.protocol.messages import ZoneCommand
from puffintide.store.engine import Change, Image, Overtaken, SliceState, StoreError
from puffintide.store.etcd import rpc_pb2 as pb
from puffintide.store.etcd.rpc_pb2_grpc import KVStub, LeaseStub

ROWS_MOST = 100  # of one transaction; etcd takes 128 operations by default
BYTES_MOST = 1 << 20  # and requests of 1.5 MiB
PAGE = 500  # keys of one reading
CALL_S = 3.0
TRIES = 3  # of a call that found nobody: a leader may be changing
FORMAT = 1

T = TypeVar("T")


class Meta(msgspec.Struct, frozen=True):
    format: int
    identity: str
    revision: int
    token: int
    staged: int = 0  # chunks of this revision that hold


class Row(msgspec.Struct, frozen=True, array_like=True):
    revision: int
    sum: int
    body: bytes


_META = msgspec.json.Decoder(Meta)
_ROW = msgspec.msgpack.Decoder(Row)
_ROWS = msgspec.msgpack.Decoder(list[tuple[str, Row]])
_SLICE = msgspec.msgpack.Decoder(SliceState)
_HAND = msgspec.msgpack.Decoder(ZoneCommand)


def _sum(place: str, revision: int, body: bytes) -> int:
    return xxhash.xxh64_intdigest(b"%s:%d:" % (place.encode(), revision) + body)


class Files(Protocol):
    """As a [tls] section names them."""

    @property
    def ca(self) -> str: ...
    @property
    def cert(self) -> str: ...
    @property
    def key(self) -> str: ...


def credentials(files: Files) -> Any:
    """For mutual TLS towards the cluster; its members' certificates name their addresses, as etcd's do."""
    try:
        ca, key, cert = (Path(path).read_bytes() for path in (files.ca, files.key, files.cert))
    except OSError as error:
        raise StoreError(f"{error.filename}: {error.strerror}") from None
    return grpc.ssl_channel_credentials(ca, key, cert)


class EtcdEngine:
    """endpoints: HOST:PORT of the members. name: the deployment, under whose prefix all keys are. ttl_s: of the
    lease, whole seconds; beat() is to be called at least every third of it."""

    def __init__(self, endpoints: list[str], name: str, ttl_s: int = 10, credentials: Any = None) -> None:
        self.name, self.prefix, self.ttl_s = name, f"/puffintide/{name}/", ttl_s
        self.endpoints, self.at = endpoints, 0
        self.credentials = credentials
        self.mine = secrets.token_hex(8)
        self.lease = 0
        self.holder = 0  # create revision of our key
        self.meta = Meta(FORMAT, "", 0, 0)
        self.meta_mod = 0  # its revision in etcd, as we last wrote or read it
        self.left: list[tuple[str, Row]] = []  # staged rows that are yet to be moved to their places
        self._dial()

    # Calls ----------------------------------------------------------------------------------------

    def _dial(self) -> None:
        address = self.endpoints[self.at % len(self.endpoints)]
        options = [("grpc.max_receive_message_length", 64 << 20), ("grpc.enable_http_proxy", 0)]
        if self.credentials is None:
            self.channel = grpc.insecure_channel(address, options)
        else:
            self.channel = grpc.secure_channel(address, self.credentials, options)
        self.kv, self.leases = KVStub(self.channel), LeaseStub(self.channel)

    def _call(self, call: Callable[[], T]) -> T:
        """Nobody there, or no leader: the next member. Anything else is told. A transaction may have been carried
        out though its answer is lost; the caller finds out by what it compares."""
        why = ""
        for _ in range(max(TRIES, len(self.endpoints))):
            try:
                return call()
            except grpc.RpcError as error:
                code = error.code() if isinstance(error, grpc.Call) else None
                why = f"{code.name.lower() if code else 'error'}: {error.details() if code else error}"
                if code is grpc.StatusCode.RESOURCE_EXHAUSTED:
                    raise StoreError(f"etcd {self.endpoints}: no room left ({why})") from None
                if code not in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED):
                    break
                self.channel.close()
                self.at += 1
                self._dial()
        raise StoreError(f"etcd {', '.join(self.endpoints)}: {why}")

    def _key(self, place: str) -> bytes:
        return (self.prefix + place).encode()

    def _txn(self, compare: list[pb.Compare], success: list[pb.RequestOp]) -> pb.TxnResponse:
        failure = [
            pb.RequestOp(request_range=pb.RangeRequest(key=self._key(place))) for place in ("holder", "meta")
        ]
        request = pb.TxnRequest(compare=compare, success=success, failure=failure)
        found: pb.TxnResponse = self._call(lambda: self.kv.Txn(request, timeout=CALL_S))
        return found

    def _put(self, place: str, value: bytes, lease: int = 0) -> pb.RequestOp:
        return pb.RequestOp(request_put=pb.PutRequest(key=self._key(place), value=value, lease=lease))

    def _delete(self, place: str, end: str = "") -> pb.RequestOp:
        end_key = self._key(end) if end else b""
        return pb.RequestOp(
            request_delete_range=pb.DeleteRangeRequest(key=self._key(place), range_end=end_key)
        )

    def _read(self, first: str, end: str) -> list[tuple[str, pb.KeyValue]]:
        """All keys from first up to end, of one revision. Begins anew if that is compacted meanwhile."""
        for _ in range(TRIES):
            try:
                return [(kv.key.decode()[len(self.prefix) :], kv) for kv in self._pages(first, end)]
            except StoreError as error:
                if "compacted" not in str(error):
                    raise
        raise StoreError(f"etcd {', '.join(self.endpoints)}: compacted at every reading")

    def _pages(self, first: str, end: str) -> list[pb.KeyValue]:
        found: list[pb.KeyValue] = []
        key, revision = self._key(first), 0
        while True:
            page = self._page(
                pb.RangeRequest(key=key, range_end=self._key(end), limit=PAGE, revision=revision)
            )
            found += page.kvs
            revision = revision or page.header.revision
            if not page.more:
                return found
            key = page.kvs[-1].key + b"\0"

    def _page(self, request: pb.RangeRequest) -> pb.RangeResponse:
        found: pb.RangeResponse = self._call(lambda: self.kv.Range(request, timeout=CALL_S))
        return found

    # The one that serves --------------------------------------------------------------------------

    def _hold(self) -> None:
        """Takes the holder's key under a new lease. Raises StoreError while another has it."""
        grant = self._call(
            lambda: self.leases.LeaseGrant(pb.LeaseGrantRequest(TTL=self.ttl_s), timeout=CALL_S)
        )
        self.lease = grant.ID
        free = pb.Compare(
            result=pb.Compare.EQUAL, target=pb.Compare.VERSION, key=self._key("holder"), version=0
        )
        done = self._txn([free], [self._put("holder", self.mine.encode(), self.lease)])
        if done.succeeded:
            self.holder = done.header.revision
            return
        holders = done.responses[0].response_range.kvs
        if holders and holders[0].value == self.mine.encode():  # our own, its answer was lost
            self.holder, self.lease = holders[0].create_revision, holders[0].lease
            return
        self._call(lambda: self.leases.LeaseRevoke(pb.LeaseRevokeRequest(ID=self.lease), timeout=CALL_S))
        raise StoreError(f"{self.prefix} in etcd is open in another store")

    def _fence(self) -> list[pb.Compare]:
        return [
            pb.Compare(
                result=pb.Compare.EQUAL,
                target=pb.Compare.CREATE,
                key=self._key("holder"),
                create_revision=self.holder,
            ),
            pb.Compare(
                result=pb.Compare.EQUAL,
                target=pb.Compare.MOD,
                key=self._key("meta"),
                mod_revision=self.meta_mod,
            ),
        ]

    def _fenced(self, operations: list[pb.RequestOp], told: Callable[[bytes], bool]) -> pb.TxnResponse:
        """A transaction that only the present holder can do. If our lease ran out while nobody else wrote, it is
        taken anew. told: whether a meta found in place of the one compared is the one we meant to write."""
        for _ in range(TRIES):
            done = self._txn(self._fence(), operations)
            if done.succeeded:
                return done
            holders, metas = (r.response_range.kvs for r in done.responses)
            if metas and metas[0].mod_revision != self.meta_mod:
                if told(metas[0].value):  # it had been carried out, its answer was lost
                    self.meta_mod = metas[0].mod_revision
                    return done
                raise Overtaken(f"{self.prefix} in etcd was written by another store")
            if not holders:
                self._hold()
            elif holders[0].create_revision != self.holder:
                raise Overtaken(f"{self.prefix} in etcd is held by another store")
        raise StoreError(f"{self.prefix} in etcd: the lease runs out again and again")

    def beat(self) -> None:
        """Keeps the lease. Raises StoreError; the lease may then run out."""
        request = iter([pb.LeaseKeepAliveRequest(ID=self.lease)])
        answer = self._call(lambda: next(iter(self.leases.LeaseKeepAlive(request, timeout=CALL_S))))
        if answer.TTL <= 0:
            self._fenced([], lambda value: False)

    # What is kept ---------------------------------------------------------------------------------

    def load(self) -> Image:
        if not self.holder:
            self._hold()
        kept = dict(self._read("", "~"))
        if "meta" not in kept:
            self.meta = Meta(FORMAT, secrets.token_hex(8), 0, 0)
            self._write_meta(self.meta, [])
            return Image(self.meta.identity)
        try:
            self.meta, self.meta_mod = _META.decode(kept["meta"].value), kept["meta"].mod_revision
        except msgspec.DecodeError as error:
            raise StoreError(f"{self.prefix}meta: {error}") from None
        if self.meta.format != FORMAT:
            raise StoreError(f"{self.prefix}meta: format {self.meta.format} is not {FORMAT}")
        rows: dict[str, Row] = {}
        try:
            for place, kv in kept.items():
                if place.startswith(("slice/", "hand/")):
                    rows[place] = _ROW.decode(kv.value)
            self.left = []
            for k in range(self.meta.staged):
                self.left += _ROWS.decode(kept[f"stage/{self.meta.revision}/{k}"].value)
        except (msgspec.DecodeError, KeyError) as error:
            raise StoreError(f"{self.prefix}: {error}") from None
        rows |= dict(self.left)
        image = Image(self.meta.identity, self.meta.revision, self.meta.token)
        for place, row in sorted(rows.items()):
            if row.sum != _sum(place, row.revision, row.body):
                raise StoreError(f"{self.prefix}{place}: checksum of the row does not fit")
            number = int(place.split("/")[1])
            if place.startswith("slice/"):
                image.slices[number] = _SLICE.decode(row.body)
                image.revisions[number] = row.revision
            else:
                image.hands[number] = _HAND.decode(row.body)
        return image

    def _write_meta(self, meta: Meta, operations: list[pb.RequestOp]) -> None:
        value = msgspec.json.encode(meta)
        done = self._fenced([*operations, self._put("meta", value)], lambda found: found == value)
        if done.succeeded:
            self.meta_mod = done.header.revision
        self.meta = meta

    def _rows(self, change: Change) -> list[tuple[str, Row]]:
        made = [(f"slice/{s.slice:07d}", msgspec.msgpack.encode(s)) for s in change.slices]
        made += [(f"hand/{h.zone:07d}", msgspec.msgpack.encode(h)) for h in change.hands]
        return [(p, Row(change.revision, _sum(p, change.revision, b), b)) for p, b in made]

    def commit(self, change: Change) -> None:
        if not self.holder:
            raise StoreError("load() comes first")
        self._settle()
        rows = self._rows(change)
        if len(rows) <= ROWS_MOST and sum(len(row.body) for _, row in rows) <= BYTES_MOST:
            puts = [self._put(place, msgspec.msgpack.encode(row)) for place, row in rows]
            self._write_meta(Meta(FORMAT, self.meta.identity, change.revision, change.token), puts)
            return
        chunks = list(_chunks(rows))
        for k, chunk in enumerate(chunks):
            place = f"stage/{change.revision}/{k}"
            self._fenced([self._put(place, msgspec.msgpack.encode(chunk))], lambda value: False)
        self._write_meta(
            Meta(FORMAT, self.meta.identity, change.revision, change.token, staged=len(chunks)), []
        )
        self.left = rows

    def _settle(self) -> None:
        """Moves staged rows to their places; they hold already, so this may be left half done."""
        if not self.left:
            return
        for chunk in _chunks(self.left):
            puts = [self._put(place, msgspec.msgpack.encode(row)) for place, row in chunk]
            self._fenced(puts, lambda value: False)
        done = Meta(FORMAT, self.meta.identity, self.meta.revision, self.meta.token)
        self._write_meta(done, [self._delete("stage/", "stage0")])
        self.left = []

    def backup(self, path: str) -> int:
        raise StoreError("what is kept in etcd is backed up by etcd's own snapshots")

    def close(self) -> None:
        """Gives the lease back, so that the next store need not wait for its end."""
        try:
            if self.lease:
                self._call(
                    lambda: self.leases.LeaseRevoke(pb.LeaseRevokeRequest(ID=self.lease), timeout=CALL_S)
                )
        except StoreError:
            pass  # it runs out by itself
        self.channel.close()


def _chunks(rows: list[tuple[str, Row]]) -> Iterator[list[tuple[str, Row]]]:
    chunk: list[tuple[str, Row]] = []
    size = 0
    for place, row in rows:
        if chunk and (len(chunk) >= ROWS_MOST or size + len(row.body) > BYTES_MOST // 2):
            yield chunk
            chunk, size = [], 0
        chunk.append((place, row))
        size += len(row.body) + len(place) + 20
    if chunk:
        yield chunk
