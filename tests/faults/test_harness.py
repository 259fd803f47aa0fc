"""Tests that the fault harness passes a correct run and reports broken rules, expectations and invalid plans."""

import asyncio
import socket
import sys
from pathlib import Path
from unittest import mock

import orjson
import pytest

from heronlug.config.strict_toml import ConfigProblems, Source
from heronlug.conformance import Checker
from heronlug.faults import steps
from heronlug.faults.harness import FaultHarness, play
from heronlug.faults.history import History
from heronlug.faults.plan import FaultPlan, parse
from heronlug.faults.processes import Process
from heronlug.faults.verdict import FinishedRun, judge

PLAN_HEAD = """
name = "x"
span_s = {span}
[dispatchers]
count = 2
peers = false
"""
REQUEST_CLASS = '[[class]]\nname = "job"\nrate = 20\nwork_ms = 20\ndeadline_ms = 2000\n'


def parse_plan(text: str, span: float = 4) -> FaultPlan:
    return parse(Source.parse("x.toml", (PLAN_HEAD.format(span=span) + text).encode()))


def test_run_without_faults_keeps_rules_and_exceeded_bound_is_reported() -> None:
    """Guards against a verdict that reports violations of a correct run or ignores a missed expectation."""
    plan = parse_plan(REQUEST_CLASS + "[expect]\nlisted = true\nreading = [2, 2]\nserved_least = 0.9\ncalls_most = 1\n")
    plan.begin = "listed"  # a slow start of the processes must not lower the served share
    verdict = play(plan)
    assert not verdict.violations
    assert verdict.figures["jobs"] > 0
    assert [fault.partition(":")[0] for fault in verdict.faults] == ["calls"]


def test_overload_of_a_warming_up_server_breaks_rule_4(tmp_path: Path) -> None:
    """Guards against an overload that the checker misses.

    The test sends requests directly to the server, as a dispatcher would that ignores the capacity of a server that is
    warming up.
    """
    table = "[runners]\ncount = 1\nslots = 4\ncold = true\noverload_for_ms = 200\n" + REQUEST_CLASS

    async def run() -> list[int]:
        harness = FaultHarness(parse_plan(table, 2), tmp_path)
        playing = asyncio.create_task(harness.play())
        while not harness.processes:
            await asyncio.sleep(0.05)
        sockets = []
        for number in range(8):
            sock = socket.create_connection(("127.0.0.1", harness.servers.endpoints["r0"].port))
            sock.sendall(b"POST /job HTTP/1.1\r\nX-Txn: t%d\r\nX-Lane: job\r\nContent-Length: 4\r\n\r\n9000" % number)
            sockets.append(sock)
        verdict = await playing
        for sock in sockets:
            sock.close()
        return [violation.rule for violation in verdict.violations]

    assert 4 in asyncio.run(run())


def test_dispatcher_between_two_watches_counts_as_reading(tmp_path: Path) -> None:
    """Guards against a verdict that depends on a watch that is answered in the last milliseconds of the run."""

    async def run() -> list[str]:
        harness = FaultHarness(parse_plan(""), tmp_path)
        with mock.patch.object(harness, "reading", side_effect=[["d0"], ["d0", "d1"]]):
            return await harness._reading_in_the_end()

    assert asyncio.run(run()) == ["d0", "d1"]


@pytest.mark.parametrize("reading", [[[], [], ["d1"]], [[]]])
def test_step_on_readers_waits_for_one_or_says_that_there_is_none(reading: list[list[str]]) -> None:
    """Guards against a step on the reading dispatchers that acts on nobody, because none has a watch just then."""
    plan = parse_plan('[[step]]\nat_s = 0\ndo = "kill"\nwho = ["reading"]\n')
    dispatchers, discovery = mock.Mock(apply=mock.AsyncMock()), mock.Mock()
    discovery.stand_in.watching.side_effect = lambda: reading.pop(0) if len(reading) > 1 else reading[0]
    history = mock.Mock(elapsed_s=lambda: 0.0)
    runner = steps.StepRunner(plan, history, dispatchers, mock.Mock(), discovery, mock.Mock(), mock.Mock())
    with mock.patch.object(steps, "PARTIES_WITHIN_S", 0.1):
        if reading == [[]]:
            with pytest.raises(steps.NoPartyError, match="kill"):
                asyncio.run(runner.run(plan.step[0]))
        else:
            asyncio.run(runner.run(plan.step[0]))
    assert [call.args[1] for call in dispatchers.apply.await_args_list] == reading[-1]


def test_span_of_failed_attempts_moves_with_the_step_before_it(tmp_path: Path) -> None:
    """Guards against failures in the first second after a fault that count because the step came late."""
    plan = parse_plan(
        '[[step]]\nat_s = 1\ndo = "die"\nwho = ["r0"]\n[[expect.failed]]\nhall = "a"\nfrom_s = 2\nto_s = 3\n'
    )
    history = History(Checker(slack=0.0, drain_grace=0.0))
    history.began_at_ms = history.now() - 1800  # the step, planned at 1 s, is applied after 1.8 s
    runner = steps.StepRunner(plan, history, mock.Mock(), mock.Mock(), mock.Mock(), mock.Mock(), mock.Mock())
    asyncio.run(runner.run(plan.step[0]))
    process = Process("d0", tmp_path, 0)
    process.incarnation = 1
    for begun_after_s in (1.9, 2.5, 2.9, 3.7, 3.9):
        ended_at = history.began_at_ms / 1000 + begun_after_s + 0.1
        relay = {"event": "relay_ended", "at": ended_at, "ms": 100, "host": "r0", "outcome": "refused"}
        with (tmp_path / "d0.log").open("ab") as log:
            log.write(orjson.dumps(relay) + b"\n")
    verdict = judge(FinishedRun(plan, history, {"d0": process}, [], [], {}, {}, 0, 0, []))
    assert [fault.partition(", at most")[0] for fault in verdict.faults] == ["failed relays into a, 2 to 3 s: 2"]
    assert verdict.figures["longest delay of a step s"] == pytest.approx(0.8, abs=0.1)


def test_unexpected_process_exit_is_reported(tmp_path: Path) -> None:
    """Guards against a run that passes although its dispatchers exit, here with status 3 right after their start."""
    (tmp_path / "heronlug").mkdir()
    (tmp_path / "heronlug" / "__init__.py").write_text("")
    (tmp_path / "heronlug" / "__main__.py").write_text("raise SystemExit(3)")
    verdict = play(parse_plan("", 1.5), source=tmp_path)
    assert sorted(verdict.faults) == [f"d{number} ended by itself with status 3" for number in range(2)]
    assert not play(parse_plan("[expect]\nalive = false\n", 1.5), source=tmp_path).faults


@pytest.mark.parametrize(
    ("text", "line", "key"),
    [
        ("[[step]]\nat_s = 9\ndo = 'kill'\nwho = ['d0']\n", 8, "step.0.at_s"),
        ("[[step]]\nat_s = 1\ndo = 'kill'\n", 7, "step.0.who"),
        ("[[step]]\nat_s = 1\ndo = 'kill'\nwho = ['d7']\n", 10, "step.0.who.0"),
        ("[[step]]\nat_s = 1\ndo = 'melt'\n", 9, "step.0.do"),
        ("[[step]]\nat_s = 1\ndo = 'reset'\nfor_s = 1\n", 10, "step.0.for_s"),
        ("[expect]\nreading = [3, 1]\n", 8, "expect.reading"),
        ("[register]\ncallms = 3\n", 8, "register.callms"),
    ],
)
def test_plan_problems_name_line_and_key(text: str, line: int, key: str) -> None:
    """Guards against an invalid plan that runs, or whose problem is reported at another line or key."""
    with pytest.raises(ConfigProblems) as caught:
        parse_plan(text)
    assert [(fault.line, fault.key) for fault in caught.value.problems] == [(line, key)], caught.value.problems


def test_fleet_command_prints_steps_and_verdict(tmp_path: Path) -> None:
    """Guards against a failed run with exit status 0, and against an events file that ``rules check`` cannot read."""
    import subprocess

    path = tmp_path / "x.toml"
    path.write_text(
        PLAN_HEAD.format(span=2) + "[[step]]\nat_s = 1\ndo = 'kill'\nwho = ['d0']\n[expect]\ncalls_most = 0\n"
    )
    command = [sys.executable, "-m", "heronlug", "fleet", str(path), "--events", str(tmp_path / "events")]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert completed.returncode == 1, completed
    assert "kill d0" in completed.stdout, completed
    assert "x: BROKEN" in completed.stdout, completed
    rules = subprocess.run(
        [sys.executable, "-m", "heronlug", "rules", "check", str(tmp_path / "events")],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert rules.returncode == 0, rules
