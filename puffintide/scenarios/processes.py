"""Starts the processes of a scenario, sends them commands on standard input, and ends them."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

from puffintide.scenarios.errors import ScenarioRunError

EXIT_TIMEOUT_S = 10
KILLED_BY_SCENARIO = ("assigner", "store")
LAST_TO_END = ("store", "fleet", "tap")  # Ended last and in this order, so that the records are complete.


@dataclass
class RunningProcess:
    """A started process and its log file."""

    name: str
    process: subprocess.Popen[str]
    log: IO[str]

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.process.kill()
        self.process.wait()

    def pause(self) -> None:
        """Pause the process with SIGSTOP until it is resumed."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process after a pause."""
        self.process.send_signal(signal.SIGCONT)


class ProcessGroup:
    """All processes of one scenario by name, such as store or assigner:0.

    Args:
        folder: The folder in which the log files are written.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, RunningProcess] = {}

    def spawn(self, name: str, *arguments: str, module: str = "puffintide") -> None:
        """Start a process with the command `python -m MODULE ARGUMENTS`."""
        log = self._log_path(name).open("a", encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            start_new_session=True,  # Ctrl-C reaches the runner only, which ends the processes in order.
        )
        self.running[name] = RunningProcess(name, process, log)

    def _log_path(self, name: str) -> Path:
        return self.folder / f"{name.replace(':', '-')}.log"

    def wait_ready(self, name: str) -> None:
        """Wait until a process reports that it is ready.

        Raises:
            ScenarioRunError: The process ended or printed another line.
        """
        stdout = self.running[name].process.stdout
        assert stdout is not None
        if stdout.readline().strip() != "ready":
            raise ScenarioRunError(
                f"cannot start process {name}: it did not report that it is ready; see {self._log_path(name)}"
            )

    def send(self, name: str, operation: str, arguments: dict[str, Any]) -> None:
        """Send a command to an emulator process.

        Raises:
            ScenarioRunError: The process has ended.
        """
        stdin = self.running[name].process.stdin
        assert stdin is not None
        try:
            stdin.write(json.dumps({"what": operation, "args": arguments}) + "\n")
            stdin.flush()
        except BrokenPipeError as error:
            raise ScenarioRunError(
                f"cannot send {operation!r} to process {name}: it has ended; see its log in {self.folder}"
            ) from error

    def check_running(self) -> None:
        """Check that no process has ended unexpectedly.

        Raises:
            ScenarioRunError: A process has ended that the scenario did not kill.
        """
        for name, running in self.running.items():
            code = running.process.poll()
            if code is None or (name == "clients" and code == 0):
                continue  # The clients exit after their last response.
            if not (name.startswith(KILLED_BY_SCENARIO) and code == -signal.SIGKILL):
                raise ScenarioRunError(
                    f"process {name} exited unexpectedly with code {code}; see its log in {self.folder}"
                )

    def end_all(self) -> None:
        """End all processes, including those that are paused or do not respond."""
        for name in sorted(self.running, key=_end_order):
            self._end(self.running[name])

    def _end(self, running: RunningProcess) -> None:
        process = running.process
        if process.poll() is None:
            running.resume()
            if process.stdin is not None:
                with contextlib.suppress(BrokenPipeError):
                    process.stdin.close()  # Emulators close their records and exit at end of file.
            if running.name.startswith(KILLED_BY_SCENARIO):
                process.terminate()
            try:
                process.wait(EXIT_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                running.kill()
        if process.stdout is not None:
            process.stdout.close()
        running.log.close()


def _end_order(name: str) -> tuple[int, str]:
    return (LAST_TO_END.index(name) + 1 if name in LAST_TO_END else 0, name)
