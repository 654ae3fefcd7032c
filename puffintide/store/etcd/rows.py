"""Encoding and checksums of the etcd engine's rows, and their division into transactions."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import xxhash

from puffintide.protocol.messages import ZoneCommand
from puffintide.store.engine import Commit, StoredSlice, StoreSnapshot
from puffintide.store.errors import StoreDamagedError

MAX_TRANSACTION_ROWS = 100  # This is below etcd's default limit of 128 operations in one transaction.
MAX_TRANSACTION_BYTES = 1 << 20  # This is below etcd's default limit of 1.5 MiB in one request.
ROW_OVERHEAD_BYTES = 20  # Encoded size of a staged row besides its name and body.

SLICE_PREFIX = "slice/"
COMMAND_PREFIX = "hand/"


class Row(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under one key.

    It is encoded as an array, so the order of the fields must not change.
    """

    revision: int  # Revision of the commit that wrote the row.
    checksum: int
    body: bytes


KeyedRow = tuple[str, Row]  # A key below the deployment's prefix, and its row.

_row_decoder = msgspec.msgpack.Decoder(Row)
_chunk_decoder = msgspec.msgpack.Decoder(list[KeyedRow])
_slice_decoder = msgspec.msgpack.Decoder(StoredSlice)
_command_decoder = msgspec.msgpack.Decoder(ZoneCommand)


def checksum(name: str, revision: int, body: bytes) -> int:
    """Return the xxh64 checksum of a row and its name."""
    return xxhash.xxh64_intdigest(b"%s:%d:" % (name.encode(), revision) + body)


def encode_row(row: Row) -> bytes:
    """Encode a row as the value of its key."""
    return msgspec.msgpack.encode(row)


def decode_row(value: bytes) -> Row:
    """Decode the value of a row's key.

    Raises:
        msgspec.DecodeError: The value is not an encoded row.
    """
    return _row_decoder.decode(value)


def encode_chunk(chunk: list[KeyedRow]) -> bytes:
    """Encode a chunk of staged rows as the value of its key."""
    return msgspec.msgpack.encode(chunk)


def decode_chunk(value: bytes) -> list[KeyedRow]:
    """Decode the staged rows of a chunk.

    Raises:
        msgspec.DecodeError: The value is not an encoded chunk.
    """
    return _chunk_decoder.decode(value)


def rows_of_commit(commit: Commit) -> list[KeyedRow]:
    """Return the rows that a commit writes."""
    bodies = [
        (f"{SLICE_PREFIX}{stored.slice_id:07d}", msgspec.msgpack.encode(stored)) for stored in commit.slices
    ]
    bodies += [
        (f"{COMMAND_PREFIX}{command.zone:07d}", msgspec.msgpack.encode(command))
        for command in commit.zone_commands
    ]
    return [
        (name, Row(commit.revision, checksum(name, commit.revision, body), body)) for name, body in bodies
    ]


def fits_transaction(rows: list[KeyedRow]) -> bool:
    """Return whether rows can be written in one transaction."""
    total_bytes = sum(len(row.body) for _, row in rows)
    return len(rows) <= MAX_TRANSACTION_ROWS and total_bytes <= MAX_TRANSACTION_BYTES


def split_into_chunks(rows: list[KeyedRow]) -> Iterator[list[KeyedRow]]:
    """Divide rows into chunks that each fit one transaction."""
    chunk: list[KeyedRow] = []
    size = 0
    for name, row in rows:
        full = len(chunk) >= MAX_TRANSACTION_ROWS or size + len(row.body) > MAX_TRANSACTION_BYTES // 2
        if chunk and full:
            yield chunk
            chunk = []
            size = 0
        chunk.append((name, row))
        size += len(row.body) + len(name) + ROW_OVERHEAD_BYTES
    if chunk:
        yield chunk


def add_to_snapshot(snapshot: StoreSnapshot, prefix: str, name: str, row: Row) -> None:
    """Verify the checksum of a row, and decode the row into a snapshot.

    Args:
        snapshot: Snapshot to which the content of the row is added.
        prefix: Prefix of the deployment's keys, which errors name.
        name: Key of the row below the prefix.
        row: Row as stored.

    Raises:
        StoreDamagedError: The checksum does not match.
    """
    if row.checksum != checksum(name, row.revision, row.body):
        raise StoreDamagedError(f"{prefix}{name}: row checksum does not match")
    number = int(name.split("/")[1])
    if name.startswith(SLICE_PREFIX):
        snapshot.slices[number] = _slice_decoder.decode(row.body)
        snapshot.slice_revisions[number] = row.revision
    else:
        snapshot.zone_commands[number] = _command_decoder.decode(row.body)
