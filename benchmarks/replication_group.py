"""The group of assigner processes of benchmarks.replication_processes, and the events that they print."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from puffintide.scenarios.place import Ports, at

EVENT_TIMEOUT_S = 90.0
AGREEMENT_TIMEOUT_S = 60.0
# Minimum wait before agreement counts, in seconds; until then a change may not have reached the others.
MIN_AGREEMENT_WAIT_S = 0.5

Event = dict[str, Any]  # An event printed by benchmarks.replication_assigner.


class AssignerGroup:
    """Assigner processes that write their events to one file per assigner and incarnation."""

    def __init__(self, size: int, slice_count: int, folder: Path, store: str = "") -> None:
        ports = Ports(os.getpid() * 40)
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self._addresses = [at(ports.take()) for _ in range(size)]
        self._slice_count = slice_count
        self._folder = folder
        self._store = store
        self._incarnations = dict.fromkeys(range(size), 0)
        for assigner_id in range(size):
            self.start(assigner_id, owns_slices=True)

    def start(self, assigner_id: int, owns_slices: bool) -> None:
        """Start an assigner in its next incarnation."""
        self._incarnations[assigner_id] += 1
        incarnation = str(self._incarnations[assigner_id])
        command = [sys.executable, "-m", "benchmarks.replication_assigner"]
        command += [str(assigner_id), ",".join(self._addresses), incarnation, str(self._slice_count)]
        command += ["--owns-slices"] if owns_slices else []
        command += ["--store", self._store] if self._store else []
        with self._events_file(assigner_id).open("wb") as output:
            self.processes[assigner_id] = subprocess.Popen(command, stdout=output)

    def kill(self, assigner_id: int) -> None:
        """Kill an assigner and wait until it has exited."""
        self.processes[assigner_id].kill()
        self.processes[assigner_id].wait()

    def stop(self) -> None:
        """Kill all assigners."""
        for assigner_id in self.processes:
            self.kill(assigner_id)

    def events(self, assigner_id: int) -> list[Event]:
        """Return the complete events that the current incarnation of an assigner has printed."""
        lines = self._events_file(assigner_id).read_text().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith("\n")]

    def first_event(self, assigner_id: int, name: str) -> Event:
        """Wait for the first event with a name and return it.

        Raises:
            SystemExit: There is no such event within EVENT_TIMEOUT_S.
        """
        deadline_s = time.monotonic() + EVENT_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for event in self.events(assigner_id):
                if event["what"] == name:
                    return event
            time.sleep(0.05)
        raise SystemExit(f"wait for assigner {assigner_id}: no event {name!r} within {EVENT_TIMEOUT_S:g} s")

    def wait_for_agreement(self, since_s: float) -> float:
        """Wait until all replicas have the same rows, and return the time at which the last one changed.

        Raises:
            SystemExit: The replicas still differ after AGREEMENT_TIMEOUT_S.
        """
        deadline_s = time.monotonic() + AGREEMENT_TIMEOUT_S
        while time.monotonic() < deadline_s:
            latest_events = [self._latest_versions_event(assigner_id) for assigner_id in self.processes]
            is_equal = all(event["versions"] == latest_events[0]["versions"] for event in latest_events)
            if is_equal and time.monotonic() > since_s + MIN_AGREEMENT_WAIT_S:
                return float(max(event["t"] for event in latest_events))
            time.sleep(0.1)
        raise SystemExit(f"wait for agreement: replicas still differ after {AGREEMENT_TIMEOUT_S:g} s")

    def _latest_versions_event(self, assigner_id: int) -> Event:
        return [event for event in self.events(assigner_id) if event["what"] == "holds"][-1]

    def _events_file(self, assigner_id: int) -> Path:
        return self._folder / f"{assigner_id}-{self._incarnations[assigner_id]}.jsonl"
