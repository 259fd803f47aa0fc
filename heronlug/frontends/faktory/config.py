"""Configuration of the Faktory frontend."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FaktoryConfig:
    """What the ``[faktory]`` table of the desired state says.

    Attributes:
        listen: host and port.
        password: that clients must know; empty for none.
        heartbeat_timeout_ms: a worker without a heartbeat for so long is lost.
        reserve_ms: time for a worker to end a job, for jobs that do not say.
        remember_ms: time after its final answer for which a jid stays known.
        max_known_jobs: above this number nothing is accepted: to forget a jid could be to run its job twice.
        max_connections: connections at one time.
        store: path of the file of accepted jobs; empty to lose them with a restart.
    """

    listen: tuple[str, int]
    password: str = ""
    heartbeat_timeout_ms: float = 60_000.0
    reserve_ms: float = 1_800_000.0
    remember_ms: float = 86_400_000.0
    max_known_jobs: int = 100_000
    max_connections: int = 200
    store: str = ""
