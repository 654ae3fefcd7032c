"""A whole deployment in one process on a virtual clock.

The program's real services and emulators, joined by connections in memory through the recording proxy, whose
records `puffintide.audit` evaluates. Seeded; nothing sleeps.
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
from tests.surviving_store_engine import SurvivingStoreEngine, copied
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
    """Events of one process, as the program logs them."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, dict[str, Any]]] = []

    def _add(self, event: str, **what: Any) -> None:
        if event not in ("stats", "decision", "endpoint_list"):
            self.rows.append((event, what))

    info = warning = error = critical = _add


class Deployment:
    """faults: as in a day's file. steps: (when, call with this deployment) beside them; times since the first
    request. changes: keys of sections."""

    def __init__(
        self,
        out: Path,
        faults: dict[str, dict[str, Any]] | None = None,
        steps: list[tuple[float, Callable[[Deployment], Any]]] | None = None,
        **changes: dict[str, Any],
    ) -> None:
        out.mkdir(parents=True, exist_ok=True)
        self.out, self.steps = out, steps or []
        named = {f"fault {n}": f for n, f in (faults or {}).items()}
        made = configparser.ConfigParser(interpolation=None)
        names = dict.fromkeys([*SECTIONS, *changes])
        made.read_dict({n: SECTIONS.get(n, {}) | changes.get(n, {}) for n in names} | named)
        with (out / "day.ini").open("w", encoding="utf-8") as file:
            made.write(file)
        self.config: Config = read_config(str(out / "day.ini"), ("day", "fleet", "load"))
        assert self.config.day is not None
        assert self.config.fleet is not None
        self.day = self.config.day
        self.net, self.engine, self.notes = VirtualNetwork(), SurvivingStoreEngine(), list[dict[str, Any]]()
        self.log: dict[str, Log] = {}
        self.reactors: dict[str, ProcessReactor] = {}
        self.incarnations: dict[str, int] = {}
        self.assigners: dict[int, AssignerService] = {}
        self.proxies: dict[int, ProxyService] = {}
        self.place = self._place_processes()
        self._store_initial_tables()
        self._start_processes()

    # Parties --------------------------------------------------------------------------------------

    def _place_processes(self) -> PortLayout:
        d, f = self.config.deployment, self.config.fleet
        assert f is not None
        zones, count = len(d.zones), f.servers + f.spare
        place = PortLayout(
            1,
            2,
            [10 + k for k in range(d.assigners)],
            [100 + s for s in range(count)],
            [1000 + p for p in range(d.proxies)],
        )
        place.links = [Link("store", "store", 5001, at(1)), Link("list", "list", 5002, at(2))]
        place.links += [
            Link(f"order:{k}", "order", 5010 + k, at(p), k % zones, k) for k, p in enumerate(place.assigners)
        ]
        if self.config.peers is not None:
            place.links += [
                Link(f"peer:{a}:{b}", "peer", 5500 + 32 * a + b, at(place.assigners[b]), b % zones, b)
                for a, b in permutations(range(d.assigners), 2)
            ]
        place.links += [
            Link(f"try:{s}", "try", 5100 + s, at(p), s % zones, s) for s, p in enumerate(place.servers)
        ]
        return place

    def _store_initial_tables(self) -> None:
        d, f = self.config.deployment, self.config.fleet
        assert f is not None
        rows = {
            n: [TableEntry(n % f.servers, 1.0, self.place.proxied_address(f"try:{n % f.servers}"))]
            for n in range(d.slices)
        }
        book = OwnershipLedger(d.slices, d.assigners, 1.0, d.single_writer)
        book.load_tables(rows)
        self.engine.commit(Commit(1, 0, book.pop_changed()))

    def _start_processes(self) -> None:
        config, out, place = self.config, self.out, self.place
        self.sink = (out / "tap.jsonl").open("wb")
        self.tap = RecordingProxy(
            self._new_reactor("tap"), place.links, config.net.model_dump(), self.day.seed, self.sink
        )
        self.tap.listen()
        self.files = [(out / f"{n}.jsonl").open("w", encoding="utf-8") for n in ("fleet", "clients")]
        addresses = [place.proxied_address(f"try:{s}") for s in range(len(place.servers))]
        self.fleet = FleetService(self._new_reactor("fleet"), config, place.servers, addresses, self.files[0])
        self.fleet.start(place.news)
        self.start("store")
        for k in range(config.deployment.assigners):
            self.start(f"assigner:{k}")
        for p in range(config.deployment.proxies):
            self.start(f"proxy:{p}")
        fronts = [at(port) for port in place.fronts]
        self.clients = Clients(self._new_reactor("clients"), config, fronts, self.files[1])

    def _new_reactor(self, name: str) -> ProcessReactor:
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.log.setdefault(name, Log())
        self.reactors[name] = ProcessReactor(self.net)
        return self.reactors[name]

    def start(self, name: str) -> None:
        party, kind, number = self._new_reactor(name), name.split(":")[0], int(name.partition(":")[2] or -1)
        d, zones = self.config.deployment, len(self.config.deployment.zones)
        store, news = self.place.proxied_address("store"), self.place.proxied_address("list")
        log, life = self.log[name], self.incarnations[name]
        if kind == "store":
            image = copied(self.engine.image)
            charge, now = self.config.charge, party.seconds()
            book = OwnershipLedger(d.slices, d.assigners, charge.takeover_s, d.single_writer, opened_at_s=now)
            book.restore(image)
            refill = TableRestore(d.slices, d.assigners, 5.0) if self.config.peers is not None else None
            self.store = StoreService(
                party, book, d.name, log, self.engine, image, zones, table_restore=refill
            )
            party.listenTCP(self.place.store, self.store.factory())
            self.store.start()
        elif kind == "assigner":
            me = AssignerProcess(id=number, zone=number % zones, listen=at(1), store=store, list=news)
            peers = self.config.peers
            if peers is not None:
                peers = peers.model_copy(update={"addresses": self.place.peers(number)})
            service = AssignerService(party, replace(self.config, assigner=me, peers=peers), log, life)
            party.listenTCP(self.place.assigners[number], service.factory())
            service.start()
            self.assigners[number] = service
        else:
            orders = [self.place.proxied_address(f"order:{k}") for k in range(d.assigners)]
            mine = ProxyProcess(id=number, zone=number % zones, listen=at(1), assigners=orders, store=store)
            proxy = ProxyService(cast(Any, party), self.config, mine, log)
            party.listenTCP(self.place.fronts[number], proxy.factory())
            proxy.start()
            self.proxies[number] = proxy

    def control_process(self, what: str, name: str) -> None:
        """kill, start, stop or wake, as the runner of days does to processes."""
        number = int(name.partition(":")[2] or -1)
        if name.startswith("assigner") and what != "start":
            self.notes.append({"t": self.net.seconds(), "what": what, "assigner": number})
        match what:
            case "kill":
                self.reactors[name].kill()
            case "lose":
                self.reactors[name].kill()
                self.engine = SurvivingStoreEngine("u")
            case "backup":
                self.saved = copied(self.engine.image)
            case "restore":  # as the command does it
                self.reactors[name].kill()
                self.engine = SurvivingStoreEngine()
                self.engine.image = replace(
                    copied(self.saved),
                    store_id="r",
                    highest_token=self.saved.highest_token + FENCING_TOKEN_GAP,
                )
            case "start":
                self.start(name)
            case "stop":
                self.reactors[name].suspended = True
            case "wake":
                self.reactors[name].resume()

    def set_link_fault(self, name: str, **how: Any) -> None:
        """A fault of the links, or its end."""
        if how.get("kinds"):
            self.tap.set_fault(name, parse_link_fault(how))
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
                **({k: v for k, v in step.arguments.items() if step.operation == "bend" or k == "name"})
            )

    # The day --------------------------------------------------------------------------------------

    def play(self, more_s: float = 6.0) -> ScenarioResult:
        """All of the day, and a while for what is under way to end; judged by the audit."""
        begun = START + self.day.settle_s
        self.net.run_until(begun)
        self.clients.start()
        for step in plan(self.config, self.day.seed):
            self.net.callLater(step.at_s, self._apply_step, step)
        for when, call in self.steps:
            self.net.callLater(when, call, self)
        self.net.run_until(begun + self.day.length_s + more_s)
        for _ in range(30):  # an order may be on its way
            if not self.inconsistencies():
                break
            self.net.run_until(self.net.seconds() + 0.1)
        self.tap.close()
        for file in [self.sink, *self.files]:
            file.close()
        rows = "".join(json.dumps(row) + "\n" for row in self.notes)
        (self.out / "day.jsonl").write_text(rows, encoding="utf-8")
        return evaluate(self.out)

    def inconsistencies(self) -> list[str]:
        """Slices whose table or level differs between the module in charge, the store and a proxy."""
        found = []
        for number, record in sorted(self.store.ledger.slices.items()):
            kept = {s: h.weight for s, h in record.entries.items()}
            decider: Any = self.assigners[record.owner_id].runtime.director
            director = getattr(decider, "director", decider)
            module = director.slices[number].weights
            if module != kept:
                found.append(f"slice {number}: module {module}, store {kept}")
            meant = (
                {s: w for s, w in module.items() if s not in director.fleet.withdrawn_servers},
                director.fleet.admission_fractions.get(0, 1.0),
            )
            for p, proxy in sorted(self.proxies.items()):
                tables = proxy.engine.tables
                held = tables.available_weights(number), tables.admission_fraction(number, 0)
                if held != meant:
                    found.append(f"slice {number}: proxy {p} {held}, module {meant}")
        return found
