"""What KNOWN-RED.txt does to a run, and what it does not let through."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]
TESTS = """
import pytest

def test_red(): assert False
def test_green(): pass
@pytest.mark.parametrize("k", [1, 2])
def test_some(k): assert k == 1
"""
MORE = "".join(f"test_it.py::t{k} | pytest | one too many | #1\n" for k in (1, 2))
RED = "test_it.py::test_red | pytest, seed 7 | the cause | #1\n"
SOME = "test_it.py::test_some[2] | pytest | another | #2\n"
PASSES = "test_it.py::test_green | pytest | it passes | #3\n"
NO_TEST = "test_it.py::test_gone | pytest | no such test | #3\n"
NO_FILE = "test_gone.py::test_red | pytest | no such file | #3\n"


@pytest.mark.parametrize(
    ("lines", "result", "out"),
    [
        ("", 1, "*FAILED test_it.py::test_red*"),
        (RED, 1, "*FAILED test_it.py::test_some[[]2]*"),  # A failure that is not listed still counts.
        (
            RED + "\n" + SOME,
            0,
            "*KNOWN RED: test_it.py::test_red | in KNOWN-RED.txt: pytest, seed 7 | the cause | #1*",
        ),
        (RED + SOME + PASSES, 1, "*FAILED test_it.py::test_green*"),
        (RED + SOME + NO_TEST, 4, "*test_it.py::test_gone names no test*"),
        (RED + SOME + NO_FILE, 4, "*test_gone.py::test_red names no test*"),
        (
            "test_it.py::test_red | pytest | no issue\n" + SOME,
            4,
            "*KNOWN-RED.txt:1: not 'test id | command and seed | what was seen | issue'*",
        ),
        ("test_it.py | pytest | a complete file | #1\n" + SOME, 4, "*KNOWN-RED.txt:1: not*"),
        (RED + RED + SOME, 4, "*KNOWN-RED.txt:2: test_it.py::test_red is named twice*"),
        (RED + SOME + MORE, 4, "*4 lines, 3 at most*"),
    ],
)
def test_what_is_known_to_be_red(pytester: pytest.Pytester, lines: str, result: int, out: str) -> None:
    pytester.makepyfile(test_it=TESTS)
    pytester.makeconftest(Path(__file__).with_name("conftest.py").read_text())
    Path(pytester.path / "KNOWN-RED.txt").write_text(lines)
    ran = pytester.runpytest_subprocess("-p", "no:cacheprovider")
    assert ran.ret == result
    both = ran.outlines + ran.errlines
    pytest.LineMatcher(both).fnmatch_lines([out])
    for workers in [] if result == 1 else ["2"]:  # A run on several workers must agree.
        assert (pytester.runpytest_subprocess("-p", "no:cacheprovider", "-n", workers).ret == 0) is (
            result == 0
        )


def test_entry_of_another_kind_of_test_is_printed(pytester: pytest.Pytester) -> None:
    pytester.makepyfile(test_it="def test_green(): pass")
    pytester.makeconftest(Path(__file__).with_name("conftest.py").read_text())
    pytester.makefile(".sh", run="exit 1")
    Path(pytester.path / "KNOWN-RED.txt").write_text("run.sh::case | sh run.sh | what was seen | #1\n")
    ran = pytester.runpytest_subprocess("-p", "no:cacheprovider")
    assert ran.ret == 0
    ran.stdout.fnmatch_lines(
        ["*KNOWN RED, not run by pytest: run.sh::case | sh run.sh | what was seen | #1*"]
    )
