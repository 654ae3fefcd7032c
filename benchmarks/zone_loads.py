"""Shows the work that each server of a scenario received over time, relative to its capacity.

    python -m benchmarks.zone_loads DIR [--plot FILE]

The figures come from the recording proxy's records: the work of each attempt that reached a server, as a
fraction of the server's capacity (cores times speed), in means over 3 s. A server that is warming up counts
with its full capacity, so that its curve shows the slow start. For each zone, the output is the highest mean
and the longest time that any of its servers was above its capacity.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from puffintide.audit.records import Record, read_json_lines, read_records
from puffintide.config.loader import read_config
from puffintide.protocol.messages import AttemptRequest

MEAN_WINDOW_S = 3  # Window of the moving means.
SERVER_LINK_PREFIX = "try:"  # Prefix of the names of network paths to servers.
ZONE_COLOURS = ("tab:red", "tab:blue", "tab:green", "tab:orange")


@dataclass(frozen=True, slots=True)
class ServerLoads:
    """The load of each server over the scenario.

    Attributes:
        utilization: Fractions of capacity by server id, with one value for each second of the scenario.
        zones: Zones by server id.
    """

    utilization: dict[int, list[float]]
    zones: dict[int, int]


def read_loads(folder: Path) -> ServerLoads:
    """Compute the load from the records of a scenario.

    Raises:
        ConfigError: The file day.ini of the folder is invalid or has no section [day].
    """
    config = read_config(str(folder / "day.ini"), ("day",))
    assert config.day is not None
    duration_s = int(config.day.length_s)
    started_at_s = _first_row(folder / "day.jsonl", "begin")["t"]
    start_rows = [row for row in read_json_lines(folder / "fleet.jsonl") if row["what"] == "start"]
    capacity = {row["server"]: row["capacity"] for row in start_rows}
    zones = {row["server"]: row["zone"] for row in start_rows}
    with (folder / "tap.jsonl").open("rb") as lines:
        work_by_second_s = _work_by_second(read_records(lines, "tap.jsonl").records, started_at_s)
    utilization = {}
    for server_id in sorted(capacity):
        utilization_by_second = [
            work_by_second_s[server_id][second] / capacity[server_id] for second in range(duration_s)
        ]
        utilization[server_id] = _moving_means(utilization_by_second)
    return ServerLoads(utilization, zones)


def longest_run_above(values: Iterable[float], threshold: float) -> int:
    """Return the length of the longest sequence of values above a threshold."""
    longest = 0
    current = 0
    for value in values:
        current = current + 1 if value > threshold else 0
        longest = max(longest, current)
    return longest


def _first_row(path: Path, event: str) -> dict[str, Any]:
    return next(row for row in read_json_lines(path) if row["what"] == event)


def _work_by_second(
    records: Iterable[Record], started_at_s: float
) -> defaultdict[int, defaultdict[int, float]]:
    """Return the work in seconds that reached each server, by second since the start."""
    work_by_second_s: defaultdict[int, defaultdict[int, float]] = defaultdict(lambda: defaultdict(float))
    for record in records:
        if not isinstance(record.message, AttemptRequest) or record.delivered_at_s is None:
            continue
        if not record.link.startswith(SERVER_LINK_PREFIX):
            continue
        server_id = int(record.link.removeprefix(SERVER_LINK_PREFIX))
        work_by_second_s[server_id][int(record.delivered_at_s - started_at_s)] += record.message.work_s
    return work_by_second_s


def _moving_means(values: list[float]) -> list[float]:
    """Return the mean of each value and the values before it, over at most MEAN_WINDOW_S values."""
    return [
        sum(values[max(0, index - MEAN_WINDOW_S + 1) : index + 1]) / min(MEAN_WINDOW_S, index + 1)
        for index in range(len(values))
    ]


def _plot(loads: ServerLoads, path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    for server_id, values in loads.utilization.items():
        colour = ZONE_COLOURS[loads.zones[server_id] % len(ZONE_COLOURS)]
        axes.plot(values, color=colour, linewidth=0.8, alpha=0.7)
    axes.axhline(1.0, color="black", linewidth=0.6)
    axes.set_xlabel("seconds")
    axes.set_ylabel("work sent, fraction of capacity")
    figure.tight_layout()
    figure.savefig(path)


@click.command()
@click.argument("folder")
@click.option("--plot", default="")
def main(folder: str, plot: str) -> None:
    """Print the table of zones and draw the curves of all servers to a file."""
    loads = read_loads(Path(folder))
    click.echo("| zone | servers | highest mean of 3 s, fraction of capacity | longest above capacity s |")
    click.echo("| --- | --- | --- | --- |")
    for zone in sorted(set(loads.zones.values())):
        in_zone = [
            values for server_id, values in loads.utilization.items() if loads.zones[server_id] == zone
        ]
        longest_s = max(longest_run_above(values, 1.0) for values in in_zone)
        click.echo(f"| {zone} | {len(in_zone)} | {max(map(max, in_zone)):.2f} | {longest_s} |")
    if plot:
        _plot(loads, plot)


if __name__ == "__main__":
    main()
