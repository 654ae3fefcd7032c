"""Scenarios of zone failures: the faults of each and its changes to a base script. Performs no I/O."""

from __future__ import annotations

import configparser
import io
from dataclasses import dataclass, field

Sections = dict[str, dict[str, str]]


@dataclass(frozen=True)
class ZoneScenario:
    """One scenario: its faults, its changes to the base script and its length."""

    description: str
    faults: Sections  # Fault sections by name.
    changes: Sections = field(default_factory=dict)  # Changed keys of the base script by section.
    length_s: float = 60.0


LOSS = {"kind": "zone_loss", "at_s": "12", "for_s": "15", "zone": "0"}
ADMISSION_CONTROL = {
    "deployment": {"admit": "fraction"},
    "reports": {"names": "busy, rif"},
}
THREE_ZONES = {"deployment": {"zones": "north, south, east", "proxies": "9"}, "fleet": {"servers": "12"}}


def _flap(period_s: float, count: int) -> Sections:
    """Return the fault of a zone that fails and recovers `count` times, once in each period."""
    return {
        "flap": {
            "kind": "zone_flap",
            "at_s": "12",
            "for_s": f"{period_s * count:g}",
            "zone": "0",
            "size": f"{period_s:g}",
        }
    }


ZONE_SCENARIOS: dict[str, ZoneScenario] = {
    "loss": ZoneScenario("half of the fleet fails for 15 s; the rest has spare capacity", {"zone": LOSS}),
    "loss-full": ZoneScenario(
        "a zone fails at a load above the capacity of the rest; proxies shed load",
        {"zone": LOSS},
        ADMISSION_CONTROL | {"load": {"requests_per_s": "190"}},
    ),
    "loss-full-silent": ZoneScenario(
        "a zone fails at a load above the capacity of the rest; proxies admit all requests",
        {"zone": LOSS},
        {"load": {"requests_per_s": "190"}},
    ),
    "loss-in-deploy": ZoneScenario(
        "a zone fails during a rolling deploy of the other zone",
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
    "loss-with-assigner": ZoneScenario(
        "a zone fails together with its assigner", {"zone": LOSS | {"way": "all"}}
    ),
    "return-while-hot": ZoneScenario(
        "a zone recovers while the load rises above the capacity of the other zone",
        {"zone": LOSS},
        ADMISSION_CONTROL | {"load": {"requests_per_s": "190", "shape": "0:0.6, 24:0.6, 30:1.0, 60:1.0"}},
    ),
    "half-back": ZoneScenario(
        "half of the servers of a zone do not recover",
        {"zone": LOSS, "dead": {"kind": "crash", "at_s": "27.5", "for_s": "20", "servers": "0, 4, 8"}},
    ),
    "flap-3": ZoneScenario("a zone fails and recovers every 3 s, eight times", _flap(3, 8)),
    "flap-8": ZoneScenario("a zone fails and recovers every 8 s, five times", _flap(8, 5), length_s=75),
    "flap-20": ZoneScenario("a zone fails and recovers every 20 s, three times", _flap(20, 3), length_s=95),
    "both-degraded": ZoneScenario(
        "a third of the servers of each zone crash",
        {"some": {"kind": "crash", "at_s": "12", "for_s": "15", "servers": "0, 1, 2, 3"}},
    ),
    "late-reports": ZoneScenario(
        "reports are delayed by 5 s while all servers are healthy",
        {"late": {"kind": "report_late", "at_s": "12", "for_s": "15", "size": "5"}},
    ),
    "late-list": ZoneScenario(
        "the endpoint list shows the failure 6 s late and the recovery 4 s late",
        {"zone": LOSS},
        {"fleet": {"notice_s": "6", "add_s": "4"}},
    ),
    "two-of-three": ZoneScenario(
        "two of three zones fail, one after the other",
        {"zone": LOSS, "next": LOSS | {"at_s": "18", "zone": "1"}},
        THREE_ZONES | {"load": {"requests_per_s": "90"}},
    ),
    "one-server": ZoneScenario(
        "one of three zones fails; each zone has one server",
        {"zone": {"kind": "crash", "at_s": "12", "for_s": "15", "servers": "0"}},
        {
            "deployment": {"zones": "north, south, east", "proxies": "9"},
            "fleet": {"servers": "3"},
            "load": {"requests_per_s": "30"},
        },
    ),
    "slow-link": ZoneScenario(
        "350 ms more latency in each direction between the zones, 20% of messages lost",
        {"link": {"kind": "slow_link", "at_s": "12", "for_s": "20", "size": "0.35", "extra": "0.2"}},
    ),
    "one-sided": ZoneScenario(
        "proxies of one zone lose 60% of the attempts that they send to the other",
        {"side": {"kind": "one_sided", "at_s": "12", "for_s": "20", "size": "0.6", "zone": "1"}},
    ),
}


def script(base: str, name: str) -> str:
    """Return the base script with the faults and changes of a scenario.

    Args:
        base: The INI text of the base script; its own faults are left out.
        name: The name of the scenario, a key of ZONE_SCENARIOS.

    Raises:
        KeyError: No scenario has this name.
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
