"""Generates the HTTP load of a run and records its requests and answers in the history."""

import time

from heronlug.conformance import Answered, Ended, Taken
from heronlug.faults.dispatchers import Dispatchers
from heronlug.faults.history import History
from heronlug.loadgen.http import HttpLoad, SentRequest
from heronlug.loadgen.tally import Tally

FRONT_END_NOTICE_DELAY_S = 0.4
"""Seconds after SIGTERM during which the platform's front end still opens new connections to a dispatcher."""


class ObservedLoad(HttpLoad):
    """Load on all dispatchers of a run.

    Attributes:
        dispatcher_of: dispatcher that received the request, by request id.
        incarnation_of: incarnation of the dispatcher that received the request, by request id.
        lost_count: requests that were lost because their dispatcher ended.
    """

    def __init__(self, dispatchers: Dispatchers, history: History, tallies: dict[str, Tally], seconds: float) -> None:
        addresses = [("127.0.0.1", port) for port in dispatchers.frontend_ports.values()]
        super().__init__(addresses, tallies, seconds)
        self.dispatcher_of: dict[str, str] = {}
        self.incarnation_of: dict[str, int] = {}
        self.lost_count = 0
        self._dispatchers = dispatchers
        self._history = history

    def may_open_connection(self, dispatcher: int) -> bool:
        """Returns whether new connections to a dispatcher may be opened.

        New connections stop ``FRONT_END_NOTICE_DELAY_S`` after the dispatcher received SIGTERM.
        """
        requested_at_s = self._dispatchers.processes[f"d{dispatcher}"].stop_requested_at_s
        return requested_at_s is None or time.monotonic() - requested_at_s < FRONT_END_NOTICE_DELAY_S

    def request_sent(self, request: SentRequest, dispatcher: int) -> None:
        """Records that a dispatcher received a request."""
        now, name, request_class = self._history.now(), f"d{dispatcher}", request.planned.request_class
        self.dispatcher_of[request.txn] = name
        self.incarnation_of[request.txn] = self._dispatchers.processes[name].incarnation
        remaining_ms = max(1.0, request_class.deadline_ms - (self.now() - request.planned.due_at))
        once = request_class.effect == "once"
        self._history.record(Taken(now, name, request.txn, request_class.name, once, now + remaining_ms))

    def request_ended(self, request: SentRequest, outcome: str, unread_ms: float = 0.0) -> None:
        """Records the end of a request, unless its dispatcher had been killed before the answer was read."""
        super().request_ended(request, outcome, unread_ms)
        name = self.dispatcher_of.get(request.txn)
        if name is None:
            return
        process = self._dispatchers.processes[name]
        if outcome != "lost":
            # The kill of a dispatcher already ended its requests in the history, so an answer read later is skipped.
            if process.last_ended_incarnation < self.incarnation_of[request.txn]:
                self._dispatchers.report_end(Answered(self._history.now() - unread_ms, name, request.txn, outcome))
        elif not process.should_run or not process.running:
            self._dispatchers.report_end(Ended(self._history.now(), name, request.txn))
            self.lost_count += 1
