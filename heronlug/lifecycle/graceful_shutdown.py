"""Implements graceful shutdown: an operator's drain, which can be cancelled, a hot restart, and a planned stop."""

from collections.abc import Callable
from dataclasses import dataclass

from heronlug.requests.deadlines import Deadlines

QUIET_PERIOD_MS = 700.0
"""Time without a new client before idle connections are closed, in ms.

New clients arrive for another 0.2 to 0.4 s after the signal, until the platform's load balancer redirects them.
"""

MAX_QUIET_WAIT_MS = 2000.0
"""Time after the start of a drain or stop from which new clients no longer delay the exit, in ms.

Clients that arrive this late are not sent by the load balancer.
"""

KILL_GRACE_MS = 700.0
"""Time from the end of the longest deadline after SIGTERM until the platform kills the process, in ms."""

MAX_COUNTED_DEADLINE_MS = 3000.0
"""Upper bound of the longest deadline in the platform's calculation of the time of the kill, in ms."""

ANSWER_MARGIN_MS = 250.0
"""Time before the kill by which all answers are sent, in ms."""

CLOSE_BEFORE_LAST_ANSWER_MS = 1000.0
"""Length of the period before the last answer in which each connection is closed after its next answer, in ms.

A request that arrives this late is unlikely to be served in time.
"""

TRANSFER_MARGIN_MS = 800.0
"""Time before the last answer from which nothing more is handed over to a successor, in ms.

What is left is answered here, and new requests are refused: an answer may take long beside a busy machine.
"""

CHECK_INTERVAL_MS = 50.0
"""Interval between two checks of a drain or stop, in ms."""

HANDOVER_CHECK_INTERVAL_MS = 10.0
"""Interval between two checks while clients are handed over to a successor, in ms."""


@dataclass(frozen=True)
class ShutdownHooks:
    """Callbacks with which a shutdown queries and controls the other parts of a dispatcher.

    Attributes:
        open_work: Returns the number of requests and connections that a stop waits for.
        last_client_at: Returns the time at which the last client connected, in ms.
        others_serve: Returns whether another dispatcher accepts clients.
        leave_peers: Notifies the peers that this dispatcher leaves; called at every check.
        rejoin_peers: Notifies the peers that this dispatcher accepts clients again.
        give_up_requests: Answers all open requests, because the time to answer has ended.
        close_idle: Closes the client connections that have no open request.
        stopped: Called once the process may exit.
        end_transfer: Serves the clients here that a successor has not taken over.
    """

    open_work: Callable[[], int]
    last_client_at: Callable[[], float]
    others_serve: Callable[[], bool]
    leave_peers: Callable[[], None]
    rejoin_peers: Callable[[], None]
    give_up_requests: Callable[[], None]
    close_idle: Callable[[], None]
    stopped: Callable[[], None]
    end_transfer: Callable[[], None] = lambda: None


class GracefulShutdown:
    """Decides whether clients are accepted, when their connections are closed, and when the process may exit.

    There are three cases:

    * A drain, which operators start and may cancel. Other dispatchers accept clients, so clients are made to reconnect:
      each connection is closed after its next answer, and idle connections are closed once no new clients arrive.
    * A planned stop, which cannot be cancelled. Connections are closed as in a drain while another dispatcher accepts
      clients. While no other dispatcher does, as when the restarts of two dispatchers overlap, connected clients are
      served until shortly before the last answer.
    * A hot restart: a successor process accepts clients in place of this process. Client connections are handed over to
      the successor and stay open.
    """

    def __init__(self, deadlines: Deadlines, max_deadline_ms: float, hooks: ShutdownHooks) -> None:
        """Creates a shutdown that has not begun; ``max_deadline_ms`` is the longest deadline of all request classes."""
        self._deadlines = deadlines
        self._hooks = hooks
        self._time_to_answer_ms = min(max_deadline_ms, MAX_COUNTED_DEADLINE_MS) + KILL_GRACE_MS - ANSWER_MARGIN_MS
        self._drained_at: float | None = None
        self._stopped_at: float | None = None
        self._hand_over_clients: Callable[[], None] | None = None  # set while a successor serves
        self._checking = False

    @property
    def accepts_clients(self) -> bool:
        """Returns whether new clients are accepted, that is, neither a drain nor a stop is in progress."""
        return self._drained_at is None and self._stopped_at is None

    @property
    def stopping(self) -> bool:
        """Returns whether a planned stop has begun."""
        return self._stopped_at is not None

    @property
    def answer_by(self) -> float:
        """Returns the time by which the last answer must be sent, in ms; infinite until a stop has begun."""
        return float("inf") if self._stopped_at is None else self._stopped_at + self._time_to_answer_ms

    @property
    def transfer_over(self) -> bool:
        """Returns whether it is too late to hand clients over to a successor before the last answer."""
        return self.stopping and self._deadlines.clock() >= self.answer_by - TRANSFER_MARGIN_MS

    def sends_clients_away(self) -> bool:
        """Returns whether each client connection is closed after its next answer, so that clients reconnect elsewhere.

        True during a drain, and during a stop while another dispatcher accepts clients or shortly before the last
        answer; while clients are handed over to a successor, only once it is too late for that.
        """
        if self._hand_over_clients is not None:
            return self.transfer_over
        if self._drained_at is not None:
            return True
        if self._stopped_at is None:
            return False
        return self._hooks.others_serve() or self._deadlines.clock() >= self.answer_by - CLOSE_BEFORE_LAST_ANSWER_MS

    def drain(self) -> bool:
        """Begins a drain and returns True; returns False if a drain or stop is already in progress."""
        if not self.accepts_clients:
            return False
        self._drained_at = self._deadlines.clock()
        self._begin_checks()
        return True

    def undrain(self) -> bool:
        """Ends a drain and returns True; returns False if there was none. A stop in progress continues."""
        drained = self._drained_at is not None
        self._drained_at = None
        if drained and self.accepts_clients:
            self._hooks.rejoin_peers()
        return drained

    def hand_over(self, hand_over: Callable[[], None] | None) -> None:
        """Sets the function that hands clients over to the successor process; None once the successor has ended."""
        self._hand_over_clients = hand_over
        self._begin_checks()

    def hand_over_now(self) -> None:
        """Hands clients over without waiting for the next check; does nothing without a successor."""
        if self._hand_over_clients is not None:
            self._hand_over_clients()

    def stop(self, signalled_at: float) -> bool:
        """Begins a planned stop and returns True; returns False if a stop is already in progress.

        Args:
            signalled_at: Time of the signal, in ms, from which the platform counts the time to stop.
        """
        if self.stopping:
            return False
        self._stopped_at = signalled_at
        self._deadlines.call_at(self.answer_by - TRANSFER_MARGIN_MS, self._hooks.end_transfer)
        self._deadlines.call_at(self.answer_by, self._hooks.give_up_requests)
        self._begin_checks()
        return True

    def _begin_checks(self) -> None:
        if not self._checking:
            self._checking = True
            self._check()

    def _check(self) -> None:
        """Runs the steps that are due and schedules the next check while a drain, handover or stop is in progress."""
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
        """Returns whether new clients have ceased to arrive, so that reconnecting clients reach another dispatcher."""
        now = self._deadlines.clock()
        began_at = max(self._drained_at or 0.0, self._stopped_at or 0.0)
        last_event_at = max(began_at, self._hooks.last_client_at())
        return now - last_event_at >= QUIET_PERIOD_MS or now - began_at >= MAX_QUIET_WAIT_MS
