"""Converts the faults of a generated bench scenario to sections of a script."""

from __future__ import annotations

from typing import Any

MICROSECONDS_PER_S = 1e6
MILLISECONDS_PER_S = 1000
MASS_RESTART_DOWNTIME_S = 0.3
MIN_CONNECTIONS = 4
DEFAULT_DEPLOY_SIZE = 0.1

Section = dict[str, Any]

FIXED_FAULT_DETAILS: dict[str, Section] = {
    "mass_restart": {"extra": MASS_RESTART_DOWNTIME_S},
    "zone_loss": {"way": "all"},
}


def seconds(microseconds: float) -> float:
    """Convert microseconds to seconds."""
    return microseconds / MICROSECONDS_PER_S


def fault_section(fault: Any, balancer_count: int, server_count: int, zone_count: int) -> Section:
    """Return the script section of a fault.

    Args:
        fault: The fault's object in the bench scenario.
        balancer_count: The number of proxies in the bench scenario; assigners are numbered after them.
        server_count: The number of servers that run at the start of the bench scenario.
        zone_count: The number of zones in the bench scenario.
    """
    stopped_count = sum(len(step["stop"]) for step in fault["steps"])
    section: Section = {
        "kind": fault["kind"],
        "at_s": round(seconds(fault["at"]), 2),
        "for_s": round(seconds(fault["len"]), 2),
        "part": round(min(1.0, (len(fault["on"]) or stopped_count or 1) / server_count), 3),
        "size": round(fault["size"], 4),
        "extra": round(fault["extra"], 3),
        "zone": fault["which"] % zone_count,
    }
    return section | _details(fault, balancer_count, server_count)


def _details(fault: Any, balancer_count: int, server_count: int) -> Section:
    """Return the values that are specific to the type of the fault."""
    match fault["kind"]:
        case "pauses":
            return {"size": round(fault["size"] / MILLISECONDS_PER_S, 4)}
        case "deploy":
            steps = fault["steps"]
            size = round(len(steps[0]["stop"]) / server_count, 3) if steps else DEFAULT_DEPLOY_SIZE
            return {"size": size}
        case "preempt":
            return {"extra": round(min(fault["extra"], seconds(fault["len"])), 2)}
        case "balancer_crash":
            assigners = [number - balancer_count for number in fault["on"] if number >= balancer_count]
            return {"assigners": ", ".join(map(str, assigners or [0]))}
        case "counter_down":
            way = fault.get("how")
            part = round(min(1.0, fault["size"]), 3)
            return {"part": part, "way": way if way in ("refuse", "empty") else "silent"}
        case "conn_squeeze":
            return {"size": max(MIN_CONNECTIONS, round(balancer_count / max(fault["size"], 1)))}
        case "false_reports" if fault.get("how") == "zero":
            return {"size": 0}
        case "handshake_slow":
            return {"size": round(fault["extra"], 2)}
    return FIXED_FAULT_DETAILS.get(fault["kind"], {})
