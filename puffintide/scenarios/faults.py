"""What each kind of trouble does, as steps in time. Pure: a day's faults in, steps out.

A step goes to a party: "fleet" and "tap" by name and arguments, "process" for assigners and the store (kill,
start, stop, wake). Clients read their own kinds from the day's file.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from puffintide.config.model import Config
from puffintide.config.schema import Fault

BY_CLIENTS = ("hot_key", "heavy_tail", "give_up", "shift")


@dataclass(frozen=True, slots=True)
class Step:
    at: float  # seconds since the first request may come
    party: str  # "fleet", "tap", "process"
    what: str
    args: dict[str, Any] = field(default_factory=dict)


def plan(config: Config, seed: int) -> list[Step]:
    """All steps of a day, in order of time; the same seed draws the same servers."""
    steps: list[Step] = []
    for name, fault in sorted(config.faults.items()):
        steps += steps_of(name, fault, config, random.Random(f"fault:{seed}:{name}"))
    return sorted(steps, key=lambda s: s.at)


def _chosen(fault: Fault, config: Config, draw: random.Random, zone: int | None = None) -> list[int]:
    if fault.servers:
        return sorted(fault.servers)
    assert config.fleet is not None
    zones = len(config.deployment.zones)
    pool = [s for s in range(config.fleet.servers) if zone is None or s % zones == zone]
    return sorted(draw.sample(pool, min(len(pool), max(1, round(fault.part * len(pool))))))


def steps_of(name: str, fault: Fault, config: Config, draw: random.Random) -> list[Step]:
    """Steps of one fault. size and extra mean what the schema's page says for its kind."""
    begin, end = fault.at_s, fault.at_s + fault.for_s
    assert config.fleet is not None
    zones = len(config.deployment.zones)
    every = list(range(config.fleet.servers))
    spare = list(range(config.fleet.servers, config.fleet.servers + config.fleet.spare))

    def fleet(at: float, what: str, ids: list[int], value: float = 0.0, extra: float = 0.0) -> Step:
        return Step(at, "fleet", what, {"servers": ids, "value": value, "extra": extra})

    def tap(**bend: Any) -> list[Step]:
        return [
            Step(begin, "tap", "bend", {"name": name, **bend}),
            Step(end, "tap", "straighten", {"name": name}),
        ]

    def process(at: float, what: str, *who: str) -> Step:
        return Step(at, "process", what, {"who": list(who)})

    def others(who: list[int]) -> list[int]:
        return [k for k in range(config.deployment.assigners) if k not in who]

    def both(what: str, ids: list[int], on: float, off: float, extra: float = 0.0) -> list[Step]:
        return [fleet(begin, what, ids, on, extra), fleet(end, what, ids, off)]

    match fault.kind:
        case "crash":
            ids = _chosen(fault, config, draw)
            return [fleet(begin, "crash", ids), fleet(end, "start", ids)]
        case "hang":
            return both("hang", _chosen(fault, config, draw), 1, 0)
        case "slow":
            return both("slow", _chosen(fault, config, draw), fault.size, 1)
        case "shared_slow":
            return both("slow", every, fault.size, 1)
        case "pauses":  # size: seconds of a pause, extra: mean seconds between them
            return both("pauses", _chosen(fault, config, draw), max(fault.extra, 0.1), 0, fault.size)
        case "false_reports":  # size: factor on what servers report
            return both("false_reports", _chosen(fault, config, draw), fault.size, 1)
        case "conn_squeeze":  # size: connections accepted
            return both("connections", _chosen(fault, config, draw), fault.size, 0)
        case "handshake_slow":
            return both("handshake", _chosen(fault, config, draw), fault.size, 1)
        case "mass_restart":
            ids = _chosen(fault, config, draw)
            return [fleet(begin, "crash", ids), fleet(begin + fault.extra + 0.2, "start", ids)]
        case "zone_loss":
            ids = [s for s in every if s % zones == fault.zone]
            who = [f"assigner:{k}" for k in range(config.deployment.assigners) if k % zones == fault.zone]
            steps = [fleet(begin, "crash", ids), fleet(end, "start", ids)]
            if fault.way == "all" and len(who) < config.deployment.assigners:
                steps += [process(begin, "kill", *who), process(end, "start", *who)]
            return steps
        case "zone_flap":  # size: seconds of a period, half of it away; the last time it stays
            ids = [s for s in every if s % zones == fault.zone]
            flaps = max(1, int(fault.for_s / max(fault.size, 0.5)))
            return [
                step
                for k in range(flaps)
                for step in (
                    fleet(begin + k * fault.size, "crash", ids),
                    fleet(begin + (k + 0.5) * fault.size, "start", ids),
                )
            ]
        case "deploy":  # size: share of the fleet at a time, extra: seconds from drain to stop
            ids = _chosen(fault, config, draw)
            batch = max(1, round(fault.size * config.fleet.servers)) if fault.size < 1 else round(fault.size)
            groups = [ids[k : k + batch] for k in range(0, len(ids), batch)]
            steps = []
            for k, group in enumerate(groups):
                at = begin + k * fault.for_s / len(groups)
                steps += [fleet(at, "drain", group), fleet(at + fault.extra, "stop", group)]
                steps.append(fleet(at + fault.extra + 0.5, "start", group))
            return steps
        case "shrink":
            ids = _chosen(fault, config, draw)
            return [
                step
                for k, s in enumerate(ids)
                for step in (
                    fleet(begin + k * fault.for_s / len(ids), "drain", [s]),
                    fleet(begin + k * fault.for_s / len(ids) + max(fault.extra, 3.0), "stop", [s]),
                )
            ]
        case "grow":
            return [
                fleet(begin + k * fault.for_s / max(1, len(spare)), "start", [s]) for k, s in enumerate(spare)
            ]
        case "preempt":  # extra: seconds of notice; as many spares start
            ids = _chosen(fault, config, draw)
            return [
                fleet(begin, "drain", ids),
                fleet(begin + fault.extra, "stop", ids),
                fleet(begin + min(1.0, fault.extra), "start", spare[: len(ids)]),
            ]
        case "balancer_crash" | "balancer_stop":
            who = [f"assigner:{k}" for k in fault.assigners or [0]]
            on, off = ("kill", "start") if fault.kind == "balancer_crash" else ("stop", "wake")
            return [process(begin, on, *who), process(end, off, *who)]
        case "store_crash":  # killed; it starts again from what it has kept
            return [process(begin, "kill", "store"), process(end, "start", "store")]
        case "store_lost":  # killed, and all that it kept is gone; it starts empty
            return [process(begin, "lose", "store"), process(end, "start", "store")]
        case (
            "store_restored"
        ):  # killed; it starts from a backup that it had made, size: so many seconds before
            return [
                process(max(0.0, begin - fault.size), "backup", "store"),
                process(begin, "restore", "store"),
                process(end, "start", "store"),
            ]
        case "peer_cut":  # these assigners and the others do not hear each other, or only one way
            who_ids = sorted(fault.assigners or [0])
            there = sorted(fault.others) or others(who_ids)
            ends = {"out": {"senders": who_ids}, "in": {"senders": there}}
            return tap(kinds=["peer"], cut="silent", parties=who_ids, facing=there, **ends.get(fault.way, {}))
        case (
            "peer_mess"
        ):  # between all: size: seconds late at most, out of order; extra: share that comes twice
            words = ["copies", "digest"]
            return tap(kinds=["peer"], words=words, late_s=fault.size, mixed=True, double=fault.extra)
        case "store_down":
            return [process(begin, "stop", "store"), process(end, "wake", "store")]
        case "list_down":
            return [Step(begin, "fleet", "list_down"), Step(end, "fleet", "list_up")]
        case "report_late":
            return tap(kinds=["order"], words=["sums"], direction=0, late_s=fault.size)
        case "counter_down":  # part of the proxies; way: refuse, silent or empty
            proxies = config.deployment.proxies
            who_ids = sorted(draw.sample(range(proxies), max(1, round(fault.part * proxies))))
            if fault.way == "empty":
                return tap(kinds=["order"], words=["order"], direction=1, cut="silent", proxies=who_ids)
            return tap(kinds=["order"], cut=fault.way or "refuse", proxies=who_ids)
        case "slow_link":  # size: seconds more each way, extra: share lost
            return tap(kinds=["try"], crossing=True, late_s=fault.size, lose=fault.extra)
        case "one_sided":  # proxies of the zone lose size of what they send to the other zones
            return tap(kinds=["try"], words=["try"], from_zone=fault.zone, crossing=True, lose=fault.size)
        case "slow_reader":
            proxies = config.deployment.proxies
            ids = sorted(draw.sample(range(proxies), max(1, round(fault.part * proxies))))
            return tap(kinds=["order"], direction=1, hold=True, proxies=ids)
    assert fault.kind in BY_CLIENTS
    return []
