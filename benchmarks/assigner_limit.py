"""Measures how many slices and proxies one assigner can serve in time, and which limit is reached first.

    python -m benchmarks.assigner_limit [--seconds 9] [--table docs/measurements/assigner-limit.md]

The code of one assigner runs without sockets: it decodes and aggregates usage reports, makes decisions and
encodes updates for every proxy. The simulated deployment delivers usage reports of all proxies in each report
period, health check results, and a drain every third second.

The cost of a phase is its processor time per second of simulated time. At 1.0 one core is fully used and
rounds are late. On a shared machine only ratios within one run are comparable.

Channel x1 has the expected rate (12500 entries per second) and capacity (18800 queued entries). The width of
the other channels grows with the number of proxies. A row without deciding rounds means that no update fits
into the channel, so that its limit was reached first.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path

import click

from puffintide.assigner.channel import Channel
from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.assigner.runtime import Runtime
from puffintide.decisions.actions import SetWeight, SetWithdrawn
from puffintide.decisions.events import (
    CheckpointAcknowledged,
    EndpointStatus,
    HealthCheckResult,
    HealthCheckStatus,
)
from puffintide.decisions.settings import AdmissionMode, RepeatSafety, RequestClass, Settings
from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode

# Numbers of slices and of proxies.
DEPLOYMENT_SIZES = ((100, 50), (500, 155), (1000, 300), (2000, 600), (4000, 600), (2000, 1500), (8000, 1500))
CHANNEL_ENTRIES_PER_S = 12500.0
CHANNEL_CAPACITY_ENTRIES = 18800.0
CHANNEL_DELAY_S = 0.4
PROXIES_PER_CHANNEL_WIDTH = 155  # Number of proxies for which channel x1 is sized.
UNLIMITED_CAPACITY = 1e12  # The assigner's channel drops no update, so its queue is unbounded here.
REPORT_PERIOD_S = 0.5
REPORT_ENTRIES_PER_S = 300.0
MIN_SERVERS = 8
SLICES_PER_SERVER = 6
SLICES_PER_REPORT = 60  # Number of slices that one proxy uses in a report period.
SERVERS_PER_REPORT = SLICES_PER_REPORT // 3
ZONE_COUNT = 2
CLASS_COUNT = 3
SIMULATION_START_S = 1000.0
SIMULATION_STEP_S = 0.25
STEPS_PER_S = 4
STEPS_PER_REPORT = 2
STEPS_PER_DRAIN = 12
FIRST_DRAIN_STEP = 8
HEALTH_CHECK_GROUPS = 3  # Each step delivers the results of a third of the servers.
HEADINGS = (
    "slices",
    "proxies",
    "channel",
    "reports",
    "decisions",
    "updates",
    "cores in all",
    "longest round s",
    "most queued",
    "rounds that decide",
)


class WorkPhase(StrEnum):
    """A phase of an assigner's work whose cost is measured separately."""

    REPORTS = "reports"
    DECISIONS = "decisions"
    UPDATES = "updates"


def make_settings(slice_count: int, proxy_count: int, channel_width: float) -> Settings:
    """Return the settings of one assigner that owns all slices.

    Args:
        slice_count: Number of slices of the deployment.
        proxy_count: Number of proxies of the deployment.
        channel_width: Factor by which the channel's rate and capacity are multiplied.
    """
    request_class = RequestClass(RepeatSafety.IDEMPOTENT, "all", 0.0, 0.75, 2.5, 3.0, False)
    return Settings(
        assigner_index=0,
        assigner_count=1,
        seed=1,
        zone=0,
        zone_count=ZONE_COUNT,
        request_classes=(request_class,) * CLASS_COUNT,
        slice_count=slice_count,
        proxy_count=proxy_count,
        single_writer=False,
        caches_keys=True,
        default_retry_mode=0,
        retry_wait_objectives=1.0,
        proxy_ejection_failures=0,
        admission_mode=AdmissionMode.NONE,
        channel_entries_per_s=CHANNEL_ENTRIES_PER_S * channel_width,
        channel_header_entries=12.0,
        channel_capacity_entries=CHANNEL_CAPACITY_ENTRIES * channel_width,
        channel_delay_s=CHANNEL_DELAY_S,
        channel_delay_max_s=1.2,
        max_messages_per_window=20,
        message_window_s=10.0,
        report_period_s=REPORT_PERIOD_S,
        report_entries_per_s=REPORT_ENTRIES_PER_S,
        load_value_names=("rif",),
        health_checks_enabled=True,
        watch_on_request=False,
        drain_grace_s=3.5,
        slow_start_min_fraction=0.22,
        slow_start_duration_s=18.0,
        collapse_load_ratio=3.0,
        collapse_duration_s=1.5,
        max_unserved_s=6.9,
    )


class PhaseCosts:
    """Processor time of each phase.

    Attributes:
        seconds: Total processor time of each phase, in seconds.
        longest_round_s: Longest processor time of one decision round, in seconds.
    """

    def __init__(self) -> None:
        self.seconds = dict.fromkeys(WorkPhase, 0.0)
        self.longest_round_s = 0.0

    @contextlib.contextmanager
    def measured(self, phase: WorkPhase) -> Iterator[None]:
        """Add the processor time of the enclosed block to a phase."""
        started_at_s = time.process_time()
        yield
        spent_s = time.process_time() - started_at_s
        self.seconds[phase] += spent_s
        if phase is WorkPhase.DECISIONS:
            self.longest_round_s = max(self.longest_round_s, spent_s)


class AssignerLoad:
    """An assigner without sockets and the simulated deployment that sends it events."""

    def __init__(self, slice_count: int, proxy_count: int, channel_width: float) -> None:
        self.phase_costs = PhaseCosts()
        self.deciding_rounds = 0
        self.channel = Channel(CHANNEL_ENTRIES_PER_S * channel_width, UNLIMITED_CAPACITY)
        self._slice_count = slice_count
        self._server_count = max(MIN_SERVERS, slice_count // SLICES_PER_SERVER)
        self._now_s = SIMULATION_START_S
        self._runtime = Runtime(make_settings(slice_count, proxy_count, channel_width))
        self._aggregator = LoadReportAggregator(REPORT_ENTRIES_PER_S)
        # Arrival time, proxy id and checkpoint id of each acknowledgement that is under way.
        self._pending_checkpoints: list[tuple[float, int, int]] = []
        self._reports = [encode(self._usage_report(proxy_id)) for proxy_id in range(proxy_count)]
        self._connect(proxy_count)

    def run(self, duration_s: int) -> None:
        """Simulate the deployment for a number of seconds."""
        for step in range(duration_s * STEPS_PER_S):
            self._now_s += SIMULATION_STEP_S
            if step % STEPS_PER_REPORT == 0:
                self._receive_reports()
            if step % STEPS_PER_DRAIN == FIRST_DRAIN_STEP:
                self._drain_server(step)
            self._receive_health_checks(step)
            self._receive_checkpoints()
            self._run_round()
            self._send_updates()

    def _connect(self, proxy_count: int) -> None:
        entries = [self._entry(server_id, EndpointStatus.READY) for server_id in range(self._server_count)]
        self._runtime.on_watch_event(self._now_s, m.WatchEvent("full", 1, entries))
        for proxy_id in range(proxy_count):
            self.channel.add_proxy(proxy_id)
            self._runtime.on_proxy_connected(self._now_s, proxy_id, proxy_id % ZONE_COUNT, 1.0, True)
        for slice_id in range(self._slice_count):
            table = [m.TableEntry(slice_id % self._server_count, 1.0, "")]
            ownership = m.SliceOwnership(slice_id, slice_id + 1, 0, table)
            self._runtime.on_ownership_granted(self._now_s, ownership)

    @staticmethod
    def _entry(server_id: int, status: EndpointStatus) -> m.EndpointEntry:
        return m.EndpointEntry(
            server_id,
            zone=server_id % ZONE_COUNT if status == EndpointStatus.READY else 0,
            server_type=0,
            cell=0,
            status=status,
            weight=4.0,
            incarnation=1,
            age_s=-1.0,
            address=f"127.0.0.1:{9000 + server_id}" if status == EndpointStatus.READY else "",
        )

    def _usage_report(self, proxy_id: int) -> m.UsageReport:
        servers = [
            m.ServerUsage((proxy_id + index) % self._server_count, 2, 0, 0.2, [3.0])
            for index in range(min(self._server_count, SERVERS_PER_REPORT))
        ]
        slices = [
            m.SliceUsage((proxy_id * 7 + index) % self._slice_count, index % CLASS_COUNT, 1, 0)
            for index in range(min(self._slice_count, SLICES_PER_REPORT))
        ]
        return m.UsageReport(REPORT_PERIOD_S, servers, slices)

    def _receive_reports(self) -> None:
        with self.phase_costs.measured(WorkPhase.REPORTS):
            for proxy_id, line in enumerate(self._reports):
                message = decode(line)
                assert isinstance(message, m.UsageReport)
                self._aggregator.add_usage(self._now_s, proxy_id % ZONE_COUNT, message)
            self._runtime.add_events(self._now_s, *self._aggregator.drain_reports(self._now_s))

    def _drain_server(self, step: int) -> None:
        server_id = step // STEPS_PER_DRAIN % self._server_count
        entry = self._entry(server_id, EndpointStatus.DRAINING)
        self._runtime.on_watch_event(self._now_s, m.WatchEvent("delta", step, [entry]))

    def _receive_health_checks(self, step: int) -> None:
        server_ids = range(step % HEALTH_CHECK_GROUPS, self._server_count, HEALTH_CHECK_GROUPS)
        results = [HealthCheckResult(i, HealthCheckStatus.OK, 0.004, (3.0,)) for i in server_ids]
        self._runtime.add_events(self._now_s, *results)

    def _receive_checkpoints(self) -> None:
        arrived_checkpoints = [pending for pending in self._pending_checkpoints if pending[0] <= self._now_s]
        self._pending_checkpoints = [
            pending for pending in self._pending_checkpoints if pending[0] > self._now_s
        ]
        events = [
            CheckpointAcknowledged(proxy_id, checkpoint_id, CHANNEL_DELAY_S)
            for _, proxy_id, checkpoint_id in arrived_checkpoints
        ]
        self._runtime.add_events(self._now_s, *events)

    def _run_round(self) -> None:
        with self.phase_costs.measured(WorkPhase.DECISIONS):
            effects = self._runtime.tick(self._now_s)
        if effects is None:
            return
        for proxy_id, update in effects.proxy_updates:
            self.channel.enqueue(proxy_id, update)
        has_decision = any(isinstance(action, SetWeight | SetWithdrawn) for action in effects.actions)
        self.deciding_rounds += has_decision

    def _send_updates(self) -> None:
        with self.phase_costs.measured(WorkPhase.UPDATES):
            sent, _ = self.channel.dequeue(self._now_s)
            for proxy_id, update in sent:
                encode(update)
                if update.checkpoint_id is not None:
                    arrival_s = self._now_s + CHANNEL_DELAY_S
                    self._pending_checkpoints.append((arrival_s, proxy_id, update.checkpoint_id))


def table_row(slice_count: int, proxy_count: int, channel_width: float, duration_s: int) -> str:
    """Measure one deployment size and return its table row."""
    load = AssignerLoad(slice_count, proxy_count, channel_width)
    load.run(duration_s)
    cores_by_phase = [seconds / duration_s for seconds in load.phase_costs.seconds.values()]
    cells = [
        str(slice_count),
        str(proxy_count),
        f"x{channel_width:.1f}",
        *(f"{cores:.3f}" for cores in cores_by_phase),
        f"{sum(cores_by_phase):.2f}",
        f"{load.phase_costs.longest_round_s:.3f}",
        f"{load.channel.max_queued_entries:.0f}",
        str(load.deciding_rounds),
    ]
    return f"| {' | '.join(cells)} |"


@click.command()
@click.option("--seconds", default=9, type=click.IntRange(3, 120))
@click.option("--table", default="")
def main(seconds: int, table: str) -> None:
    """Print a row for each size and channel width, and write the table to a file."""
    lines = [f"| {' | '.join(HEADINGS)} |", "| " + " | ".join(["---"] * len(HEADINGS)) + " |"]
    for slice_count, proxy_count in DEPLOYMENT_SIZES:
        for width in sorted({1.0, max(1.0, proxy_count / PROXIES_PER_CHANNEL_WIDTH)}):
            lines.append(table_row(slice_count, proxy_count, width, seconds))
            click.echo(lines[-1])
    if table:
        Path(table).parent.mkdir(parents=True, exist_ok=True)
        Path(table).write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
