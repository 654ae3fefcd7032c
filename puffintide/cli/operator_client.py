"""Sends an operator's requests to the store or the assigners, and collects the responses."""

from __future__ import annotations

import getpass
from functools import partial
from typing import Any

from puffintide.cli.errors import OperatorError
from puffintide.config.model import Config
from puffintide.config.schema import OperatorSection
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.clock import monotonic_reactor
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream
from puffintide.replication.replica import Replica
from puffintide.tls.context import TlsContextFactory

RESPONSE_TIMEOUT_S = 5.0
NO_ORIGIN = -1  # Origin id of a replica that belongs to no assigner.


class _Exchange:
    """Request on its own stream, and the response to it."""

    def __init__(self, request: m.Message) -> None:
        self.request = request
        self.response: AnyMessage | str | None = None  # A text is the reason why there is no response.
        self.ownerships: list[m.SliceOwnership] = []
        self.deltas: list[m.ReplicationDelta] = []

    def receive(self, message: AnyMessage) -> None:
        """Collect a part of the response, or complete the exchange with its last message."""
        match message:
            case m.SliceOwnerships():
                self.ownerships.extend(message.ownerships)
            case m.ReadComplete():
                self.complete(m.SliceOwnerships(list(self.ownerships)))
            case m.ReplicationDelta():
                self.deltas.append(message)
            case m.VersionDigest() | m.ZoneCommands() | m.ZoneStatusReport() | m.CommandCompleted():
                self.complete(message)
            case m.ConnectionRejected():
                self.complete(message.reason)

    def complete(self, response: AnyMessage | str) -> None:
        """Set the response, unless there is one already."""
        if self.response is None:
            self.response = response


class OperatorClient:
    """Sends requests, and runs the reactor until all have a response or the timeout has passed.

    It can be used once per process, as the reactor cannot be started again.

    Args:
        config: Configuration with an [operator] section.
        tls: Source of TLS contexts, or None for plain TCP.
    """

    def __init__(self, config: Config, tls: TlsContextFactory | None = None) -> None:
        assert config.operator is not None
        self.config = config
        self.operator: OperatorSection = config.operator
        self.tls = tls
        self._reactor: Any = monotonic_reactor()
        self._exchanges: list[_Exchange] = []

    def request_zone_command(self, zone: str, operation: str, pace: float) -> m.ZoneCommands:
        """Send a command that drains, holds or returns a zone.

        Args:
            zone: Name of the zone.
            operation: "drain", "hold" or "return".
            pace: Speed of the steps, as a factor; 1 is the default speed.

        Returns:
            The zone commands in force.

        Raises:
            OperatorError: The zone is unknown, or the store did not accept the command.
        """
        zones = self.config.deployment.zones
        if zone not in zones:
            raise OperatorError(f"zone {zone!r} is unknown; allowed: {', '.join(zones)}")
        command = m.ZoneCommand(zones.index(zone), operation, pace, getpass.getuser())
        response = self._request_store(command)
        if not isinstance(response, m.ZoneCommands):
            raise OperatorError(f"store {self.operator.store}: {response}")
        return response

    def send_to_store(self, message: m.Message) -> str:
        """Send a command to the store, and return the note in its response; empty if there is none.

        Raises:
            OperatorError: The store did not accept the command.
        """
        response = self._request_store(message)
        if isinstance(response, m.CommandCompleted):
            return response.note
        if not isinstance(response, m.ZoneCommands):
            raise OperatorError(f"store {self.operator.store}: {response}")
        return ""

    def read_ownerships(self) -> list[m.SliceOwnership]:
        """Read the tables and owners of all slices from the store.

        Raises:
            OperatorError: The store did not respond.
        """
        response = self._request_store(m.ReadRequest())
        if not isinstance(response, m.SliceOwnerships):
            raise OperatorError(f"store {self.operator.store}: {response}")
        return response.ownerships

    def read_replicas(self) -> dict[str, Replica | str]:
        """Read each assigner's replica of the others.

        Returns:
            The replicas by address; a text is the reason why an assigner did not respond.
        """
        self._run([(address, m.ReplicaRequest()) for address in self.operator.assigners])
        replicas: dict[str, Replica | str] = {}
        for address, exchange in zip(self.operator.assigners, self._exchanges, strict=True):
            if isinstance(exchange.response, m.VersionDigest):
                replica = Replica(NO_ORIGIN, 0, self.config.deployment.assigners)
                for delta in exchange.deltas:
                    replica.apply(0.0, delta)
                replicas[address] = replica
            else:
                replicas[address] = str(_response_of(exchange))
        return replicas

    def read_zone_status(self) -> dict[str, m.ZoneStatusReport | str]:
        """Read each assigner's status of the zones.

        Returns:
            The reports by address; a text is the reason why an assigner did not respond.
        """
        self._run([(address, m.ZoneStatusRequest()) for address in self.operator.assigners])
        reports: dict[str, m.ZoneStatusReport | str] = {}
        for address, exchange in zip(self.operator.assigners, self._exchanges, strict=True):
            response = _response_of(exchange)
            reports[address] = response if isinstance(response, m.ZoneStatusReport) else str(response)
        return reports

    def _request_store(self, message: m.Message) -> AnyMessage | str:
        self._run([(self.operator.store, message)])
        return _response_of(self._exchanges[0])

    def _run(self, requests: list[tuple[str, m.Message]]) -> None:
        """Send each request to its address, and wait for the responses or the timeout."""
        self._exchanges = [_Exchange(request) for _, request in requests]
        for (address, _), exchange in zip(requests, self._exchanges, strict=True):
            client = StreamClient(
                self._reactor,
                address,
                self._greeting,
                partial(self._on_message, exchange),
                partial(self._on_lost, exchange),
                reconnect=False,
                tls=self.tls,
            )
            self._reactor.callWhenRunning(client.start)
        self._reactor.callLater(RESPONSE_TIMEOUT_S, self._reactor.stop)
        self._reactor.run()

    def _greeting(self) -> m.Hello:
        return m.Hello(m.PROTOCOL_VERSION, "operator", self.operator.id, 0, self.config.deployment.name)

    def _on_message(self, exchange: _Exchange, stream: Stream, message: AnyMessage) -> None:
        if isinstance(message, m.Welcome):
            stream.send(exchange.request)
        else:
            exchange.receive(message)
            self._stop_if_complete(exchange)

    def _on_lost(self, exchange: _Exchange, reason: str) -> None:
        exchange.complete(reason or "unreachable")
        self._stop_if_complete(exchange)

    def _stop_if_complete(self, exchange: _Exchange) -> None:
        if exchange.response is not None and all(e.response is not None for e in self._exchanges):
            self._reactor.callLater(0, self._stop)

    def _stop(self) -> None:
        if self._reactor.running:
            self._reactor.stop()


def _response_of(exchange: _Exchange) -> AnyMessage | str:
    if exchange.response is None:
        return f"no answer within {RESPONSE_TIMEOUT_S:g} s"
    return exchange.response
