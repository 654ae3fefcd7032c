"""Probes of servers on sockets. When one is sent is the module's decision."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream
from puffintide.tls.context import Contexts


class HealthChecker:
    """Probes of one server over a stream that is kept; one probe is under way at a time."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        hello: Callable[[], m.Hello],
        timeout_s: float,
        tls: Contexts | None,
        done: Callable[[int, float, tuple[float, ...]], None],
    ) -> None:
        """done: with status, time taken and the load report's values."""
        self.reactor, self.address, self.hello, self.tls, self.on_result = reactor, address, hello, tls, done
        self.timeout_s = timeout_s
        self.stream: Stream | None = None
        self.out: tuple[int, float] | None = None  # id and when it was asked for
        self.id = 0
        self.timer: Any = None
        self.dialler = self._dial()

    def _dial(self) -> StreamClient:
        return StreamClient(
            self.reactor,
            self.address,
            self.hello,
            self._message,
            self._lost,
            reconnect=False,
            connect_timeout_s=self.timeout_s,
            heartbeat_timeout_s=60.0,
            heartbeat_interval_s=30.0,
            tls=self.tls,
        ).start()

    def check(self, now: float) -> None:
        if self.out is not None:
            return
        self.id += 1
        self.out = (self.id, now)
        self.timer = self.reactor.callLater(self.timeout_s, self._end, m.AttemptStatus.TIMEOUT, ())
        if self.stream is not None:
            self.stream.send(m.HealthCheckRequest(self.id))
        elif self.id > 1:
            self.dialler.stop()
            self.dialler = self._dial()

    def _message(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Welcome():
                self.stream = stream
                if self.out is not None:
                    stream.send(m.HealthCheckRequest(self.out[0]))
            case m.HealthCheckResponse(check_id=number, status=status, load_values=values):
                if self.out is not None and number == self.out[0]:
                    self._end(status, tuple(values))

    def _lost(self, why: str) -> None:
        had, self.stream = self.stream is not None, None
        if self.out is not None:
            self._end(m.AttemptStatus.RESET if had else m.AttemptStatus.UNREACHABLE, ())

    def _end(self, status: int, values: tuple[float, ...]) -> None:
        if self.out is None:
            return
        took = float(self.reactor.seconds()) - self.out[1]
        self.out = None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if status == m.AttemptStatus.TIMEOUT and self.stream is None:
            status = m.AttemptStatus.UNREACHABLE
        self.on_result(status, took, values)

    def stop(self) -> None:
        self.dialler.stop()
