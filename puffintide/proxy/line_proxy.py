"""The proxy for the program's own line protocol, with the engine between streams of clients and servers."""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.config.schema import ProxyProcess
from puffintide.logs import Logger
from puffintide.protocol import messages as m
from puffintide.protocol.messages import AnyMessage, AttemptStatus
from puffintide.protocol.session import Greeting
from puffintide.protocol.stream import Stream, StreamServerFactory, close_gracefully
from puffintide.proxy.effects import (
    CancelAttempt,
    CompleteRequest,
    ConnectServer,
    DisconnectServer,
    Effect,
    SendAttempt,
)
from puffintide.proxy.engine import Engine
from puffintide.proxy.engine_driver import EngineDriver
from puffintide.proxy.line_upstream import LineUpstream
from puffintide.proxy.load_balancing import slice_for_key
from puffintide.proxy.reactor import Reactor
from puffintide.proxy.request_timings import RequestTimings
from puffintide.tls.context import TlsContextFactory

# Maximum time that a client may wait for a response, in seconds. For HTTP see DEADLINE_LIMIT_MS.
MAX_TIMEOUT_S = 1e4
KEY_LIMIT = 2**64  # A key must be below this value.
DURATION_DIGITS = 2  # Decimal places of durations in the log, which are in milliseconds.
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ClientCall:
    """An open request of a client."""

    stream: Stream
    request_id: int  # The id that the client has given the request.
    key: int
    work_s: float  # Work that an emulated server does for the request, in seconds.


class LineProxy(EngineDriver):
    """The line protocol side of one proxy.

    Args:
        reactor: Clock, timers and outgoing connections.
        process: Identity and limits of this proxy.
        engine: State machine that routes the requests.
        timings: Measures the durations of requests.
        log: Receives an entry for each sampled request.
        deployment: The deployment's name.
        tls: Context factory of outgoing streams; None disables TLS.
    """

    def __init__(
        self,
        reactor: Reactor,
        process: ProxyProcess,
        engine: Engine,
        timings: RequestTimings,
        log: Logger,
        deployment: str,
        tls: TlsContextFactory | None = None,
    ) -> None:
        super().__init__(reactor, engine)
        self.process = process
        self.timings = timings
        self.log = log
        self.deployment = deployment
        self.tls = tls
        self.stopping = False
        self.clients: dict[int, Stream] = {}  # Keyed by id() of the stream.
        self.calls: dict[int, ClientCall] = {}  # Keyed by handle.
        self.upstreams: dict[int, LineUpstream] = {}  # Keyed by server id.
        self.server_streams: dict[int, Stream] = {}  # Streams to connected servers, keyed by server id.
        self._last_handle = 0

    def greeting(self) -> m.Hello:
        """Return the first message to a server."""
        return m.Hello(m.PROTOCOL_VERSION, "proxy", self.process.id, self.process.zone, self.deployment)

    # Clients -------------------------------------------------------------------------------------

    def factory(self) -> StreamServerFactory:
        """Return the factory that accepts clients' streams."""
        return StreamServerFactory(
            self.reactor, self._welcome, self._on_client_message, self._on_client_lost, self._greeting_error
        )

    def _welcome(self) -> m.Welcome:
        return m.Welcome(m.PROTOCOL_VERSION, "proxy", self.process.id)

    def _greeting_error(self, _greeting: Greeting) -> str | None:
        if len(self.clients) >= self.process.clients_most:
            return f"the limit of {self.process.clients_most} connected clients is reached"
        return None

    def close_clients(self) -> None:
        """Close all clients' streams once their responses are written."""
        for stream in self.clients.values():
            close_gracefully(stream.transport)

    def _on_client_message(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Hello():
                self.clients[id(stream)] = stream
            case m.ClientRequest():
                error = self._request_error(message)
                if error is None:
                    self._begin_request(stream, message)
                else:
                    stream.reject(error)
            case _:
                stream.reject(f"unexpected {type(message).__name__} message from a client")

    def _request_error(self, request: m.ClientRequest) -> str | None:
        """Return why a request is invalid; None if it is valid."""
        class_count = len(self.engine.settings.request_classes)
        if not 0 <= request.class_index < class_count:
            return f"invalid request: class {request.class_index} is not from 0 to {class_count - 1}"
        if not (0 <= request.key < KEY_LIMIT and 0 < request.remaining_s <= MAX_TIMEOUT_S):
            return (
                f"invalid request: key {request.key} is not from 0 to 2^64 - 1, or"
                f" time left {request.remaining_s:g} s is not above 0 and at most {MAX_TIMEOUT_S:g} s"
            )
        return None

    def _begin_request(self, stream: Stream, request: m.ClientRequest) -> None:
        if self.stopping:
            # The response says that nothing was executed, so that the client can use another proxy.
            status = AttemptStatus.SATURATED
            stream.send(m.ClientResponse(request.request_id, status, 0.0, may_have_executed=False))
            return
        self._last_handle += 1
        handle = self._last_handle
        self.calls[handle] = ClientCall(stream, request.request_id, request.key, request.work_s)
        now_s = self.now_s()
        self.timings.on_request(now_s, handle)
        slice_id = slice_for_key(request.key, self.engine.settings.slice_count)
        self.run_effects(
            self.engine.on_request(
                now_s, handle, request.request_id, slice_id, request.class_index, request.remaining_s
            )
        )

    def _on_client_lost(self, stream: Stream, _reason: AnyMessage) -> None:
        self.clients.pop(id(stream), None)
        for handle in [handle for handle, call in self.calls.items() if call.stream is stream]:
            del self.calls[handle]
            self.timings.on_finished(self.now_s(), handle)
            self.run_effects(self.engine.on_client_disconnected(self.now_s(), handle))

    # Servers -------------------------------------------------------------------------------------

    def on_upstream_lost(self, upstream: LineUpstream) -> None:
        """Report a lost or failed stream to the engine, unless this proxy closed or replaced it."""
        server_id = upstream.server_id
        if self.upstreams.get(server_id) is not upstream:
            return  # This proxy closed the stream; another one may have replaced it.
        del self.upstreams[server_id]
        self.server_streams.pop(server_id, None)
        self.run_effects(self.engine.on_server_disconnected(self.now_s(), server_id))

    # Effects -------------------------------------------------------------------------------------

    def run_effect(self, effect: Effect) -> None:
        """Carry out one effect of the engine."""
        match effect:
            case SendAttempt():
                self._send_attempt(effect)
            case CompleteRequest():
                self._complete(effect)
            case CancelAttempt():
                stream = self.server_streams.get(effect.server_id)
                if stream is not None:
                    stream.send(m.CancelAttempt(effect.attempt_id))
            case ConnectServer():
                upstream = LineUpstream(self, effect.server_id, effect.address)
                self.upstreams[effect.server_id] = upstream
                upstream.connect()
            case DisconnectServer():
                self._disconnect(effect.server_id)

    def _send_attempt(self, effect: SendAttempt) -> None:
        assert isinstance(effect.handle, int)
        call = self.calls[effect.handle]
        attempt = m.AttemptRequest(
            effect.attempt_id,
            effect.request_id,
            self.process.id,
            effect.slice_id,
            effect.class_index,
            call.key,
            effect.attempt_number,
            effect.remaining_s,
            call.work_s,
        )
        self.server_streams[effect.server_id].send(attempt)
        if effect.attempt_number == 0:
            self.timings.on_first_attempt(self.now_s(), effect.handle)

    def _complete(self, effect: CompleteRequest) -> None:
        assert isinstance(effect.handle, int)
        duration_s = self.timings.on_finished(self.now_s(), effect.handle)
        if duration_s is not None:
            self.log.info(
                "request_completed",
                handle=effect.handle,
                status=int(effect.status),
                duration_ms=round(duration_s * MS_PER_S, DURATION_DIGITS),
                may_have_executed=effect.may_have_executed,
            )
        call = self.calls.pop(effect.handle, None)
        if call is not None:
            call.stream.send_reply(
                m.ClientResponse(
                    call.request_id, effect.status, effect.retry_after_s, effect.may_have_executed
                )
            )

    def _disconnect(self, server_id: int) -> None:
        upstream = self.upstreams.pop(server_id, None)
        self.server_streams.pop(server_id, None)
        if upstream is not None:
            upstream.close()
