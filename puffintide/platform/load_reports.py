"""Passes the load reports of collectors to the runtime."""

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
    """Numbers of valid reports since the start."""

    server: int = 0
    slice: int = 0


class LoadReports:
    """Converts load reports to events of the runtime."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.counters = ReportCounters()

    def receive(self, report: ServerReport | SliceReport) -> None:
        """Convert a report to an event and add it to the runtime.

        Raises:
            InvalidMessageError: The report has invalid values and is ignored.
        """
        event = self._to_event(report)
        self.context.runtime.add_events(self.context.rounds.now_s(), event)
        self.context.rounds.schedule()

    def _to_event(self, report: ServerReport | SliceReport) -> Event:
        event: Event
        if isinstance(report, ServerReport):
            event = server_load_report(report, self.context.names, self.context.hosts)
            self.counters.server += 1
        else:
            event = slice_load_report(report, self.context.names, self.context.settings.slice_count)
            self.counters.slice += 1
        return event
