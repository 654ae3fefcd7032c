"""Reads a snapshot of the relay's state through a watch that is closed when the snapshot ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from puffintide.platform.config import Address
from puffintide.platform.errors import InvalidMessageError, StreamError
from puffintide.platform.http_exchange import HttpExchange
from puffintide.platform.reactor import Reactor, Timer, connect
from puffintide.platform.relay_messages import WATCH_TARGET, Heartbeat, decode_relay_message
from puffintide.platform.relay_state import RelayState, Tables
from puffintide.platform.watch_stream import MAX_LINE_BYTES
from puffintide.protocol.errors import LineTooLongError
from puffintide.protocol.line_buffer import LineBuffer

CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 0.06  # After this time without a line, in seconds, the snapshot has most likely been sent.
TIMEOUT_S = 0.6  # Maximum duration of a snapshot, in seconds.

OnSnapshot = Callable[[Tables | None, bool], None]


class RelaySnapshot(Protocol):
    """Reads one snapshot and calls on_done(tables, complete) exactly once.

    `tables` holds the tables of all owned slices, or None if the snapshot failed. `complete` is set if a
    heartbeat ended the snapshot, and unset if a pause ended it or it failed.
    """

    transport: Any

    def __init__(self, reactor: Reactor, address: Address, on_done: OnSnapshot) -> None:
        self._on_done = on_done
        self.exchange = HttpExchange(f"{address[0]}:{address[1]}")
        self.lines = LineBuffer(MAX_LINE_BYTES)
        self.state = RelayState()
        self.state.on_watch_opened()
        self._ended = False
        self._idle_timer = Timer(reactor)
        self._timeout_timer = Timer(reactor)
        self._timeout_timer.start(TIMEOUT_S, self._fail)
        connect(reactor, address, self, self._fail, CONNECT_TIMEOUT_S)

    def connectionMade(self) -> None:
        """Open the watch."""
        if self._ended:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.exchange.request("GET", WATCH_TARGET))

    def dataReceived(self, data: bytes) -> None:
        """Process received data, and end the snapshot at a heartbeat."""
        if self._ended:
            return
        try:
            lines = [line for chunk in self.exchange.receive(data) for line in self.lines.feed(chunk)]
            messages = [decode_relay_message(line) for line in lines]
        except (StreamError, LineTooLongError, InvalidMessageError):
            self._fail()
            return
        for message in messages:
            if isinstance(message, Heartbeat):
                self._end(self.state.snapshot_tables, complete=True)
                return
            self.state.on_message(message)
        if messages:  # A pause before the first line does not end the snapshot: nothing has been sent yet.
            self._idle_timer.start(IDLE_TIMEOUT_S, self._end, self.state.snapshot_tables, False)

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Fail, unless the snapshot has already ended."""
        self._fail()

    def _fail(self) -> None:
        self._end(None, complete=False)

    def _end(self, tables: Tables | None, complete: bool) -> None:
        if self._ended:
            return
        self._ended = True
        self._idle_timer.cancel()
        self._timeout_timer.cancel()
        if self.transport is not None:
            self.transport.abortConnection()
        self._on_done(tables, complete)
