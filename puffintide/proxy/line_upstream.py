"""The stream to one server in the line protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream

if TYPE_CHECKING:
    from puffintide.proxy.line_proxy import LineProxy

HEARTBEAT_INTERVAL_S = 30.0
HEARTBEAT_TIMEOUT_S = 90.0


class LineUpstream:
    """Connects to one server without reconnecting, and passes its responses to the engine."""

    def __init__(self, proxy: LineProxy, server_id: int, address: str) -> None:
        self.proxy = proxy
        self.server_id = server_id
        self._stream_client = StreamClient(
            proxy.reactor,
            address,
            proxy.greeting,
            self._on_message,
            self._on_lost,
            reconnect=False,
            connect_timeout_s=proxy.process.connect_s,
            heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
            heartbeat_timeout_s=HEARTBEAT_TIMEOUT_S,
            tls=proxy.tls,
        )

    def connect(self) -> None:
        """Start to connect."""
        self._stream_client.start()

    def close(self) -> None:
        """Close the stream, or stop connecting."""
        self._stream_client.stop()

    def _on_message(self, stream: Stream, message: AnyMessage) -> None:
        engine = self.proxy.engine
        now_s = self.proxy.now_s()
        match message:
            case m.Welcome():
                self.proxy.server_streams[self.server_id] = stream
                self.proxy.run_effects(engine.on_server_connected(now_s, self.server_id))
            case m.AttemptResponse():
                effects = engine.on_response(
                    now_s, self.server_id, message.attempt_id, message.status, message.load_values
                )
                self.proxy.run_effects(effects)
            case _:
                stream.reject(f"unexpected {type(message).__name__} message from a server")

    def _on_lost(self, _reason: str) -> None:
        self.proxy.on_upstream_lost(self)
