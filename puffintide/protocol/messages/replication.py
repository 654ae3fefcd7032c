"""Messages that replicate state between assigners and restore an empty store from the replicas."""

from __future__ import annotations

import msgspec
from msgspec import field

from puffintide.protocol.messages.base import Message

Value = tuple[float | str, ...]  # The layout depends on the row type; see docs/replication.md.


class ReplicaVersion(msgspec.Struct, frozen=True, array_like=True):
    """Version of one origin's state that the sender holds."""

    origin_id: int  # Number of the assigner that wrote the state.
    incarnation: int  # Incarnation of the origin.
    sequence: int  # The sender holds all changes up to this sequence number.
    compacted_sequence: int = 0  # Deletions up to this sequence number are no longer recorded.


class VersionDigest(Message, tag="digest", frozen=True, rename={"request_missing": "ask"}):
    """Versions of all origins that the sender holds or is receiving from other peers."""

    versions: list[ReplicaVersion]
    request_missing: bool = True  # Whether the receiver is to send the changes that the sender lacks.


class ReplicatedRow(msgspec.Struct, frozen=True, array_like=True):
    """Row of replicated state."""

    row_type: str
    row_id: int  # Id of a slice or server; -1 for a row type that has only one row.
    sequence: int  # Sequence number that the origin gave the write.
    age_s: float  # Time between the origin's observation of the row and the writing of this message.
    value: Value


class ReplicationDelta(
    Message,
    tag="copies",
    frozen=True,
    rename={
        "origin_id": "origin",
        "incarnation": "life",
        "after_sequence": "after",
        "through_sequence": "upto",
        "latest_sequence": "top",
        "compacted_sequence": "floor",
        "deletions": "gone",
    },
):
    """All changes of one origin in a range of sequence numbers."""

    origin_id: int
    incarnation: int  # Incarnation of the origin.
    after_sequence: int  # Exclusive lower bound of the range; 0: from the beginning.
    through_sequence: int  # Inclusive upper bound of the range.
    latest_sequence: int  # Latest sequence number that the sender holds and will send.
    # Deletions up to this sequence number are no longer recorded. A receiver that lacks some starts over.
    compacted_sequence: int
    rows: list[ReplicatedRow] = field(default_factory=list)
    # Tuples of row type, row id and the sequence number of the deletion.
    deletions: list[tuple[str, int, int]] = field(default_factory=list)


class RestoreFromReplicas(Message, tag="refill", frozen=True, rename={"operator": "by"}):
    """Operator command to an empty store to restore its tables from the connected assigners."""

    operator: str = ""  # Operator who issued the command, for the log.


class ReplicaRequest(Message, tag="ask_copies", frozen=True, rename={"tables_only": "tables"}):
    """Request from the store or an operator for the replicated state that an assigner holds."""

    tables_only: bool = True  # If False, rows of all types are sent.
