"""Plays a scripted day: starts every process, injects the faults, stops all, and leaves the records in a folder."""

from __future__ import annotations

import configparser
import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from puffintide.config.model import Config
from puffintide.emulators.fleet import dealt
from puffintide.scenarios.faults import Step, plan
from puffintide.scenarios.place import Place, at, lay

READY_S = 20.0  # for a process to listen
FRONTS_PER_PROCESS = 40  # dispatchers in one process
BACKUP = "day"


class DayError(Exception):
    """The day could not be played; the text says what went wrong."""


@dataclass
class Running:
    name: str
    process: subprocess.Popen[str]
    log: IO[str]


@dataclass
class Player:
    config: Config
    source: str  # the day's INI text
    out: Path
    seed: int
    tell: Callable[[str, float], None] = lambda text, share: None
    running: dict[str, Running] = field(default_factory=dict)
    lives: dict[str, int] = field(default_factory=dict)
    notes: list[dict[str, Any]] = field(default_factory=list)
    place: Place | None = None
    lost: bool = False  # the store's disk, with all that it kept
    assigner: tuple[str, ...] = ("puffintide", "assigner")  # the module that plays it, and its first words
    port_start: int = 0  # days played side by side look for ports in different places

    # Processes ----------------------------------------------------------------------------------------

    def _spawn(self, name: str, *words: str, module: str = "puffintide") -> Running:
        log = (self.out / f"{name.replace(':', '-')}.log").open("a", encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "-m", module, *words],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            start_new_session=True,  # Ctrl-C comes to us, and we end them in order
        )
        self.running[name] = Running(name, process, log)
        return self.running[name]

    def _wait_ready(self, name: str) -> None:
        stdout = self.running[name].process.stdout
        assert stdout is not None
        line = stdout.readline()
        if line.strip() != "ready":
            raise DayError(f"{name} did not start; see {self.out / (name.replace(':', '-') + '.log')}")

    def _say(self, name: str, what: str, args: dict[str, Any]) -> None:
        stdin = self.running[name].process.stdin
        assert stdin is not None
        try:
            stdin.write(json.dumps({"what": what, "args": args}) + "\n")
            stdin.flush()
        except BrokenPipeError:
            raise DayError(f"{name} has ended; see its log in {self.out}") from None

    def _start_store(self) -> None:
        name = "store-refill.ini" if self.lost else "store.ini"
        self._spawn("store", "store", "--config", str(self.out / name))

    def _start_assigner(self, number: int) -> None:
        name = f"assigner:{number}"
        life = self.lives[name] = self.lives.get(name, 0) + 1
        path = self.out / f"assigner-{number}.ini"
        module, *first = self.assigner
        self._spawn(name, *first, "--config", str(path), "--life", str(life), module=module)
        self.note("start", assigner=number, life=life)

    def note(self, what: str, **more: Any) -> None:
        self.notes.append({"t": time.monotonic(), "what": what, **more})

    def _write_configs(self, place: Place) -> None:
        base = configparser.ConfigParser(interpolation=None)
        base.read_string(self.source)
        zones = len(self.config.deployment.zones)
        keep = ("deployment", "channel", "reports", "list", "probes", "rules", "charge", "zones")
        for number, port in enumerate(place.assigners):
            section = {
                "id": str(number),
                "zone": str(number % zones),
                "listen": at(port),
                "store": place.tapped("store"),
                "list": place.tapped("list"),
                "list_cache": str(self.out / f"list-{number}.json"),
                "seed": str(self.seed),
            }
            extra = {"assigner": section}
            if self.config.peers is not None:
                extra["peers"] = dict(base.items("peers")) | {"addresses": ", ".join(place.peers(number))}
            self._config(base, keep, extra, self.out / f"assigner-{number}.ini")
        tables = self.out / "tables.jsonl"
        self._first_tables(place, tables)
        store = {
            "listen": at(place.store),
            "start_tables": str(tables),
            "file": str(self.out / "kept.db"),
            "backups": str(self.out / "backups"),
        }
        (self.out / "backups").mkdir(exist_ok=True)
        operator = {"store": at(place.store), "assigners": ", ".join(map(at, place.assigners))}
        self._config(base, keep, {"operator": operator}, self.out / "operator.ini")
        self._config(base, keep, {"store": store}, self.out / "store.ini")
        empty = {"listen": store["listen"], "file": store["file"], "refill": "yes"}
        self._config(base, keep, {"store": empty}, self.out / "store-refill.ini")

    @staticmethod
    def _config(
        base: configparser.ConfigParser, keep: tuple[str, ...], extra: dict[str, dict[str, str]], path: Path
    ) -> None:
        made = configparser.ConfigParser(interpolation=None)
        for title in base.sections():
            if title in keep or title.startswith(("class ", "zone ")):
                made[title] = dict(base.items(title))
        for title, values in extra.items():
            made[title] = values
        with path.open("w", encoding="utf-8") as file:
            made.write(file)

    def _first_tables(self, place: Place, path: Path) -> None:
        """Each slice begins on one server; servers have slices by their size, as the users' store does."""
        fleet = self.config.fleet
        assert fleet is not None
        zones = len(self.config.deployment.zones)
        seats: list[tuple[float, int]] = []
        count = fleet.servers + fleet.spare
        sizes = [dealt(fleet.cores, s, zones, count) for s in range(fleet.servers)]
        for server, size in enumerate(sizes):
            seats += [((k + 0.5) / size, server) for k in range(size)]
        order = [server for _, server in sorted(seats)]
        with path.open("w", encoding="utf-8") as file:
            for number in range(self.config.deployment.slices):
                server = order[number % len(order)]
                row = {"slice": number, "server": server, "address": place.tapped(f"try:{server}")}
                file.write(json.dumps(row) + "\n")

    # The day ------------------------------------------------------------------------------------------

    def play(self) -> None:
        """Raises DayError; whatever happens, no process is left behind."""
        day = self.config.day
        assert day is not None
        self.out.mkdir(parents=True, exist_ok=True)
        for old in self.out.glob("*"):
            if old.suffix in (".log", ".jsonl", ".ini", ".json") or old.name.startswith("kept.db"):
                old.unlink()
        (self.out / "day.ini").write_text(self.source, encoding="utf-8")
        self.place = lay(self.config, os.getpid() * 7919 + self.port_start)
        self.place.save(self.out / "place.json")
        self._write_configs(self.place)
        try:
            self._begin()
            began = time.monotonic()
            self.note("begin")
            self._say("clients", "go", {})
            self._through(began, plan(self.config, self.seed), day.length_s)
            self._finish()
        finally:
            self._end_all()
            with (self.out / "day.jsonl").open("w", encoding="utf-8") as file:
                for row in self.notes:
                    file.write(json.dumps(row) + "\n")

    def _begin(self) -> None:
        where = ["--out", str(self.out)]
        self.tell("starting", 0.0)
        for name in ("tap", "fleet"):
            self._spawn(name, "standin", name, *where)
        self._start_store()
        for name in ("tap", "fleet", "store"):
            self._wait_ready(name)
        for number in range(self.config.deployment.assigners):
            self._start_assigner(number)
        count = self.config.deployment.proxies
        names = []
        for first in range(0, count, FRONTS_PER_PROCESS):
            last = min(count, first + FRONTS_PER_PROCESS)
            names.append(f"proxies:{first}")
            self._spawn(names[-1], "standin", "proxies", *where, "--first", str(first), "--last", str(last))
        for number in range(self.config.deployment.assigners):
            self._wait_ready(f"assigner:{number}")
        for name in names:
            self._wait_ready(name)
        self._spawn("clients", "standin", "clients", *where)
        self._wait_ready("clients")
        assert self.config.day is not None
        time.sleep(self.config.day.settle_s)

    def _through(self, began: float, steps: list[Step], length: float) -> None:
        for step in [*steps, Step(length, "end", "")]:
            while (left := began + step.at - time.monotonic()) > 0:
                self.tell("playing", min(1.0, (time.monotonic() - began) / length))
                self._watch()
                time.sleep(min(left, 0.25))
            if step.at < length and step.party != "end":
                self._do(step)
        self.tell("playing", 1.0)

    def _do(self, step: Step) -> None:
        self.note("step", party=step.party, step=step.what, args=step.args)
        if step.party in ("fleet", "tap"):
            self._say(step.party, step.what, step.args)
            return
        for name in step.args["who"]:
            running = self.running[name]
            number = int(name.split(":")[1]) if ":" in name else -1
            match step.what:
                case "kill":
                    running.process.kill()
                    running.process.wait()
                    self.note("kill", assigner=number)
                case "lose":  # its disk with it
                    running.process.kill()
                    running.process.wait()
                    for file in self.out.glob("kept.db*"):
                        file.unlink()
                    self.lost = self.config.peers is not None
                case "backup":
                    self._command("store", "backup", BACKUP, "--config", str(self.out / "operator.ini"))
                case "restore":
                    running.process.kill()
                    running.process.wait()
                    folder = str(self.out / "backups" / BACKUP)
                    self._command("store", "restore", folder, str(self.out / "kept.db"))
                case "start" if name == "store":
                    self._start_store()
                case "start":
                    self._start_assigner(number)
                case "stop":
                    running.process.send_signal(signal.SIGSTOP)
                    self.note("stop", assigner=number)
                case "wake":
                    running.process.send_signal(signal.SIGCONT)
                    self.note("wake", assigner=number)

    def _command(self, *words: str) -> None:
        """What an operator would type."""
        done = subprocess.run([sys.executable, "-m", "puffintide", *words], capture_output=True, text=True)
        self.note("command", words=words, code=done.returncode, said=done.stdout)
        if done.returncode:
            raise DayError(f"puffintide {' '.join(words)}: {done.stdout}{done.stderr}")

    def _watch(self) -> None:
        for name, running in self.running.items():
            code = running.process.poll()
            if name == "clients" and code == 0:
                continue  # all was answered before the day's last second
            if code is not None and not (name.startswith(("assigner", "store")) and code == -signal.SIGKILL):
                raise DayError(f"{name} ended by itself with code {code}; see its log in {self.out}")

    def _finish(self) -> None:
        """Waits until all is answered, then ends clients first and the tap last, so that the records are whole."""
        self.tell("finishing", 1.0)
        longest = max(c.deadline_s for c in self.config.classes.values()) + 3
        clients = self.running["clients"].process
        try:
            clients.wait(longest)
        except subprocess.TimeoutExpired:
            raise DayError("the clients did not come to an end") from None
        if clients.returncode:
            raise DayError(f"the clients ended with code {clients.returncode}; see their log in {self.out}")

    def _end_all(self) -> None:
        order = sorted(self.running, key=lambda n: (n == "tap", n == "fleet", n == "store", n))
        for name in order:
            running = self.running[name]
            if running.process.poll() is None:
                running.process.send_signal(signal.SIGCONT)
                if running.process.stdin is not None:
                    with contextlib.suppress(BrokenPipeError):
                        running.process.stdin.close()  # stand-ins end with it, after closing their records
                if name.startswith(("assigner", "store")):
                    running.process.terminate()
                try:
                    running.process.wait(10)
                except subprocess.TimeoutExpired:
                    running.process.kill()
                    running.process.wait()
            if running.process.stdout is not None:
                running.process.stdout.close()
            running.log.close()
