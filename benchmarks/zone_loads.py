"""The work that each server of a played day was sent, second by second, beside what it can do.

    python -m benchmarks.zone_loads DIR [--plot FILE]

From the relay's records: work_s of every try that reached a server, over its capacity (cores times speed), as means
of 3 s. A cold server's capacity counts as it is when warm, so that its curve shows how its part grows. Prints, for
each zone, the highest mean and for how long any server was above its capacity at a stretch.
"""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path

import click

from puffintide.audit.records import read_json_lines, read_records
from puffintide.config.loader import read_config
from puffintide.protocol.messages import AttemptRequest

SPAN_S = 3


def series(folder: Path) -> tuple[dict[int, list[float]], dict[int, int]]:
    """Shares of capacity by server, a value a second of the day; zones by server."""
    config = read_config(str(folder / "day.ini"))
    assert config.day is not None
    began = next(row["t"] for row in read_json_lines(folder / "day.jsonl") if row["what"] == "begin")
    starts = [row for row in read_json_lines(folder / "fleet.jsonl") if row["what"] == "start"]
    capacity = {row["server"]: row["capacity"] for row in starts}
    zones = {row["server"]: row["zone"] for row in starts}
    with (folder / "tap.jsonl").open("rb") as lines:
        capture = read_records(lines, "tap.jsonl")
    work: defaultdict[int, defaultdict[int, float]] = defaultdict(lambda: defaultdict(float))
    for record in capture.records:
        if (
            isinstance(record.message, AttemptRequest)
            and record.delivered_at_s is not None
            and record.link.startswith("try:")
        ):
            work[int(record.link[4:])][int(record.delivered_at_s - began)] += record.message.work_s
    length = int(config.day.length_s)
    found = {}
    for server in sorted(capacity):
        each = [work[server][k] / capacity[server] for k in range(length)]
        found[server] = [
            sum(each[max(0, k - SPAN_S + 1) : k + 1]) / min(SPAN_S, k + 1) for k in range(length)
        ]
    return found, zones


def stretch(values: list[float], above: float) -> int:
    longest = now = 0
    for value in values:
        now = now + 1 if value > above else 0
        longest = max(longest, now)
    return longest


@click.command()
@click.argument("folder")
@click.option("--plot", default="")
def main(folder: str, plot: str) -> None:
    found, zones = series(Path(folder))
    click.echo("| zone | servers | highest mean of 3 s, share of capacity | longest above capacity s |")
    click.echo("| --- | --- | --- | --- |")
    for zone in sorted(set(zones.values())):
        mine = [values for server, values in found.items() if zones[server] == zone]
        longest = max(stretch(v, 1.0) for v in mine)
        click.echo(f"| {zone} | {len(mine)} | {max(map(max, mine)):.2f} | {longest} |")
    if plot:
        _plot(found, zones, plot)


def _plot(found: dict[int, list[float]], zones: dict[int, int], path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    colours = ("tab:red", "tab:blue", "tab:green", "tab:orange")
    for server, values in found.items():
        axes.plot(values, color=colours[zones[server] % len(colours)], linewidth=0.8, alpha=0.7)
    axes.axhline(1.0, color="black", linewidth=0.6)
    axes.set_xlabel("seconds")
    axes.set_ylabel("work sent, share of capacity")
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    main()
