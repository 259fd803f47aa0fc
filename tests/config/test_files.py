"""Tests that each of a hundred broken files is rejected with its own message, and that valid files are accepted."""

import json
import os
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from config.files import FORM_FAULTS, RULE_FAULTS, TYPE_FAULTS, VALID_FILE, ConfigFault
from heronlug.cli import group
from heronlug.cli.inspect import check_file
from heronlug.config.desired_state import StateError
from heronlug.config.files import Files
from heronlug.config.strict_toml import ConfigProblem, ConfigProblems, Source
from heronlug.config.strict_toml.source import MAX_BYTES

BROKEN_FILES = [*TYPE_FAULTS, *RULE_FAULTS, *FORM_FAULTS]
UNREADABLE_FILES = {
    "bad UTF-8": (b'log_level = "info"\n[class.a]\n\xff = 1\n', 3, "byte 0xff is not valid UTF-8"),
    "half a character": (b'log_level = "\xc3"', 1, "is not valid UTF-8"),
    "empty": (b"", 0, "the file is empty"),
    "white space only": (b" \n\n", 0, "the file is empty"),
    "zeros": (b"\0" * 64, 1, "TOML 1.0"),
    "60 MB": (b"#" * (60 * 1024 * 1024), 0, f"more than {MAX_BYTES} bytes"),
    "one byte too many": (b"\n" * (MAX_BYTES + 1), 0, f"more than {MAX_BYTES} bytes"),
    "nested too deeply": (b"a = " + b"[" * 5000 + b"]" * 5000, 0, "TOML 1.0"),
    "class a number": (b"class = 3\n", 1, "class: not a table of classes"),
    "classes without names": (b"\n[class]\nattempts = 3\n", 2, "class: not a table of classes"),
    "class a list": (b"[[class]]\nattempts = 3\n", 1, "class: not a table of classes"),
}


def apply_fault(fault: ConfigFault, text: str = VALID_FILE) -> str:
    """Returns the valid file with a fault in it."""
    lines = text.split("\n")
    for line, changed in (*fault.other_changes, (fault.line, fault.text)):
        lines[line - 1] = changed
    return "\n".join(lines)


def reported_problems(path: Path, data: bytes | str) -> list[str]:
    """Returns the problems that are reported for a file, one line each."""
    path.write_bytes(data.encode() if isinstance(data, str) else data)
    problems = [str(problem) for problem in check_file(path, None)[2]]
    assert all("\n" not in problem and problem.startswith(str(path)) for problem in problems)
    return problems


def test_there_are_at_least_a_hundred_broken_files() -> None:
    """Guards against broken files that drop out of the tests, such as by a repeated name."""
    assert len(BROKEN_FILES) + len(UNREADABLE_FILES) >= 100
    assert len({fault.name for fault in BROKEN_FILES}) == len(BROKEN_FILES)


@pytest.mark.parametrize("fault", BROKEN_FILES, ids=lambda fault: fault.name)
def test_a_broken_file_is_rejected_with_its_own_message(fault: ConfigFault, tmp_path: Path) -> None:
    """Guards against a fault that is accepted, reported twice or reported at the wrong line or key."""
    path = tmp_path / "x.toml"
    problems = reported_problems(path, apply_fault(fault))
    assert len(problems) == 1, problems
    key = f"{fault.key}: " if fault.key else ""
    assert problems[0].startswith(f"{path}:{fault.reported_line or fault.line}: {key}"), problems[0]
    assert fault.message_part in problems[0]
    with pytest.raises(StateError) as rejected:  # a dispatcher rejects the file with the same message
        Files(path, {}).load()
    assert str(rejected.value) == problems[0]


@pytest.mark.parametrize("name", UNREADABLE_FILES)
def test_a_file_that_cannot_be_parsed_is_rejected(name: str, tmp_path: Path) -> None:
    """Guards against a traceback for bytes that are not TOML, too many bytes or tables of the wrong type."""
    data, line, message_part = UNREADABLE_FILES[name]
    path = tmp_path / "x.toml"
    problems = reported_problems(path, data)
    assert len(problems) == 1
    assert message_part in problems[0]
    assert problems[0].startswith(f"{path}:{line}: " if line else f"{path}: ")


def test_a_path_that_cannot_be_read_is_reported(tmp_path: Path) -> None:
    """Guards against a traceback for a folder or a missing file in place of the file."""
    for path in (tmp_path, tmp_path / "none.toml"):
        assert [f"{path}: " in str(problem) and problem.line == 0 for problem in check_file(path, None)[2]] == [True]


def test_every_rule_has_a_message_of_its_own() -> None:
    """Guards against two rules with the same message, of which one could stop working unnoticed."""
    from heronlug.config.limits import rules

    assert {rule.__name__ for rule in rules.RULES} == RULE_NAMES
    assert len(rules.RULES) == len(RULE_NAMES)
    assert len({fault.message_part for fault in RULE_FAULTS}) >= len(RULE_NAMES)


RULE_NAMES = {
    "attempts_above_cap",
    "give_up_after_deadline",
    "timeout_without_cancel",
    "timeout_after_give_up",
    "after_timeout_without_timeout",
    "retry_of_non_idempotent",
    "hedge_of_non_idempotent",
    "hedging_not_allowed",
    "hedge_disabled_and_timed",
    "hedge_without_second_attempt",
    "hedge_after_attempt_timeout",
    "hedge_after_give_up",
    "repeat_window_without_key",
    "repeat_window_above_servers",
    "attempts_after_repeat_window",
    "more_waits_than_retries",
    "waits_exceed_give_up",
    "attempts_exceed_give_up",
}


@settings(max_examples=120)
@given(st.sets(st.sampled_from(TYPE_FAULTS), min_size=2, max_size=5))
def test_all_problems_are_reported_at_once(
    tmp_path_factory: pytest.TempPathFactory, drawn_faults: set[ConfigFault]
) -> None:
    """Guards against a problem that hides others: invalid values in several lines are each reported once, by line."""
    text, lines = VALID_FILE, set()
    for fault in drawn_faults:
        text = apply_fault(fault, text)
        lines.add(fault.line)
    problems = problems_of_text(tmp_path_factory, text)
    assert [problem.line for problem in problems] == sorted(lines)


@settings(max_examples=200)
@given(
    st.sampled_from(["attempts", "attempt_timeout_ms", "wait_ms", "second_copy_after_ms", "give_up_ms"]),
    st.integers(0, 30_000),
)
def test_one_changed_limit_gives_one_problem_per_key(
    tmp_path_factory: pytest.TempPathFactory, key: str, value: int
) -> None:
    """Guards against two rules that report the same problem: no value of a limit gives two problems for one key."""
    line = {"attempts": 38, "attempt_timeout_ms": 39, "wait_ms": 41, "second_copy_after_ms": 42, "give_up_ms": 43}[key]
    text = apply_fault(ConfigFault("", line, f"{key} = [{value}]" if key == "wait_ms" else f"{key} = {value}", "", ""))
    keys = [problem.key for problem in problems_of_text(tmp_path_factory, text)]
    assert len(keys) == len(set(keys))


def problems_of_text(tmp_path_factory: pytest.TempPathFactory, text: str) -> list[ConfigProblem]:
    """Returns the problems of a file with this text."""
    path = tmp_path_factory.getbasetemp() / "drawn.toml"
    path.write_text(text)
    return list(check_file(path, None)[2])


VALID_CHANGES = {
    "as it is": [],
    "no limits": [(line, "") for line in range(37, 61)],
    "one attempt": [(38, "attempts = 1"), (41, ""), (42, "")],
    "the cap": [(38, "attempts = 6"), (39, "attempt_timeout_ms = 1250")],
    "exactly the time": [(39, "attempt_timeout_ms = 2075")],
    "the deadline": [(43, "give_up_ms = 10000")],
    "fewer waits than attempts": [(41, "wait_ms = [100]")],
    "no waits": [(41, "wait_ms = []")],
    "no wait": [(41, "wait_ms = [0, 0, 0]")],
    "ends after a timeout": [(40, 'after_timeout = "end"')],
    "fractions": [(39, "attempt_timeout_ms = 1999.5")],
    "no copies": [(42, "second_copy = false")],
    "copies when stalled": [(42, "second_copy = true")],
    "copy late": [(42, "second_copy_after_ms = 1999")],
    "all of the window": [(58, "repeat_window_ms = 40000")],
    "no window": [(54, "attempts = 1"), (56, ""), (57, ""), (58, "repeat_window_ms = 0")],
    "copies allowed nowhere": [(12, "second_copies = false"), (42, ""), (57, "")],
    "cancel allowed nowhere": [(13, "may_cancel = false"), (39, ""), (40, ""), (47, ""), (48, ""), (55, "")],
    "inline tables": [(37, "[class]\nrsvp = { attempts = 2 }\n[class.spare]"), (53, "[class.print]")],
    "quoted names": [(19, 'name = "rs vp"'), (37, '[class."rs vp"]')],
    "another order": [(64, 'zone = "b"\ndraining = true\ncell = 4')],
}
VALID_CHANGES["inline tables"] = [(number, "") for number in range(38, 44)] + [(37, "[class]\nrsvp = { attempts = 2 }")]


@pytest.mark.parametrize("name", VALID_CHANGES)
def test_a_good_file_is_accepted(name: str, tmp_path: Path) -> None:
    """Guards against rules that reject valid values at or near their bounds."""
    text = VALID_FILE
    for line, changed in sorted(VALID_CHANGES[name], reverse=True):
        text = apply_fault(ConfigFault("", line, changed, "", ""), text)
    path = tmp_path / "x.toml"
    assert reported_problems(path, text) == []
    config, state = Files(path, {}).load()
    assert [request_class.name for request_class in config.settings.classes][1:] == ["invite", "print"]
    assert set(state["classes"]) <= {"rsvp", "rs vp", "invite", "print"}


def test_check_and_limits_show_on_the_command_line(tmp_path: Path) -> None:
    """Guards against commands that report other problems, notes or limits than the dispatcher uses."""
    path = tmp_path / "x.toml"
    path.write_text(VALID_FILE)
    run = CliRunner().invoke
    result = run(group, ["check", str(path)], standalone_mode=False)
    assert result.return_value == 0
    assert result.output.endswith("x.toml: good\n")
    assert (
        "note: class.invite.attempts: a further attempt is made only if all earlier attempts provably never ran"
        in result.output
    )
    path.write_text(apply_fault(RULE_FAULTS[0]))
    result = run(group, ["check", str(path), "--json"], standalone_mode=False)
    answer = json.loads(result.output)
    assert result.return_value == 1
    assert not answer["ok"]
    assert [(problem["line"], problem["key"]) for problem in answer["faults"]] == [(38, "class.rsvp.attempts")]
    path.write_text(VALID_FILE)
    rows = json.loads(run(group, ["limits", "show", str(path), "--json"], standalone_mode=False).output)
    rows_by_key = {(row["name"], row["key"]): (row["value"], row["origin"]) for row in rows}
    assert len(rows_by_key) == 3 * 8
    assert rows_by_key["rsvp", "wait_ms"] == ([100.0, 200.0, 400.0], str(path))
    assert rows_by_key["invite", "second_copy_after_ms"] == ("never", "hedging disabled")
    assert rows_by_key["print", "attempts"] == (2, str(path))
    assert rows_by_key["invite", "repeat_window_ms"] == (0.0, "site: repeat_window")


def test_a_file_that_changes_while_it_is_read_is_read_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reading half of the old and half of the new text, which together are a file that nobody wrote."""
    path, descriptors = tmp_path / "x.toml", []
    path.write_text('log_level = "info"\n')
    real_fstat = os.fstat

    def changing(fd: int) -> os.stat_result:
        """Changes the file between the two calls of fstat around the first read."""
        descriptors.append(fd)
        if len(descriptors) == 2:  # after the first read, before its result is used
            path.write_text('log_level = "warning"\n')
        return real_fstat(fd)

    monkeypatch.setattr(os, "fstat", changing)
    assert Source.read(path).table == {"log_level": "warning"}
    assert len(descriptors) == 4


def test_an_absent_key_is_reported_at_the_line_of_its_table() -> None:
    """Guards against wrong lines of nested tables, lists of tables and absent keys."""
    source = Source.parse("x", b"a = 1\n\n[t.u]\nb.c = 2\n[[l]]\nx = 1\n[[l]]\n[l.m]\ny = [1,\n 2]\n")
    expected_lines = {
        ("a",): 1,
        ("t",): 3,
        ("t", "u"): 3,
        ("t", "u", "b", "c"): 4,
        ("t", "u", "z"): 3,
        ("l", 0, "x"): 6,
        ("l", 1): 7,
        ("l", 1, "m"): 8,
        ("l", 1, "m", "y", 1): 10,
        ("none",): 0,
    }
    assert {keys: source.line(keys) for keys in expected_lines} == expected_lines


def test_problems_are_sorted_by_line() -> None:
    """Guards against problems in the order of the checks, which is not that of the lines."""
    source = Source.parse("x", b"a = 1\nb = 2\n")
    error = ConfigProblems([source.problem(("b",), "later"), source.problem(("a",), "first", "so")])
    assert str(error) == "x:1: a: first, so\nx:2: b: later"
