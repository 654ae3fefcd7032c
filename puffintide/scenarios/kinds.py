"""Every kind of trouble, one by one, over the same quiet day: what the rules and the service make of each."""

from __future__ import annotations

import configparser
import io
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from puffintide.config.loader import parse_config
from puffintide.scenarios.results import ScenarioResult, evaluate
from puffintide.scenarios.runner import DayError, Player

# What each kind is played with. at 8 s, so that all is at rest before; long enough to hurt.
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


def script(base: str, name: str, length_s: float = 32.0) -> str:
    """The base day without its own faults, with this kind alone."""
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    parser.read_string(base)
    for section in parser.sections():
        if section.startswith("fault "):
            parser.remove_section(section)
    parser["day"]["name"] = name
    parser["day"]["length_s"] = str(length_s)
    if name == "grow":
        parser["fleet"]["spare"] = "3"
    if KINDS[name]:
        parser[f"fault {name}"] = {"kind": name.split()[0], "at_s": "8", **KINDS[name]}
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()


def play_all(
    base: str,
    out: Path,
    names: list[str],
    seed: int,
    jobs: int,
    tell: Callable[[str, ScenarioResult | str], None],
) -> dict[str, ScenarioResult | str]:
    """Plays each kind; a day that could not be played gives its reason instead of a verdict."""

    def one(name: str) -> tuple[str, ScenarioResult | str]:
        text = script(base, name)
        folder = out / name.replace(" ", "-")
        sections = configparser.ConfigParser(interpolation=None)
        sections.read_string(text)
        config = parse_config(
            name, {s: dict(sections.items(s)) for s in sections.sections()}, ("day", "fleet", "load")
        )
        found: ScenarioResult | str
        try:
            Player(config, text, folder, seed, port_start=names.index(name) * 400).play()
            found = evaluate(folder)
        except DayError as error:
            found = str(error)
        tell(name, found)
        return name, found

    with ThreadPoolExecutor(jobs) as pool:
        return dict(pool.map(one, names))
