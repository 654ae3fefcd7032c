"""Runs a scenario: starts its processes, injects the faults, ends the processes and writes the records."""

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
    BACKUP_FOLDER,
    DATABASE,
    EMPTY_STORE_CONFIG,
    OPERATOR_CONFIG,
    STORE_CONFIG,
    ConfigFiles,
)
from puffintide.scenarios.errors import ScenarioRunError
from puffintide.scenarios.faults import plan
from puffintide.scenarios.place import allocate_ports
from puffintide.scenarios.processes import ProcessGroup
from puffintide.scenarios.steps import Party, Step

PROXIES_PER_PROCESS = 40
BACKUP_NAME = "day"
MAX_WAIT_S = 0.25  # Maximum time between two checks of the processes.
COMPLETION_MARGIN_S = 3  # Time for the clients to exit after the longest deadline of a request.
PORTS_PER_PROCESS_ID = 7919  # Spreads the port searches of concurrent runners over the port range.
OLD_FILE_SUFFIXES = (".log", ".jsonl", ".ini", ".json")
NO_ASSIGNER = -1

# Receives the current phase and the fraction of the scenario that has run.
Progress = Callable[[str, float], None]


def _no_progress(_text: str, _fraction: float) -> None:
    pass


class ScenarioRunner:
    """Runs one scenario.

    Args:
        config: The configuration of the scenario.
        source: The INI text of the scenario.
        folder: The folder for records, logs and configuration files.
        seed: The random seed of faults, requests and assigners.
        assigner_command: The module that runs an assigner, and its first arguments.
        port_start: An additional offset in the port range at which the search for free ports starts.
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
        self._events: list[dict[str, Any]] = []
        self._store_lost = False  # The store lost its data and restores its tables from replicas.

    def run_scenario(self) -> None:
        """Run the scenario; all processes are ended even if it fails.

        Raises:
            ScenarioRunError: The scenario could not be run to its end.
        """
        self._prepare_folder()
        layout = allocate_ports(self.config, os.getpid() * PORTS_PER_PROCESS_ID + self.port_start)
        layout.save(self.folder / "place.json")
        ConfigFiles(self.config, self.source, self.folder, layout, self.seed).write()
        try:
            self._start_all()
            started_at_s = time.monotonic()
            self.record_event("begin")
            self.processes.send("clients", "go", {})
            self._run_steps(started_at_s, plan(self.config, self.seed))
            self._wait_for_clients()
        finally:
            self.processes.end_all()
            with (self.folder / "day.jsonl").open("w", encoding="utf-8") as file:
                for row in self._events:
                    file.write(json.dumps(row) + "\n")

    def record_event(self, event: str, **fields: Any) -> None:
        """Add a row to the runner's record file, day.jsonl."""
        self._events.append({"t": time.monotonic(), "what": event, **fields})

    def _prepare_folder(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.glob("*"):
            if path.suffix in OLD_FILE_SUFFIXES or path.name.startswith(DATABASE):
                path.unlink()
        (self.folder / "day.ini").write_text(self.source, encoding="utf-8")

    # Start ---------------------------------------------------------------------------------------

    def _start_all(self) -> None:
        """Start all processes, wait until each is ready, and let the deployment settle."""
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
        module, *arguments = self.assigner_command
        self.processes.spawn(
            name, *arguments, "--config", str(path), "--life", str(incarnation), module=module
        )
        self.record_event("start", assigner=assigner_id, life=incarnation)

    # Steps ---------------------------------------------------------------------------------------

    def _run_steps(self, started_at_s: float, steps: list[Step]) -> None:
        length_s = self.scenario.length_s
        for step in [*steps, Step(length_s, Party.END, "")]:
            while (wait_s := started_at_s + step.at_s - time.monotonic()) > 0:
                completed = (time.monotonic() - started_at_s) / length_s
                self.on_progress("running", min(1.0, completed))
                self.processes.check_running()
                time.sleep(min(wait_s, MAX_WAIT_S))
            if step.at_s < length_s and step.party is not Party.END:
                self._execute(step)
        self.on_progress("running", 1.0)

    def _execute(self, step: Step) -> None:
        self.record_event("step", party=str(step.party), step=step.operation, args=step.arguments)
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
                self._run_command("store", "backup", BACKUP_NAME, "--config", config)
            case "restore":
                self.processes.running["store"].kill()
                backup = str(self.folder / BACKUP_FOLDER / BACKUP_NAME)
                self._run_command("store", "restore", backup, str(self.folder / DATABASE))
            case _:
                self._signal("store", operation, NO_ASSIGNER)

    def _signal(self, name: str, operation: str, assigner_id: int) -> None:
        """Kill, pause or resume a process and record the operation."""
        running = self.processes.running[name]
        match operation:
            case "kill":
                running.kill()
            case "stop":
                running.pause()
            case "wake":
                running.resume()
        self.record_event(operation, assigner=assigner_id)

    def _run_command(self, *arguments: str) -> None:
        """Run a command of the program as an operator does, and record its outcome."""
        command = [sys.executable, "-m", "puffintide", *arguments]
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        self.record_event("command", words=arguments, code=completed.returncode, said=completed.stdout)
        if completed.returncode:
            raise ScenarioRunError(
                f"command 'puffintide {' '.join(arguments)}' failed with code {completed.returncode}: "
                f"{completed.stdout}{completed.stderr}"
            )

    def _wait_for_clients(self) -> None:
        """Wait until the clients have exited after their last request."""
        self.on_progress("finishing", 1.0)
        longest_deadline_s = max(section.deadline_s for section in self.config.classes.values())
        clients = self.processes.running["clients"].process
        try:
            clients.wait(longest_deadline_s + COMPLETION_MARGIN_S)
        except subprocess.TimeoutExpired as error:
            raise ScenarioRunError(
                f"process clients did not exit within {error.timeout:g} s after the end of the scenario"
            ) from error
        if clients.returncode:
            raise ScenarioRunError(
                f"process clients exited with code {clients.returncode}; see its log in {self.folder}"
            )
