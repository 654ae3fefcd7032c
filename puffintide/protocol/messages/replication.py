"""Messages between assigners that replicate their state, and from an empty store that is restored from replicas."""

from __future__ import annotations

import msgspec
from msgspec import field

from puffintide.protocol.messages.base import Message

Value = tuple[float | str, ...]  # its layout depends on the type of the row: docs/replication.md


class ReplicaVersion(msgspec.Struct, frozen=True, array_like=True):
    """How much the sender has of what one assigner wrote."""

    origin_id: int  # number of the assigner that wrote it
    incarnation: int  # of the origin
    sequence: int  # up to which the sender has all
    compacted_sequence: int = 0  # up to which deletions are forgotten


class VersionDigest(Message, tag="digest", frozen=True, rename={"request_missing": "ask"}):
    """What the sender has of each origin, or is being sent by other peers."""

    versions: list[ReplicaVersion]
    request_missing: bool = True  # whether the receiver is to send what it has beyond that


class ReplicatedRow(msgspec.Struct, frozen=True, array_like=True):
    """One row of replicated state."""

    row_type: str
    row_id: int  # of a slice or server; -1 where there is one row of the type
    sequence: int  # of the write, at its origin
    age_s: float  # since the origin observed it, when this was written
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
    """All that changed of one origin after one sequence and up to another."""

    origin_id: int
    incarnation: int  # of the origin
    after_sequence: int  # 0: from the beginning
    through_sequence: int
    latest_sequence: int  # up to which the sender has more to send
    compacted_sequence: int  # deletions up to here are forgotten; a receiver that lacks some starts anew
    rows: list[ReplicatedRow] = field(default_factory=list)
    deletions: list[tuple[str, int, int]] = field(
        default_factory=list
    )  # (row_type, row_id, sequence of the deletion)


class RestoreFromReplicas(Message, tag="refill", frozen=True, rename={"operator": "by"}):
    """An operator's command to an empty store: continue with the tables of the assigners that are connected."""

    operator: str = ""  # who gave the command, for the log


class ReplicaRequest(Message, tag="ask_copies", frozen=True, rename={"tables_only": "tables"}):
    """From the store, or an operator: asks an assigner for the state that it replicates."""

    tables_only: bool = True  # False: rows of all types
