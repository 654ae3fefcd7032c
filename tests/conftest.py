"""Handles KNOWN-RED.txt at the root, which lists tests that fail for a real fault that is not fixed yet.

Each line is one entry, at most three in all: `test id | command and seed | what was seen | issue`. These
tests run; their failures are printed by name and do not fail the run. The run fails if an entry is malformed,
if there are too many entries, if an entry names no test, or if its test passes: that entry has to be removed.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from tests.platform_world import Platform

KNOWN_RED_FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3
FIELDS = "test id | command and seed | what was seen | issue"


def parse_known_red(text: str) -> dict[str, str]:
    """Return the reasons of the entries by test id.

    Raises:
        pytest.UsageError: An entry is malformed or repeated, or there are too many; the text names the line.
    """
    known: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(FIELDS.split("|")) or not all(fields) or "::" not in fields[0]:
            raise pytest.UsageError(f"{KNOWN_RED_FILE}:{number}: not '{FIELDS}': {line[:100]!r}")
        if fields[0] in known:
            raise pytest.UsageError(f"{KNOWN_RED_FILE}:{number}: {fields[0]} is named twice")
        known[fields[0]] = " | ".join(fields[1:])
    if len(known) > MAX_ENTRIES:
        raise pytest.UsageError(f"{KNOWN_RED_FILE}: {len(known)} lines, {MAX_ENTRIES} at most")
    return known


def read_known_red(config: pytest.Config) -> dict[str, str]:
    path = config.rootpath / KNOWN_RED_FILE
    return parse_known_red(path.read_text(encoding="utf-8")) if path.exists() else {}


def pytest_configure(config: pytest.Config) -> None:
    read_known_red(config)  # A malformed file also ends a run that is distributed over workers.


@pytest.hookimpl(tryfirst=True)  # Runs before any test is deselected.
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    item_by_id = {item.nodeid: item for item in items}
    files = {nodeid.split("::")[0] for nodeid in item_by_id}
    # If single tests are chosen, the other tests of their files are not collected.
    single_tests_chosen = any("::" in argument for argument in config.args)
    for test_id, reason in read_known_red(config).items():
        file = test_id.split("::")[0]
        item = item_by_id.get(test_id)
        if item is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"in {KNOWN_RED_FILE}: {reason}"))
        elif not Path(config.rootpath / file).is_file() or (file in files and not single_tests_chosen):
            raise pytest.UsageError(f"{KNOWN_RED_FILE}: {test_id} names no test")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"KNOWN RED: {report.nodeid} | {report.wasxfail}")
    for test_id, reason in read_known_red(terminalreporter.config).items():
        if not test_id.split("::")[0].endswith(".py"):
            terminalreporter.write_line(f"KNOWN RED, not run by pytest: {test_id} | {reason}")


@pytest.fixture
def platform(tmp_path: Path) -> Platform:
    """Return an assigner of the platform on a virtual clock, one second after its start."""
    # Imported here because test_known_red copies this file to a directory without the module.
    from tests.platform_world import Platform

    platform = Platform(tmp_path)
    platform.advance(1.0)
    return platform
