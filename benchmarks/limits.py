"""Measures the cost of limits: ``python benchmarks/limits.py``.

Prints a table: the time to check a file of 200 classes, once valid and once with a problem in each class; the time of a
swap of the limits with 5,000 open requests; the longest pause of a busy event loop with and without a reload; and the
CPU time of the decisions for one request of the recorded streams, measured in new processes.
"""

import asyncio
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

import click

ROOT = Path(__file__).parents[1]
CLASS_COUNT, OPEN_REQUESTS, ROUNDS = 200, 5_000, 15
REPLAY_SCRIPT = """
import sys, time
sys.path[:0] = [{tests!r}, {root!r}]
from recorded import record
from heronlug.balancer.dispatcher import Dispatcher
total = jobs = 0
for name in record.SITES:
    _, events = record.read(name)
    events = list(events)
    jobs += sum(type(event).__name__ == "RequestArrived" for _, event in events)
    dispatcher = Dispatcher(record.settings(name), 7)
    start = time.process_time()
    for now, event in events:
        dispatcher.handle(now, event)
    total += time.process_time() - start
print(total / jobs * 1e6)
"""


def config_text(classes: int, extra_line: str = "") -> str:
    """Returns a complete operators' file with the given number of classes and limits for each class."""
    site = "".join(
        f'[[site.class]]\nname = "c{n}"\neffect = "repeatable"\naim_ms = 500\ndeadline_ms = 10000\n'
        for n in range(classes)
    )
    limits = "".join(
        f"[class.c{n}]\nattempts = 4\nattempt_timeout_ms = 2000\nwait_ms = [100, 200, 400]\n"
        f"give_up_ms = 9000\n{extra_line}"
        for n in range(classes)
    )
    return f'[serve]\nlisten = "127.0.0.1:8081"\n[site]\n{site}{limits}'


def measure_ms(call: Callable[[], Any], rounds: int = ROUNDS) -> list[float]:
    """Returns the milliseconds of each call."""
    times = []
    for _ in range(rounds):
        start = time.perf_counter()
        call()
        times.append((time.perf_counter() - start) * 1000)
    return times


def measure_checks(folder: Path) -> list[tuple[str, list[float]]]:
    """Returns the times to check files, after a first check of each file in the same process."""
    from heronlug.cli.inspect import check_file

    rows = []
    for name, extra_line, problem_count in (
        ("valid", "", 0),
        ("a problem in each class", 'second_copy = "x"\n', CLASS_COUNT),
    ):
        path = folder / "x.toml"
        path.write_text(config_text(CLASS_COUNT, extra_line))
        assert len(check_file(path, None)[2]) == problem_count
        rows.append((f"check a file of {CLASS_COUNT} classes, {name}", measure_ms(partial(check_file, path, None))))
    return rows


def measure_swaps(folder: Path) -> list[tuple[str, list[float]]]:
    """Returns the times of a swap with open requests, and the longest pauses of the event loop.

    The event loop always has a task to run. The pauses are measured without other work, and while a file is read,
    checked and swapped in.
    """
    from heronlug.balancer.settings import RequestClass, Settings
    from heronlug.config.files import Files
    from heronlug.config.limits import load, resolve
    from heronlug.lifecycle.running_state import BrokenLimit, RunningState
    from heronlug.net.background import run_in_background
    from heronlug.requests.core import Core
    from heronlug.requests.deadlines import Deadlines

    paths = [folder / "a.toml", folder / "b.toml"]
    for path, attempts in zip(paths, ("attempts = 4", "attempts = 3"), strict=True):
        path.write_text(
            config_text(CLASS_COUNT).replace("attempts = 4", attempts).replace("[100, 200, 400]", "[100, 200]")
        )
    config, _ = Files(paths[0], {}).load()
    settings: Settings = config.settings

    class StubParts:
        """Stub for the frontend and for the dispatcher parts unrelated to limits; undefined methods do nothing."""

        def __getattr__(self, name: str) -> Callable[..., None]:
            return lambda *args, **fields: None

        def broken_limits(self, classes: Any) -> list[BrokenLimit]:
            return [BrokenLimit(b.name, b.key, b.wrong, b.right) for b in load.check(settings, classes)]

        def resolved_limits(self, classes: Any) -> tuple[RequestClass, ...]:
            return resolve(settings.classes, classes)

        def use_limits(self, classes: tuple[RequestClass, ...]) -> None:
            start = time.perf_counter()
            core.use_classes(classes)
            swap_times.append((time.perf_counter() - start) * 1000)

    stub: Any = StubParts()
    core = Core(settings, 1, stub, Deadlines(lambda: 1e6), max_open=OPEN_REQUESTS + 1)
    for number in range(OPEN_REQUESTS):
        core.accept(None, number % CLASS_COUNT, 9_000.0)
    swap_times: list[float] = []
    pauses_ms: dict[str, list[float]] = {"idle": [], "reload": []}

    async def longest_pause(finished: asyncio.Event) -> float:
        """Returns the longest time in ms between two turns of the event loop until the event is set."""
        longest, last_turn_at = 0.0, time.perf_counter()
        while not finished.is_set():
            await asyncio.sleep(0)
            now = time.perf_counter()
            longest, last_turn_at = max(longest, now - last_turn_at), now
        return longest * 1000

    async def record_pause(name: str, work: Callable[[], Any]) -> None:
        """Records the longest pause of the event loop during some work."""
        finished = asyncio.Event()
        pause_task = asyncio.create_task(longest_pause(finished))
        await work()
        finished.set()
        pauses_ms[name].append(await pause_task)

    async def run_rounds() -> None:
        running = RunningState(stub)
        for number in range(ROUNDS):
            await record_pause("idle", lambda: asyncio.sleep(0.15))

            async def reload(path: Path = paths[number % 2]) -> None:
                _, state = await run_in_background(Files(path, {}).load)
                assert await running.limit(state["classes"])

            await record_pause("reload", reload)

    asyncio.run(run_rounds())
    assert len(core.requests) == OPEN_REQUESTS
    return [
        (f"swap only, {CLASS_COUNT} classes and {OPEN_REQUESTS} open requests", swap_times),
        ("longest pause of a busy event loop in 0.15 s without a reload", pauses_ms["idle"]),
        ("longest pause of a busy event loop during a reload", pauses_ms["reload"]),
    ]


def measure_replays() -> list[tuple[str, list[float]]]:
    """Returns the CPU times in ms of the decisions for one request, each measured in a new process."""
    times = []
    for _ in range(ROUNDS):
        code = REPLAY_SCRIPT.format(tests=str(ROOT / "tests"), root=str(ROOT))
        process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT)
        times.append(float(process.stdout) / 1000)
    return [("the decisions for one request", times)]


@click.command()
def main() -> None:
    """Measure the cost of limits and print the table."""
    sys.path.insert(0, str(ROOT))
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        rows = [*measure_checks(folder), *measure_swaps(folder), *measure_replays()]
    print(f"{'':62}{'least ms':>10}{'median':>10}{'most':>10}")
    for row_name, times in rows:
        print(f"{row_name:62}{min(times):10.4f}{median(times):10.4f}{max(times):10.4f}")


if __name__ == "__main__":
    main()
