"""Sessions of connected proxies, which handle their greetings, usage reports and checkpoint replies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffintide.assigner.handover import FIRST_CHECKPOINT_ID
from puffintide.assigner.handover_runner import HandoverRunner
from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.assigner.proxy_updates import PROXY, ProxyUpdateSender
from puffintide.assigner.runtime import Runtime
from puffintide.decisions.events import CheckpointAcknowledged
from puffintide.protocol import messages as m
from puffintide.protocol.clock import Clock
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import UNIDENTIFIED_PEER, Stream
from puffintide.protocol.validation import usage_report_problem

MAX_PROXY_ID = 65534  # Largest id of a proxy; larger ones are rejected.


class ProxySessions:
    """Handles the sessions of all proxies; a new connection of a proxy replaces its previous stream."""

    def __init__(
        self,
        clock: Clock,
        runtime: Runtime,
        proxy_updates: ProxyUpdateSender,
        load_reports: LoadReportAggregator,
        handover_runner: HandoverRunner | None,
        log: Any,
        on_events: Callable[[], None],
    ) -> None:
        """Create the sessions.

        Args:
            clock: The clock that supplies the time of events.
            runtime: The runtime that receives events.
            proxy_updates: The sender of updates, which owns the streams.
            load_reports: The aggregator that receives usage reports.
            handover_runner: The runner of handovers; None if slices may have several writers.
            log: The structured logger.
            on_events: Called after events were added to the runtime.
        """
        self.clock = clock
        self.runtime = runtime
        self.proxy_updates = proxy_updates
        self.load_reports = load_reports
        self.handover_runner = handover_runner
        self.log = log
        self.on_events = on_events

    def on_connected(self, stream: Stream, hello: m.Hello) -> None:
        """Add a proxy that connected, and close its previous stream if there is one."""
        now = self.clock.seconds()
        previous_stream = self.proxy_updates.streams.get(hello.id)
        if previous_stream is not None:
            previous_stream.peer = UNIDENTIFIED_PEER
            previous_stream.abort(f"proxy {hello.id} opened a new connection")
            self._remove(now, hello.id)
        self.proxy_updates.add_proxy(hello.id, stream)
        if self.handover_runner is not None:
            handover = self.handover_runner.handover
            self.handover_runner.run(handover.on_proxy_connected(now, hello.id))
        self.runtime.on_proxy_connected(now, hello.id, hello.zone, 0.0, hello.first_connection)
        self.log.info(
            "proxy_connected", proxy_id=hello.id, zone=hello.zone, first_connection=hello.first_connection
        )
        self.on_events()

    def on_message(self, stream: Stream, message: AnyMessage) -> None:
        """Handle a message from a proxy; a type of message that assigners do not accept is rejected."""
        match message:
            case m.UsageReport():
                self._on_usage_report(stream, message)
            case m.CheckpointReply():
                self._on_checkpoint_reply(stream.peer.id, message.checkpoint_id)
            case _:
                stream.reject(f"unexpected {type(message).__name__} message from a proxy")

    def on_lost(self, stream: Stream) -> None:
        """Remove the proxy whose stream was lost, unless it has connected again."""
        proxy_id = stream.peer.id
        if stream.peer.role == PROXY and self.proxy_updates.streams.get(proxy_id) is stream:
            self._remove(self.clock.seconds(), proxy_id)
            self.log.warning("proxy_disconnected", proxy_id=proxy_id, reason=stream.close_reason)
            self.on_events()

    def _remove(self, now: float, proxy_id: int) -> None:
        """Remove a proxy from the sender of updates, the handover and the runtime."""
        self.proxy_updates.remove_proxy(proxy_id)
        if self.handover_runner is not None:
            handover = self.handover_runner.handover
            self.handover_runner.run(handover.on_proxy_disconnected(now, proxy_id))
        self.runtime.on_proxy_disconnected(now, proxy_id)

    def _on_usage_report(self, stream: Stream, report: m.UsageReport) -> None:
        """Add a usage report to the load reports, or reject it if a value is out of range."""
        settings = self.runtime.settings
        problem = usage_report_problem(report, settings.slice_count, len(settings.request_classes))
        if problem is not None:
            stream.reject(f"invalid usage report: {problem}")
            return
        zone = self.runtime.proxy_zones.get(stream.peer.id)
        if zone is not None:
            self.load_reports.add_usage(self.clock.seconds(), zone, report)

    def _on_checkpoint_reply(self, proxy_id: int, checkpoint_id: int) -> None:
        """Pass a checkpoint reply to the handover or the decision module, whichever sent the checkpoint."""
        now = self.clock.seconds()
        if checkpoint_id >= FIRST_CHECKPOINT_ID:
            if self.handover_runner is not None:
                handover = self.handover_runner.handover
                self.handover_runner.run(handover.on_checkpoint_reply(now, proxy_id, checkpoint_id))
            return
        delay_s = self.proxy_updates.on_checkpoint_reply(checkpoint_id)
        self.runtime.add_events(now, CheckpointAcknowledged(proxy_id, checkpoint_id, delay_s))
        self.on_events()
