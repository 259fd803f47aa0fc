"""Tests the state transitions of HTTP client connections, and of Faktory sessions, jobs and the Faktory frontend."""

from heronlug.frontends.faktory.frontend_state import FrontendEvent, FrontendState
from heronlug.frontends.faktory.frontend_state import next_state as next_frontend_state
from heronlug.frontends.faktory.job_state import TRANSITIONS, JobState
from heronlug.frontends.faktory.session_state import SessionEvent, SessionState
from heronlug.frontends.faktory.session_state import next_state as next_session_state
from heronlug.frontends.http.connection_state import ConnectionEvent, ConnectionState
from heronlug.frontends.http.connection_state import next_state as next_connection_state


def test_closed_connection_stays_closed() -> None:
    """Guards against an event that reopens a closed client connection."""
    for event in ConnectionEvent:
        assert next_connection_state(ConnectionState.CLOSED, event) is ConnectionState.CLOSED


def test_lingering_connection_serves_no_further_request() -> None:
    """Guards against serving a request after the last response of a connection."""
    for event in ConnectionEvent:
        after = next_connection_state(ConnectionState.LINGERING, event)
        assert after in (ConnectionState.LINGERING, ConnectionState.CLOSED)


def test_connection_is_idle_again_after_answer() -> None:
    """Guards against a connection that cannot serve another request after an answer."""
    state = next_connection_state(ConnectionState.IDLE, ConnectionEvent.REQUEST_STARTED)
    assert state is ConnectionState.SERVING
    assert next_connection_state(state, ConnectionEvent.ANSWERED) is ConnectionState.IDLE


def test_session_is_ready_only_after_hello() -> None:
    """Guards against a Faktory session that accepts commands before a valid HELLO."""
    for event in SessionEvent:
        after = next_session_state(SessionState.AWAITING_HELLO, event)
        ready = event is SessionEvent.GREETED
        assert (after is SessionState.READY) == ready


def test_fetch_ends_by_timeout_or_delivery() -> None:
    """Guards against a FETCH that times out after a job was assigned: the time-out must not end a pending reply."""
    fetching = next_session_state(SessionState.READY, SessionEvent.FETCH_STARTED)
    assert next_session_state(fetching, SessionEvent.FETCH_TIMED_OUT) is SessionState.READY
    delivering = next_session_state(fetching, SessionEvent.REPLY_DEFERRED)
    assert delivering is SessionState.REPLY_PENDING
    assert next_session_state(delivering, SessionEvent.FETCH_TIMED_OUT) is SessionState.REPLY_PENDING
    assert next_session_state(delivering, SessionEvent.REPLIED) is SessionState.READY


def test_closed_session_stays_closed() -> None:
    """Guards against an event that reopens a closed Faktory session."""
    for event in SessionEvent:
        assert next_session_state(SessionState.CLOSED, event) is SessionState.CLOSED


def test_stopping_frontend_accepts_no_jobs_again() -> None:
    """Guards against a frontend that an apply turns on after the stop of the process has begun."""
    stop_states = {FrontendState.STOPPING, FrontendState.STOPPED}
    for state in stop_states:
        assert not state.starts_jobs
        assert {next_frontend_state(state, event) for event in FrontendEvent} <= stop_states
    assert {next_frontend_state(FrontendState.STOPPED, event) for event in FrontendEvent} == {FrontendState.STOPPED}


def test_job_has_one_end_and_can_always_reach_it() -> None:
    """Guards against a second end of a job, and against a state of an accepted job without a way to its end."""
    assert not TRANSITIONS[JobState.ENDED]
    assert not TRANSITIONS[JobState.KEPT]  # the next process ends the job
    assert all(JobState.ENDED in TRANSITIONS[state] for state in set(JobState) - {JobState.ENDED, JobState.KEPT})
    assert TRANSITIONS[JobState.BEING_STORED] == {JobState.STORED, JobState.ENDED}
