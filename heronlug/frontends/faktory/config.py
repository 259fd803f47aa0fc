"""Configuration of the Faktory frontend."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FaktoryConfig:
    """The ``[faktory]`` table of the desired state.

    Attributes:
        listen: host and port on which the frontend accepts connections.
        password: the password that clients must prove in HELLO; empty if none is required.
        heartbeat_timeout_ms: time in ms without a heartbeat after which a worker counts as lost.
        reserve_ms: time in ms within which a worker must end a job that has no ``reserve_for`` of its own.
        remember_ms: time in ms for which a jid stays known after the final answer of its job.
        max_known_jobs: maximum number of known jids. Above it new jobs are rejected instead of old jids being
            forgotten, because a job whose jid is forgotten could run twice.
        max_connections: maximum number of concurrent connections.
        store: path of the file that stores accepted jobs; if empty, a restart loses the accepted jobs.
    """

    listen: tuple[str, int]
    password: str = ""
    heartbeat_timeout_ms: float = 60_000.0
    reserve_ms: float = 1_800_000.0
    remember_ms: float = 86_400_000.0
    max_known_jobs: int = 100_000
    max_connections: int = 200
    store: str = ""
