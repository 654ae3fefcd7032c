"""Messages of every stream: the handshake, a rejection, and heartbeats."""

from __future__ import annotations

from enum import StrEnum

from puffintide.protocol.messages.base import Message


class PeerRole(StrEnum):
    """What a party of the protocol is.

    The fields of messages stay plain strings, so that a role which is not known here is rejected with a reason.
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
    """First message of the party that connected: who it is."""

    version: int  # of the protocol
    role: str  # a PeerRole
    id: int  # number of the party within its role
    zone: int = 0
    deployment: str = ""  # name of the deployment that the party belongs to
    incarnation: int = 0  # rises at each start of the process
    first_connection: bool = False  # of a proxy to this peer since the proxy started
    highest_token: int = 0  # highest fencing token seen, by which a store notices that it is an older copy


class Welcome(Message, tag="welcome", frozen=True, rename={"incarnation": "start"}):
    """First message of the party that was connected to; nothing else is sent to that party before."""

    version: int  # of the protocol
    role: str  # a PeerRole
    id: int  # number of the party within its role
    incarnation: int = 0  # rises at each start of the process


class ConnectionRejected(Message, tag="refuse", frozen=True):
    """Last message before its sender closes the stream."""

    reason: str  # for a person who reads the log


class Ping(Message, tag="ping", frozen=True):
    """Heartbeat, to be answered with a Pong."""


class Pong(Message, tag="pong", frozen=True):
    """Answer to a Ping."""
