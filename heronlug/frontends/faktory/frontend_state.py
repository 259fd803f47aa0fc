"""Defines the states of the Faktory frontend and the transitions between them.

A frontend that is turned off accepts no new jobs, but the jobs that it has accepted continue: they start at their time,
go to workers that are still connected, and end at their deadlines. Only the stop of the process ends or keeps them.
"""

from enum import Enum


class FrontendState(Enum):
    """States of the frontend; the values appear in the log."""

    OFF = "off"
    """New jobs are rejected; accepted jobs continue."""

    ON = "on"
    """New jobs are accepted."""

    STOPPING = "stopping"
    """The process stops: new jobs are rejected, and accepted jobs that have not started do not start any more."""

    STOPPED = "stopped"
    """The time to answer is over: each open job has ended, or stays in the store for the next process."""

    @property
    def starts_jobs(self) -> bool:
        """Returns whether accepted jobs start at their time."""
        return self in (FrontendState.OFF, FrontendState.ON)


class FrontendEvent(Enum):
    """Events that change the state of the frontend."""

    TURNED_ON = "turned on"
    TURNED_OFF = "turned off"
    STOP_BEGAN = "stop began"
    TIME_TO_ANSWER_ENDED = "time to answer ended"


TRANSITIONS = {
    FrontendState.OFF: {
        FrontendEvent.TURNED_ON: FrontendState.ON,
        FrontendEvent.STOP_BEGAN: FrontendState.STOPPING,
    },
    FrontendState.ON: {
        FrontendEvent.TURNED_OFF: FrontendState.OFF,
        FrontendEvent.STOP_BEGAN: FrontendState.STOPPING,
    },
    FrontendState.STOPPING: {FrontendEvent.TIME_TO_ANSWER_ENDED: FrontendState.STOPPED},
    FrontendState.STOPPED: {},
}
"""The next state by current state and event; an event that is not listed leaves the state unchanged."""


def next_state(state: FrontendState, event: FrontendEvent) -> FrontendState:
    """Returns the state after an event."""
    return TRANSITIONS[state].get(event, state)
