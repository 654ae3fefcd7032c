"""The proxy's streams to the assigners, which send weights and levels, and to the store, which has the tables."""

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

WRITE_CHECK_INTERVAL_S = 0.02  # how often writes in flight delay a checkpoint's reply
STORE_ID = -1  # beside the assigners' ids


class ControlPlane:
    """Applies what assigners and store send to all engines of one proxy.

    Args:
        reactor: Clock and connections.
        config: Deployment and intervals.
        process: Identity of this proxy, addresses of assigners and store.
        log: Gets losses of assigners.
        drivers: Those of the proxy's engines, which share their tables; the first one owns them.
        random: Jitter of reconnects.
        tls: Context factory of outgoing streams; None: without TLS.
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
        self.assigners: dict[int, Stream] = {}  # those connected
        self.store: Stream | None = None
        self._contacted: set[int] = set()  # assigners, and STORE_ID
        self._store_revision: tuple[int, str] = (-1, "")  # and store id, of the last complete reading
        self._next_reading: DelayedCall | None = None
        self._diallers = [
            self._assigner_dialler(assigner_id, address, random, tls)
            for assigner_id, address in enumerate(process.assigners)
        ]
        self._diallers.append(self._store_dialler(process.store, random, tls))

    def _assigner_dialler(
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

    def _store_dialler(self, address: str, random: Random, tls: TlsContextFactory | None) -> StreamClient:
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
        for dialler in self._diallers:
            dialler.start()

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
        """Report to each connected assigner what was counted for it."""
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
                self._start_readings()
            case m.ProxyUpdate():
                error = proxy_update_problem(message)
                if error is None:
                    self._apply_update(assigner_id, stream, message)
                else:
                    stream.reject(f"proxy update: {error}")
            case _:
                stream.reject(f"a {type(message).__name__} is not for a proxy")

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
        """Acknowledge a checkpoint; with a single writer, once writes to the cleared slices have ended."""
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
        if self.assigners.pop(assigner_id, None) is not None:
            self.engine.on_assigner_disconnected(self.drivers[0].now_s(), assigner_id)
            self.log.warning("assigner_connection_lost", assigner_id=assigner_id, reason=reason)

    # Store ---------------------------------------------------------------------------------------

    def _start_readings(self) -> None:
        """Read the store now, a second time for what was on its way to it, and periodically after that.

        Updates are missed while a stream to an assigner is down; the periodic readings also replace a message lost
        on a connected stream, which nothing else would show.
        """
        self._request_tables()
        cancel_if_active(self._next_reading)
        self._next_reading = self.reactor.callLater(self.config.charge.reread_s, self._read_periodically)

    def _read_periodically(self) -> None:
        self._request_tables()
        self._next_reading = self.reactor.callLater(self.config.charge.refresh_s, self._read_periodically)

    def _request_tables(self) -> None:
        if self.store is not None:
            self.store.send(m.ReadRequest(*self._store_revision))

    def _on_store_message(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case m.Welcome():
                self.store = stream
                self._start_readings()
            case m.SliceOwnerships():
                self._apply_ownerships(stream, message.ownerships)
            case m.ReadComplete():
                self._store_revision = (message.revision, message.store_id)
            case _:
                stream.reject(f"a {type(message).__name__} is not for a proxy")

    def _apply_ownerships(self, stream: Stream, ownerships: Sequence[m.SliceOwnership]) -> None:
        for ownership in ownerships:
            error = weights_problem(ownership.entries)
            if error is not None:
                stream.reject(f"ownerships: {error}")
                return
        owner = self.drivers[0]
        owner.run_effects(self.engine.on_slice_ownerships(owner.now_s(), ownerships))
        self._notify_other_engines()

    def _on_store_lost(self, _reason: str) -> None:
        self.store = None
