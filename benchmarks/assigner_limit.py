"""How many slices and proxies one assigner carries before a round is late, and what gives first.

    python -m benchmarks.assigner_limit [--seconds 6] [--table docs/measurements/assigner-limit.md]

One assigner's own code (sums decoded and gathered, module, orders encoded for every proxy), fed as a deployment
would feed it, without sockets: proxies' sums each period, probes' answers, and a drain every third second. The
cost is the processor time of each part for a second of deployment time; at 1.0 a core is full and rounds are late.
Only ratios within one run mean anything on a shared machine. Channel x1 is the pace and limit of the users' size to
come (12500 lines a second, 18800 waiting); wider ones grow with the proxies. A row without rounds that order means
that nothing fits into the channel any more: its limit gave first.
"""

from __future__ import annotations

import time
from pathlib import Path

import click

from puffintide.assigner.channel import Channel
from puffintide.assigner.load_reports import LoadReportAggregator
from puffintide.assigner.runtime import Runtime
from puffintide.decisions.actions import SetWeight, SetWithdrawn
from puffintide.decisions.events import CheckpointAcknowledged, HealthCheckResult, HealthCheckStatus
from puffintide.decisions.settings import AdmissionMode, RepeatSafety, RequestClass, Settings
from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode

SIZES = ((100, 50), (500, 155), (1000, 300), (2000, 600), (4000, 600), (2000, 1500), (8000, 1500))
SLICES_A_SERVER = 6
TOUCHED = 60  # slices and a third as many servers that one proxy meets in a period


def settings(slices: int, proxies: int, channel: float) -> Settings:
    kind = RequestClass(RepeatSafety.IDEMPOTENT, "all", 0.0, 0.75, 2.5, 3.0, False)
    return Settings(
        assigner_index=0,
        assigner_count=1,
        seed=1,
        zone=0,
        zone_count=2,
        request_classes=(kind, kind, kind),
        slice_count=slices,
        proxy_count=proxies,
        single_writer=False,
        caches_keys=True,
        default_retry_mode=0,
        retry_wait_objectives=1.0,
        proxy_ejection_failures=0,
        admission_mode=AdmissionMode.NONE,
        channel_entries_per_s=12500.0 * channel,
        channel_header_entries=12.0,
        channel_capacity_entries=18800.0 * channel,
        channel_delay_s=0.4,
        channel_delay_max_s=1.2,
        max_messages_per_window=20,
        message_window_s=10.0,
        report_period_s=0.5,
        report_entries_per_s=300.0,
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


class Cost:
    def __init__(self) -> None:
        self.parts: dict[str, float] = {}
        self.longest = 0.0

    def add(self, part: str, began: float) -> None:
        took = time.process_time() - began
        self.parts[part] = self.parts.get(part, 0.0) + took
        if part == "module":
            self.longest = max(self.longest, took)


def run(slices: int, proxies: int, seconds: int, width: float) -> tuple[dict[str, float], float, float, int]:
    """Costs a second by part, the longest round, lines waiting at the most, drains that were carried out."""
    servers = max(8, slices // SLICES_A_SERVER)
    runtime = Runtime(settings(slices, proxies, width))
    channel, gather = Channel(12500.0 * width, 1e12), LoadReportAggregator(300.0)
    cost, carried = Cost(), 0
    now = 1000.0
    rows = [m.EndpointEntry(s, s % 2, 0, 0, 1, 4.0, 1, -1.0, f"127.0.0.1:{9000 + s}") for s in range(servers)]
    runtime.on_watch_event(now, m.WatchEvent("full", 1, rows))
    for p in range(proxies):
        channel.add_proxy(p)
        runtime.on_proxy_connected(now, p, p % 2, 1.0, True)
    for n in range(slices):
        runtime.on_ownership_granted(now, m.SliceOwnership(n, n + 1, 0, [m.TableEntry(n % servers, 1.0, "")]))
    sums = [
        encode(
            m.UsageReport(
                0.5,
                [
                    m.ServerUsage((p + k) % servers, 2, 0, 0.2, [3.0])
                    for k in range(min(servers, TOUCHED // 3))
                ],
                [m.SliceUsage((p * 7 + k) % slices, k % 3, 1, 0) for k in range(min(slices, TOUCHED))],
            )
        )
        for p in range(proxies)
    ]
    pending: list[tuple[float, int, int]] = []
    for tick in range(seconds * 4):
        now += 0.25
        if tick % 2 == 0:
            began = time.process_time()
            for p, line in enumerate(sums):
                message = decode(line)
                assert isinstance(message, m.UsageReport)
                gather.add_usage(now, p % 2, message)
            runtime.add_events(now, *gather.drain_reports(now))
            cost.add("sums", began)
        if tick % 12 == 8:
            lost = tick // 12
            runtime.on_watch_event(
                now,
                m.WatchEvent("delta", tick, [m.EndpointEntry(lost % servers, 0, 0, 0, 2, 4.0, 1, -1.0, "")]),
            )
        runtime.add_events(
            now,
            *(HealthCheckResult(s, HealthCheckStatus.OK, 0.004, (3.0,)) for s in range(tick % 3, servers, 3)),
        )
        due = [x for x in pending if x[0] <= now]
        pending = [x for x in pending if x[0] > now]
        runtime.add_events(now, *(CheckpointAcknowledged(p, mark, 0.4) for _, p, mark in due))
        began = time.process_time()
        effects = runtime.tick(now)
        cost.add("module", began)
        if effects is not None:
            for proxy, order in effects.proxy_updates:
                channel.enqueue(proxy, order)
            carried += any(isinstance(a, SetWeight | SetWithdrawn) for a in effects.actions)
        began = time.process_time()
        sent, _ = channel.dequeue(now)
        for proxy, order in sent:
            encode(order)
            if order.checkpoint_id is not None:
                pending.append((now + 0.4, proxy, order.checkpoint_id))
        cost.add("orders", began)
    return {k: v / seconds for k, v in cost.parts.items()}, cost.longest, channel.max_queued_entries, carried


@click.command()
@click.option("--seconds", default=9, type=click.IntRange(3, 120))
@click.option("--table", default="")
def main(seconds: int, table: str) -> None:
    head = ["slices", "proxies", "channel", "sums", "module", "orders", "core in all", "longest round s"]
    head += ["most waiting", "rounds with orders"]
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join(["---"] * len(head)) + " |"]
    for slices, proxies in SIZES:
        for width in sorted({1.0, max(1.0, proxies / 155)}):
            parts, longest, waiting, carried = run(slices, proxies, seconds, width)
            lines.append(
                f"| {slices} | {proxies} | x{width:.1f} | {parts['sums']:.3f} | {parts['module']:.3f} "
                f"| {parts['orders']:.3f} | {sum(parts.values()):.2f} | {longest:.3f} | {waiting:.0f} | {carried} |"
            )
            click.echo(lines[-1])
    if table:
        Path(table).parent.mkdir(parents=True, exist_ok=True)
        Path(table).write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
