"""Defines the events that a run records for the checker, in order of time.  Times are in milliseconds of one clock.

In a file, each event is a line with a JSON list: the name of the event's class, then the fields of the event.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple, get_args

import msgspec


class Started(NamedTuple):
    """A dispatcher's process has started."""

    at: float
    dispatcher: str


class Stopped(NamedTuple):
    """A dispatcher's process has ended; its requests may end without an answer only if the process was ``killed``."""

    at: float
    dispatcher: str
    killed: bool


class Taken(NamedTuple):
    """A dispatcher has accepted a request, which must get one final answer by ``give_up_at``."""

    at: float
    dispatcher: str
    job: str  # unique within a run
    lane: str
    once: bool  # whether the request must not run twice
    give_up_at: float


class Answered(NamedTuple):
    """A dispatcher has sent a final answer."""

    at: float
    dispatcher: str
    job: str
    final: str  # served, refused, failed


class Sent(NamedTuple):
    """A dispatcher has written the first byte of an attempt."""

    at: float
    dispatcher: str
    job: str
    host: str


class Began(NamedTuple):
    """A server has started to run a request."""

    at: float
    host: str
    job: str


class Ended(NamedTuple):
    """The client of a request has disconnected, so that the request needs no answer."""

    at: float
    dispatcher: str
    job: str


class Listed(NamedTuple):
    """A dispatcher has been notified of a server's state: ready, draining or gone."""

    at: float
    dispatcher: str
    host: str
    state: str


class Changed(NamedTuple):
    """Service discovery has changed the state of a server, whether or not any dispatcher has been notified."""

    at: float
    host: str
    state: str


class Watching(NamedTuple):
    """A watch call of a dispatcher waits for changes at service discovery."""

    at: float
    dispatcher: str
    call: int  # number of the call, unique within a run
    wait: float  # longest time that the call waits, in ms


class WatchOver(NamedTuple):
    """A watch call was answered, or the connection of the call has ended."""

    at: float
    dispatcher: str
    call: int


class Reachable(NamedTuple):
    """Service discovery has become reachable or unreachable for a dispatcher."""

    at: float
    dispatcher: str
    reachable: bool


class Load(NamedTuple):
    """The load of a server that is warming up.

    Attributes:
        at: Time of the measurement.
        host: Name of the server.
        share: Load as a share of the load that the server can handle; the server fails if the share stays above 1 for
            too long.
        fell: Whether the server has failed from overload.
    """

    at: float
    host: str
    share: float
    fell: bool


class Called(NamedTuple):
    """A dispatcher has called service discovery."""

    at: float
    dispatcher: str
    whole: bool  # whether the call was for the whole list
    turned: bool  # whether service discovery rejected the call because of too many calls
    waited: float  # time until the call was processed, in ms


class Dialled(NamedTuple):
    """A connection to a server has been established, which costs the server CPU time."""

    at: float
    host: str


Event = (
    Started
    | Stopped
    | Taken
    | Answered
    | Sent
    | Began
    | Ended
    | Listed
    | Changed
    | Watching
    | WatchOver
    | Reachable
    | Load
    | Called
    | Dialled
)
KINDS: dict[str, Any] = {kind.__name__: kind for kind in get_args(Event)}


def write(event: Event) -> bytes:
    """Returns the line of a file for an event."""
    return msgspec.json.encode([type(event).__name__, *event]) + b"\n"


def read(lines: Iterable[bytes]) -> Iterator[Event]:
    """Yields the events of the lines of a file; blank lines are skipped.

    Raises:
        ValueError: A line is not a valid event; the message gives the number of the line.
    """
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            values: list[Any] = msgspec.json.decode(line, type=list)
            yield msgspec.convert(values[1:], KINDS[values[0]])
        except (msgspec.MsgspecError, ValueError, KeyError, TypeError, IndexError) as error:
            msg = f"line {number}: invalid event: {error}"
            raise ValueError(msg) from None
