"""Asks the kernel whether the peer of a TCP connection has closed it, before its data is read completely."""

from __future__ import annotations

import socket
from typing import Any

# States in which the peer has closed or reset the connection, numbered as in Linux's tcp_states.h.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
TCP_LAST_ACK = 9
TCP_CLOSING = 11
CLOSED_BY_PEER = (TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING)
STATE_BYTES = 1  # The state is the first byte of struct tcp_info.


def is_closed_by_peer(transport: Any) -> bool:
    """Return whether the peer has closed its end, although data that it sent before may be unread.

    Args:
        transport: A Twisted transport, with or without TLS. One without a socket counts as open.
    """
    plain_transport = getattr(transport, "transport", transport)
    tcp_socket = getattr(plain_transport, "socket", None)
    if tcp_socket is None:
        return False
    try:
        info = tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, STATE_BYTES)
    except OSError:
        return True
    return info[0] in CLOSED_BY_PEER
