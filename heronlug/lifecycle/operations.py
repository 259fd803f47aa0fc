"""What operators can call, and what the figures say."""

from collections.abc import Callable, Iterable, Iterator

from heronlug.lifecycle.admin import Answer, Calls
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown
from heronlug.requests.core import Core
from heronlug.requests.model import FinalAnswer

HELP = {
    "success": ("counter", "jobs served"),
    "overload": ("counter", "jobs refused"),
    "error": ("counter", "jobs failed"),
    "dispatches": ("counter", "attempts written whole to runners"),
    "concurrent": ("gauge", "jobs taken and not yet ended"),
    "targets": ("gauge", "runners in the list"),
    "targets_disabled": ("gauge", "listed runners that are avoided now"),
    "halls_left": ("gauge", "halls that have failed as one and get no work, or not all of it yet"),
    "parts_asked": ("counter", "parts of cold runners asked for"),
    "parts_lent": ("counter", "parts of cold runners lent to others"),
    "parts_used": ("counter", "jobs sent on parts that others lent"),
    "attempts_postponed": ("counter", "attempts that waited until a list that had come was read"),
    "slow_events": ("counter", "events that held the loop up for 100 ms or more"),
    "waiting": ("gauge", "jobs that wait for a runner"),
}
NAMES = {FinalAnswer.SERVED: "success", FinalAnswer.REFUSED: "overload", FinalAnswer.FAILED: "error"}


def figures(cores: Iterable[Core]) -> str:
    """The figures in Prometheus' text format: those of all fronts together, and each class from the start."""
    cores = list(cores)
    by_class = {name: dict.fromkeys(cores[0].class_names, 0) for name in NAMES.values()}
    alone = {name: 0 for name in HELP if name not in by_class}
    for core in cores:
        for index, lane in enumerate(core.class_names):
            for final, name in NAMES.items():
                by_class[name][lane] += core.answer_counts[index][final]
        alone["dispatches"] += core.dispatches
        alone["concurrent"] += core.open_requests
        listed, avoided = core.server_counts()
        alone["targets"] += listed
        alone["targets_disabled"] += avoided
        alone["halls_left"] += core.dispatcher.rules.zone_failover.zones_away
        shares = core.dispatcher.rules.shares
        alone["parts_asked"] += shares.loans_requested
        alone["parts_lent"] += shares.loans_given
        alone["parts_used"] += shares.loans_used
        alone["attempts_postponed"] += core.postponed
        alone["slow_events"] += core.slow_events
        alone["waiting"] += core.dispatcher.queue_length
    return "\n".join([*_lines(by_class, alone), ""])


def _lines(by_class: dict[str, dict[str, int]], alone: dict[str, int]) -> Iterator[str]:
    for name, (kind, text) in HELP.items():
        yield f"# HELP svc_{name} {text}"
        yield f"# TYPE svc_{name} {kind}"
        if name in alone:
            yield f"svc_{name} {alone[name]}"
        else:
            yield from (f'svc_{name}{{type="{lane}"}} {count}' for lane, count in by_class[name].items())


def accept_figures(failures: dict[str, int]) -> str:
    """The lines on calls of accept that failed, by listener."""
    lines = ["# HELP svc_accept_failures calls of accept that failed", "# TYPE svc_accept_failures counter"]
    lines += [f'svc_accept_failures{{listener="{name}"}} {count}' for name, count in failures.items()]
    return "\n".join([*lines, ""])


def calls(
    parting: GracefulShutdown,
    takes_clients: Callable[[], bool],
    cores: Callable[[], list[Core]],
    log: Callable[..., None],
    more: Callable[[], str] = str,
) -> Calls:
    """The table of the admin front.  Each call may come again and again; ``more`` are further figures."""

    def health() -> Answer:
        return (200, b"yes\n") if takes_clients() else (503, b"no\n")

    def stats() -> Answer:
        return 200, (figures(cores()) + more()).encode()

    def drain() -> Answer:
        if parting.drain():
            log("draining")
        return 200, b"draining\n"

    def undrain() -> Answer:
        if parting.stopping:
            return 409, b"stopping: that cannot be taken back\n"
        if parting.undrain():
            log("drain_over")
        return 200, b"serving\n"

    return {
        (b"GET", b"/healthcheck"): health,
        (b"GET", b"/stats"): stats,
        (b"PUT", b"/healthcheck/fail"): drain,
        (b"PUT", b"/healthcheck/ok"): undrain,
    }
