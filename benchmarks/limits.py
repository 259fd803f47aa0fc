"""What limits cost: ``python benchmarks/limits.py``.

Prints a table: the time to check a file of 200 classes, good and with a fault in each; the time of a swap with 5,000
open jobs, and how long a loop that has always something to do stands still over a whole reload and without one; and the
CPU time of the decisions for one request of the recorded streams, in fresh processes.
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
CLASSES, OPEN, ROUNDS = 200, 5_000, 15
REPLAY = """
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


def file(classes: int, fault: str = "") -> str:
    """A whole file with so many classes, each with limits."""
    site = "".join(
        f'[[site.class]]\nname = "c{n}"\neffect = "repeatable"\naim_ms = 500\ndeadline_ms = 10000\n'
        for n in range(classes)
    )
    limits = "".join(
        f"[class.c{n}]\nattempts = 4\nattempt_timeout_ms = 2000\nwait_ms = [100, 200, 400]\ngive_up_ms = 9000\n{fault}"
        for n in range(classes)
    )
    return f'[serve]\nlisten = "127.0.0.1:8081"\n[site]\n{site}{limits}'


def timed(what: Callable[[], Any], rounds: int = ROUNDS) -> list[float]:
    """Milliseconds of each round."""
    times = []
    for _ in range(rounds):
        start = time.perf_counter()
        what()
        times.append((time.perf_counter() - start) * 1000)
    return times


def checks(folder: Path) -> list[tuple[str, list[float]]]:
    """The time to check files, in one process, after its first."""
    from heronlug.cli.inspect import check_file

    rows = []
    for name, fault, faults in (("good", "", 0), ("a fault in each class", 'second_copy = "x"\n', CLASSES)):
        path = folder / "x.toml"
        path.write_text(file(CLASSES, fault))
        assert len(check_file(path, None)[2]) == faults
        rows.append((f"check a file of {CLASSES} classes, {name}", timed(partial(check_file, path, None))))
    return rows


def swaps(folder: Path) -> list[tuple[str, list[float]]]:
    """How long the loop stands still while a file is read, checked and swapped in, with jobs open; and idle."""
    from heronlug.balancer.settings import RequestClass, Settings
    from heronlug.config.files import Files
    from heronlug.config.limits import load, resolve
    from heronlug.lifecycle.running_state import BrokenLimit, RunningState
    from heronlug.net.background import run_in_background
    from heronlug.requests.core import Core
    from heronlug.requests.deadlines import Deadlines

    paths = [folder / "a.toml", folder / "b.toml"]
    for path, attempts in zip(paths, ("attempts = 4", "attempts = 3"), strict=True):
        path.write_text(file(CLASSES).replace("attempts = 4", attempts).replace("[100, 200, 400]", "[100, 200]"))
    config, _ = Files(paths[0], {}).load()
    settings: Settings = config.settings

    class Quiet:
        """Takes everything and does nothing: a front, and the parts of a daemon that limits have nothing to do with."""

        def __getattr__(self, name: str) -> Callable[..., None]:
            return lambda *args, **fields: None

        def broken_limits(self, classes: Any) -> list[BrokenLimit]:
            return [BrokenLimit(b.name, b.key, b.wrong, b.right) for b in load.check(settings, classes)]

        def resolved_limits(self, classes: Any) -> tuple[RequestClass, ...]:
            return resolve(settings.classes, classes)

        def use_limits(self, classes: tuple[RequestClass, ...]) -> None:
            start = time.perf_counter()
            core.use_classes(classes)
            swapped.append((time.perf_counter() - start) * 1000)

    quiet: Any = Quiet()
    core = Core(settings, 1, quiet, Deadlines(lambda: 1e6), max_open=OPEN + 1)
    for number in range(OPEN):
        core.accept(None, number % CLASSES, 9_000.0)
    swapped: list[float] = []
    stops: dict[str, list[float]] = {"idle": [], "reload": []}

    async def turns(over: asyncio.Event) -> float:
        longest, last = 0.0, time.perf_counter()
        while not over.is_set():
            await asyncio.sleep(0)
            now = time.perf_counter()
            longest, last = max(longest, now - last), now
        return longest * 1000

    async def stand(name: str, work: Callable[[], Any]) -> None:
        over = asyncio.Event()
        watch = asyncio.create_task(turns(over))
        await work()
        over.set()
        stops[name].append(await watch)

    async def play() -> None:
        running = RunningState(quiet)
        for number in range(ROUNDS):
            await stand("idle", lambda: asyncio.sleep(0.15))

            async def reload(path: Path = paths[number % 2]) -> None:
                _, state = await run_in_background(Files(path, {}).load)
                assert await running.limit(state["classes"])

            await stand("reload", reload)

    asyncio.run(play())
    assert len(core.requests) == OPEN
    return [
        (f"the swap alone, {CLASSES} classes and {OPEN} open jobs", swapped),
        ("longest stop of a busy loop in 0.15 s, nothing else going on", stops["idle"]),
        ("longest stop of a busy loop over a whole reload", stops["reload"]),
    ]


def replays() -> list[tuple[str, list[float]]]:
    """The CPU time of the decisions for one request, in fresh processes."""
    times = []
    for _ in range(ROUNDS):
        code = REPLAY.format(tests=str(ROOT / "tests"), root=str(ROOT))
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT)
        times.append(float(done.stdout) / 1000)
    return [("the decisions for one request", times)]


@click.command()
def main() -> None:
    """Measure and print."""
    sys.path.insert(0, str(ROOT))
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        rows = [*checks(folder), *swaps(folder), *replays()]
    print(f"{'':62}{'least ms':>10}{'median':>10}{'most':>10}")
    for row_name, times in rows:
        print(f"{row_name:62}{min(times):10.4f}{median(times):10.4f}{max(times):10.4f}")


if __name__ == "__main__":
    main()
