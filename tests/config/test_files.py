"""A hundred broken files, each refused with its own reason; good ones accepted; a fault put in is told alone."""

import json
import os
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from config.files import FORMS, GOOD, KINDS, RULES, Wrong
from heronlug.cli import group
from heronlug.cli.inspect import look
from heronlug.config.desired_state import StateError
from heronlug.config.files import Files
from heronlug.config.strict_toml import ConfigProblem, ConfigProblems, Source
from heronlug.config.strict_toml.source import MAX_BYTES

BROKEN = [*KINDS, *RULES, *FORMS]
RAW = {
    "bad UTF-8": (b'log_level = "info"\n[class.a]\n\xff = 1\n', 3, "byte 0xff is no UTF-8"),
    "half a character": (b'log_level = "\xc3"', 1, "is no UTF-8"),
    "empty": (b"", 0, "it is empty"),
    "nothing in it": (b" \n\n", 0, "it is empty"),
    "zeros": (b"\0" * 64, 1, "TOML 1.0"),
    "60 MB": (b"#" * (60 * 1024 * 1024), 0, f"more than {MAX_BYTES} bytes"),
    "a limit over": (b"\n" * (MAX_BYTES + 1), 0, f"more than {MAX_BYTES} bytes"),
    "deep": (b"a = " + b"[" * 5000 + b"]" * 5000, 0, "TOML 1.0"),
    "class a number": (b"class = 3\n", 1, "class: not a table of classes"),
    "classes without names": (b"\n[class]\nattempts = 3\n", 2, "class: not a table of classes"),
    "class a list": (b"[[class]]\nattempts = 3\n", 1, "class: not a table of classes"),
}


def put(wrong: Wrong, text: str = GOOD) -> str:
    """The good file with a fault in it."""
    lines = text.split("\n")
    for line, changed in (*wrong.also, (wrong.line, wrong.text)):
        lines[line - 1] = changed
    return "\n".join(lines)


def told(path: Path, data: bytes | str) -> list[str]:
    """The faults that are told of a file, one line each."""
    path.write_bytes(data.encode() if isinstance(data, str) else data)
    faults = [str(fault) for fault in look(path, None)[2]]
    assert all("\n" not in fault and fault.startswith(str(path)) for fault in faults)
    return faults


def test_there_are_a_hundred() -> None:
    assert len(BROKEN) + len(RAW) >= 100
    assert len({wrong.name for wrong in BROKEN}) == len(BROKEN)


@pytest.mark.parametrize("wrong", BROKEN, ids=lambda wrong: wrong.name)
def test_a_broken_file_is_refused_with_its_own_reason(wrong: Wrong, tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    faults = told(path, put(wrong))
    assert len(faults) == 1, faults
    key = f"{wrong.key}: " if wrong.key else ""
    assert faults[0].startswith(f"{path}:{wrong.told_at or wrong.line}: {key}"), faults[0]
    assert wrong.says in faults[0]
    with pytest.raises(StateError) as refused:  # and what runs would refuse it with the same words
        Files(path, {}).load()
    assert str(refused.value) == faults[0]


@pytest.mark.parametrize("name", RAW)
def test_what_is_no_such_file_at_all(name: str, tmp_path: Path) -> None:
    data, line, says = RAW[name]
    path = tmp_path / "x.toml"
    faults = told(path, data)
    assert len(faults) == 1
    assert says in faults[0]
    assert faults[0].startswith(f"{path}:{line}: " if line else f"{path}: ")


def test_files_that_cannot_be_read(tmp_path: Path) -> None:
    for path in (tmp_path, tmp_path / "none.toml"):
        assert [f"{path}: " in str(fault) and fault.line == 0 for fault in look(path, None)[2]] == [True]


def test_no_two_rules_say_the_same() -> None:
    """Each rule has a text of its own, so that none hides behind another."""
    from heronlug.config.limits import rules

    assert {rule.__name__ for rule in rules.RULES} == COVERED
    assert len(rules.RULES) == len(COVERED)
    assert len({wrong.says for wrong in RULES}) >= len(COVERED)


COVERED = {
    "attempts_past_cap",
    "give_up_past_site",
    "timeout_without_cancel",
    "timeout_past_give_up",
    "again_without_timeout",
    "again_for_once",
    "copy_of_once",
    "copies_not_allowed",
    "copy_denied_and_timed",
    "copy_without_attempt",
    "copy_past_timeout",
    "copy_past_give_up",
    "window_without_key",
    "window_past_hosts",
    "window_past_use",
    "waits_past_attempts",
    "waits_past_give_up",
    "times_past_give_up",
}


@settings(max_examples=120)
@given(st.sets(st.sampled_from(KINDS), min_size=2, max_size=5))
def test_all_faults_are_told_at_once(tmp_path_factory: pytest.TempPathFactory, wrongs: set[Wrong]) -> None:
    """Faults of form in several places: each is told, in the order of the lines, and none twice."""
    text, lines = GOOD, set()
    for wrong in wrongs:
        text = put(wrong, text)
        lines.add(wrong.line)
    faults = look_at(tmp_path_factory, text)
    assert [fault.line for fault in faults] == sorted(lines)


@settings(max_examples=200)
@given(
    st.sampled_from(["attempts", "attempt_timeout_ms", "wait_ms", "second_copy_after_ms", "give_up_ms"]),
    st.integers(0, 30_000),
)
def test_one_changed_limit_breaks_one_rule_a_key(
    tmp_path_factory: pytest.TempPathFactory, key: str, value: int
) -> None:
    """Whatever one number becomes, no key has two faults: no rule repeats what another has said of it."""
    line = {"attempts": 38, "attempt_timeout_ms": 39, "wait_ms": 41, "second_copy_after_ms": 42, "give_up_ms": 43}[key]
    text = put(Wrong("", line, f"{key} = [{value}]" if key == "wait_ms" else f"{key} = {value}", "", ""))
    keys = [fault.key for fault in look_at(tmp_path_factory, text)]
    assert len(keys) == len(set(keys))


def look_at(factory: pytest.TempPathFactory, text: str) -> list[ConfigProblem]:
    path = factory.getbasetemp() / "drawn.toml"
    path.write_text(text)
    return list(look(path, None)[2])


GOODS = {
    "as it is": [],
    "no limits": [(line, "") for line in range(37, 61)],
    "one attempt": [(38, "attempts = 1"), (41, ""), (42, "")],
    "the cap": [(38, "attempts = 6"), (39, "attempt_timeout_ms = 1250")],
    "exactly the time": [(39, "attempt_timeout_ms = 2075")],
    "the deadline": [(43, "give_up_ms = 10000")],
    "fewer waits than attempts": [(41, "wait_ms = [100]")],
    "no waits": [(41, "wait_ms = []")],
    "no wait": [(41, "wait_ms = [0, 0, 0]")],
    "ends after a time-out": [(40, 'after_timeout = "end"')],
    "fractions": [(39, "attempt_timeout_ms = 1999.5")],
    "no copies": [(42, "second_copy = false")],
    "copies when stuck": [(42, "second_copy = true")],
    "copy late": [(42, "second_copy_after_ms = 1999")],
    "all of the window": [(58, "repeat_window_ms = 40000")],
    "no window": [(54, "attempts = 1"), (56, ""), (57, ""), (58, "repeat_window_ms = 0")],
    "copies allowed nowhere": [(12, "second_copies = false"), (42, ""), (57, "")],
    "cancel allowed nowhere": [(13, "may_cancel = false"), (39, ""), (40, ""), (47, ""), (48, ""), (55, "")],
    "inline tables": [(37, "[class]\nrsvp = { attempts = 2 }\n[class.spare]"), (53, "[class.print]")],
    "quoted names": [(19, 'name = "rs vp"'), (37, '[class."rs vp"]')],
    "another order": [(64, 'zone = "b"\ndraining = true\ncell = 4')],
}
GOODS["inline tables"] = [(number, "") for number in range(38, 44)] + [(37, "[class]\nrsvp = { attempts = 2 }")]


@pytest.mark.parametrize("name", GOODS)
def test_a_good_file_is_accepted(name: str, tmp_path: Path) -> None:
    text = GOOD
    for line, changed in sorted(GOODS[name], reverse=True):
        text = put(Wrong("", line, changed, "", ""), text)
    path = tmp_path / "x.toml"
    assert told(path, text) == []
    config, state = Files(path, {}).load()
    assert [lane.name for lane in config.settings.classes][1:] == ["invite", "print"]
    assert set(state["classes"]) <= {"rsvp", "rs vp", "invite", "print"}


def test_check_and_show_on_the_command_line(tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    path.write_text(GOOD)
    run = CliRunner().invoke
    done = run(group, ["check", str(path)], standalone_mode=False)
    assert done.return_value == 0
    assert done.output.endswith("x.toml: good\n")
    assert "note: class.invite.attempts: further ones are made only when all before provably never ran" in done.output
    path.write_text(put(RULES[0]))
    done = run(group, ["check", str(path), "--json"], standalone_mode=False)
    answer = json.loads(done.output)
    assert done.return_value == 1
    assert not answer["ok"]
    assert [(fault["line"], fault["key"]) for fault in answer["faults"]] == [(38, "class.rsvp.attempts")]
    path.write_text(GOOD)
    rows = json.loads(run(group, ["limits", "show", str(path), "--json"], standalone_mode=False).output)
    held = {(row["name"], row["key"]): (row["value"], row["origin"]) for row in rows}
    assert len(held) == 3 * 8
    assert held["rsvp", "wait_ms"] == ([100.0, 200.0, 400.0], str(path))
    assert held["invite", "second_copy_after_ms"] == ("never", "no second copies")
    assert held["print", "attempts"] == (2, str(path))
    assert held["invite", "repeat_window_ms"] == (0.0, "site: repeat_window")


def test_a_file_that_is_replaced_while_it_is_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Half of the old and half of the new would be a third file that nobody wrote: the reading is done again."""
    path, reads = tmp_path / "x.toml", []
    path.write_text('log_level = "info"\n')
    stat = os.fstat

    def changing(fd: int) -> os.stat_result:
        reads.append(fd)
        if len(reads) == 2:  # after the first reading, before it is believed
            path.write_text('log_level = "warning"\n')
        return stat(fd)

    monkeypatch.setattr(os, "fstat", changing)
    assert Source.read(path).table == {"log_level": "warning"}
    assert len(reads) == 4


def test_the_line_of_a_key_that_is_absent_is_that_of_its_table() -> None:
    source = Source.parse("x", b"a = 1\n\n[t.u]\nb.c = 2\n[[l]]\nx = 1\n[[l]]\n[l.m]\ny = [1,\n 2]\n")
    wanted = {
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
    assert {keys: source.line(keys) for keys in wanted} == wanted


def test_faults_are_in_the_order_of_their_lines() -> None:
    source = Source.parse("x", b"a = 1\nb = 2\n")
    told_of = ConfigProblems([source.problem(("b",), "later"), source.problem(("a",), "first", "so")])
    assert str(told_of) == "x:1: a: first, so\nx:2: b: later"
