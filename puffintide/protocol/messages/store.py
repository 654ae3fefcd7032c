"""Messages between the store and assigners, proxies and operators: tables, slice ownership and backups."""

from __future__ import annotations

import msgspec
from msgspec import field

from puffintide.protocol.messages.base import Message
from puffintide.protocol.messages.proxy_channel import WeightEntry

MAX_OWNERSHIPS_PER_MESSAGE = 1000


class TableEntry(msgspec.Struct, frozen=True, array_like=True):
    """One server in a slice's table as recorded by the store."""

    server_id: int
    weight: float  # Relative to the other servers of the slice; above 0.
    address: str = ""  # HOST:PORT of the server; empty if unknown.
    zone: int = -1  # Zone of the server; -1 if unknown.


class SliceOwnership(
    Message,
    tag="charge",
    frozen=True,
    rename={
        "slice_id": "slice",
        "fencing_token": "token",
        "owner_id": "assigner",
        "entries": "lines",
        "tenure_token": "since",
    },
):
    """Table and owner of a slice. Sent to the owner, it grants the ownership."""

    slice_id: int
    fencing_token: int  # Increases with each change of ownership; a write with an older token is rejected.
    owner_id: int  # Number of the owning assigner; -1: none.
    entries: list[TableEntry] = field(default_factory=list)
    batch: int = 0  # Batch of the last write in this tenure; a proxy with a later update keeps its weights.
    tenure_token: int = 0  # First fencing token of this tenure: uninterrupted ownership by one incarnation.


class SliceOwnerships(Message, tag="charges", frozen=True, rename={"ownerships": "charges"}):
    """Part of the response to a read, or all ownerships that one event changed."""

    ownerships: list[SliceOwnership]  # Holds at most MAX_OWNERSHIPS_PER_MESSAGE items.


class OwnershipRevoked(
    Message, tag="taken", frozen=True, rename={"slice_id": "slice", "fencing_token": "token"}
):
    """Notice to an assigner that it no longer owns a slice."""

    slice_id: int
    fencing_token: int  # Fencing token of the next owner.


class WriteRequest(Message, tag="write", frozen=True, rename={"weights": "lines"}):
    """Weights of slices that the writer owns; the store accepts or rejects each entry individually."""

    batch: int  # Batch of the proxy update with the same weights.
    weights: list[WeightEntry]


class WriteRejected(Message, tag="refused", frozen=True, rename={"slice_id": "slice"}):
    """Rejection of the entries that a write holds for one slice."""

    batch: int  # Batch of the rejected write.
    slice_id: int
    reason: str  # Human-readable text for the log.


class ReadRequest(
    Message, tag="read", frozen=True, rename={"since_revision": "since", "store_id": "identity"}
):
    """Request for tables and ownership; the store responds with SliceOwnerships, then ReadComplete.

    If the identity and revision of an earlier ReadComplete of the same store are given, it sends only what
    has changed since that revision.
    """

    since_revision: int = -1  # -1: everything.
    store_id: str = ""


class ReadComplete(
    Message, tag="read_end", frozen=True, rename={"slice_count": "slices", "store_id": "identity"}
):
    """End of the response to a read."""

    slice_count: int  # Number of slices sent in response to the read.
    revision: int = 0  # Store revision at which the slices were read.
    store_id: str = ""  # Identity of the store; a restored backup has a different one.


class AssignerMembership(Message, tag="members", frozen=True, rename={"assigner_ids": "assigners"}):
    """Assigners that own slices or may regain theirs within their lease; sent to every assigner."""

    assigner_ids: list[int]


class WriteAcknowledged(Message, tag="written", frozen=True):
    """Confirmation that the receiver's writes up to a batch are durable, except rejected entries."""

    batch: int
    revision: int  # Store revision that includes these writes.


class MigrateSlices(
    Message, tag="move", frozen=True, rename={"slice_ids": "slices", "assigner_id": "to", "operator": "by"}
):
    """Operator command to make an assigner the home of some slices; the store responds with ZoneCommands."""

    slice_ids: list[int]
    assigner_id: int  # -1: restore the default home, which is derived from the slice's number.
    operator: str = ""  # Operator who issued the command, for the log.


class BackupRequest(Message, tag="backup", frozen=True):
    """Operator command to write a backup to the store's backup directory; answered with CommandCompleted."""

    name: str  # File name of the backup, without a directory.
