"""KNOWN-RED.txt at the root names tests that fail for a real fault which waits to be mended: `test id | cause |
issue`, a line each, three at most. They run; their failures are printed by name and don't fail the run. What does
is a line that can't be read, one too many, one that names no test, and one whose test passes: that has to go."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

FILE, MOST = "KNOWN-RED.txt", 3


def known_red(text: str) -> dict[str, str]:
    """Reasons by test id. Raises pytest.UsageError, with the line."""
    known: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields) or "::" not in fields[0]:
            raise pytest.UsageError(f"{FILE}:{number}: not 'test id | cause | issue': {line[:100]!r}")
        if fields[0] in known:
            raise pytest.UsageError(f"{FILE}:{number}: {fields[0]} is named twice")
        known[fields[0]] = f"{fields[1]} | {fields[2]}"
    if len(known) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(known)} lines, {MOST} at most")
    return known


def listed(config: pytest.Config) -> dict[str, str]:
    path = config.rootpath / FILE
    return known_red(path.read_text(encoding="utf-8")) if path.exists() else {}


def pytest_configure(config: pytest.Config) -> None:
    listed(config)  # a run that is handed out to others ends here as well


@pytest.hookimpl(tryfirst=True)  # before any is deselected
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_id = {item.nodeid: item for item in items}
    files = {nodeid.split("::")[0] for nodeid in by_id}
    chosen = any("::" in arg for arg in config.args)  # single tests: the others of a file are not collected
    for test, reason in listed(config).items():
        place = test.split("::")[0]
        item = by_id.get(test)
        if item is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"in {FILE}: {reason}"))
        elif not Path(config.rootpath / place).is_file() or (place in files and not chosen):
            raise pytest.UsageError(f"{FILE}: {test} names no test")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"KNOWN RED: {report.nodeid} | {report.wasxfail}")
