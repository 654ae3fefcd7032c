"""The proxy's streams to the assigners (weights, admission levels) and to the store (tables)."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from puffintide.config.model import Config
from puffintide.config.schema import ProxyProcess
from puffintide.logs import Logger
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream
from puffintide.protocol.validation import proxy_update_problem, weights_problem
from puffintide.proxy.engine_driver import EngineDriver
from puffintide.proxy.load_balancing import Random
from puffintide.proxy.reactor import DelayedCall, Reactor, cancel_if_active
from puffintide.tls.context import TlsContextFactory

# Interval at which a delayed checkpoint reply checks again for writes in flight, in seconds.
WRITE_CHECK_INTERVAL_S = 0.02
STORE_ID = -1  # Peer id of the store; the ids of assigners start at 0.


class ControlPlane:
    """Applies the messages of assigners and store to all engines of one proxy.

    Args:
        reactor: Clock, timers and outgoing connections.
        config: Deployment name, and intervals of reports and table reads.
        process: Identity of this proxy, and the addresses of assigners and store.
        log: Receives a warning for each lost connection to an assigner.
        drivers: Drivers of the proxy's engines, which share their tables; the first one owns the tables.
        random: Source of the jitter of reconnects, uniform in [0, 1).
        tls: Context factory of outgoing streams; None disables TLS.
    """

    def __init__(
        self,
        reactor: Reactor,
        config: Config,
        process: ProxyProcess,
        log: Logger,
        drivers: Sequence[EngineDriver],
        random: Random,
        tls: TlsContextFactory | None = None,
    ) -> None:
        self.reactor = reactor
        self.config = config
        self.process = process
        self.log = log
        self.drivers = drivers
        self.engine = drivers[0].engine
        self.assigners: dict[int, Stream] = {}  # Streams of the connected assigners, keyed by assigner id.
        self.store: Stream | None = None
        self._contacted: set[int] = set()  # Peers greeted before: assigner ids and STORE_ID.
        self._store_revision: tuple[int, str] = (-1, "")  # Revision and store id of the last complete read.
        self._next_table_read: DelayedCall | None = None
        self._stream_clients = [
            self._create_assigner_client(assigner_id, address, random, tls)
            for assigner_id, address in enumerate(process.assigners)
        ]
        self._stream_clients.append(self._create_store_client(process.store, random, tls))

    def _create_assigner_client(
        self, assigner_id: int, address: str, random: Random, tls: TlsContextFactory | None
    ) -> StreamClient:
        return StreamClient(
            self.reactor,
            address,
            partial(self._greeting, assigner_id),
            partial(self._on_assigner_message, assigner_id),
            partial(self._on_assigner_lost, assigner_id),
            random,
            tls=tls,
        )

    def _create_store_client(
        self, address: str, random: Random, tls: TlsContextFactory | None
    ) -> StreamClient:
        return StreamClient(
            self.reactor,
            address,
            partial(self._greeting, STORE_ID),
            self._on_store_message,
            self._on_store_lost,
            random,
            tls=tls,
        )

    def start(self) -> None:
        """Connect to the assigners and the store."""
        for client in self._stream_clients:
            client.start()

    def _greeting(self, peer_id: int) -> m.Hello:
        is_first_connection = peer_id not in self._contacted
        self._contacted.add(peer_id)
        return m.Hello(
            m.PROTOCOL_VERSION,
            "proxy",
            self.process.id,
            self.process.zone,
            self.config.deployment.name,
            first_connection=is_first_connection,
            highest_token=self.engine.tables.highest_token if peer_id == STORE_ID else 0,
        )

    def send_usage_reports(self) -> None:
        """Send each connected assigner the usage that was counted for it since its last report."""
        now_s = self.drivers[0].now_s()
        interval_s = self.config.reports.period_s
        for assigner_id, stream in sorted(self.assigners.items()):
            report = self.engine.take_usage_report(now_s, assigner_id, interval_s)
            if report is not None:
                stream.send(report)

    # Assigners -----------------------------------------------------------------------------------

    def _on_assigner_message(self, assigner_id: int, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Welcome():
                self.assigners[assigner_id] = stream
                self.engine.tables.on_assigner_connected(assigner_id)
                self._start_table_reads()
            case m.ProxyUpdate():
                error = proxy_update_problem(message)
                if error is None:
                    self._apply_update(assigner_id, stream, message)
                else:
                    stream.reject(f"proxy update: {error}")
            case _:
                stream.reject(f"unexpected {type(message).__name__} message from an assigner")

    def _apply_update(self, assigner_id: int, stream: Stream, update: m.ProxyUpdate) -> None:
        owner = self.drivers[0]
        owner.run_effects(self.engine.on_proxy_update(owner.now_s(), assigner_id, update))
        self._notify_other_engines(admission_changed=update.admission_levels != [])
        if update.checkpoint_id is not None:
            self._reply_to_checkpoint(stream, update.checkpoint_id, update.cleared_slices)

    def _notify_other_engines(self, admission_changed: bool = False) -> None:
        for driver in self.drivers[1:]:
            driver.run_effects(driver.engine.on_tables_changed(driver.now_s(), admission_changed))

    def _reply_to_checkpoint(self, stream: Stream, checkpoint_id: int, cleared_slices: Sequence[int]) -> None:
        """Acknowledge a checkpoint.

        With a single writer per slice, the reply waits until all writes to the cleared slices have ended.
        """
        if stream.closed:
            return
        if cleared_slices and self.engine.settings.single_writer and self._has_writes(cleared_slices):
            self.reactor.callLater(
                WRITE_CHECK_INTERVAL_S, self._reply_to_checkpoint, stream, checkpoint_id, cleared_slices
            )
        else:
            stream.send(m.CheckpointReply(checkpoint_id))

    def _has_writes(self, slice_ids: Sequence[int]) -> bool:
        return any(driver.engine.has_writes_in_flight(slice_ids) for driver in self.drivers)

    def _on_assigner_lost(self, assigner_id: int, reason: str) -> None:
        stream = self.assigners.pop(assigner_id, None)
        if stream is not None:
            lost_at_s = stream.session.lost_at_s(self.drivers[0].now_s())
            self.engine.on_assigner_disconnected(lost_at_s, assigner_id)
            self.log.warning("assigner_connection_lost", assigner_id=assigner_id, reason=reason)

    # Store ---------------------------------------------------------------------------------------

    def _start_table_reads(self) -> None:
        """Read the tables from the store now, once more after a delay, and periodically after that.

        Updates are missed while the stream to an assigner is down. The second read covers writes that had not
        reached the store at the first one. The periodic reads also recover a message lost on a connected
        stream, which is not detected in any other way.
        """
        self._request_tables()
        cancel_if_active(self._next_table_read)
        self._next_table_read = self.reactor.callLater(
            self.config.charge.reread_s, self._read_tables_periodically
        )

    def _read_tables_periodically(self) -> None:
        self._request_tables()
        self._next_table_read = self.reactor.callLater(
            self.config.charge.refresh_s, self._read_tables_periodically
        )

    def _request_tables(self) -> None:
        if self.store is not None:
            self.store.send(m.ReadRequest(*self._store_revision))

    def _on_store_message(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Welcome():
                self.store = stream
                self._start_table_reads()
            case m.SliceOwnerships():
                self._apply_ownerships(stream, message.ownerships)
            case m.ReadComplete():
                self._store_revision = (message.revision, message.store_id)
            case _:
                stream.reject(f"unexpected {type(message).__name__} message from the store")

    def _apply_ownerships(self, stream: Stream, ownerships: Sequence[m.SliceOwnership]) -> None:
        for ownership in ownerships:
            error = weights_problem(ownership.entries)
            if error is not None:
                stream.reject(f"slice ownerships: {error}")
                return
        owner = self.drivers[0]
        owner.run_effects(self.engine.on_slice_ownerships(owner.now_s(), ownerships))
        self._notify_other_engines()

    def _on_store_lost(self, _reason: str) -> None:
        self.store = None
