"""Figures of a played day, from its records and logs: hearing to last request, order to applied, cost, memory.

python -m benchmarks.day_figures out/full-size [--table FILE]
"""

from __future__ import annotations

import json
from collections import defaultdict
from pathlib import Path

import click

from puffintide.audit.records import Record, peers_by_connection, read_records
from puffintide.config.loader import read_config
from puffintide.protocol import messages as m
from puffintide.scenarios.results import evaluate, quantile


def applied(records: list[Record], pace: float, delay_s: float) -> tuple[list[float], list[float]]:
    """For each marked order that all its proxies applied: seconds from the order to the last applied, and what the
    channel's own count (lines of all its messages at the stated pace, and the mean way) says it should take."""
    who = peers_by_connection(records)
    told: dict[tuple[str, int], list[m.ProxyUpdate]] = defaultdict(list)
    waiting: dict[tuple[str, int], set[int]] = defaultdict(set)
    marks: dict[tuple[str, int], tuple[str, int]] = {}
    done: dict[tuple[str, int], float] = {}
    for r in sorted(records, key=lambda r: (r.received_at_s, r.number)):
        peer = who.get(r.connection_id)
        if peer is None:
            continue
        if (
            isinstance(r.message, m.ProxyUpdate)
            and r.message.checkpoint_id is not None
            and r.delivered_at_s is not None
        ):
            key = (r.link, r.message.batch)
            told[key].append(r.message)
            waiting[key].add(peer.id)
            marks[r.link, r.message.checkpoint_id] = key
        elif isinstance(r.message, m.CheckpointReply):
            found = marks.get((r.link, r.message.checkpoint_id))
            if found is not None:
                waiting[found].discard(peer.id)
                done[found] = r.received_at_s
    took, stated = [], []
    for key, orders in told.items():
        if not waiting[key] and key in done:
            took.append(done[key] - orders[0].ordered_at_s)
            stated.append(sum(order.channel_cost for order in orders) / pace + delay_s)
    return took, stated


@click.command()
@click.argument("folder")
@click.option("--table", default="")
def main(folder: str, table: str) -> None:
    out = Path(folder)
    config = read_config(str(out / "day.ini"), ("day", "fleet", "load"))
    records: list[Record] = []
    for path in sorted(out.glob("tap*.jsonl")):
        with path.open("rb") as file:
            records += read_records(file, path.name).records
    took, stated = applied(records, config.channel.lines_per_s, config.net.order_late_s)
    ratio = sorted(t / s for t, s in zip(took, stated, strict=True))
    took.sort()
    stated.sort()
    del records
    verdict = evaluate(out)
    drain = verdict.report.drain_durations_s
    grace = config.rules.drain_grace_s
    lines = ["| figure | value |", "| --- | --- |"]
    for rule, near in verdict.report.peak_ratios.items():
        broken = sum(f.rule == rule for f in verdict.report.findings)
        lines.append(
            f"| {rule} | {'BROKEN ' + str(broken) if broken else 'kept'}, nearest {near:.0%} of its limit |"
        )
    lines.append(
        f"| worth served, worst 10 s | {verdict.service.score:.3f}, {verdict.service.worst_window_score:.3f} |"
    )
    lines.append(
        f"| hearing of a loss to the last request, p50/p99/max s (grace {grace}) | "
        f"{quantile(drain, 0.5):.2f} / {quantile(drain, 0.99):.2f} / {quantile(drain, 1):.2f}, {len(drain)} cases |"
    )
    lines.append(
        f"| order to applied at all its proxies, p50/p99/max s | {quantile(took, 0.5):.2f} / "
        f"{quantile(took, 0.99):.2f} / {quantile(took, 1):.2f}, {len(took)} orders |"
    )
    lines.append(
        f"| the same by the channel's own count, p50/max s | {quantile(stated, 0.5):.2f} / {stated[-1]:.2f} |"
    )
    lines.append(
        f"| measured over counted, p50/p99 | {quantile(ratio, 0.5):.2f} / {quantile(ratio, 0.99):.2f} |"
    )
    for path in sorted(out.glob("assigner-*.log")):
        stats = [row for row in map(json.loads, path.read_text().splitlines()) if row["event"] == "stats"]
        if len(stats) < 3:
            continue
        span = 5.0 * (len(stats) - 1)
        cpu = (stats[-1]["cpu_s"] - stats[0]["cpu_s"]) / span
        minute = min(12, len(stats) - 1)
        lines.append(
            f"| {path.stem}: core, most lines waiting, memory at 1 min and the end | {cpu:.2f}, "
            f"{stats[-1]['max_queued_entries']}, {stats[minute]['rss_kb'] // 1024} and "
            f"{stats[-1]['rss_kb'] // 1024} M |"
        )
    text = "\n".join(lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
