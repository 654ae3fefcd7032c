"""Converts the faults of a scenario to timed steps. Performs no I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from puffintide.config.model import Config
from puffintide.config.schema import Fault
from puffintide.scenarios.steps import Party, Step

# The clients read these faults from the configuration; they have no steps.
CLIENT_FAULTS = (
    "hot_key",
    "heavy_tail",
    "give_up",
    "shift",
)
MIN_PAUSE_INTERVAL_S = 0.1
MIN_FLAP_PERIOD_S = 0.5
RESTART_DELAY_S = 0.2
DEPLOY_START_DELAY_S = 0.5
MIN_SHRINK_DRAIN_S = 3.0
MAX_SPARE_START_DELAY_S = 1.0


def plan(config: Config, seed: int) -> list[Step]:
    """Return all steps of a scenario, sorted by time.

    The same seed always selects the same servers and proxies.
    """
    steps: list[Step] = []
    for name, fault in sorted(config.faults.items()):
        steps += FaultPlanner(name, fault, config, random.Random(f"fault:{seed}:{name}")).steps()
    return sorted(steps, key=lambda step: step.at_s)


class FaultPlanner:
    """Converts one fault to steps.

    Args:
        name: The name of the fault's section, without the prefix "fault ".
        fault: The section of the fault. The meaning of `size` and `extra` depends on its type.
        config: The configuration of the scenario.
        random_source: The random generator that selects servers and proxies.
    """

    def __init__(self, name: str, fault: Fault, config: Config, random_source: random.Random) -> None:
        assert config.fleet is not None
        self.name = name
        self.fault = fault
        self.random = random_source
        self.begin_s = fault.at_s
        self.end_s = fault.at_s + fault.for_s
        self.zone_count = len(config.deployment.zones)
        self.proxy_count = config.deployment.proxies
        self.assigners = list(range(config.deployment.assigners))
        self.servers = list(range(config.fleet.servers))
        self.spare_servers = list(range(config.fleet.servers, config.fleet.servers + config.fleet.spare))

    def steps(self) -> list[Step]:
        """Return the steps of the fault; a fault of the clients has none."""
        if self.fault.kind in CLIENT_FAULTS:
            return []
        planners: dict[str, Callable[[], list[Step]]] = {
            "crash": self._crash,
            "hang": lambda: self._server_setting("hang", self._selected_servers(), 1, 0),
            "slow": lambda: self._server_setting("slow", self._selected_servers(), self.fault.size, 1),
            "shared_slow": lambda: self._server_setting("slow", self.servers, self.fault.size, 1),
            "pauses": self._pauses,
            "false_reports": lambda: self._server_setting(
                "false_reports", self._selected_servers(), self.fault.size, 1
            ),
            "conn_squeeze": lambda: self._server_setting(
                "connections", self._selected_servers(), self.fault.size, 0
            ),
            "handshake_slow": lambda: self._server_setting(
                "handshake", self._selected_servers(), self.fault.size, 1
            ),
            "mass_restart": self._mass_restart,
            "zone_loss": self._zone_loss,
            "zone_flap": self._zone_flap,
            "deploy": self._deploy,
            "shrink": self._shrink,
            "grow": self._grow,
            "preempt": self._preempt,
            "balancer_crash": lambda: self._assigners_during("kill", "start"),
            "balancer_stop": lambda: self._assigners_during("stop", "wake"),
            "store_crash": lambda: self._store_during("kill", "start"),
            "store_lost": lambda: self._store_during("lose", "start"),
            "store_restored": self._store_restored,
            "store_down": lambda: self._store_during("stop", "wake"),
            "peer_cut": self._peer_cut,
            "peer_mess": self._peer_mess,
            "list_down": self._list_down,
            "report_late": self._late_reports,
            "counter_down": self._proxies_cut_off,
            "slow_link": self._slow_link,
            "one_sided": self._one_sided,
            "slow_reader": self._slow_reader,
        }
        return planners[self.fault.kind]()

    # Steps ---------------------------------------------------------------------------------------

    def _fleet_step(
        self, at_s: float, operation: str, server_ids: list[int], value: float = 0.0, extra: float = 0.0
    ) -> Step:
        arguments = {"servers": server_ids, "value": value, "extra": extra}
        return Step(at_s, Party.FLEET, operation, arguments)

    def _server_setting(
        self, operation: str, server_ids: list[int], value: float, normal: float, extra: float = 0.0
    ) -> list[Step]:
        """Set a value on servers when the fault starts, and its normal value when the fault ends."""
        return [
            self._fleet_step(self.begin_s, operation, server_ids, value, extra),
            self._fleet_step(self.end_s, operation, server_ids, normal),
        ]

    def _link_fault(self, **effects: Any) -> list[Step]:
        """Apply effects to links when the fault starts, and remove them when it ends."""
        arguments = {"name": self.name, **effects}
        return [
            Step(self.begin_s, Party.RECORDING_PROXY, "bend", arguments),
            Step(self.end_s, Party.RECORDING_PROXY, "straighten", {"name": self.name}),
        ]

    def _process_step(self, at_s: float, operation: str, *names: str) -> Step:
        return Step(at_s, Party.PROCESS, operation, {"who": list(names)})

    def _assigners_during(self, begin_operation: str, end_operation: str) -> list[Step]:
        names = [f"assigner:{a}" for a in self.fault.assigners or [0]]
        return [
            self._process_step(self.begin_s, begin_operation, *names),
            self._process_step(self.end_s, end_operation, *names),
        ]

    def _store_during(self, begin_operation: str, end_operation: str) -> list[Step]:
        return [
            self._process_step(self.begin_s, begin_operation, "store"),
            self._process_step(self.end_s, end_operation, "store"),
        ]

    # Selections ----------------------------------------------------------------------------------

    def _selected_servers(self) -> list[int]:
        if self.fault.servers:
            return sorted(self.fault.servers)
        return self._sample(self.servers)

    def _selected_proxies(self) -> list[int]:
        count = max(1, round(self.fault.part * self.proxy_count))
        return sorted(self.random.sample(range(self.proxy_count), count))

    def _sample(self, pool: list[int]) -> list[int]:
        """Return a random sample of a pool: the fraction `part` of it, but at least one member."""
        count = min(len(pool), max(1, round(self.fault.part * len(pool))))
        return sorted(self.random.sample(pool, count))

    def _zone_servers(self) -> list[int]:
        return [server_id for server_id in self.servers if server_id % self.zone_count == self.fault.zone]

    # Servers -------------------------------------------------------------------------------------

    def _crash(self) -> list[Step]:
        server_ids = self._selected_servers()
        return [
            self._fleet_step(self.begin_s, "crash", server_ids),
            self._fleet_step(self.end_s, "start", server_ids),
        ]

    def _pauses(self) -> list[Step]:
        """Pause servers repeatedly for `size` seconds, on average every `extra` seconds."""
        interval_s = max(self.fault.extra, MIN_PAUSE_INTERVAL_S)
        return self._server_setting("pauses", self._selected_servers(), interval_s, 0, self.fault.size)

    def _mass_restart(self) -> list[Step]:
        server_ids = self._selected_servers()
        return [
            self._fleet_step(self.begin_s, "crash", server_ids),
            self._fleet_step(self.begin_s + self.fault.extra + RESTART_DELAY_S, "start", server_ids),
        ]

    def _zone_loss(self) -> list[Step]:
        """Crash all servers of a zone.

        If `way` is "all", the assigners of the zone are killed too, unless no other zone has an assigner.
        """
        server_ids = self._zone_servers()
        steps = [
            self._fleet_step(self.begin_s, "crash", server_ids),
            self._fleet_step(self.end_s, "start", server_ids),
        ]
        in_zone = [a for a in self.assigners if a % self.zone_count == self.fault.zone]
        if self.fault.way == "all" and len(in_zone) < len(self.assigners):
            names = [f"assigner:{assigner_id}" for assigner_id in in_zone]
            steps.append(self._process_step(self.begin_s, "kill", *names))
            steps.append(self._process_step(self.end_s, "start", *names))
        return steps

    def _zone_flap(self) -> list[Step]:
        """Crash the servers of a zone in the first half of every period of `size` seconds."""
        server_ids = self._zone_servers()
        period_s = self.fault.size
        steps = []
        for k in range(max(1, int(self.fault.for_s / max(period_s, MIN_FLAP_PERIOD_S)))):
            steps.append(self._fleet_step(self.begin_s + k * period_s, "crash", server_ids))
            steps.append(self._fleet_step(self.begin_s + (k + 0.5) * period_s, "start", server_ids))
        return steps

    def _deploy(self) -> list[Step]:
        """Restart servers in batches of `size` servers, or of that fraction of the fleet if it is below 1.

        A server is drained `extra` seconds before it stops.
        """
        server_ids = self._selected_servers()
        size = self.fault.size
        batch_size = max(1, round(size * len(self.servers))) if size < 1 else round(size)
        batches = [server_ids[k : k + batch_size] for k in range(0, len(server_ids), batch_size)]
        steps = []
        for k, batch in enumerate(batches):
            drain_at_s = self.begin_s + k * self.fault.for_s / len(batches)
            stop_at_s = drain_at_s + self.fault.extra
            steps.append(self._fleet_step(drain_at_s, "drain", batch))
            steps.append(self._fleet_step(stop_at_s, "stop", batch))
            steps.append(self._fleet_step(stop_at_s + DEPLOY_START_DELAY_S, "start", batch))
        return steps

    def _shrink(self) -> list[Step]:
        """Remove servers one by one.

        Each server is drained `extra` seconds, but at least MIN_SHRINK_DRAIN_S, before it stops.
        """
        server_ids = self._selected_servers()
        steps = []
        for k, server_id in enumerate(server_ids):
            drain_at_s = self.begin_s + k * self.fault.for_s / len(server_ids)
            stop_at_s = drain_at_s + max(self.fault.extra, MIN_SHRINK_DRAIN_S)
            steps.append(self._fleet_step(drain_at_s, "drain", [server_id]))
            steps.append(self._fleet_step(stop_at_s, "stop", [server_id]))
        return steps

    def _grow(self) -> list[Step]:
        count = max(1, len(self.spare_servers))
        return [
            self._fleet_step(self.begin_s + k * self.fault.for_s / count, "start", [server_id])
            for k, server_id in enumerate(self.spare_servers)
        ]

    def _preempt(self) -> list[Step]:
        """Drain servers, stop them `extra` seconds later, and start as many spare servers."""
        server_ids = self._selected_servers()
        spares = self.spare_servers[: len(server_ids)]
        spares_start_s = self.begin_s + min(MAX_SPARE_START_DELAY_S, self.fault.extra)
        return [
            self._fleet_step(self.begin_s, "drain", server_ids),
            self._fleet_step(self.begin_s + self.fault.extra, "stop", server_ids),
            self._fleet_step(spares_start_s, "start", spares),
        ]

    # Store, list and assigners -------------------------------------------------------------------

    def _store_restored(self) -> list[Step]:
        """Kill the store and start it from a backup that was made `size` seconds before."""
        backup_at_s = max(0.0, self.begin_s - self.fault.size)
        return [
            self._process_step(backup_at_s, "backup", "store"),
            self._process_step(self.begin_s, "restore", "store"),
            self._process_step(self.end_s, "start", "store"),
        ]

    def _list_down(self) -> list[Step]:
        return [Step(self.begin_s, Party.FLEET, "list_down"), Step(self.end_s, Party.FLEET, "list_up")]

    def _peer_cut(self) -> list[Step]:
        """Lose all messages between two groups of assigners.

        If `way` is "out" or "in", only messages from or to the fault's assigners are lost.
        """
        inside = sorted(self.fault.assigners or [0])
        outside = sorted(self.fault.others) or [a for a in self.assigners if a not in inside]
        senders = {"out": {"senders": inside}, "in": {"senders": outside}}.get(self.fault.way, {})
        return self._link_fault(kinds=["peer"], cut="silent", parties=inside, facing=outside, **senders)

    def _peer_mess(self) -> list[Step]:
        """Delay, reorder and duplicate the replication messages between assigners.

        Each is delayed by a random time of at most `size` seconds, and a fraction `extra` is duplicated.
        """
        return self._link_fault(
            kinds=["peer"],
            words=["copies", "digest"],
            late_s=self.fault.size,
            mixed=True,
            double=self.fault.extra,
        )

    # Links ---------------------------------------------------------------------------------------

    def _late_reports(self) -> list[Step]:
        return self._link_fault(kinds=["order"], words=["sums"], direction=0, late_s=self.fault.size)

    def _proxies_cut_off(self) -> list[Step]:
        """Cut the links between some proxies and the assigners.

        If `way` is "refuse" or not set, connections are closed. If it is "silent", all messages are lost. If
        it is "empty", only updates to the proxies are lost.
        """
        proxy_ids = self._selected_proxies()
        if self.fault.way == "empty":
            return self._link_fault(
                kinds=["order"], words=["order"], direction=1, cut="silent", proxies=proxy_ids
            )
        return self._link_fault(kinds=["order"], cut=self.fault.way or "refuse", proxies=proxy_ids)

    def _slow_link(self) -> list[Step]:
        """Delay messages between zones by `size` seconds in each direction, and lose a fraction `extra`."""
        return self._link_fault(kinds=["try"], crossing=True, late_s=self.fault.size, lose=self.fault.extra)

    def _one_sided(self) -> list[Step]:
        """Lose a fraction `size` of the attempts that proxies of one zone send to other zones."""
        return self._link_fault(
            kinds=["try"], words=["try"], from_zone=self.fault.zone, crossing=True, lose=self.fault.size
        )

    def _slow_reader(self) -> list[Step]:
        return self._link_fault(kinds=["order"], direction=1, hold=True, proxies=self._selected_proxies())
