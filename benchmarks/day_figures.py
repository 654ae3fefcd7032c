"""Computes figures of a played scenario from its records and logs: drains, updates, processor time, memory.

python -m benchmarks.day_figures out/full-size [--table FILE]
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from puffintide.audit.records import Record, peers_by_connection, read_records
from puffintide.config.loader import read_config
from puffintide.config.model import Config
from puffintide.protocol import messages as m
from puffintide.scenarios.results import ScenarioResult, evaluate, quantile

STATS_INTERVAL_S = 5.0  # Interval between the "stats" rows of an assigner's log.
STATS_ROWS_PER_MINUTE = 12
MIN_STATS_ROWS = 3
KB_PER_MB = 1024

UpdateKey = tuple[str, int]  # Name of the network path and batch (or checkpoint id) of an update.


@dataclass(frozen=True, slots=True)
class UpdateDelays:
    """Seconds until all proxies have applied an update, for each update that requests acknowledgements.

    Attributes:
        measured: Seconds until the last proxy acknowledged the update.
        predicted: Seconds computed from the cost of all messages at the channel's rate, plus its mean delay.
    """

    measured: list[float]
    predicted: list[float]


@dataclass(slots=True)
class _Update:
    messages: list[m.ProxyUpdate] = field(default_factory=list)
    pending_proxy_ids: set[int] = field(default_factory=set)
    acknowledged_at_s: float | None = None  # Time of the latest acknowledgement so far.


def update_delays(records: list[Record], entries_per_s: float, channel_delay_s: float) -> UpdateDelays:
    """Return the delays of the updates that all of their proxies acknowledged."""
    measured = []
    predicted = []
    for update in _collect_updates(records).values():
        if update.pending_proxy_ids or update.acknowledged_at_s is None:
            continue
        cost = sum(message.channel_cost for message in update.messages)
        measured.append(update.acknowledged_at_s - update.messages[0].ordered_at_s)
        predicted.append(cost / entries_per_s + channel_delay_s)
    return UpdateDelays(measured, predicted)


def _collect_updates(records: list[Record]) -> dict[UpdateKey, _Update]:
    """Return the delivered updates that have a checkpoint, with their acknowledgements."""
    peers = peers_by_connection(records)
    updates: defaultdict[UpdateKey, _Update] = defaultdict(_Update)
    update_of_checkpoint: dict[UpdateKey, UpdateKey] = {}
    for record in sorted(records, key=lambda record: (record.received_at_s, record.number)):
        peer = peers.get(record.connection_id)
        if peer is None:
            continue
        message = record.message
        if isinstance(message, m.ProxyUpdate):
            if message.checkpoint_id is None or record.delivered_at_s is None:
                continue
            key = (record.link, message.batch)
            updates[key].messages.append(message)
            updates[key].pending_proxy_ids.add(peer.id)
            update_of_checkpoint[record.link, message.checkpoint_id] = key
        elif isinstance(message, m.CheckpointReply):
            acknowledged = update_of_checkpoint.get((record.link, message.checkpoint_id))
            if acknowledged is not None:
                updates[acknowledged].pending_proxy_ids.discard(peer.id)
                updates[acknowledged].acknowledged_at_s = record.received_at_s
    return updates


def _read_all_records(folder: Path) -> list[Record]:
    records: list[Record] = []
    for path in sorted(folder.glob("tap*.jsonl")):
        with path.open("rb") as file:
            records += read_records(file, path.name).records
    return records


def _rule_rows(result: ScenarioResult) -> Iterator[str]:
    for rule, peak_ratio in result.report.peak_ratios.items():
        violations = sum(finding.rule == rule for finding in result.report.findings)
        verdict = f"BROKEN {violations}" if violations else "kept"
        yield f"| {rule} | {verdict}, nearest {peak_ratio:.0%} of its limit |"


def _service_rows(result: ScenarioResult, drain_grace_s: float) -> Iterator[str]:
    service = result.service
    drains_s = result.report.drain_durations_s
    yield f"| score, worst 10 s | {service.score:.3f}, {service.worst_window_score:.3f} |"
    yield (
        f"| notice of a loss to the last request, p50/p99/max s (grace {drain_grace_s}) | "
        f"{_format_quantiles(drains_s)}, {len(drains_s)} cases |"
    )


def _update_rows(delays: UpdateDelays) -> Iterator[str]:
    measured = sorted(delays.measured)
    predicted = sorted(delays.predicted)
    ratios = sorted(a / b for a, b in zip(delays.measured, delays.predicted, strict=True))
    yield (
        f"| update to applied at all its proxies, p50/p99/max s | {_format_quantiles(measured)}, "
        f"{len(measured)} updates |"
    )
    yield f"| the same as predicted, p50/max s | {quantile(predicted, 0.5):.2f} / {predicted[-1]:.2f} |"
    yield f"| measured over predicted, p50/p99 | {quantile(ratios, 0.5):.2f} / {quantile(ratios, 0.99):.2f} |"


def _format_quantiles(ordered: list[float]) -> str:
    return " / ".join(f"{quantile(ordered, fraction):.2f}" for fraction in (0.5, 0.99, 1))


def _process_rows(folder: Path) -> Iterator[str]:
    """Yield a row with the processor time and memory of each assigner whose log has enough rows."""
    for path in sorted(folder.glob("assigner-*.log")):
        rows: list[dict[str, Any]] = [json.loads(line) for line in path.read_text().splitlines()]
        stats = [row for row in rows if row["event"] == "stats"]
        if len(stats) < MIN_STATS_ROWS:
            continue
        span_s = STATS_INTERVAL_S * (len(stats) - 1)
        cores = (stats[-1]["cpu_s"] - stats[0]["cpu_s"]) / span_s
        after_a_minute = stats[min(STATS_ROWS_PER_MINUTE, len(stats) - 1)]
        yield (
            f"| {path.stem}: cores, most queued entries, memory after 1 min and at the end | {cores:.2f}, "
            f"{stats[-1]['max_queued_entries']}, {after_a_minute['rss_kb'] // KB_PER_MB} and "
            f"{stats[-1]['rss_kb'] // KB_PER_MB} MB |"
        )


def table_rows(folder: Path, config: Config) -> Iterator[str]:
    """Yield all rows of the table."""
    delays = update_delays(_read_all_records(folder), config.channel.lines_per_s, config.net.order_late_s)
    result = evaluate(folder)
    yield from _rule_rows(result)
    yield from _service_rows(result, config.rules.drain_grace_s)
    yield from _update_rows(delays)
    yield from _process_rows(folder)


@click.command()
@click.argument("folder")
@click.option("--table", default="")
def main(folder: str, table: str) -> None:
    """Print the table and write it to a file."""
    config = read_config(str(Path(folder) / "day.ini"), ("day", "fleet", "load"))
    lines = ["| figure | value |", "| --- | --- |", *table_rows(Path(folder), config)]
    text = "\n".join(lines)
    click.echo(text)
    if table:
        Path(table).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
