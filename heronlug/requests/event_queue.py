"""Gives the balancer its events, one at a time, and has its actions carried out."""

from collections import deque
from collections.abc import Callable

from heronlug.balancer.actions import Action
from heronlug.balancer.dispatcher import Dispatcher
from heronlug.balancer.events import Event

SLOW_EVENT_MS = 100.0
"""Time for an event, with its actions, from which it is reported as slow."""


class EventQueue:
    """Events of one dispatcher; those that actions cause wait until all actions of the event before are done.

    Attributes:
        dispatcher: the decisions.
        slow_events: events that took longer than ``SLOW_EVENT_MS``.
    """

    __slots__ = ("_clock", "_events", "_execute", "_handling", "_on_slow_event", "dispatcher", "slow_events")

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
        execute: Callable[[Action, float], None],
        on_slow_event: Callable[[Event, float], None],
    ) -> None:
        """Make an empty queue.

        Args:
            dispatcher: the decisions.
            clock: the time in ms.
            execute: carries out an action that was decided at a time.
            on_slow_event: called with an event that was slow, and how long it took.
        """
        self.dispatcher = dispatcher
        self.slow_events = 0
        self._clock, self._execute, self._on_slow_event = clock, execute, on_slow_event
        self._events: deque[Event] = deque()
        self._handling = False

    def append(self, event: Event) -> None:
        """Add an event that an action has caused."""
        self._events.append(event)

    def handle(self, event: Event) -> None:
        """Handle an event now, or after those that are being handled."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle_first()
        finally:
            self._handling = False

    def _handle_first(self) -> None:
        now, event = self._clock(), self._events.popleft()
        for action in self.dispatcher.handle(now, event):
            self._execute(action, now)
        elapsed = self._clock() - now
        if elapsed >= SLOW_EVENT_MS:
            self.slow_events += 1
            self._on_slow_event(event, elapsed)
