"""Scenarios of a lost zone: the faults of each, and how it differs from a base script. No I/O."""

from __future__ import annotations

import configparser
import io
from dataclasses import dataclass, field

Sections = dict[str, dict[str, str]]


@dataclass(frozen=True)
class ZoneScenario:
    """One scenario."""

    description: str
    faults: Sections  # by name
    changes: Sections = field(default_factory=dict)  # of the base script
    length_s: float = 60.0


LOSS = {"kind": "zone_loss", "at_s": "12", "for_s": "15", "zone": "0"}
ADMISSION_CONTROL = {
    "deployment": {"admit": "fraction"},
    "reports": {"names": "busy, rif"},
}
THREE_ZONES = {"deployment": {"zones": "north, south, east", "proxies": "9"}, "fleet": {"servers": "12"}}


def _flap(period_s: float, times: int) -> Sections:
    """A zone that is lost and returns several times."""
    return {
        "flap": {
            "kind": "zone_flap",
            "at_s": "12",
            "for_s": f"{period_s * times:g}",
            "zone": "0",
            "size": f"{period_s:g}",
        }
    }


ZONE_SCENARIOS: dict[str, ZoneScenario] = {
    "loss": ZoneScenario("half of the fleet lost for 15 s, the rest has room", {"zone": LOSS}),
    "loss-full": ZoneScenario(
        "lost at a load that the rest can't carry; proxies shed load",
        {"zone": LOSS},
        ADMISSION_CONTROL | {"load": {"requests_per_s": "190"}},
    ),
    "loss-full-silent": ZoneScenario(
        "the same where proxies admit everything", {"zone": LOSS}, {"load": {"requests_per_s": "190"}}
    ),
    "loss-in-deploy": ZoneScenario(
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
    "loss-with-assigner": ZoneScenario("lost with the assigner in it", {"zone": LOSS | {"way": "all"}}),
    "return-while-hot": ZoneScenario(
        "it returns while demand rises past what the other can carry",
        {"zone": LOSS},
        ADMISSION_CONTROL | {"load": {"requests_per_s": "190", "shape": "0:0.6, 24:0.6, 30:1.0, 60:1.0"}},
    ),
    "half-back": ZoneScenario(
        "half of its servers do not return",
        {"zone": LOSS, "dead": {"kind": "crash", "at_s": "27.5", "for_s": "20", "servers": "0, 4, 8"}},
    ),
    "flap-3": ZoneScenario("away and back every 3 s, eight times", _flap(3, 8)),
    "flap-8": ZoneScenario("every 8 s, five times", _flap(8, 5), length_s=75),
    "flap-20": ZoneScenario("every 20 s, three times", _flap(20, 3), length_s=95),
    "both-degraded": ZoneScenario(
        "a third of each zone crashes",
        {"some": {"kind": "crash", "at_s": "12", "for_s": "15", "servers": "0, 1, 2, 3"}},
    ),
    "late-reports": ZoneScenario(
        "all is well and reports come 5 s late",
        {"late": {"kind": "report_late", "at_s": "12", "for_s": "15", "size": "5"}},
    ),
    "late-list": ZoneScenario(
        "the list tells of the loss 6 s late and of the return 4 s late",
        {"zone": LOSS},
        {"fleet": {"notice_s": "6", "add_s": "4"}},
    ),
    "two-of-three": ZoneScenario(
        "two of three zones lost, one after the other",
        {"zone": LOSS, "next": LOSS | {"at_s": "18", "zone": "1"}},
        THREE_ZONES | {"load": {"requests_per_s": "90"}},
    ),
    "one-server": ZoneScenario(
        "a zone of one server among three",
        {"zone": {"kind": "crash", "at_s": "12", "for_s": "15", "servers": "0"}},
        {
            "deployment": {"zones": "north, south, east", "proxies": "9"},
            "fleet": {"servers": "3"},
            "load": {"requests_per_s": "30"},
        },
    ),
    "slow-link": ZoneScenario(
        "350 ms more each way between the zones, 20% lost",
        {"link": {"kind": "slow_link", "at_s": "12", "for_s": "20", "size": "0.35", "extra": "0.2"}},
    ),
    "one-sided": ZoneScenario(
        "proxies of one zone lose 60% of what they send to the other",
        {"side": {"kind": "one_sided", "at_s": "12", "for_s": "20", "size": "0.6", "zone": "1"}},
    ),
}


def script(base: str, name: str) -> str:
    """The base script with this scenario's faults and changes.

    Raises:
        KeyError: There is no such scenario.
    """
    scenario = ZONE_SCENARIOS[name]
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    parser.read_string(base)
    for section in parser.sections():
        if section.startswith("fault "):
            parser.remove_section(section)
    parser["day"].update({"name": name, "length_s": f"{scenario.length_s:g}"})
    parser["load"]["shape"] = "0:1"
    for section, values in scenario.changes.items():
        parser[section].update(values)
    for fault, values in scenario.faults.items():
        parser[f"fault {fault}"] = values
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()
