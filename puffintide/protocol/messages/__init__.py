"""Messages of the line-based JSON protocol. docs/wire.md describes their keys on the wire.

Times are in seconds and ids are integers. The codec ignores unknown keys, so that a newer peer with the same
protocol version may send additional ones. Each module holds the messages exchanged with one kind of peer;
this package exports all of them.
"""

from __future__ import annotations

from puffintide.protocol.messages.base import PROTOCOL_VERSION, Message
from puffintide.protocol.messages.emulator_control import CommandCompleted, EmulatorCommand
from puffintide.protocol.messages.endpoint_list import (
    EndpointEntry,
    SnapshotRequest,
    WatchEvent,
    WatchRequest,
)
from puffintide.protocol.messages.handshake import ConnectionRejected, Hello, PeerRole, Ping, Pong, Welcome
from puffintide.protocol.messages.proxy_channel import (
    AdmissionLevel,
    CheckpointReply,
    ProxyUpdate,
    ServerUsage,
    SliceUsage,
    UsageReport,
    WeightEntry,
)
from puffintide.protocol.messages.replication import (
    ReplicaRequest,
    ReplicatedRow,
    ReplicationDelta,
    ReplicaVersion,
    RestoreFromReplicas,
    Value,
    VersionDigest,
)
from puffintide.protocol.messages.requests import (
    AttemptRequest,
    AttemptResponse,
    AttemptStatus,
    CancelAttempt,
    ClientRequest,
    ClientResponse,
    HealthCheckRequest,
    HealthCheckResponse,
)
from puffintide.protocol.messages.store import (
    MAX_OWNERSHIPS_PER_MESSAGE,
    AssignerMembership,
    BackupRequest,
    MigrateSlices,
    OwnershipRevoked,
    ReadComplete,
    ReadRequest,
    SliceOwnership,
    SliceOwnerships,
    TableEntry,
    WriteAcknowledged,
    WriteRejected,
    WriteRequest,
)
from puffintide.protocol.messages.zone_commands import (
    ZoneCommand,
    ZoneCommands,
    ZoneStatus,
    ZoneStatusReport,
    ZoneStatusRequest,
)

AnyMessage = (
    Hello
    | Welcome
    | ConnectionRejected
    | Ping
    | Pong
    | ProxyUpdate
    | CheckpointReply
    | UsageReport
    | SliceOwnership
    | SliceOwnerships
    | OwnershipRevoked
    | WriteRequest
    | WriteRejected
    | ReadRequest
    | ReadComplete
    | WriteAcknowledged
    | AssignerMembership
    | MigrateSlices
    | BackupRequest
    | ZoneCommand
    | ZoneCommands
    | ZoneStatusRequest
    | ZoneStatusReport
    | VersionDigest
    | ReplicationDelta
    | ReplicaRequest
    | RestoreFromReplicas
    | WatchRequest
    | SnapshotRequest
    | WatchEvent
    | ClientRequest
    | ClientResponse
    | AttemptRequest
    | AttemptResponse
    | CancelAttempt
    | HealthCheckRequest
    | HealthCheckResponse
    | EmulatorCommand
    | CommandCompleted
)

__all__ = [
    "MAX_OWNERSHIPS_PER_MESSAGE",
    "PROTOCOL_VERSION",
    "AdmissionLevel",
    "AnyMessage",
    "AssignerMembership",
    "AttemptRequest",
    "AttemptResponse",
    "AttemptStatus",
    "BackupRequest",
    "CancelAttempt",
    "CheckpointReply",
    "ClientRequest",
    "ClientResponse",
    "CommandCompleted",
    "ConnectionRejected",
    "EmulatorCommand",
    "EndpointEntry",
    "HealthCheckRequest",
    "HealthCheckResponse",
    "Hello",
    "Message",
    "MigrateSlices",
    "OwnershipRevoked",
    "PeerRole",
    "Ping",
    "Pong",
    "ProxyUpdate",
    "ReadComplete",
    "ReadRequest",
    "ReplicaRequest",
    "ReplicaVersion",
    "ReplicatedRow",
    "ReplicationDelta",
    "RestoreFromReplicas",
    "ServerUsage",
    "SliceOwnership",
    "SliceOwnerships",
    "SliceUsage",
    "SnapshotRequest",
    "TableEntry",
    "UsageReport",
    "Value",
    "VersionDigest",
    "WatchEvent",
    "WatchRequest",
    "WeightEntry",
    "Welcome",
    "WriteAcknowledged",
    "WriteRejected",
    "WriteRequest",
    "ZoneCommand",
    "ZoneCommands",
    "ZoneStatus",
    "ZoneStatusReport",
    "ZoneStatusRequest",
]
