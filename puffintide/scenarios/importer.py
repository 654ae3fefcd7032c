"""Turns a day drawn by the users' bench (its JSON file) into a day's script. Pure: a tree in, INI text out.

What the bench draws and a script can't say is left out and named in the text's head: single servers' cells, noise
of reports by field, tides of heat, jitter of links. A scale below 1 keeps the ratios: servers, proxies, slices,
keys and requests shrink alike; the channel's pace and limit follow the number of proxies and slices.
"""

from __future__ import annotations

import configparser
import io
from typing import Any

US = 1e6
EFFECTS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
FIELDS = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}
PICKS = {"round": "rotate", "weighted": "random", "two": "p2c"}
ADMITS = {"none": "silent", "share": "fraction", "rate": "silent"}  # rates are never ordered


class ImportFailure(Exception):
    """The file is not a day that can be turned; the text says where it lacks."""


def turn(day: Any, scale: float = 1.0, length_s: float | None = None) -> str:
    """The script. length_s cuts the day. Raises ImportFailure."""
    try:
        return _turn(day, scale, length_s)
    except (KeyError, TypeError, IndexError, ZeroDivisionError) as error:
        raise ImportFailure(f"not a day of the bench: {type(error).__name__} at {error}") from None


def _turn(day: Any, scale: float, length_s: float | None) -> str:
    if day.get("family") != "control":
        raise ImportFailure(f"family {day.get('family')!r}; only days of the kind 'control' can be turned")
    fam, tier, traffic = day["fam"], day["tiers"][0], day["traffic"]
    if not fam["slices"]:
        raise ImportFailure("the day has no slices; the stand-ins know only days with slices")
    zones = len(day["zones"])
    up = [s for s in day["servers"] if s["up"]]
    spare = [s for s in day["servers"] if not s["up"]]
    order = _interleave(up, zones, max(zones, round(len(up) * scale)))
    spares = spare[: round(len(spare) * scale)]
    fleet = order + spares
    kinds = tier["kinds"]
    cores = [kinds[s["kind"]]["cores"] for s in fleet]
    proxies = max(len(fam["controllers"]), round(len(day["balancers"]) * scale))
    slices = max(len(order), round(fam["slices"] * scale))
    full = fam["slices"] * len(day["balancers"])
    part = slices * proxies / full  # of the lines that a change of everything takes
    length = min(day["length"] / US, length_s or day["length"] / US)
    work = sum(c["share"] * c["work"] for c in day["classes"]) / sum(c["share"] for c in day["classes"]) / US
    ability = sum(kinds[s["kind"]]["cores"] * s["speed"] for s in order)
    saved = 1 - fam["affinity_gain"] * fam["hits"]
    rate = traffic["load"] * ability / (work * saved)
    every = [kinds[k] for k in sorted({s["kind"] for s in fleet})]

    def mean(values: list[float]) -> float:
        return sum(values) / len(values)

    out: dict[str, dict[str, Any]] = {
        "day": {
            "name": f"{day['site']}-{day['kind']}",
            "length_s": round(length, 2),
            "seed": day["noise"] % 100000,
            "settle_s": 5,
        },
        "deployment": {
            "name": day["site"],
            "zones": ", ".join(f"z{k}" for k in range(zones)),
            "assigners": len(fam["controllers"]),
            "proxies": proxies,
            "slices": slices,
            "single_writer": fam["exclusive"],
            "warm_keys": fam["affinity_gain"] > 0,
            "retry_default": fam["usual_how"],
            "retry_wait_aims": fam["try_aims"],
            "shun_after": fam["ejects"],
            "shun_s": fam["eject"] / US,
            "admit": ADMITS[fam["admit"]],
            "pick": PICKS[fam["pick"]],
            "hold_s": fam["hold"] / US,
            "refuse_again_s": fam["refuse_wait"] / US,
        },
        "channel": {
            "lines_per_s": round(max(fam["rate"] * part, 2000.0)),
            "head_lines": fam["head"],
            "limit": round(max(fam["backlog"] * part, 3 * proxies * (fam["head"] + 15))),
            "delay_s": fam["late"] / US,
            "delay_max_s": 3 * fam["late"] / US,
            "messages_most": fam["messages_most"],
        },
        "reports": {
            "period_s": fam["period"] / US,
            "lines_per_s": fam["intake"],
            "names": ", ".join(FIELDS[f] for f in tier["report_fields"]),
        },
        "list": {"asked": day["discovery"]["ask"]},
        "probes": {"allowed": day["allow"]["probes"], "timeout_s": tier["probe_timeout"] / US},
        "rules": {
            "drain_grace_s": day["drain_grace"] / US,
            "cold_from": tier["stated_cold_from"],
            "warm_within_s": tier["stated_cold"] / US,
            "fall_multiple": day["fall_multiple"],
            "fall_s": day["fall_for"] / US,
            "bare_s": fam["bare"] / US,
        },
        "charge": {"takeover_s": fam["takeover"] / US, "write_lease_s": fam["lease"] / US},
        "fleet": {
            "servers": len(order),
            "spare": len(spares),
            "cores": ", ".join(map(str, cores)),
            "speed": ", ".join(f"{s['speed']:.3f}" for s in fleet),
            "slots_per_core": round(mean([k["slots"] / k["cores"] for k in every]), 2),
            "queue_per_core": round(mean([k["queue"] / k["cores"] for k in every]), 2),
            "cold_from": round(mean([k["cold_from"] for k in every]), 3),
            "warm_s": round(mean([k["cold"] for k in every]) / US, 2),
            "cache_gain": round(fam["affinity_gain"], 3),
            "cache_s": round(fam["affinity_s"], 2),
            "cache_keys": round(fam["affinity_keys_per_core"] * mean([float(c) for c in cores])),
            "connections": round(tier["conn_cap_per_core"] * min(cores)),
            "handshake_s": tier["handshake_work"] / US,
            "probe_s": tier["probe_work"] / US,
            "report_every_s": tier["report_period"] / US,
            "report_noise": round(tier["report_noise"], 3),
            "notice_s": day["discovery"]["notice"] / US,
            "add_s": day["discovery"]["add"] / US,
        },
        "net": {
            "same_s": day["net"]["same"] / US,
            "cross_s": day["net"]["cross"] / US,
            "report_late_s": fam["heard_late"] / US,
            "order_late_s": fam["late"] / US,
        },
        "load": {
            "requests_per_s": round(rate, 2),
            "keys": max(100, round(traffic["keys"] * scale)),
            "shape": ", ".join(f"{at:.2f}:{v:.3f}" for at, v in traffic["shape"]),
            "zipf": round(traffic["key_zipf"], 3),
            "retries": min(3, int(day["clients"]["retries"])),
            "retry_s": round(day["clients"]["backoff_us"] / US, 3),
            "try_share": day["clients"]["try_share"],
            "honour": day["clients"]["honour"],
        },
    }
    total = sum(c["share"] for c in day["classes"])
    for c in day["classes"]:
        out[f"class {c['name']}"] = {
            "share": round(c["share"] / total, 4),
            "effect": EFFECTS[c["effect"]],
            "group": c["group"] if c["group"] in ("all", "zone", "cell") else "all",
            "window_s": c["window"] / US,
            "aim_s": c["aim"] / US,
            "deadline_s": c["deadline"] / US,
            "worth": c["worth"],
            "late_worth": c["late_worth"],
            "work_s": round(c["work"] / US, 5),
            "work_cv": round(c["cv"], 3),
        }
    for k, trouble in enumerate(day["troubles"]):
        out[f"fault {k}-{trouble['kind']}"] = _fault(trouble, day, len(up), len(spares), zones)
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict({name: {k: str(v) for k, v in values.items()} for name, values in out.items()})
    text = io.StringIO()
    text.write(f"; Turned from a drawn day of {day['site']}, kind {day['kind']}, at scale {scale:g}.\n")
    text.write("; Left out: cells, single report fields' noise, tides of heat, jitter of links.\n\n")
    parser.write(text)
    return text.getvalue()


def _interleave(servers: list[Any], zones: int, count: int) -> list[Any]:
    """So that server n stands in zone n modulo the zones, as the stand-ins have it; the largest zone's rest fills
    up the others."""
    by_zone = [[s for s in servers if s["zone"] == z] for z in range(zones)]
    out: list[Any] = []
    while len(out) < min(count, len(servers)):
        pool = by_zone[len(out) % zones] or max(by_zone, key=len)
        out.append(pool.pop(0))
    return out


def _fault(trouble: Any, day: Any, fleet: int, spares: int, zones: int) -> dict[str, Any]:
    kind, length = trouble["kind"], trouble["len"] / US
    steps = trouble["steps"]
    stopped = sum(len(step["stop"]) for step in steps)
    made: dict[str, Any] = {
        "kind": kind,
        "at_s": round(trouble["at"] / US, 2),
        "for_s": round(length, 2),
        "part": round(min(1.0, (len(trouble["on"]) or stopped or 1) / fleet), 3),
        "size": round(trouble["size"], 4),
        "extra": round(trouble["extra"], 3),
        "zone": trouble["which"] % zones,
    }
    match kind:
        case "pauses":
            made["size"] = round(trouble["size"] / 1000, 4)
        case "deploy":
            made["size"] = round(len(steps[0]["stop"]) / fleet, 3) if steps else 0.1
        case "preempt":
            made["extra"] = round(min(trouble["extra"], length), 2)
        case "balancer_crash":
            whom = [k - len(day["balancers"]) for k in trouble["on"] if k >= len(day["balancers"])]
            made["assigners"] = ", ".join(map(str, whom or [0]))
        case "counter_down":
            made["part"] = round(min(1.0, trouble["size"]), 3)
            made["way"] = (
                trouble.get("how", "silent") if trouble.get("how") in ("refuse", "empty") else "silent"
            )
        case "conn_squeeze":
            made["size"] = max(4, round(len(day["balancers"]) / max(trouble["size"], 1)))
        case "false_reports":
            made["size"] = 0 if trouble.get("how") == "zero" else made["size"]
        case "handshake_slow":
            made["size"] = round(trouble["extra"], 2)
        case "mass_restart":
            made["extra"] = 0.3
        case "zone_loss":
            made["way"] = "all"
    return made
