"""Turns a day drawn by the users' bench (its JSON file) into a scenario's script. No I/O: a tree in, INI text out.

What a script can't express is left out and named in the text's head: single servers' cells, noise of reports by
field, tides of the request rate, jitter of links. A scale below 1 keeps the ratios: servers, proxies, slices, keys
and requests shrink alike; the channel's rate and limit follow the number of proxies and slices.
"""

from __future__ import annotations

import configparser
import io
from collections.abc import Iterable
from typing import Any

from puffintide.scenarios.errors import ImportFormatError
from puffintide.scenarios.imported_faults import MICROSECONDS_PER_S, Section, fault_section, seconds

REPEAT_SAFETIES = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
LOAD_VALUE_NAMES = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}
LOAD_BALANCING_POLICIES = {"round": "rotate", "weighted": "random", "two": "p2c"}
ADMISSION_MODES = {"none": "silent", "share": "fraction", "rate": "silent"}  # rates are never ordered
DEDUPLICATION_SCOPES = ("all", "zone", "cell")
MIN_CHANNEL_ENTRIES_PER_S = 2000.0
MIN_CHANNEL_MESSAGES = 3  # to each proxy
MIN_MESSAGE_ENTRIES = 15
MIN_KEYS = 100
MAX_RETRIES = 3
MAX_SEED = 100000
SETTLE_S = 5


def import_day(day: Any, scale: float = 1.0, length_s: float | None = None) -> str:
    """The script of a drawn day.

    Args:
        day: The JSON file's tree.
        scale: Of servers, proxies, slices, keys and requests.
        length_s: Cuts the day.

    Raises:
        ImportFormatError: The tree is no such day, or of a kind that can't be turned.
    """
    try:
        return _DayImporter(day, scale, length_s).script()
    except (KeyError, TypeError, IndexError, ZeroDivisionError) as error:
        raise ImportFormatError(f"not a day of the bench: {type(error).__name__} at {error}") from error


def _mean(values: Iterable[float]) -> float:
    numbers = list(values)
    return sum(numbers) / len(numbers)


class _DayImporter:
    """One day; figures that several sections need are worked out at the start."""

    def __init__(self, day: Any, scale: float, length_s: float | None) -> None:
        if day.get("family") != "control":
            raise ImportFormatError(
                f"family {day.get('family')!r}; only days of the kind 'control' can be turned"
            )
        self.day = day
        self.scale = scale
        self.family = day["fam"]
        self.tier = day["tiers"][0]
        self.traffic = day["traffic"]
        if not self.family["slices"]:
            raise ImportFormatError("the day has no slices; the stand-ins know only days with slices")
        self.zone_count = len(day["zones"])
        self.drawn_running = [server for server in day["servers"] if server["up"]]
        drawn_spares = [server for server in day["servers"] if not server["up"]]
        running_count = max(self.zone_count, round(len(self.drawn_running) * scale))
        self.running = _interleave(self.drawn_running, self.zone_count, running_count)
        self.spares = drawn_spares[: round(len(drawn_spares) * scale)]
        self.server_types = self.tier["kinds"]
        self.proxy_count = max(len(self.family["controllers"]), round(len(day["balancers"]) * scale))
        self.slice_count = max(len(self.running), round(self.family["slices"] * scale))
        drawn_length_s = seconds(day["length"])
        self.length_s = min(drawn_length_s, length_s or drawn_length_s)

    def script(self) -> str:
        """The INI text."""
        sections: dict[str, Section] = {
            "day": self._scenario(),
            "deployment": self._deployment(),
            "channel": self._channel(),
            "reports": self._reports(),
            "list": {"asked": self.day["discovery"]["ask"]},
            "probes": self._health_checks(),
            "rules": self._rules(),
            "charge": self._ownership(),
            "fleet": self._fleet(),
            "net": self._network(),
            "load": self._load(),
        }
        share_total = sum(request_class["share"] for request_class in self.day["classes"])
        for request_class in self.day["classes"]:
            sections[f"class {request_class['name']}"] = _request_class(request_class, share_total)
        for number, fault in enumerate(self.day["troubles"]):
            section = fault_section(
                fault, len(self.day["balancers"]), len(self.drawn_running), self.zone_count
            )
            sections[f"fault {number}-{fault['kind']}"] = section
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(
            {name: {key: str(value) for key, value in section.items()} for name, section in sections.items()}
        )
        text = io.StringIO()
        site = self.day["site"]
        text.write(
            f"; Turned from a drawn day of {site}, kind {self.day['kind']}, at scale {self.scale:g}.\n"
        )
        text.write("; Left out: cells, single report fields' noise, tides of heat, jitter of links.\n\n")
        parser.write(text)
        return text.getvalue()

    def _scenario(self) -> Section:
        return {
            "name": f"{self.day['site']}-{self.day['kind']}",
            "length_s": round(self.length_s, 2),
            "seed": self.day["noise"] % MAX_SEED,
            "settle_s": SETTLE_S,
        }

    def _deployment(self) -> Section:
        family = self.family
        return {
            "name": self.day["site"],
            "zones": ", ".join(f"z{zone}" for zone in range(self.zone_count)),
            "assigners": len(family["controllers"]),
            "proxies": self.proxy_count,
            "slices": self.slice_count,
            "single_writer": family["exclusive"],
            "warm_keys": family["affinity_gain"] > 0,
            "retry_default": family["usual_how"],
            "retry_wait_aims": family["try_aims"],
            "shun_after": family["ejects"],
            "shun_s": seconds(family["eject"]),
            "admit": ADMISSION_MODES[family["admit"]],
            "pick": LOAD_BALANCING_POLICIES[family["pick"]],
            "hold_s": seconds(family["hold"]),
            "refuse_again_s": seconds(family["refuse_wait"]),
        }

    def _channel(self) -> Section:
        family = self.family
        drawn_entries = family["slices"] * len(self.day["balancers"])
        fraction = self.slice_count * self.proxy_count / drawn_entries  # of the entries of a complete change
        min_limit = MIN_CHANNEL_MESSAGES * self.proxy_count * (family["head"] + MIN_MESSAGE_ENTRIES)
        return {
            "lines_per_s": round(max(family["rate"] * fraction, MIN_CHANNEL_ENTRIES_PER_S)),
            "head_lines": family["head"],
            "limit": round(max(family["backlog"] * fraction, min_limit)),
            "delay_s": seconds(family["late"]),
            "delay_max_s": 3 * family["late"] / MICROSECONDS_PER_S,
            "messages_most": family["messages_most"],
        }

    def _reports(self) -> Section:
        return {
            "period_s": seconds(self.family["period"]),
            "lines_per_s": self.family["intake"],
            "names": ", ".join(LOAD_VALUE_NAMES[name] for name in self.tier["report_fields"]),
        }

    def _health_checks(self) -> Section:
        return {
            "allowed": self.day["allow"]["probes"],
            "timeout_s": seconds(self.tier["probe_timeout"]),
        }

    def _rules(self) -> Section:
        return {
            "drain_grace_s": seconds(self.day["drain_grace"]),
            "cold_from": self.tier["stated_cold_from"],
            "warm_within_s": seconds(self.tier["stated_cold"]),
            "fall_multiple": self.day["fall_multiple"],
            "fall_s": seconds(self.day["fall_for"]),
            "bare_s": seconds(self.family["bare"]),
        }

    def _ownership(self) -> Section:
        return {
            "takeover_s": seconds(self.family["takeover"]),
            "write_lease_s": seconds(self.family["lease"]),
        }

    def _fleet(self) -> Section:
        family, tier = self.family, self.tier
        fleet = self.running + self.spares
        cores = [self.server_types[server["kind"]]["cores"] for server in fleet]
        types = [self.server_types[kind] for kind in sorted({server["kind"] for server in fleet})]
        return {
            "servers": len(self.running),
            "spare": len(self.spares),
            "cores": ", ".join(map(str, cores)),
            "speed": ", ".join(f"{server['speed']:.3f}" for server in fleet),
            "slots_per_core": round(_mean(kind["slots"] / kind["cores"] for kind in types), 2),
            "queue_per_core": round(_mean(kind["queue"] / kind["cores"] for kind in types), 2),
            "cold_from": round(_mean(kind["cold_from"] for kind in types), 3),
            "warm_s": round(seconds(_mean(kind["cold"] for kind in types)), 2),
            "cache_gain": round(family["affinity_gain"], 3),
            "cache_s": round(family["affinity_s"], 2),
            "cache_keys": round(family["affinity_keys_per_core"] * _mean(float(count) for count in cores)),
            "connections": round(tier["conn_cap_per_core"] * min(cores)),
            "handshake_s": seconds(tier["handshake_work"]),
            "probe_s": seconds(tier["probe_work"]),
            "report_every_s": seconds(tier["report_period"]),
            "report_noise": round(tier["report_noise"], 3),
            "notice_s": seconds(self.day["discovery"]["notice"]),
            "add_s": seconds(self.day["discovery"]["add"]),
        }

    def _network(self) -> Section:
        return {
            "same_s": seconds(self.day["net"]["same"]),
            "cross_s": seconds(self.day["net"]["cross"]),
            "report_late_s": seconds(self.family["heard_late"]),
            "order_late_s": seconds(self.family["late"]),
        }

    def _load(self) -> Section:
        clients = self.day["clients"]
        return {
            "requests_per_s": round(self._requests_per_s(), 2),
            "keys": max(MIN_KEYS, round(self.traffic["keys"] * self.scale)),
            "shape": ", ".join(f"{at_s:.2f}:{level:.3f}" for at_s, level in self.traffic["shape"]),
            "zipf": round(self.traffic["key_zipf"], 3),
            "retries": min(MAX_RETRIES, int(clients["retries"])),
            "retry_s": round(seconds(clients["backoff_us"]), 3),
            "try_share": clients["try_share"],
            "honour": clients["honour"],
        }

    def _requests_per_s(self) -> float:
        """What makes the drawn load on the servers that run."""
        classes = self.day["classes"]
        work = sum(c["share"] * c["work"] for c in classes) / sum(c["share"] for c in classes)
        capacity = sum(
            self.server_types[server["kind"]]["cores"] * server["speed"] for server in self.running
        )
        uncached = 1 - self.family["affinity_gain"] * self.family["hits"]
        return float(self.traffic["load"] * capacity / (seconds(work) * uncached))


def _request_class(request_class: Any, share_total: float) -> Section:
    scope = request_class["group"]
    return {
        "share": round(request_class["share"] / share_total, 4),
        "effect": REPEAT_SAFETIES[request_class["effect"]],
        "group": scope if scope in DEDUPLICATION_SCOPES else "all",
        "window_s": seconds(request_class["window"]),
        "aim_s": seconds(request_class["aim"]),
        "deadline_s": seconds(request_class["deadline"]),
        "worth": request_class["worth"],
        "late_worth": request_class["late_worth"],
        "work_s": round(seconds(request_class["work"]), 5),
        "work_cv": round(request_class["cv"], 3),
    }


def _interleave(servers: list[Any], zone_count: int, count: int) -> list[Any]:
    """Servers in an order that puts number n into zone n modulo the zones, as the emulators have it.

    Where a zone has too few, the largest one fills up.
    """
    by_zone = [[server for server in servers if server["zone"] == zone] for zone in range(zone_count)]
    order: list[Any] = []
    while len(order) < min(count, len(servers)):
        pool = by_zone[len(order) % zone_count] or max(by_zone, key=len)
        order.append(pool.pop(0))
    return order
