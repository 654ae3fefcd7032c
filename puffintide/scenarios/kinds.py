"""Plays every type of fault, one by one, over the same scenario, and evaluates each."""

from __future__ import annotations

import configparser
import io
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from puffintide.config.loader import parse_config
from puffintide.config.model import Config
from puffintide.scenarios.errors import PlayError
from puffintide.scenarios.results import ScenarioResult, evaluate
from puffintide.scenarios.runner import ScenarioRunner

# The fault of each scenario; it begins at FAULT_AT_S, when all has settled.
FAULT_AT_S = 8
LENGTH_S = 32.0
PORTS_PER_SCENARIO = 400
GROWTH_SERVERS = 3

KINDS: dict[str, dict[str, str]] = {
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
    """The base script with this type of fault alone.

    Args:
        base: INI text of a scenario; its own faults are left out.
        name: A key of KINDS.
        length_s: Length of the scenario.
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
    if KINDS[name]:
        fault_type = name.split()[0]
        parser[f"fault {name}"] = {"kind": fault_type, "at_s": str(FAULT_AT_S), **KINDS[name]}
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()


def play_all(
    base: str,
    out: Path,
    names: list[str],
    seed: int,
    jobs: int,
    on_result: Callable[[str, ScenarioResult | str], None],
) -> dict[str, ScenarioResult | str]:
    """Play each type of fault.

    Args:
        base: INI text of a scenario.
        out: Folder for the scenarios' own folders.
        names: Keys of KINDS.
        seed: Of all scenarios.
        jobs: Scenarios played at once.
        on_result: Called with each name and result as it ends.

    Returns:
        The results by name; a text where the scenario could not be played.
    """

    def play(name: str) -> tuple[str, ScenarioResult | str]:
        port_start = names.index(name) * PORTS_PER_SCENARIO
        result = _play(script(base, name), name, out / name.replace(" ", "-"), seed, port_start)
        on_result(name, result)
        return name, result

    with ThreadPoolExecutor(jobs) as pool:
        return dict(pool.map(play, names))


def _play(text: str, name: str, folder: Path, seed: int, port_start: int) -> ScenarioResult | str:
    try:
        ScenarioRunner(_parse(text, name), text, folder, seed, port_start=port_start).play()
        return evaluate(folder)
    except PlayError as error:
        return str(error)


def _parse(text: str, name: str) -> Config:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    sections = {title: dict(parser.items(title)) for title in parser.sections()}
    return parse_config(name, sections, ("day", "fleet", "load"))
