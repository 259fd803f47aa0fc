"""Passes events to the balancer one at a time and executes the resulting actions."""

from collections import deque
from collections.abc import Callable

from heronlug.balancer.actions import Action
from heronlug.balancer.dispatcher import Dispatcher
from heronlug.balancer.events import Event

SLOW_EVENT_MS = 100.0
"""Duration of an event and its actions from which the event is reported as slow, in ms."""


class EventQueue:
    """Queues the events of one dispatcher.

    An event that is caused by an action waits until all actions of the current event have been executed.

    Attributes:
        dispatcher: Makes the decisions.
        slow_events: Number of events that took ``SLOW_EVENT_MS`` or longer.
    """

    __slots__ = ("_clock", "_events", "_execute", "_handling", "_on_slow_event", "dispatcher", "slow_events")

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
        execute: Callable[[Action, float], None],
        on_slow_event: Callable[[Event, float], None],
    ) -> None:
        """Creates an empty queue.

        Args:
            dispatcher: Makes the decisions.
            clock: Returns the current time in ms.
            execute: Executes an action; called with the action and the time of the decision in ms.
            on_slow_event: Called with a slow event and its duration in ms.
        """
        self.dispatcher = dispatcher
        self.slow_events = 0
        self._clock, self._execute, self._on_slow_event = clock, execute, on_slow_event
        self._events: deque[Event] = deque()
        self._handling = False

    def append(self, event: Event) -> None:
        """Appends an event that an action has caused, to be handled after the current event."""
        self._events.append(event)

    def handle(self, event: Event) -> None:
        """Handles an event now, or after the queued events if this is called while another event is handled.

        An action that raises does not stop the other actions and events; the first exception is raised after them.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        first_error: Exception | None = None
        try:
            while self._events:
                error = self._handle_first()
                first_error = first_error or error
        finally:
            self._handling = False
        if first_error is not None:
            raise first_error

    def _handle_first(self) -> Exception | None:
        """Handles the first event and returns the first exception of its actions."""
        now, event = self._clock(), self._events.popleft()
        first_error: Exception | None = None
        for action in self.dispatcher.handle(now, event):
            try:
                self._execute(action, now)
            except Exception as error:  # raised again after the other actions
                first_error = first_error or error
        elapsed = self._clock() - now
        if elapsed >= SLOW_EVENT_MS:
            self.slow_events += 1
            self._on_slow_event(event, elapsed)
        return first_error
