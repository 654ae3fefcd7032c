"""Runs the same scenario once with each type of fault and evaluates each run."""

from __future__ import annotations

import configparser
import io
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from puffintide.config.loader import parse_config
from puffintide.config.model import Config
from puffintide.scenarios.errors import ScenarioRunError
from puffintide.scenarios.results import ScenarioResult, evaluate
from puffintide.scenarios.runner import ScenarioRunner

FAULT_AT_S = 8  # Start of the fault in every scenario, in seconds; the deployment has settled by then.
LENGTH_S = 32.0
PORTS_PER_SCENARIO = 400
GROWTH_SERVERS = 3

# Keys of the fault section by scenario name. The first word of the name is the type of the fault.
FAULT_PARAMETERS: dict[str, dict[str, str]] = {
    "none": {},
    "crash": {"part": "0.17", "for_s": "12"},
    "hang": {"part": "0.17", "for_s": "14"},
    "slow": {"part": "0.2", "for_s": "14", "size": "5"},
    "pauses": {"part": "0.3", "for_s": "14", "size": "0.35", "extra": "2"},
    "report_late": {"for_s": "14", "size": "5"},
    "hot_key": {"for_s": "12", "size": "0.1"},
    "heavy_tail": {"for_s": "14", "size": "15", "extra": "0.015"},
    "zone_loss": {"for_s": "9", "zone": "0", "way": "all"},
    "zone_flap": {"for_s": "18", "zone": "0", "size": "6"},
    "deploy": {"part": "0.6", "for_s": "18", "size": "0.17", "extra": "4"},
    "shrink": {"part": "0.4", "for_s": "14", "extra": "5"},
    "grow": {"for_s": "6"},
    "balancer_crash": {"for_s": "4", "assigners": "0"},
    "balancer_stop": {"for_s": "9", "assigners": "0"},
    "shared_slow": {"for_s": "8", "size": "1.3"},
    "counter_down": {"part": "0.5", "for_s": "10", "way": "refuse"},
    "counter_down silent": {"part": "0.5", "for_s": "10", "way": "silent"},
    "counter_down empty": {"part": "0.5", "for_s": "10", "way": "empty"},
    "give_up": {"for_s": "14", "size": "0.5"},
    "preempt": {"part": "0.25", "for_s": "10", "extra": "5"},
    "slow_link": {"for_s": "14", "size": "0.35", "extra": "0.2"},
    "one_sided": {"for_s": "14", "size": "0.6", "zone": "1"},
    "conn_squeeze": {"part": "0.7", "for_s": "14", "size": "5"},
    "false_reports": {"part": "0.2", "for_s": "14", "size": "0"},
    "handshake_slow": {"part": "0.8", "for_s": "14", "size": "200"},
    "mass_restart": {"part": "0.35", "for_s": "4", "extra": "0.3"},
    "shift": {"for_s": "10", "size": "0.6", "zone": "1"},
    "store_down": {"for_s": "10"},
    "store_crash": {"for_s": "3"},
    "store_lost": {"for_s": "3"},
    "store_restored": {"for_s": "3", "size": "6"},
    "peer_cut": {"for_s": "10"},
    "peer_mess": {"for_s": "10", "size": "1", "extra": "0.3"},
    "list_down": {"for_s": "10"},
    "slow_reader": {"part": "0.25", "for_s": "10"},
}


def script(base: str, name: str, length_s: float = LENGTH_S) -> str:
    """Return the base script with one fault instead of its own faults.

    Args:
        base: The INI text of a scenario; its own faults are left out.
        name: The name of the scenario, a key of FAULT_PARAMETERS.
        length_s: The length of the scenario, in seconds.
    """
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    parser.read_string(base)
    for section in parser.sections():
        if section.startswith("fault "):
            parser.remove_section(section)
    parser["day"]["name"] = name
    parser["day"]["length_s"] = str(length_s)
    if name == "grow":
        parser["fleet"]["spare"] = str(GROWTH_SERVERS)
    if FAULT_PARAMETERS[name]:
        fault_type = name.split()[0]
        parser[f"fault {name}"] = {"kind": fault_type, "at_s": str(FAULT_AT_S), **FAULT_PARAMETERS[name]}
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()


def run_all(
    base: str,
    out: Path,
    names: list[str],
    seed: int,
    jobs: int,
    on_result: Callable[[str, ScenarioResult | str], None],
) -> dict[str, ScenarioResult | str]:
    """Run the scenario of each name.

    Args:
        base: The INI text of the base scenario.
        out: The folder in which each scenario gets its own folder.
        names: The names of the scenarios, keys of FAULT_PARAMETERS.
        seed: The random seed of all scenarios.
        jobs: The number of scenarios that run at the same time.
        on_result: A function that is called with the name and result of each scenario when it ends.

    Returns:
        The results by name. The value is an error text if the scenario could not be run.
    """

    def run_named(name: str) -> tuple[str, ScenarioResult | str]:
        port_start = names.index(name) * PORTS_PER_SCENARIO
        result = _run(script(base, name), name, out / name.replace(" ", "-"), seed, port_start)
        on_result(name, result)
        return name, result

    with ThreadPoolExecutor(jobs) as pool:
        return dict(pool.map(run_named, names))


def _run(text: str, name: str, folder: Path, seed: int, port_start: int) -> ScenarioResult | str:
    try:
        ScenarioRunner(_parse(text, name), text, folder, seed, port_start=port_start).run_scenario()
        return evaluate(folder)
    except ScenarioRunError as error:
        return str(error)


def _parse(text: str, name: str) -> Config:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    sections = {title: dict(parser.items(title)) for title in parser.sections()}
    return parse_config(name, sections, ("day", "fleet", "load"))
