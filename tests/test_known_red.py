"""Tests the form of the list of known failures, and that a run prints listed tests without counting them."""

import subprocess
import sys
from pathlib import Path

import pytest
from conftest import KnownRed, read_known_red

TESTS_FOLDER = Path(__file__).parent
TEST_FILE = "def test_red():\n    assert False\n\n\ndef test_other():\n    assert {other}\n"


def test_line_holds_test_cause_and_issue() -> None:
    """Guards against reading a line wrongly, for example one whose test id contains brackets."""
    text = "tests/a.py::test_b[c] | it is slow | issue 3\n\n"
    assert read_known_red(text) == [KnownRed("tests/a.py::test_b[c]", "it is slow", "issue 3")]


@pytest.mark.parametrize("text", ["tests/a.py::test_b", "a | b", "a |  | c", "a | b | c\n" * 4])
def test_malformed_list_ends_the_run(text: str) -> None:
    """Guards against ignoring a malformed line or more than three lines of one issue."""
    with pytest.raises(pytest.UsageError, match="KNOWN-RED"):
        read_known_red(text)


@pytest.mark.parametrize(("listed", "other", "code"), [(True, True, 0), (True, False, 1), (False, True, 1)])
def test_only_listed_tests_may_fail(tmp_path: Path, listed: bool, other: bool, code: int) -> None:
    """Guards against a run that passes with an unlisted failure, or fails because of a listed one."""
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "conftest.py").write_text((TESTS_FOLDER / "conftest.py").read_text())
    (tests / "test_it.py").write_text(TEST_FILE.format(other=other))
    if listed:
        (tmp_path / "KNOWN-RED.txt").write_text("tests/test_it.py::test_red | a reason | issue 1\n")
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"], cwd=tmp_path, capture_output=True, text=True
    )
    assert run.returncode == code, run.stdout
    assert ("KNOWN-RED failed: tests/test_it.py::test_red: a reason (issue 1)" in run.stdout) == listed
