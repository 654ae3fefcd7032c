"""Logs periodic statistics of the process and its components."""

from __future__ import annotations

import os
import resource
from dataclasses import asdict

from puffintide.platform.context import Context
from puffintide.platform.health_checks import HealthChecks
from puffintide.platform.listener import Listener
from puffintide.platform.load_reports import LoadReports
from puffintide.platform.relay_session import RelaySession

PERIOD_S = 5.0  # Interval between two log lines, in seconds.
BYTES_PER_MB = 1e6
MS_PER_S = 1000


class Statistics:
    """Logs the event `stats` periodically."""

    def __init__(
        self,
        context: Context,
        listener: Listener,
        load_reports: LoadReports,
        relay: RelaySession,
        health_checks: HealthChecks,
    ) -> None:
        self.context = context
        self.listener = listener
        self.load_reports = load_reports
        self.relay = relay
        self.health_checks = health_checks

    def start(self) -> None:
        """Start to log the statistics after each period."""
        self.context.reactor.callLater(PERIOD_S, self._log)

    def _log(self) -> None:
        self.context.reactor.callLater(PERIOD_S, self._log)
        self.context.log(
            "stats",
            **self._process_fields(),
            **self._round_fields(),
            **self._state_fields(),
            **self._io_fields(),
        )
        self.context.rounds.counters.reset_maxima()
        self.relay.client.max_duration_s = 0.0

    def _process_fields(self) -> dict[str, object]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "cpu_s": round(usage.ru_utime + usage.ru_stime, 2),
            "rss_mb": round(resident_memory_mb(), 1),
            "descriptors": len(os.listdir("/proc/self/fd")),
        }

    def _round_fields(self) -> dict[str, object]:
        counters = self.context.rounds.counters
        return {
            "rounds": counters.rounds,
            "round_cpu_s": round(counters.cpu_s, 2),
            "round_max_ms": round(counters.max_duration_s * MS_PER_S, 1),
            "timer_delay_max_ms": round(counters.max_timer_delay_s * MS_PER_S, 1),
        }

    def _state_fields(self) -> dict[str, object]:
        runtime = self.context.runtime
        return {
            "proxies": len(runtime.proxy_zones),
            "slices": len(runtime.fencing_tokens),
            "servers": len(runtime.endpoints),
            "hosts": len(self.context.hosts),
            "health_checked": len(self.health_checks.clients),
            "unowned_weights": self.relay.watch.state.unowned_weights,
        }

    def _io_fields(self) -> dict[str, object]:
        return {
            "reports": asdict(self.load_reports.counters),
            "connections": asdict(self.listener.counters),
            "calls": self.relay.client.calls,
            "uncertain_calls": self.relay.outbox.uncertain_calls,
            "queued_orders": len(self.relay.outbox),
            "call_max_ms": round(self.relay.client.max_duration_s * MS_PER_S, 1),
        }


def resident_memory_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / BYTES_PER_MB
