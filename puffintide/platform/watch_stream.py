"""A watch: an endless HTTP response with one JSON object per line, reopened when it breaks or falls silent."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.protocol import Protocol as Connection
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from puffintide.platform.config import Address
from puffintide.platform.errors import MalformedResponseError, StreamError
from puffintide.platform.http_exchange import STATUS_OK, HttpExchange
from puffintide.platform.reactor import Reactor, Timer, connect
from puffintide.protocol.errors import LineTooLongError
from puffintide.protocol.line_buffer import LineBuffer

CONNECT_TIMEOUT_S = 1.0
SILENCE_CHECK_PERIOD_S = 0.5
MIN_SILENT_CHECKS = 2  # Minimum number of checks without a received byte before a stream is closed.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_LINE_BYTES = 8 << 20  # Large enough for a snapshot of a large site.


class WatchHandler(Protocol):
    """Receives the lines and the state changes of a watch."""

    def watch_target(self) -> str:
        """Return the request target to open a new stream with."""

    def on_watch_opened(self) -> None:
        """Handle the opening of a stream; its first line follows."""

    def on_watch_line(self, line: bytes) -> None:
        """Handle a line of the stream.

        Raises:
            StreamError: The line cannot be used, so that the stream has to be reopened.
        """

    def on_watch_lost(self, reason: str) -> None:
        """Handle the end of the stream; a new one is opened afterwards."""


class _Stream(Connection):
    """A stream of a watch, on its own connection."""

    transport: Any

    def __init__(self, watch: Watch, address: Address) -> None:
        self.watch = watch
        self.exchange = HttpExchange(f"{address[0]}:{address[1]}")
        self.lines = LineBuffer(MAX_LINE_BYTES)
        self.ended = False
        self.silent_checks = 0  # Silence checks since a byte was received.
        self.end_reason = ""
        connect(watch.reactor, address, self, self._on_connect_failure, CONNECT_TIMEOUT_S)

    def _on_connect_failure(self) -> None:
        self.end(f"cannot connect to {self.exchange.host}")

    def connectionMade(self) -> None:
        """Send the request of the watch, or abort if the stream has already ended."""
        if self.ended:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.exchange.request("GET", self.watch.handler.watch_target()))

    def dataReceived(self, data: bytes) -> None:
        """Pass on the complete lines; close the connection if the bytes cannot be used."""
        if self.ended:
            return
        self.silent_checks = 0
        try:
            self._receive(data)
        except (StreamError, LineTooLongError) as error:
            self.drop(str(error))
            return
        if self.exchange.complete:
            self.drop("the response ended")

    def _receive(self, data: bytes) -> None:
        pieces = self.exchange.receive(data)
        if self.exchange.status not in (None, STATUS_OK):
            raise MalformedResponseError(
                f"{self.exchange.host} rejected the watch request with status {self.exchange.status}"
            )
        for piece in pieces:
            for line in self.lines.feed(piece):
                if not self.ended:
                    self.watch.on_line(self, line)

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Report the end of the stream, unless it was already reported."""
        self.end("connection lost")

    def drop(self, reason: str) -> None:
        """Abort the connection and report the end of the stream."""
        if self.transport is not None:
            self.transport.abortConnection()
        self.end(reason)

    def end(self, reason: str) -> None:
        """Report the end of the stream; only the first call has an effect."""
        if not self.ended:
            self.ended = True
            self.end_reason = reason
            self.watch.on_end(self)


class Watch:
    """Keeps one stream open.

    A new stream replaces the current one at its first line; until then the current one is still read. Silence
    is measured by counting periodic checks, so that a pause of this process does not look like silence of the
    peer.
    """

    def __init__(
        self, reactor: Reactor, address: Address, handler: WatchHandler, silence_timeout_s: float
    ) -> None:
        """Prepare a watch.

        Args:
            reactor: The reactor that opens the connections.
            address: The address to connect to.
            handler: The handler that receives the lines and state changes.
            silence_timeout_s: The maximum time in seconds for which a stream may deliver nothing.
        """
        self.reactor = reactor
        self.address = address
        self.handler = handler
        self.current: _Stream | None = None
        self._pending: _Stream | None = None
        self._max_silent_checks = max(MIN_SILENT_CHECKS, round(silence_timeout_s / SILENCE_CHECK_PERIOD_S))
        self._backoff_s = INITIAL_BACKOFF_S
        self._reconnect = Timer(reactor)
        self._stopped = False

    def start(self) -> None:
        """Open the first stream."""
        self._open()
        self._check_silence()

    def change_address(self, address: Address) -> None:
        """Replace the stream by one to another address."""
        if address == self.address:
            return
        self.address = address
        self._backoff_s = INITIAL_BACKOFF_S
        pending = self._pending
        self._pending = None
        if pending is not None:
            pending.drop("the address changed")
        self._open()

    def reopen(self, reason: str) -> None:
        """Close the current stream, if there is one, so that a new one is opened."""
        if self.current is not None:
            self.current.drop(reason)

    def stop(self) -> None:
        """Close all streams, and open no more."""
        self._stopped = True
        for stream in (self._pending, self.current):
            if stream is not None:
                stream.drop("the watch was stopped")

    def _open(self) -> None:
        self._reconnect.cancel()
        if not self._stopped and self._pending is None:
            self._pending = _Stream(self, self.address)

    def _check_silence(self) -> None:
        if self._stopped:
            return
        for stream in (self.current, self._pending):
            if stream is not None:
                stream.silent_checks += 1
                if stream.silent_checks > self._max_silent_checks:
                    stream.drop(f"no data received in {stream.silent_checks} periodic checks")
        self.reactor.callLater(SILENCE_CHECK_PERIOD_S, self._check_silence)

    def on_line(self, stream: _Stream, line: bytes) -> None:
        """Pass on a line, unless another stream has replaced its stream."""
        if stream is self._pending:
            replaced = self.current
            self.current = stream
            self._pending = None
            if replaced is not None:
                replaced.drop("replaced by a new stream")
            self.handler.on_watch_opened()
        if stream is self.current:
            self.handler.on_watch_line(line)
            self._backoff_s = INITIAL_BACKOFF_S

    def on_end(self, stream: _Stream) -> None:
        """Open a new stream after a backoff, if the ended one was current or pending."""
        if stream is self.current:
            self.current = None
            if not self._stopped:
                self.handler.on_watch_lost(stream.end_reason)
        elif stream is self._pending:
            self._pending = None
        else:
            return
        if self._pending is None and not self._stopped and not self._reconnect.pending:
            self._reconnect.start(self._backoff_s, self._open)
            self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
