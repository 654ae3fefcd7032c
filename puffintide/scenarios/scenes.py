"""Scenes of a lost zone: changes of a base day and the faults that make each. Pure text in, text out."""

from __future__ import annotations

import configparser
import io
from dataclasses import dataclass, field

Sections = dict[str, dict[str, str]]


@dataclass(frozen=True)
class Scene:
    """What it shows, the faults, and what of the base day is changed. Times are seconds."""

    shows: str
    faults: Sections
    changes: Sections = field(default_factory=dict)
    length_s: float = 60.0


LOSS = {"kind": "zone_loss", "at_s": "12", "for_s": "15", "zone": "0"}
LEVELS = {
    "deployment": {"admit": "fraction"},
    "reports": {"names": "busy, rif"},
}  # as sites with levels report
THREE = {"deployment": {"zones": "north, south, east", "proxies": "9"}, "fleet": {"servers": "12"}}


def _flap(period: float, times: int) -> Sections:
    return {
        "flap": {
            "kind": "zone_flap",
            "at_s": "12",
            "for_s": f"{period * times:g}",
            "zone": "0",
            "size": f"{period:g}",
        }
    }


SCENES: dict[str, Scene] = {
    "loss": Scene("half of the fleet lost for 15 s, the rest has room", {"zone": LOSS}),
    "loss-full": Scene(
        "lost at a load that the rest can't carry; proxies let in as told",
        {"zone": LOSS},
        LEVELS | {"load": {"requests_per_s": "190"}},
    ),
    "loss-full-silent": Scene(
        "the same where proxies let everything in", {"zone": LOSS}, {"load": {"requests_per_s": "190"}}
    ),
    "loss-in-deploy": Scene(
        "lost during a rolling deploy of the other zone",
        {
            "zone": LOSS,
            "deploy": {
                "kind": "deploy",
                "at_s": "8",
                "for_s": "16",
                "servers": "1, 5, 7, 9",
                "size": "1",
                "extra": "3",
            },
        },
    ),
    "loss-with-assigner": Scene("lost with the assigner in it", {"zone": LOSS | {"way": "all"}}),
    "return-while-hot": Scene(
        "it returns while demand rises past what the other can carry",
        {"zone": LOSS},
        LEVELS | {"load": {"requests_per_s": "190", "shape": "0:0.6, 24:0.6, 30:1.0, 60:1.0"}},
    ),
    "half-back": Scene(
        "half of its servers do not return",
        {"zone": LOSS, "dead": {"kind": "crash", "at_s": "27.5", "for_s": "20", "servers": "0, 4, 8"}},
    ),
    "flap-3": Scene("away and back every 3 s, eight times", _flap(3, 8)),
    "flap-8": Scene("every 8 s, five times", _flap(8, 5), length_s=75),
    "flap-20": Scene("every 20 s, three times", _flap(20, 3), length_s=95),
    "both-degraded": Scene(
        "a third of each zone crashes",
        {"some": {"kind": "crash", "at_s": "12", "for_s": "15", "servers": "0, 1, 2, 3"}},
    ),
    "late-reports": Scene(
        "all is well and reports come 5 s late",
        {"late": {"kind": "report_late", "at_s": "12", "for_s": "15", "size": "5"}},
    ),
    "late-list": Scene(
        "the list tells of the loss 6 s late and of the return 4 s late",
        {"zone": LOSS},
        {"fleet": {"notice_s": "6", "add_s": "4"}},
    ),
    "two-of-three": Scene(
        "two of three zones lost, one after the other",
        {"zone": LOSS, "next": LOSS | {"at_s": "18", "zone": "1"}},
        THREE | {"load": {"requests_per_s": "90"}},
    ),
    "one-server": Scene(
        "a zone of one server among three",
        {"zone": {"kind": "crash", "at_s": "12", "for_s": "15", "servers": "0"}},
        {
            "deployment": {"zones": "north, south, east", "proxies": "9"},
            "fleet": {"servers": "3"},
            "load": {"requests_per_s": "30"},
        },
    ),
    "slow-link": Scene(
        "350 ms more each way between the zones, 20% lost",
        {"link": {"kind": "slow_link", "at_s": "12", "for_s": "20", "size": "0.35", "extra": "0.2"}},
    ),
    "one-sided": Scene(
        "proxies of one zone lose 60% of what they send to the other",
        {"side": {"kind": "one_sided", "at_s": "12", "for_s": "20", "size": "0.6", "zone": "1"}},
    ),
}


def script(base: str, name: str) -> str:
    """The base day without its own faults, as this scene has it. Raises KeyError for an unknown scene."""
    scene = SCENES[name]
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    parser.read_string(base)
    for section in parser.sections():
        if section.startswith("fault "):
            parser.remove_section(section)
    parser["day"].update({"name": name, "length_s": f"{scene.length_s:g}"})
    parser["load"]["shape"] = "0:1"
    for section, values in scene.changes.items():
        parser[section].update(values)
    for fault, values in scene.faults.items():
        parser[f"fault {fault}"] = values
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()
