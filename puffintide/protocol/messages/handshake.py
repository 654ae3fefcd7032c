"""Messages common to all streams: handshake, rejection and heartbeats."""

from __future__ import annotations

from enum import StrEnum

from puffintide.protocol.messages.base import Message


class PeerRole(StrEnum):
    """Role of a peer in the protocol.

    Message fields hold plain strings, so that a peer with an unknown role is rejected with a reason.
    """

    ASSIGNER = "assigner"
    PROXY = "proxy"
    STORE = "store"
    SERVER = "server"
    ENDPOINT_LIST = "list"
    CLIENT = "client"
    OPERATOR = "operator"


class Hello(
    Message,
    tag="hello",
    frozen=True,
    rename={"incarnation": "start", "first_connection": "fresh", "highest_token": "token"},
):
    """First message from the peer that opened the connection, which identifies it."""

    version: int  # Protocol version.
    role: str  # One of PeerRole.
    id: int  # Number of the sender within its role.
    zone: int = 0
    deployment: str = ""  # Name of the deployment that the sender belongs to.
    incarnation: int = 0  # Increases each time the sender's process starts.
    first_connection: bool = False  # Whether this is a proxy's first connection to the peer since its start.
    # Highest fencing token that the sender has seen. A store detects by it that its data is an outdated copy.
    highest_token: int = 0


class Welcome(Message, tag="welcome", frozen=True, rename={"incarnation": "start"}):
    """First message from the peer that accepted the connection; until then the other sends only its Hello."""

    version: int  # Protocol version.
    role: str  # One of PeerRole.
    id: int  # Number of the sender within its role.
    incarnation: int = 0  # Increases each time the sender's process starts.


class ConnectionRejected(Message, tag="refuse", frozen=True):
    """Last message before its sender closes the stream, with the reason."""

    reason: str  # Human-readable text for the log.


class Ping(Message, tag="ping", frozen=True):
    """Heartbeat that the peer answers with a Pong."""


class Pong(Message, tag="pong", frozen=True):
    """Reply to a Ping."""
