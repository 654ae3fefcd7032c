"""A whole deployment in one process on a virtual clock.

It consists of the program's real services and emulators. They are connected in memory through the recording
proxy, whose records `puffintide.audit` evaluates. Runs are seeded, and nothing sleeps.
"""

from __future__ import annotations

import configparser
import json
from collections.abc import Callable
from dataclasses import replace
from itertools import permutations
from pathlib import Path
from typing import Any, cast

from puffintide.assigner.service import AssignerService
from puffintide.config.loader import read_config
from puffintide.config.model import Config
from puffintide.config.schema import AssignerProcess, ProxyProcess
from puffintide.emulators.clients import Clients
from puffintide.emulators.fleet import FleetService
from puffintide.protocol.messages import TableEntry
from puffintide.proxy.service import ProxyService
from puffintide.replication.table_restore import FENCING_TOKEN_GAP, TableRestore
from puffintide.scenarios.faults import plan
from puffintide.scenarios.link_faults import Link, parse_link_fault
from puffintide.scenarios.place import PortLayout, at
from puffintide.scenarios.recording_proxy import RecordingProxy
from puffintide.scenarios.results import ScenarioResult, evaluate
from puffintide.scenarios.steps import Step
from puffintide.store.engine import Commit
from puffintide.store.ownership import OwnershipLedger
from puffintide.store.service import StoreService
from tests.surviving_store_engine import SurvivingStoreEngine, copy_snapshot
from tests.virtual_network import START, ProcessReactor, VirtualNetwork

SECTIONS: dict[str, dict[str, Any]] = {
    "day": {"name": "t", "length_s": 20, "seed": 5, "settle_s": 3},
    "deployment": {
        "name": "t",
        "zones": "a, b",
        "assigners": 2,
        "proxies": 4,
        "slices": 16,
        "warm_keys": "yes",
        "retry_default": 1,
        "shun_after": 3,
        "hold_s": 0.3,
    },
    "channel": {"lines_per_s": 3000, "limit": 4500, "delay_s": 0.1, "delay_max_s": 0.4, "messages_most": 20},
    "reports": {"names": "rif"},
    "probes": {"allowed": "yes"},
    "rules": {"drain_grace_s": 2, "cold_from": 0.3, "warm_within_s": 8, "bare_s": 4},
    "charge": {"takeover_s": 2},
    "class status": {"share": 0.6, "aim_s": 0.75, "deadline_s": 2.5, "worth": 3, "work_s": 0.05},
    "class start": {
        "share": 0.2,
        "effect": "by_key",
        "window_s": 5,
        "aim_s": 1.5,
        "deadline_s": 4,
        "work_s": 0.08,
    },
    "class charge": {"share": 0.2, "effect": "once", "aim_s": 1.5, "deadline_s": 4, "work_s": 0.08},
    "fleet": {"servers": 8, "spare": 2, "cores": 1, "cold_from": 0.4, "warm_s": 7, "cache_gain": 0.3},
    "load": {"requests_per_s": 60, "keys": 400},
}


class Log:
    """A logger that records the events of one process, except for the frequent ones."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, dict[str, Any]]] = []

    def _add(self, event: str, **fields: Any) -> None:
        if event not in ("stats", "decision", "endpoint_list"):
            self.rows.append((event, fields))

    info = warning = error = critical = _add


class Deployment:
    """A deployment that plays one day.

    Args:
        out: The folder for the configuration and the records.
        faults: The sections of faults by name, as in a day's file.
        steps: Additional steps, each with its time in seconds since the first request and a function that is
            called with this deployment.
        changes: The keys that differ from SECTIONS, by section.
    """

    def __init__(
        self,
        out: Path,
        faults: dict[str, dict[str, Any]] | None = None,
        steps: list[tuple[float, Callable[[Deployment], Any]]] | None = None,
        **changes: dict[str, Any],
    ) -> None:
        out.mkdir(parents=True, exist_ok=True)
        self.out, self.steps = out, steps or []
        fault_sections = {f"fault {name}": fault for name, fault in (faults or {}).items()}
        parser = configparser.ConfigParser(interpolation=None)
        names = dict.fromkeys([*SECTIONS, *changes])
        sections = {name: SECTIONS.get(name, {}) | changes.get(name, {}) for name in names}
        parser.read_dict(sections | fault_sections)
        with (out / "day.ini").open("w", encoding="utf-8") as file:
            parser.write(file)
        self.config: Config = read_config(str(out / "day.ini"), ("day", "fleet", "load"))
        assert self.config.day is not None
        assert self.config.fleet is not None
        self.day = self.config.day
        self.net, self.engine = VirtualNetwork(), SurvivingStoreEngine()
        self.control_records = list[dict[str, Any]]()
        self.log: dict[str, Log] = {}
        self.reactors: dict[str, ProcessReactor] = {}
        self.incarnations: dict[str, int] = {}
        self.assigners: dict[int, AssignerService] = {}
        self.proxies: dict[int, ProxyService] = {}
        self.place = self._place_processes()
        self._store_initial_tables()
        self._start_processes()

    # Processes ------------------------------------------------------------------------------------

    def _place_processes(self) -> PortLayout:
        deployment, fleet = self.config.deployment, self.config.fleet
        assert fleet is not None
        zones, server_count = len(deployment.zones), fleet.servers + fleet.spare
        place = PortLayout(
            1,
            2,
            [10 + assigner for assigner in range(deployment.assigners)],
            [100 + server for server in range(server_count)],
            [1000 + proxy for proxy in range(deployment.proxies)],
        )
        place.links = [Link("store", "store", 5001, at(1)), Link("list", "list", 5002, at(2))]
        place.links += [
            Link(f"order:{assigner}", "order", 5010 + assigner, at(port), assigner % zones, assigner)
            for assigner, port in enumerate(place.assigners)
        ]
        if self.config.peers is not None:
            place.links += [
                Link(f"peer:{a}:{b}", "peer", 5500 + 32 * a + b, at(place.assigners[b]), b % zones, b)
                for a, b in permutations(range(deployment.assigners), 2)
            ]
        place.links += [
            Link(f"try:{server}", "try", 5100 + server, at(port), server % zones, server)
            for server, port in enumerate(place.servers)
        ]
        return place

    def _store_initial_tables(self) -> None:
        deployment, fleet = self.config.deployment, self.config.fleet
        assert fleet is not None
        tables = {
            slice_id: [
                TableEntry(
                    slice_id % fleet.servers,
                    1.0,
                    self.place.proxied_address(f"try:{slice_id % fleet.servers}"),
                )
            ]
            for slice_id in range(deployment.slices)
        }
        ledger = OwnershipLedger(deployment.slices, deployment.assigners, 1.0, deployment.single_writer)
        ledger.load_tables(tables)
        self.engine.commit(Commit(1, 0, ledger.pop_changed()))

    def _start_processes(self) -> None:
        config, out, place = self.config, self.out, self.place
        self.tap_file = (out / "tap.jsonl").open("wb")
        self.tap = RecordingProxy(
            self._new_reactor("tap"), place.links, config.net.model_dump(), self.day.seed, self.tap_file
        )
        self.tap.listen()
        self.record_files = [
            (out / f"{name}.jsonl").open("w", encoding="utf-8") for name in ("fleet", "clients")
        ]
        addresses = [place.proxied_address(f"try:{server}") for server in range(len(place.servers))]
        self.fleet = FleetService(
            self._new_reactor("fleet"), config, place.servers, addresses, self.record_files[0]
        )
        self.fleet.start(place.news)
        self.start("store")
        for assigner in range(config.deployment.assigners):
            self.start(f"assigner:{assigner}")
        for proxy in range(config.deployment.proxies):
            self.start(f"proxy:{proxy}")
        proxy_addresses = [at(port) for port in place.fronts]
        self.clients = Clients(self._new_reactor("clients"), config, proxy_addresses, self.record_files[1])

    def _new_reactor(self, name: str) -> ProcessReactor:
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.log.setdefault(name, Log())
        self.reactors[name] = ProcessReactor(self.net)
        return self.reactors[name]

    def start(self, name: str) -> None:
        """Start a process, named by its role and number, such as "assigner:0"."""
        reactor, role, number = self._new_reactor(name), name.split(":")[0], int(name.partition(":")[2] or -1)
        deployment, zones = self.config.deployment, len(self.config.deployment.zones)
        slices, assigners = deployment.slices, deployment.assigners
        store_address, list_address = self.place.proxied_address("store"), self.place.proxied_address("list")
        log, incarnation = self.log[name], self.incarnations[name]
        if role == "store":
            snapshot = copy_snapshot(self.engine.snapshot)
            takeover_s, now = self.config.charge.takeover_s, reactor.seconds()
            ledger = OwnershipLedger(slices, assigners, takeover_s, deployment.single_writer, opened_at_s=now)
            ledger.restore(snapshot)
            table_restore = TableRestore(slices, assigners, 5.0) if self.config.peers is not None else None
            self.store = StoreService(
                reactor,
                ledger,
                deployment.name,
                log,
                self.engine,
                snapshot,
                zones,
                table_restore=table_restore,
            )
            reactor.listenTCP(self.place.store, self.store.factory())
            self.store.start()
        elif role == "assigner":
            assigner_section = AssignerProcess(
                id=number, zone=number % zones, listen=at(1), store=store_address, list=list_address
            )
            peers = self.config.peers
            if peers is not None:
                peers = peers.model_copy(update={"addresses": self.place.peers(number)})
            config = replace(self.config, assigner=assigner_section, peers=peers)
            service = AssignerService(reactor, config, log, incarnation)
            reactor.listenTCP(self.place.assigners[number], service.factory())
            service.start()
            self.assigners[number] = service
        else:
            assigner_addresses = [self.place.proxied_address(f"order:{k}") for k in range(assigners)]
            proxy_section = ProxyProcess(
                id=number,
                zone=number % zones,
                listen=at(1),
                assigners=assigner_addresses,
                store=store_address,
            )
            proxy = ProxyService(cast(Any, reactor), self.config, proxy_section, log)
            reactor.listenTCP(self.place.fronts[number], proxy.factory())
            proxy.start()
            self.proxies[number] = proxy

    def control_process(self, operation: str, name: str) -> None:
        """Apply an operation to a process, as the runner of days does.

        The operations are kill, start, stop, wake, and for the store lose, backup and restore.
        """
        number = int(name.partition(":")[2] or -1)
        if name.startswith("assigner") and operation != "start":
            self.control_records.append({"t": self.net.seconds(), "what": operation, "assigner": number})
        match operation:
            case "kill":
                self.reactors[name].kill()
            case "lose":
                self.reactors[name].kill()
                self.engine = SurvivingStoreEngine("u")
            case "backup":
                self.backup = copy_snapshot(self.engine.snapshot)
            case "restore":  # Does the same as the command "store restore".
                self.reactors[name].kill()
                self.engine = SurvivingStoreEngine()
                self.engine.snapshot = replace(
                    copy_snapshot(self.backup),
                    store_id="r",
                    highest_token=self.backup.highest_token + FENCING_TOKEN_GAP,
                )
            case "start":
                self.start(name)
            case "stop":
                self.reactors[name].suspended = True
            case "wake":
                self.reactors[name].resume()

    def set_link_fault(self, name: str, **arguments: Any) -> None:
        """Set a fault of the links, or clear it if the arguments name no kinds of links."""
        if arguments.get("kinds"):
            self.tap.set_fault(name, parse_link_fault(arguments))
        else:
            self.tap.clear_fault(name)

    def _apply_step(self, step: Step) -> None:
        if step.party == "fleet":
            self.fleet.execute(step.operation, step.arguments)
        elif step.party == "process":
            for name in step.arguments["who"]:
                self.control_process(step.operation, name)
        else:
            self.set_link_fault(
                **(
                    {
                        key: value
                        for key, value in step.arguments.items()
                        if step.operation == "bend" or key == "name"
                    }
                )
            )

    # The day --------------------------------------------------------------------------------------

    def play(self, drain_s: float = 6.0) -> ScenarioResult:
        """Play the whole day and return the result of the audit.

        Args:
            drain_s: Time after the day in which requests and updates in flight can complete, in seconds.
        """
        started_at = START + self.day.settle_s
        self.net.run_until(started_at)
        self.clients.start()
        for step in plan(self.config, self.day.seed):
            self.net.callLater(step.at_s, self._apply_step, step)
        for at_s, call in self.steps:
            self.net.callLater(at_s, call, self)
        self.net.run_until(started_at + self.day.length_s + drain_s)
        for _ in range(30):  # An update may still be in flight.
            if not self.inconsistencies():
                break
            self.net.run_until(self.net.seconds() + 0.1)
        self.tap.close()
        for file in [self.tap_file, *self.record_files]:
            file.close()
        rows = "".join(json.dumps(row) + "\n" for row in self.control_records)
        (self.out / "day.jsonl").write_text(rows, encoding="utf-8")
        return evaluate(self.out)

    def inconsistencies(self) -> list[str]:
        """Describe the slices whose table or level differs between owner, store and proxies."""
        found = []
        for slice_id, record in sorted(self.store.ledger.slices.items()):
            stored = {server: entry.weight for server, entry in record.entries.items()}
            module: Any = self.assigners[record.owner_id].runtime.director
            director = getattr(module, "director", module)
            decided = director.slices[slice_id].weights
            if decided != stored:
                found.append(f"slice {slice_id}: module has {decided}, store has {stored}")
            expected = (
                {
                    server: weight
                    for server, weight in decided.items()
                    if server not in director.fleet.withdrawn_servers
                },
                director.fleet.admission_fractions.get(0, 1.0),
            )
            for proxy_id, proxy in sorted(self.proxies.items()):
                tables = proxy.engine.tables
                actual = tables.available_weights(slice_id), tables.admission_fraction(slice_id, 0)
                if actual != expected:
                    found.append(f"slice {slice_id}: proxy {proxy_id} has {actual}, module has {expected}")
        return found
