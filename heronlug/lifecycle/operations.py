"""Answers the calls of operators on the admin endpoint, including the metrics in the Prometheus text format."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Literal

from heronlug.lifecycle.admin import Answer, CallKey, Calls
from heronlug.lifecycle.graceful_shutdown import GracefulShutdown
from heronlug.memory.account import MemoryAccount
from heronlug.memory.holders import Holder
from heronlug.memory.limits import MB
from heronlug.memory.process_memory import peak_resident_bytes, resident_bytes
from heronlug.requests.core import Core
from heronlug.requests.model import FinalAnswer


@dataclass(frozen=True)
class Metric:
    """Name, type and help text of a metric; the documentation for operators lists the names and texts."""

    name: str
    kind: Literal["counter", "gauge"]
    help: str


ANSWER_METRICS = {
    FinalAnswer.SERVED: Metric("success", "counter", "jobs served"),
    FinalAnswer.REFUSED: Metric("overload", "counter", "jobs refused"),
    FinalAnswer.FAILED: Metric("error", "counter", "jobs failed"),
}
"""The metrics that have one value per request class, by final answer."""
DISPATCHES = Metric("dispatches", "counter", "attempts written whole to runners")
CONCURRENT = Metric("concurrent", "gauge", "jobs taken and not yet ended")
SERVERS = Metric("targets", "gauge", "runners in the list")
EXCLUDED_SERVERS = Metric("targets_disabled", "gauge", "listed runners that are avoided now")
EXCLUDED_ZONES = Metric("halls_left", "gauge", "halls that have failed as one and get no work, or not all of it yet")
LOANS_REQUESTED = Metric("parts_asked", "counter", "parts of cold runners asked for")
LOANS_GIVEN = Metric("parts_lent", "counter", "parts of cold runners lent to others")
LOANS_USED = Metric("parts_used", "counter", "jobs sent on parts that others lent")
POSTPONED = Metric("attempts_postponed", "counter", "attempts that waited until a list that had come was read")
SLOW_EVENTS = Metric("slow_events", "counter", "events that held the loop up for 100 ms or more")
QUEUED = Metric("waiting", "gauge", "jobs that wait for a runner")
HANDED_OVER = Metric("handed_over", "counter", "jobs that another process of this dispatcher goes on with")
ADOPTED = Metric("adopted", "counter", "jobs that came from another process of this dispatcher")
ACCEPT_FAILURES = Metric("accept_failures", "counter", "calls of accept that failed")
CLIENTS_CLOSED = Metric("clients_closed", "counter", "connections of clients that have ended, by reason")
SERVERS_CLOSED = Metric("hosts_closed", "counter", "connections to runners that have ended, by reason")
MEMORY_HELD = Metric("memory_held", "gauge", "bytes that others make this process hold, by holder")
MEMORY_REFUSED = Metric("memory_refused", "counter", "reservations of memory that failed, by holder")
MEMORY_ACCOUNT_LIMIT = Metric("memory_held_limit", "gauge", "limit of all bytes that others make this process hold")
MEMORY_LIMIT = Metric("memory_limit", "gauge", "memory limit of this process in bytes")
MEMORY_RESIDENT = Metric("memory_resident", "gauge", "resident memory of this process in bytes")
MEMORY_PEAK = Metric("memory_peak", "gauge", "largest resident memory of this process so far in bytes")


def format_metrics(cores: Iterable[Core]) -> str:
    """Returns the metrics of all frontends together; each class is listed even before its first request."""
    cores = list(cores)
    lines = [*_answer_lines(cores)]
    for metric, value in _total_values(cores):
        lines += [*_metric_header(metric), f"svc_{metric.name} {value}"]
    return "\n".join([*lines, ""])


def _answer_lines(cores: list[Core]) -> Iterator[str]:
    """Yields the lines that count the final answers per class."""
    class_names = cores[0].class_names
    for final, metric in ANSWER_METRICS.items():
        counts = dict.fromkeys(class_names, 0)
        for core in cores:
            for index, name in enumerate(core.class_names):
                counts[name] += core.answer_counts[index][final]
        yield from _metric_header(metric)
        yield from (f'svc_{metric.name}{{type="{name}"}} {count}' for name, count in counts.items())


def _total_values(cores: list[Core]) -> Iterator[tuple[Metric, int]]:
    """Yields the metrics that have a single value, summed over the frontends."""
    server_counts = [core.server_counts() for core in cores]
    rule_sets = [core.dispatcher.rules for core in cores]
    yield DISPATCHES, sum(core.dispatches for core in cores)
    yield CONCURRENT, sum(core.requests.open_count for core in cores)
    yield SERVERS, sum(listed for listed, _ in server_counts)
    yield EXCLUDED_SERVERS, sum(excluded for _, excluded in server_counts)
    yield EXCLUDED_ZONES, sum(rule_set.zone_failover.zones_away for rule_set in rule_sets)
    yield LOANS_REQUESTED, sum(rule_set.shares.loans_requested for rule_set in rule_sets)
    yield LOANS_GIVEN, sum(rule_set.shares.loans_given for rule_set in rule_sets)
    yield LOANS_USED, sum(rule_set.shares.loans_used for rule_set in rule_sets)
    yield POSTPONED, sum(core.postponed for core in cores)
    yield SLOW_EVENTS, sum(core.events.slow_events for core in cores)
    yield QUEUED, sum(core.dispatcher.queue_length for core in cores)
    yield HANDED_OVER, sum(core.handover.handed_over for core in cores)
    yield ADOPTED, sum(core.handover.adopted for core in cores)


def _metric_header(metric: Metric) -> Iterator[str]:
    yield f"# HELP svc_{metric.name} {metric.help}"
    yield f"# TYPE svc_{metric.name} {metric.kind}"


def labelled_metric(metric: Metric, label: str, counts: Mapping[Any, int]) -> str:
    """Returns the lines of a metric with a count for each value of a label, in the order of ``counts``."""
    lines = [f'svc_{metric.name}{{{label}="{value}"}} {count}' for value, count in counts.items()]
    return "\n".join([*_metric_header(metric), *lines, ""])


def memory_metrics(account: MemoryAccount, limit_mb: float) -> str:
    """Returns the metrics of the memory of this process; ``limit_mb`` is its limit in MB."""
    values = {
        MEMORY_ACCOUNT_LIMIT: account.limit,
        MEMORY_LIMIT: int(limit_mb * MB),
        MEMORY_RESIDENT: resident_bytes(),
        MEMORY_PEAK: peak_resident_bytes(),
    }
    lines = [
        line for metric, value in values.items() for line in (*_metric_header(metric), f"svc_{metric.name} {value}")
    ]
    by_holder = {holder.value: size for holder, size in account.by_holder.items()}
    refusals = {holder.value: account.refusals[holder] for holder in Holder}
    held = labelled_metric(MEMORY_HELD, "holder", by_holder)
    return held + labelled_metric(MEMORY_REFUSED, "holder", refusals) + "\n".join([*lines, ""])


class OperatorCalls:
    """The calls of operators; each call is idempotent."""

    def __init__(
        self,
        shutdown: GracefulShutdown,
        accepts_clients: Callable[[], bool],
        cores: Callable[[], list[Core]],
        log: Callable[..., None],
        additional_metrics: Callable[[], str],
    ) -> None:
        """Creates the calls; ``additional_metrics`` returns the metric lines that do not come from the cores."""
        self._shutdown = shutdown
        self._accepts_clients = accepts_clients
        self._cores = cores
        self._log = log
        self._additional_metrics = additional_metrics

    def table(self) -> Calls:
        """Returns the table of calls for the admin endpoint."""
        return {
            CallKey(b"GET", b"/healthcheck"): self.health,
            CallKey(b"GET", b"/stats"): self.stats,
            CallKey(b"PUT", b"/healthcheck/fail"): self.drain,
            CallKey(b"PUT", b"/healthcheck/ok"): self.undrain,
        }

    def health(self) -> Answer:
        """Answers with 200 if this process accepts clients, else with 503."""
        return Answer(200, b"yes\n") if self._accepts_clients() else Answer(503, b"no\n")

    def stats(self) -> Answer:
        """Answers with the metrics of the dispatcher."""
        return Answer(200, (format_metrics(self._cores()) + self._additional_metrics()).encode())

    def drain(self) -> Answer:
        """Begins a drain."""
        if self._shutdown.drain():
            self._log("draining")
        return Answer(200, b"draining\n")

    def undrain(self) -> Answer:
        """Ends a drain; answers with 409 during a planned stop."""
        if self._shutdown.stopping:
            return Answer(409, b"stopping: that cannot be taken back\n")
        if self._shutdown.undrain():
            self._log("drain_over")
        return Answer(200, b"serving\n")
