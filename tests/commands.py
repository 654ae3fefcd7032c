"""Runs the program's command line."""

from __future__ import annotations

import subprocess
import sys

COMMAND_TIMEOUT_S = 60


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "puffintide", *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
