"""Passes the load reports of collectors on to the runtime."""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.decisions.events import Event
from puffintide.platform.client_messages import (
    ServerReport,
    SliceReport,
    server_load_report,
    slice_load_report,
)
from puffintide.platform.context import Context


@dataclass(slots=True)
class ReportCounters:
    """Valid reports since the start."""

    server: int = 0
    slice: int = 0


class LoadReports:
    """Converts reports to events."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.counters = ReportCounters()

    def receive(self, report: ServerReport | SliceReport) -> None:
        """Handle a report.

        Raises:
            InvalidMessageError: The report has impossible values and is left out.
        """
        event = self._event(report)
        self.context.runtime.add_events(self.context.rounds.now_s(), event)
        self.context.rounds.schedule()

    def _event(self, report: ServerReport | SliceReport) -> Event:
        event: Event
        if isinstance(report, ServerReport):
            event = server_load_report(report, self.context.names, self.context.hosts)
            self.counters.server += 1
        else:
            event = slice_load_report(report, self.context.names, self.context.settings.slice_count)
            self.counters.slice += 1
        return event
