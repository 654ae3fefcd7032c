"""Messages between the store and assigners, proxies and operators: tables, ownership and backups."""

from __future__ import annotations

import msgspec
from msgspec import field

from puffintide.protocol.messages.base import Message
from puffintide.protocol.messages.proxy_channel import WeightEntry

MAX_OWNERSHIPS_PER_MESSAGE = 1000


class TableEntry(msgspec.Struct, frozen=True, array_like=True):
    """One server of a slice's table, as the store has it."""

    server_id: int
    weight: float  # relative to the other servers of the slice, above 0
    address: str = ""  # HOST:PORT of the server; empty if not known
    zone: int = -1  # of the server; -1 if not known


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
    """A slice's table and the assigner that owns it. For that assigner it grants the slice."""

    slice_id: int
    fencing_token: int  # rises with each change of ownership; a write with an older one is rejected
    owner_id: int  # number of the assigner; -1: nobody
    entries: list[TableEntry] = field(default_factory=list)
    batch: int = 0  # of the last write in this tenure; a proxy that has a later update keeps its weights
    tenure_token: int = 0  # first token of this unbroken ownership by one incarnation of the assigner


class SliceOwnerships(Message, tag="charges", frozen=True, rename={"ownerships": "charges"}):
    """Part of a read, or all that one event changed."""

    ownerships: list[SliceOwnership]  # MAX_OWNERSHIPS_PER_MESSAGE at most


class OwnershipRevoked(
    Message, tag="taken", frozen=True, rename={"slice_id": "slice", "fencing_token": "token"}
):
    """The assigner that gets this no longer owns the slice."""

    slice_id: int
    fencing_token: int  # of the next owner


class WriteRequest(Message, tag="write", frozen=True, rename={"weights": "lines"}):
    """Weights of slices that the writer owns; each entry is taken or rejected by itself."""

    batch: int  # of the update to the proxies that says the same
    weights: list[WeightEntry]


class WriteRejected(Message, tag="refused", frozen=True, rename={"slice_id": "slice"}):
    """The store did not take what a write said of one slice."""

    batch: int  # of the write
    slice_id: int
    reason: str  # for a person who reads the log


class ReadRequest(
    Message, tag="read", frozen=True, rename={"since_revision": "since", "store_id": "identity"}
):
    """Asks the store for tables and ownership; the response is SliceOwnerships, then ReadComplete.

    With the identity and revision of an earlier ReadComplete of the same store, only what changed since is sent.
    """

    since_revision: int = -1  # -1: everything
    store_id: str = ""


class ReadComplete(
    Message, tag="read_end", frozen=True, rename={"slice_count": "slices", "store_id": "identity"}
):
    """All that a read asked for has been sent."""

    slice_count: int  # slices sent in response to the read
    revision: int = 0  # as of which they were read
    store_id: str = ""  # identity of the store; a restored backup has another


class AssignerMembership(Message, tag="members", frozen=True, rename={"assigner_ids": "assigners"}):
    """The assigners that own slices, or may own some again within their lease; sent to every assigner."""

    assigner_ids: list[int]


class WriteAcknowledged(Message, tag="written", frozen=True):
    """This writer's writes up to a batch are durable, but for those rejected."""

    batch: int
    revision: int  # of the store, that includes them


class MigrateSlices(
    Message, tag="move", frozen=True, rename={"slice_ids": "slices", "assigner_id": "to", "operator": "by"}
):
    """An operator's command: make an assigner the home of some slices. The response is ZoneCommands."""

    slice_ids: list[int]
    assigner_id: int  # -1: the home is that of the slice's number again
    operator: str = ""  # who gave the command, for the log


class BackupRequest(Message, tag="backup", frozen=True):
    """An operator's command: write a backup into the store's folder for them. Answered by CommandCompleted."""

    name: str  # of the file, without a folder
