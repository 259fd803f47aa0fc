"""Checks the four rules on the events of a run, emulated or on sockets.

The rules are:

1. Each accepted request gets one final answer by its deadline, unless its client disconnects or the process of the
   dispatcher is killed. Attempts are sent only while their request is open.
2. A request that must not run twice does not run twice.
3. No attempt is sent to a server after the drain grace, which starts when the server's change to draining or gone
   counts as notified.
4. A server that is warming up does not fail from overload.

The checker does no I/O and imports nothing of the checked code.
"""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from heronlug.conformance.events import (
    Answered,
    Began,
    Called,
    Changed,
    Dialled,
    Ended,
    Event,
    Listed,
    Load,
    Reachable,
    Sent,
    Started,
    Stopped,
    Taken,
    Watching,
    WatchOver,
)
from heronlug.conformance.notification import NotificationHistory
from heronlug.conformance.peak_rate import PeakRate

TRAIL_LENGTH = 12
"""Maximum number of recent events that are stored for each open request and for each server."""
MAX_KEPT_VIOLATIONS = 200
"""Maximum number of violations that are stored with their events; further violations are only counted."""
SHORT_WINDOW_MS = 100.0
"""Length of the shorter window for counting calls of service discovery, in ms."""
LONG_WINDOW_MS = 1000.0
"""Length of the longer window for counting calls of service discovery and dials of a server, in ms."""


class Violation(NamedTuple):
    """A violation of one of the four rules.

    Attributes:
        rule: Number of the rule.
        at: Time of the violation in ms.
        what: Description of the violation, as a sentence.
        trail: Events that led to the violation, in order of time.
    """

    rule: int
    at: float
    what: str
    trail: tuple[Event, ...]


class RequestKey(NamedTuple):
    """Identifies a request at a dispatcher."""

    dispatcher: str
    request: str


class OpenRequest:
    """A request that needs a final answer.

    Attributes:
        taken: Acceptance of the request.
        trail: Last events of the request, at most ``TRAIL_LENGTH``.
    """

    __slots__ = ("taken", "trail")

    def __init__(self, taken: Taken) -> None:
        self.taken = taken
        self.trail: deque[Event] = deque([taken], maxlen=TRAIL_LENGTH)


@dataclass(slots=True)
class Statistics:
    """The load that a run put on service discovery and servers.

    Attributes:
        warmup_peak_load: Highest load of a server that was warming up, as a share; overload begins at 1.
        calls: Number of calls of service discovery.
        list_calls: Number of calls for the whole list.
        rejected_calls: Number of rejected calls.
        short_call_peak: Highest number of calls in the shorter window.
        long_call_peak: Highest number of calls in the longer window.
        dials: Number of connections, by server.
        dial_peaks: Highest number of connections in the longer window, by server.
    """

    warmup_peak_load: float = 0.0
    calls: int = 0
    list_calls: int = 0
    rejected_calls: int = 0
    short_call_peak: PeakRate = field(default_factory=lambda: PeakRate(SHORT_WINDOW_MS))
    long_call_peak: PeakRate = field(default_factory=lambda: PeakRate(LONG_WINDOW_MS))
    dials: Counter[str] = field(default_factory=Counter)
    dial_peaks: dict[str, PeakRate] = field(default_factory=dict)

    def reset_calls(self) -> None:
        """Resets the counts and peaks of calls."""
        self.calls = self.list_calls = self.rejected_calls = 0
        self.short_call_peak.reset()
        self.long_call_peak.reset()

    def count_call(self, event: Called) -> None:
        """Counts a call of service discovery."""
        self.calls += 1
        self.list_calls += event.whole
        self.rejected_calls += event.turned
        self.short_call_peak.add(event.at)
        self.long_call_peak.add(event.at)

    def count_dial(self, event: Dialled) -> None:
        """Counts a connection to a server."""
        self.dials[event.host] += 1
        self.dial_peaks.setdefault(event.host, PeakRate(LONG_WINDOW_MS)).add(event.at)


class Checker:
    """Checks the four rules on all events of a run.

    The caller passes each event to :meth:`see` in order of time and calls :meth:`finish` at the end of the run.

    Attributes:
        drain_grace: Time after a notified change within which attempts may still be sent, in ms.
        slack: Tolerance for late answers in ms, because the clocks of several processes differ.
        violations: First violations with their events, at most ``MAX_KEPT_VIOLATIONS``.
        counts: Number of all violations, by rule.
        seen: Number of events.
        statistics: Load that the run put on service discovery and servers.
    """

    def __init__(self, drain_grace: float = 2500.0, slack: float = 0.0) -> None:
        self.drain_grace, self.slack = drain_grace, slack
        self.violations: list[Violation] = []
        self.counts: Counter[int] = Counter()
        self.seen = 0
        self.statistics = Statistics()
        self._open_requests: dict[RequestKey, OpenRequest] = {}
        self._answered_requests: dict[str, set[str]] = {}  # by dispatcher
        self._non_idempotent: set[str] = set()
        self._executed: dict[str, Began] = {}  # non-idempotent requests that have been executed
        self._notifications = NotificationHistory()
        self._server_trails: dict[str, deque[Event]] = {}
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            Started: self._on_started,
            Stopped: self._on_stopped,
            Taken: self._on_taken,
            Answered: self._on_answered,
            Sent: self._on_sent,
            Began: self._on_began,
            Ended: self._on_ended,
            Listed: self._on_listed,
            Changed: self._on_changed,
            Watching: self._on_watching,
            WatchOver: self._on_watch_over,
            Reachable: self._on_reachable,
            Load: self._on_load,
            Called: self.statistics.count_call,
            Dialled: self.statistics.count_dial,
        }

    def see(self, event: Event) -> None:
        """Checks an event."""
        self.seen += 1
        self._handlers[type(event)](event)

    def finish(self, at: float) -> list[Violation]:
        """Ends the run and returns the violations.

        A request that is still open after its deadline violates rule 1.

        Args:
            at: End of the run in ms.
        """
        for request in self._open_requests.values():
            if request.taken.give_up_at + self.slack < at:
                self._add_violation(1, at, f"{request.taken.job} has had no final answer", request.trail)
        return self.violations

    def _add_violation(self, rule: int, at: float, what: str, trail: "deque[Event] | tuple[Event, ...]") -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_KEPT_VIOLATIONS:
            self.violations.append(Violation(rule, at, what, tuple(trail)))

    def _server_trail(self, server: str) -> "deque[Event]":
        return self._server_trails.setdefault(server, deque(maxlen=TRAIL_LENGTH))

    # -- dispatchers

    def _on_started(self, event: Started) -> None:
        self._answered_requests[event.dispatcher] = set()
        self._notifications.notifications_of(event.dispatcher)  # notifications outlast the processes of a dispatcher

    def _on_stopped(self, event: Stopped) -> None:
        for key in [key for key in self._open_requests if key.dispatcher == event.dispatcher]:
            request = self._open_requests.pop(key)
            if not event.killed:
                what = f"{request.taken.job} had no final answer when {event.dispatcher} ended"
                self._add_violation(1, event.at, what, (*request.trail, event))
        self._answered_requests.pop(event.dispatcher, None)

    # -- rules 1 and 2: requests

    def _on_taken(self, event: Taken) -> None:
        key = RequestKey(event.dispatcher, event.job)
        if key in self._open_requests:
            what = f"{event.job} was accepted twice while the request was open"
            self._add_violation(1, event.at, what, (*self._open_requests[key].trail, event))
        self._open_requests[key] = OpenRequest(event)
        self._answered_requests.setdefault(event.dispatcher, set()).discard(event.job)
        if event.once:
            self._non_idempotent.add(event.job)

    def _on_answered(self, event: Answered) -> None:
        request = self._open_requests.pop(RequestKey(event.dispatcher, event.job), None)
        answered = self._answered_requests.setdefault(event.dispatcher, set())
        if request is None:
            why = "has had a second answer" if event.job in answered else "was answered but never accepted"
            self._add_violation(1, event.at, f"{event.job} {why}", (event,))
        elif event.at > request.taken.give_up_at + self.slack:
            late_ms = event.at - request.taken.give_up_at
            what = f"{event.job} was answered {late_ms:.0f} ms too late"
            self._add_violation(1, event.at, what, (*request.trail, event))
        answered.add(event.job)

    def _on_ended(self, event: Ended) -> None:
        if self._open_requests.pop(RequestKey(event.dispatcher, event.job), None) is not None:
            self._answered_requests.setdefault(event.dispatcher, set()).add(event.job)

    def _on_began(self, event: Began) -> None:
        if event.job not in self._non_idempotent:
            return
        earlier = self._executed.get(event.job)
        if earlier is not None:
            what = f"{event.job} ran at {event.host} after having run at {earlier.host}"
            trails = [request.trail for key, request in self._open_requests.items() if key.request == event.job]
            self._add_violation(2, event.at, what, (*(trails[0] if trails else ()), earlier, event))
        self._executed[event.job] = event

    # -- rule 3: draining servers

    def _on_sent(self, event: Sent) -> None:
        request = self._open_requests.get(RequestKey(event.dispatcher, event.job))
        if request is not None:
            request.trail.append(event)
        else:
            self._add_violation(1, event.at, f"{event.job} was sent although the request is not open", (event,))
        notified = self._notifications.notified_since(event.dispatcher, event.host)
        if notified is not None and event.at - notified.at > self.drain_grace:
            elapsed_ms = event.at - notified.at
            what = (
                f"{event.host} was sent {event.job} {elapsed_ms:.0f} ms after the server's change counted as notified, "
                f"which {notified.reason}"
            )
            self._add_violation(3, event.at, what, (*self._server_trail(event.host), event))

    def _on_listed(self, event: Listed) -> None:
        self._server_trail(event.host).append(event)
        self._notifications.record_written(event.at, event.dispatcher, event.host, event.state)

    def _on_changed(self, event: Changed) -> None:
        self._server_trail(event.host).append(event)
        self._notifications.record_change(event.at, event.host, event.state)

    def _on_watching(self, event: Watching) -> None:
        self._notifications.record_watch(event.at, event.dispatcher, event.call, event.wait)

    def _on_watch_over(self, event: WatchOver) -> None:
        self._notifications.record_watch_end(event.at, event.dispatcher, event.call)

    def _on_reachable(self, event: Reachable) -> None:
        self._notifications.record_reachability(event.at, event.dispatcher, event.reachable)

    # -- rule 4: servers that warm up

    def _on_load(self, event: Load) -> None:
        self.statistics.warmup_peak_load = max(self.statistics.warmup_peak_load, event.share)
        trail = self._server_trail(event.host)
        trail.append(event)
        if event.fell:
            self._add_violation(4, event.at, f"{event.host} was overloaded while warming up", trail)
