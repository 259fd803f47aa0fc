"""Describes a run of upgrades, and draws one from a seed."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from heronlug.faults.abuse.plan import Abuse


class ClientKind(Enum):
    """How a client behaves on its connection; the values appear in reports."""

    STEADY = "steady"
    """Sends one request at a time on a kept connection, with a pause after each answer."""

    HALVES = "halves"
    """Sends each request in two parts, with a pause between them."""

    PAIRS = "pairs"
    """Sends two requests at once, and reads both answers."""

    SILENT = "silent"
    """Connects and sends nothing."""

    HEALTH_CHECKED = "health_checked"
    """Sends one health check and then nothing."""

    SLOW_READER = "slow_reader"
    """Begins to read its answers only some time after they have been sent."""


class SuccessorFault(Enum):
    """A fault of a process that takes over; the values appear in reports."""

    NONE = "none"
    KILLED = "killed"
    """The process is killed."""

    STOPPED = "stopped"
    """The process is stopped, so that it neither reads nor ends, and killed later."""


class Moment(Enum):
    """The moment at which a successor fails; the values appear in reports."""

    STARTING = "starting"
    """Before it asks its predecessor for the state."""

    SERVING = "serving"
    """After it has announced that it serves, and before its predecessor gets SIGTERM."""

    TAKING_OVER = "taking_over"
    """Just after its predecessor has got SIGTERM."""


@dataclass(frozen=True)
class Upgrade:
    """One upgrade of a run.

    Attributes:
        at_s: Start of the new process, in seconds from the start of the load.
        term_after_s: Time from the readiness of the new process until SIGTERM for its predecessor, in seconds.
        fault: What happens to the new process.
        moment: When the fault happens.
        signals: Number of times that SIGTERM is sent; only the first one counts.
    """

    at_s: float
    term_after_s: float
    fault: SuccessorFault = SuccessorFault.NONE
    moment: Moment = Moment.SERVING
    signals: int = 1


@dataclass(frozen=True)
class Pause:
    """A time in which processes of the dispatcher do not run, as on a machine that is short of processor time.

    Attributes:
        at_s: Start, in seconds from the start of the load.
        length_s: Length in seconds.
        latest_only: Whether only the latest process does not run; otherwise all of them.
    """

    at_s: float
    length_s: float
    latest_only: bool = False


@dataclass(frozen=True)
class UpgradePlan:
    """A run of upgrades.

    Attributes:
        seed: Seed of all random draws of the run.
        span_s: Length of the load, in seconds.
        sockets: Limit of file descriptors of the dispatcher, over all of its processes.
        memory_mb: Memory limit of the dispatcher, over all of its processes, in MB.
        abuses: Clients that abuse the dispatcher meanwhile.
        clients: Number of clients of each kind.
        pause_s: Minimum and maximum pause of a client after an answer, in seconds.
        servers: Number of servers.
        slots: Number of requests that a server runs at the same time; further requests are turned away.
        run_s: Minimum and maximum execution time of a request, in seconds.
        deadlines_s: Time for which clients wait for an answer, in seconds, by request class.
        upgrades: The upgrades, in order of time.
        reloads_s: Times at which all processes get SIGHUP, in seconds from the start of the load.
        pauses: Times in which processes do not run, in their order.
        single_core: Whether all processes of the dispatcher run on one core.
        clock_steps_s: Steps of the wall clock before the starts of the processes, in turn, in seconds.
        log_level: Level of the log of the processes; only the logs of level ``debug`` can be checked.
    """

    seed: int
    span_s: float = 18.0
    sockets: int = 1024
    clients: dict[ClientKind, int] = field(default_factory=lambda: {ClientKind.STEADY: 60})
    pause_s: tuple[float, float] = (0.0, 0.2)
    servers: int = 12
    slots: int = 4
    run_s: tuple[float, float] = (0.02, 0.5)
    deadlines_s: dict[str, float] = field(default_factory=lambda: {"safe": 10.0, "once": 20.0, "keyed": 25.0})
    upgrades: tuple[Upgrade, ...] = ()
    reloads_s: tuple[float, ...] = ()
    pauses: tuple[Pause, ...] = ()
    single_core: bool = False
    clock_steps_s: tuple[int, ...] = (0,)
    log_level: str = "debug"
    memory_mb: float = 192.0
    abuses: tuple[Abuse, ...] = ()

    @property
    def longest_pause_s(self) -> float:
        """Returns the longest time in which processes do not run, by which an answer may be late, in seconds."""
        return max((pause.length_s for pause in self.pauses), default=0.0)


def series(count: int, first_s: float, interval_s: float, rng: Random) -> tuple[Upgrade, ...]:
    """Returns a series of upgrades without faults, with SIGTERM up to ``LONGEST_TERM_DELAY_S`` after readiness."""
    return tuple(
        Upgrade(first_s + number * interval_s, rng.uniform(0.0, LONGEST_TERM_DELAY_S)) for number in range(count)
    )


LONGEST_TERM_DELAY_S = 0.3
"""Longest drawn time from the readiness of a new process until SIGTERM for its predecessor, in seconds."""
