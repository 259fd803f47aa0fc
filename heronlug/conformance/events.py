"""What a run tells the checker of, in the order in which it happened.  Times in milliseconds of one clock.

As a line of a file an event is a JSON list: the kind's name, then its fields.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple, get_args

import msgspec


class Started(NamedTuple):
    """A dispatcher's process has started."""

    at: float
    dispatcher: str


class Stopped(NamedTuple):
    """It has ended; what it held is over without an answer only if it was ``killed``."""

    at: float
    dispatcher: str
    killed: bool


class Taken(NamedTuple):
    """A dispatcher has accepted a job: it is owed one final answer by ``give_up_at``."""

    at: float
    dispatcher: str
    job: str  # unique among all of a run
    lane: str
    once: bool  # it must not run twice
    give_up_at: float


class Answered(NamedTuple):
    """A final answer has gone out."""

    at: float
    dispatcher: str
    job: str
    final: str  # served, refused, failed


class Sent(NamedTuple):
    """The first byte of an attempt has been written."""

    at: float
    dispatcher: str
    job: str
    host: str


class Began(NamedTuple):
    """A job begins to run at a host's process."""

    at: float
    host: str
    job: str


class Ended(NamedTuple):
    """A client has gone: nothing is owed any more."""

    at: float
    dispatcher: str
    job: str


class Listed(NamedTuple):
    """A dispatcher has been told of a host's state: ready, draining or gone."""

    at: float
    dispatcher: str
    host: str
    state: str


class Changed(NamedTuple):
    """Service discovery has another state of a server, whether or not anybody has been told."""

    at: float
    host: str
    state: str


class Watching(NamedTuple):
    """A call of a dispatcher waits for news at service discovery."""

    at: float
    dispatcher: str
    call: int  # which, among all of a run
    wait: float  # ms that it waits at most


class WatchOver(NamedTuple):
    """That call was answered, or its connection has ended."""

    at: float
    dispatcher: str
    call: int


class Reachable(NamedTuple):
    """A dispatcher can reach service discovery from now on, or not any more."""

    at: float
    dispatcher: str
    reachable: bool


class Load(NamedTuple):
    """What is in a cold host, in shares of what it stands: more than 1 for longer than it may, and it falls over."""

    at: float
    host: str
    share: float
    fell: bool


class Called(NamedTuple):
    """The node register has been called by a dispatcher."""

    at: float
    dispatcher: str
    whole: bool  # for the whole list
    turned: bool  # away, since it had too many
    waited: float  # ms until it was worked through


class Dialled(NamedTuple):
    """A connection to a host has come up, and is paid for there."""

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
    """One line."""
    return msgspec.json.encode([type(event).__name__, *event]) + b"\n"


def read(lines: Iterable[bytes]) -> Iterator[Event]:
    """Events of lines; raises ``ValueError`` with the line's number."""
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            words: list[Any] = msgspec.json.decode(line, type=list)
            yield msgspec.convert(words[1:], KINDS[words[0]])
        except (msgspec.MsgspecError, ValueError, KeyError, TypeError, IndexError) as error:
            msg = f"line {number}: no event: {error}"
            raise ValueError(msg) from None
