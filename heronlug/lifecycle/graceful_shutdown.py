"""Graceful shutdown: a drain, which can be taken back, a hot restart, and a planned stop, which cannot."""

from collections.abc import Callable
from dataclasses import dataclass

from heronlug.requests.deadlines import Deadlines

QUIET_PERIOD_MS = 700.0
"""No client may have come for this long before idle connections are closed, in ms.

Clients still come for 0.2 to 0.4 s after the signal, until the platform's load balancer sends them elsewhere.
"""

MAX_QUIET_WAIT_MS = 2000.0
"""After this time, in ms, clients that still come delay the stop no more: the load balancer does not send them."""

KILL_GRACE_MS = 700.0
"""The platform kills the process this long after the longest deadline has passed since SIGTERM, in ms."""

MAX_COUNTED_DEADLINE_MS = 3000.0
"""A longest deadline above this counts as this one for the time of the kill, in ms."""

ANSWER_MARGIN_MS = 250.0
"""All answers are sent this long before the kill, in ms."""

CLOSE_BEFORE_LAST_ANSWER_MS = 1000.0
"""In the last such time before the last answer, in ms, clients are sent elsewhere: a request could hardly be served."""

CHECK_INTERVAL_MS = 50.0
"""Between two checks of a drain or stop, in ms."""

HANDOVER_CHECK_INTERVAL_MS = 10.0
"""Between two checks while clients are handed over, in ms."""


@dataclass(frozen=True)
class ShutdownHooks:
    """What a shutdown asks of the other parts of a dispatcher, and what it makes them do.

    Attributes:
        open_work: Returns the number of requests and connections that a stop waits for.
        last_client_at: Returns when the last client came, in ms.
        others_serve: Returns whether another dispatcher serves.
        leave_peers: Tells the peers that this dispatcher leaves; called again and again.
        rejoin_peers: Tells the peers that it serves on.
        give_up_requests: Answers all open requests, because the time is over.
        close_idle: Closes the clients' connections that have no open request.
        stopped: Called when the process may end.
    """

    open_work: Callable[[], int]
    last_client_at: Callable[[], float]
    others_serve: Callable[[], bool]
    leave_peers: Callable[[], None]
    rejoin_peers: Callable[[], None]
    give_up_requests: Callable[[], None]
    close_idle: Callable[[], None]
    stopped: Callable[[], None]


class GracefulShutdown:
    """Whether clients are accepted, whether those connected are sent elsewhere, and when the process may end.

    There are three cases:

    * A drain, which operators order and may take back. Other dispatchers serve, so clients are sent to them: each
      connection is closed after its next answer, and idle ones once no new clients come.
    * A planned stop. Clients are sent elsewhere as in a drain while another dispatcher serves. While none does, as when
      the restarts of two dispatchers overlap, connected clients are served until shortly before the last answer.
    * A hot restart: a successor serves in place of this process. Clients' connections are handed over to it and stay
      open.
    """

    def __init__(self, deadlines: Deadlines, max_deadline_ms: float, hooks: ShutdownHooks) -> None:
        """Make a shutdown that has not begun; ``max_deadline_ms`` is the longest of all classes."""
        self._deadlines = deadlines
        self._hooks = hooks
        self._time_to_answer_ms = min(max_deadline_ms, MAX_COUNTED_DEADLINE_MS) + KILL_GRACE_MS - ANSWER_MARGIN_MS
        self._drained_at: float | None = None
        self._stopped_at: float | None = None
        self._hand_over_clients: Callable[[], None] | None = (
            None  # set while another process serves in place of this one
        )
        self._checking = False

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients are welcome: neither a drain nor a stop is under way."""
        return self._drained_at is None and self._stopped_at is None

    @property
    def stopping(self) -> bool:
        """Whether the process will end."""
        return self._stopped_at is not None

    @property
    def answer_by(self) -> float:
        """When the last answer must be sent, in ms; infinite until a stop has begun."""
        return float("inf") if self._stopped_at is None else self._stopped_at + self._time_to_answer_ms

    def sends_clients_away(self) -> bool:
        """Whether clients are sent elsewhere: each connection is closed after its next answer.

        True in a drain; in a stop while another dispatcher serves, and shortly before the last answer; never while
        clients are handed over to a successor.
        """
        if self._hand_over_clients is not None:
            return False
        if self._drained_at is not None:
            return True
        if self._stopped_at is None:
            return False
        return self._hooks.others_serve() or self._deadlines.clock() >= self.answer_by - CLOSE_BEFORE_LAST_ANSWER_MS

    def drain(self) -> bool:
        """Begin a drain, on an operator's order; False when a drain or stop is under way."""
        if not self.accepts_clients:
            return False
        self._drained_at = self._deadlines.clock()
        self._begin_checks()
        return True

    def undrain(self) -> bool:
        """End a drain; False when there was none.  A stop goes on."""
        drained = self._drained_at is not None
        self._drained_at = None
        if drained and self.accepts_clients:
            self._hooks.rejoin_peers()
        return drained

    def hand_over(self, hand_over: Callable[[], None] | None) -> None:
        """Another process serves in place of this one, and ``hand_over`` sends it clients; None when it has ended."""
        self._hand_over_clients = hand_over
        self._begin_checks()

    def stop(self) -> bool:
        """Begin a planned stop; False when one is under way."""
        if self.stopping:
            return False
        self._stopped_at = self._deadlines.clock()
        self._deadlines.call_at(self.answer_by, self._hooks.give_up_requests)
        self._begin_checks()
        return True

    def _begin_checks(self) -> None:
        if not self._checking:
            self._checking = True
            self._check()

    def _check(self) -> None:
        """Do what is due by now, and check again later while a drain, handover or stop is under way."""
        hand_over = self._hand_over_clients
        self._checking = not self.accepts_clients or hand_over is not None
        if not self._checking:
            return
        if hand_over is not None:
            hand_over()
        else:
            self._hooks.leave_peers()
        clients_ceased = hand_over is not None or self._new_clients_ceased()
        if clients_ceased and self.sends_clients_away():
            self._hooks.close_idle()
        if clients_ceased and self.stopping and not self._hooks.open_work():
            self._hooks.stopped()
        else:
            interval = CHECK_INTERVAL_MS if hand_over is None else HANDOVER_CHECK_INTERVAL_MS
            self._deadlines.call_after(interval, self._check)

    def _new_clients_ceased(self) -> bool:
        """Whether no new clients come any more, so that those who lose an idle connection connect elsewhere."""
        now = self._deadlines.clock()
        began_at = max(self._drained_at or 0.0, self._stopped_at or 0.0)
        last_event_at = max(began_at, self._hooks.last_client_at())
        return now - last_event_at >= QUIET_PERIOD_MS or now - began_at >= MAX_QUIET_WAIT_MS
