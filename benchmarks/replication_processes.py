"""Measures the cost of replication between assigner processes that communicate over sockets.

    python -m benchmarks.replication_processes [--out docs/measurements] [--plays 2]

Four situations are measured:

- One assigner of a group is killed, loses its memory and restarts: the time and the resources until it has
  the rows of the others, and the delay of the others' timers meanwhile. A decision due then is as late.
- One assigner is paused and resumed: the time until all replicas are equal.
- All assigners are idle: processor time and traffic.
- A store that lost its disk is restored by three assigners: the time that this takes.
"""

from __future__ import annotations

import configparser
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from benchmarks.replication_group import AssignerGroup, Event
from puffintide.scenarios.place import Ports, at

GROUP_SIZES = (3, 6, 12)
SLICE_COUNTS = (500, 10_000, 100_000)
RESTORED_SLICE_COUNTS = SLICE_COUNTS[:2]  # A store of the third size is not restored within EVENT_TIMEOUT_S.
IDLE_S = 4.0
SETTLE_S = 1.0
DOWNTIME_S = 2.0  # Time between a kill and the restart.
PAUSE_S = 2.0
AFTER_CATCH_UP_S = 0.5  # Time after a catch-up in which timer delays still count towards it.
BASELINE_EXCHANGES = 4  # Number of exchanges of each assigner before the restart that form the baseline.
BYTES_PER_MB = 1e6
BYTES_PER_KB = 1e3
MS_PER_S = 1000
EXAMPLE_STORE = Path(__file__).parent.parent / "examples" / "store.ini"


@dataclass(frozen=True, slots=True)
class ReplicationFigures:
    """Figures of one play of a group.

    Attributes:
        reason: Reason for which the killed assigner ended its catch-up.
        rows: Number of rows that it had at the end of the catch-up.
        catch_up_s: Seconds from its restart to the end of the catch-up.
        received_mb: MB that it received by the end of the catch-up.
        cpu_s: Processor time of the catch-up, in seconds.
        max_delay_ms: Maximum delay of the others' timers during the catch-up.
        baseline_delay_ms: Median delay of the others' timers in the exchanges before the restart.
        agreement_s: Seconds from the end of a pause until all replicas were equal.
        idle_cores: Processor time per second of one idle assigner.
        idle_kb_per_s: kB per second that one idle assigner received.
    """

    reason: str
    rows: int
    catch_up_s: float
    received_mb: float
    cpu_s: float
    max_delay_ms: float
    baseline_delay_ms: float
    agreement_s: float
    idle_cores: float
    idle_kb_per_s: float


def exchange_events(events: Iterable[Event], since_s: float, until_s: float) -> list[Event]:
    """Return the events of periodic exchanges between two times."""
    return [event for event in events if event["what"] == "beat" and since_s <= event["t"] <= until_s]


def measure_group(size: int, slice_count: int) -> ReplicationFigures:
    """Play one group: all idle, one killed and restarted, one paused and resumed."""
    with tempfile.TemporaryDirectory() as folder:
        group = AssignerGroup(size, slice_count, Path(folder))
        try:
            for assigner_id in range(size):
                group.first_event(assigner_id, "caught_up")
            idle_events = _idle_exchange_events(group)
            idle_s = idle_events[-1]["t"] - idle_events[0]["t"]
            group.kill(0)
            time.sleep(DOWNTIME_S)
            started_at_s = time.monotonic()
            group.start(0, owns_slices=False)
            start_event = group.first_event(0, "began")
            catch_up_event = group.first_event(0, "caught_up")
            time.sleep(SETTLE_S)
            other_events = [group.events(assigner_id) for assigner_id in range(1, size)]
            until_s = catch_up_event["t"] + AFTER_CATCH_UP_S
            delays_after_restart_s = [
                e["late"] for events in other_events for e in exchange_events(events, started_at_s, until_s)
            ]
            delays_before_restart_s = [
                e["late"]
                for events in other_events
                for e in exchange_events(events, 0.0, started_at_s)[-BASELINE_EXCHANGES:]
            ]
            return ReplicationFigures(
                catch_up_event["why"],
                catch_up_event["tables"],
                catch_up_event["t"] - start_event["t"],
                catch_up_event["bytes"] / BYTES_PER_MB,
                catch_up_event["cpu"] - start_event["cpu"],
                MS_PER_S * max(delays_after_restart_s),
                MS_PER_S * statistics.median(delays_before_restart_s),
                agreement_s=_agreement_after_pause_s(group),
                idle_cores=(idle_events[-1]["cpu"] - idle_events[0]["cpu"]) / idle_s,
                idle_kb_per_s=(idle_events[-1]["bytes"] - idle_events[0]["bytes"]) / idle_s / BYTES_PER_KB,
            )
        finally:
            group.stop()


def _idle_exchange_events(group: AssignerGroup) -> list[Event]:
    """Return the events of one assigner's periodic exchanges while nothing changes for IDLE_S."""
    idle_from_s = group.wait_for_agreement(time.monotonic()) + SETTLE_S
    time.sleep(max(0.0, idle_from_s + IDLE_S - time.monotonic()))
    return exchange_events(group.events(1), idle_from_s, time.monotonic())


def _agreement_after_pause_s(group: AssignerGroup) -> float:
    """Pause an assigner while another changes tables, and return the seconds from resumption to agreement."""
    group.processes[1].send_signal(signal.SIGSTOP)
    group.processes[2].send_signal(signal.SIGUSR1)
    time.sleep(PAUSE_S)
    resumed_at_s = time.monotonic()
    group.processes[1].send_signal(signal.SIGCONT)
    return max(0.0, group.wait_for_agreement(resumed_at_s) - resumed_at_s)


@dataclass(frozen=True, slots=True)
class RestorationFigures:
    """Figures of one restoration of a store.

    Attributes:
        tables: Number of tables restored.
        start_s: Seconds until the store was ready.
        ownership_s: Seconds from then until all assigners owned slices again.
        response_cpu_s: Highest processor time of an assigner's response, in seconds.
    """

    tables: int
    start_s: float
    ownership_s: float
    response_cpu_s: float


def measure_restoration(slice_count: int) -> RestorationFigures:
    """Start an empty store with three assigners that have all tables, and measure its restoration."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        address = at(Ports(os.getpid() * 40 + 500).take())
        config = _store_config(folder, address, slice_count)
        group = AssignerGroup(3, slice_count, folder, address)
        assigner_ids = list(group.processes)
        try:
            for assigner_id in assigner_ids:
                group.first_event(assigner_id, "caught_up")
            group.wait_for_agreement(time.monotonic())
            started_at_s = time.monotonic()
            log = folder / "store.log"
            store = _start_store(config, log)
            try:
                ready_at_s = time.monotonic()
                owned_at_s = max(group.first_event(i, "charged")["t"] for i in assigner_ids)
                response_cpu_s = max(group.first_event(i, "asked")["took"] for i in assigner_ids)
            finally:
                store.kill()
                store.wait()
            events = [json.loads(line) for line in log.read_text().splitlines()]
            tables = next(e["tables"] for e in events if e["event"] == "restored_from_replicas")
            return RestorationFigures(
                tables, ready_at_s - started_at_s, owned_at_s - ready_at_s, response_cpu_s
            )
        finally:
            group.stop()


def _store_config(folder: Path, address: str, slice_count: int) -> Path:
    parser = configparser.ConfigParser()
    parser.read(EXAMPLE_STORE)
    parser.read_dict({"deployment": {"name": "t", "assigners": "3", "slices": str(slice_count)}})
    parser["store"] = {"listen": address, "file": str(folder / "kept.db"), "refill": "yes"}
    path = folder / "store.ini"
    with path.open("w") as file:
        parser.write(file)
    return path


def _start_store(config: Path, log: Path) -> subprocess.Popen[bytes]:
    """Start a store and wait until it is ready."""
    command = [sys.executable, "-m", "puffintide", "store", "--config", str(config)]
    with log.open("wb") as errors:
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=errors)
    assert process.stdout is not None
    process.stdout.readline()
    return process


def _median(figures: Iterable[Any], name: str) -> float:
    return float(statistics.median(getattr(run, name) for run in figures))


def group_rows(plays: int, medians: dict[tuple[int, int], tuple[float, float]]) -> Iterator[str]:
    """Yield rows for all groups, and add the catch-up seconds and idle kB/s of each to the medians."""
    yield (
        "| assigners | slices | caught up after s | MB received | CPU s | timers late, ms | before, ms "
        "| agreed after a pause, s (max) | idle cores | idle kB/s |"
    )
    yield "| --- " * 10 + "|"
    for size in GROUP_SIZES:
        for slice_count in SLICE_COUNTS:
            figures = [measure_group(size, slice_count) for _ in range(plays)]
            assert all(run.reason == "level with peers" for run in figures), figures
            medians[size, slice_count] = (_median(figures, "catch_up_s"), _median(figures, "idle_kb_per_s"))
            yield (
                f"| {size} | {slice_count} | {_median(figures, 'catch_up_s'):.2f} "
                f"| {_median(figures, 'received_mb'):.2f} | {_median(figures, 'cpu_s'):.2f} "
                f"| {_median(figures, 'max_delay_ms'):.0f} | {_median(figures, 'baseline_delay_ms'):.0f} "
                f"| {_median(figures, 'agreement_s'):.2f} ({max(run.agreement_s for run in figures):.2f}) "
                f"| {_median(figures, 'idle_cores'):.4f} | {_median(figures, 'idle_kb_per_s'):.1f} |"
            )


def restoration_rows(plays: int) -> Iterator[str]:
    """Yield rows on the restoration of a store."""
    yield "| slices | tables | store ready after s | all own slices again after s | CPU s of a response |"
    yield "| --- " * 5 + "|"
    for slice_count in RESTORED_SLICE_COUNTS:
        figures = [measure_restoration(slice_count) for _ in range(plays)]
        yield (
            f"| {slice_count} | {figures[0].tables} | {_median(figures, 'start_s'):.2f} "
            f"| {_median(figures, 'ownership_s'):.2f} | {_median(figures, 'response_cpu_s'):.2f} |"
        )


def _plot(medians: dict[tuple[int, int], tuple[float, float]], path: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "puffintide"
    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.4))
    for size in GROUP_SIZES:
        catch_up_s = [medians[size, slice_count][0] for slice_count in SLICE_COUNTS]
        axes[0].plot(SLICE_COUNTS, catch_up_s, "o-", label=f"{size} assigners")
    axes[0].set(xscale="log", yscale="log", xlabel="slices", ylabel="s until caught up")
    axes[0].legend()
    for slice_count in SLICE_COUNTS:
        idle_kb_per_s = [medians[size, slice_count][1] for size in GROUP_SIZES]
        axes[1].plot(GROUP_SIZES, idle_kb_per_s, "o-", label=f"{slice_count} slices")
    axes[1].set(xlabel="assigners", ylabel="idle, kB/s received by one")
    axes[1].legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


@click.command()
@click.option("--out", default="")
@click.option("--plays", default=2)
def main(out: str, plays: int) -> None:
    """Print both tables row by row, and draw the figures of all groups into a file of a folder."""
    medians: dict[tuple[int, int], tuple[float, float]] = {}
    for row in group_rows(plays, medians):
        click.echo(row)
    click.echo()
    for row in restoration_rows(plays):
        click.echo(row)
    if out:
        _plot(medians, Path(out) / "replication.svg")


if __name__ == "__main__":
    main()
