"""Plays a scenario: starts every process, injects the faults, ends all, and leaves the records in a folder."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from puffintide.config.model import Config
from puffintide.scenarios.config_files import (
    BACKUPS,
    DATABASE,
    EMPTY_STORE_CONFIG,
    OPERATOR_CONFIG,
    STORE_CONFIG,
    ConfigFiles,
)
from puffintide.scenarios.errors import PlayError
from puffintide.scenarios.faults import plan
from puffintide.scenarios.place import lay
from puffintide.scenarios.processes import ProcessGroup
from puffintide.scenarios.steps import Party, Step

PROXIES_PER_PROCESS = 40
BACKUP = "day"
MAX_WAIT_S = 0.25  # between two checks of the processes
COMPLETION_MARGIN_S = 3  # after the longest deadline, for the clients to end
PORTS_PER_PROCESS_ID = 7919  # runners side by side start to look for ports in different places
OLD_FILE_SUFFIXES = (".log", ".jsonl", ".ini", ".json")
NO_ASSIGNER = -1

Progress = Callable[[str, float], None]  # what is done, and the part of the scenario that was played


def _no_progress(_text: str, _fraction: float) -> None:
    pass


class ScenarioRunner:
    """Plays one scenario.

    Args:
        config: Of the scenario.
        source: Its INI text.
        folder: For records, logs and configurations.
        seed: Of faults, requests and assigners.
        assigner_command: Module that runs an assigner, and its first words.
        port_start: Offset at which free ports are looked for.
    """

    def __init__(
        self,
        config: Config,
        source: str,
        folder: Path,
        seed: int,
        assigner_command: tuple[str, ...] = ("puffintide", "assigner"),
        port_start: int = 0,
    ) -> None:
        assert config.day is not None
        self.config = config
        self.scenario = config.day
        self.source = source
        self.folder = folder
        self.seed = seed
        self.assigner_command = assigner_command
        self.port_start = port_start
        self.on_progress: Progress = _no_progress
        self.processes = ProcessGroup(folder)
        self._incarnations: Counter[str] = Counter()
        self._notes: list[dict[str, Any]] = []
        self._store_lost = False  # with all that it had; it restores its tables from replicas

    def play(self) -> None:
        """Play the scenario; whatever happens, no process is left behind.

        Raises:
            PlayError: It could not be played.
        """
        self._prepare_folder()
        place = lay(self.config, os.getpid() * PORTS_PER_PROCESS_ID + self.port_start)
        place.save(self.folder / "place.json")
        ConfigFiles(self.config, self.source, self.folder, place, self.seed).write()
        try:
            self._start_all()
            began_s = time.monotonic()
            self.note("begin")
            self.processes.send("clients", "go", {})
            self._play_steps(began_s, plan(self.config, self.seed))
            self._wait_for_clients()
        finally:
            self.processes.end_all()
            with (self.folder / "day.jsonl").open("w", encoding="utf-8") as file:
                for row in self._notes:
                    file.write(json.dumps(row) + "\n")

    def note(self, event: str, **fields: Any) -> None:
        """Add a line to the runner's own record."""
        self._notes.append({"t": time.monotonic(), "what": event, **fields})

    def _prepare_folder(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in self.folder.glob("*"):
            if old.suffix in OLD_FILE_SUFFIXES or old.name.startswith(DATABASE):
                old.unlink()
        (self.folder / "day.ini").write_text(self.source, encoding="utf-8")

    # Start ---------------------------------------------------------------------------------------

    def _start_all(self) -> None:
        """Start every process, and wait until all have connected."""
        out = ["--out", str(self.folder)]
        self.on_progress("starting", 0.0)
        for name in ("tap", "fleet"):
            self.processes.spawn(name, "standin", name, *out)
        self._start_store()
        for name in ("tap", "fleet", "store"):
            self.processes.wait_ready(name)
        assigner_ids = range(self.config.deployment.assigners)
        for assigner_id in assigner_ids:
            self._start_assigner(assigner_id)
        proxy_names = self._start_proxies(out)
        for assigner_id in assigner_ids:
            self.processes.wait_ready(f"assigner:{assigner_id}")
        for name in proxy_names:
            self.processes.wait_ready(name)
        self.processes.spawn("clients", "standin", "clients", *out)
        self.processes.wait_ready("clients")
        time.sleep(self.scenario.settle_s)

    def _start_proxies(self, out: list[str]) -> list[str]:
        names = []
        proxy_count = self.config.deployment.proxies
        for first in range(0, proxy_count, PROXIES_PER_PROCESS):
            last = min(proxy_count, first + PROXIES_PER_PROCESS)
            name = f"proxies:{first}"
            names.append(name)
            self.processes.spawn(name, "standin", "proxies", *out, "--first", str(first), "--last", str(last))
        return names

    def _start_store(self) -> None:
        name = EMPTY_STORE_CONFIG if self._store_lost else STORE_CONFIG
        self.processes.spawn("store", "store", "--config", str(self.folder / name))

    def _start_assigner(self, assigner_id: int) -> None:
        name = f"assigner:{assigner_id}"
        self._incarnations[name] += 1
        incarnation = self._incarnations[name]
        path = self.folder / f"assigner-{assigner_id}.ini"
        module, *words = self.assigner_command
        self.processes.spawn(name, *words, "--config", str(path), "--life", str(incarnation), module=module)
        self.note("start", assigner=assigner_id, life=incarnation)

    # Play ----------------------------------------------------------------------------------------

    def _play_steps(self, began_s: float, steps: list[Step]) -> None:
        length_s = self.scenario.length_s
        for step in [*steps, Step(length_s, Party.END, "")]:
            while (wait_s := began_s + step.at_s - time.monotonic()) > 0:
                played = (time.monotonic() - began_s) / length_s
                self.on_progress("playing", min(1.0, played))
                self.processes.check_running()
                time.sleep(min(wait_s, MAX_WAIT_S))
            if step.at_s < length_s and step.party is not Party.END:
                self._carry_out(step)
        self.on_progress("playing", 1.0)

    def _carry_out(self, step: Step) -> None:
        self.note("step", party=str(step.party), step=step.operation, args=step.arguments)
        if step.party is not Party.PROCESS:
            self.processes.send(str(step.party), step.operation, step.arguments)
            return
        for name in step.arguments["who"]:
            if name == "store":
                self._control_store(step.operation)
            else:
                self._control_assigner(step.operation, int(name.split(":")[1]))

    def _control_assigner(self, operation: str, assigner_id: int) -> None:
        if operation == "start":
            self._start_assigner(assigner_id)
        else:
            self._signal(f"assigner:{assigner_id}", operation, assigner_id)

    def _control_store(self, operation: str) -> None:
        match operation:
            case "start":
                self._start_store()
            case "lose":
                self.processes.running["store"].kill()
                for file in self.folder.glob(f"{DATABASE}*"):
                    file.unlink()
                self._store_lost = self.config.peers is not None
            case "backup":
                config = str(self.folder / OPERATOR_CONFIG)
                self._run_command("store", "backup", BACKUP, "--config", config)
            case "restore":
                self.processes.running["store"].kill()
                backup = str(self.folder / BACKUPS / BACKUP)
                self._run_command("store", "restore", backup, str(self.folder / DATABASE))
            case _:
                self._signal("store", operation, NO_ASSIGNER)

    def _signal(self, name: str, operation: str, assigner_id: int) -> None:
        """Kill, pause or resume a process."""
        running = self.processes.running[name]
        match operation:
            case "kill":
                running.kill()
            case "stop":
                running.pause()
            case "wake":
                running.resume()
        self.note(operation, assigner=assigner_id)

    def _run_command(self, *words: str) -> None:
        """Run a command of the operator."""
        command = [sys.executable, "-m", "puffintide", *words]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        self.note("command", words=words, code=done.returncode, said=done.stdout)
        if done.returncode:
            raise PlayError(f"puffintide {' '.join(words)}: {done.stdout}{done.stderr}")

    def _wait_for_clients(self) -> None:
        """Wait until every request has ended."""
        self.on_progress("finishing", 1.0)
        longest_deadline_s = max(section.deadline_s for section in self.config.classes.values())
        clients = self.processes.running["clients"].process
        try:
            clients.wait(longest_deadline_s + COMPLETION_MARGIN_S)
        except subprocess.TimeoutExpired as error:
            raise PlayError("the clients did not come to an end") from error
        if clients.returncode:
            raise PlayError(
                f"the clients ended with code {clients.returncode}; see their log in {self.folder}"
            )
