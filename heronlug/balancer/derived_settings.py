"""Derives constant intervals and feature switches from the settings."""

from dataclasses import dataclass

from heronlug.balancer.settings import Effect, Settings

CHECK_INTERVALS_PER_OBJECTIVE = 16
"""Number of check intervals in the shortest latency objective."""

CHECK_INTERVALS_PER_RECHECK = 2
"""Number of check intervals between two checks of a request that waits."""

REPORTS_PER_REQUEST = 16
"""Number of load reports that a dispatcher can read per request of its own; beyond it, aggregators sum reports up."""

SUMMARIES_PER_OBJECTIVE = 4
"""Number of load summaries sent within the median latency objective."""

SCORES_PER_OUTCOME = 128
"""Maximum number of servers scored per outcome if the settings do not limit the CPU time."""

SCORES_PER_CPU_US = 3.2
"""Servers scored per microsecond of CPU time that a request may use; scoring takes a sixth of that time."""

DIAL_TIMEOUTS_PER_ATTEMPT = 2
"""Maximum number of dial timeouts that elapse between a decision and the first byte sent to the server."""

FREE_SLOTS_FIELD = "x0"
"""Field of a server's load report with the number of free slots, as named by the platform."""


@dataclass(frozen=True, slots=True)
class DerivedSettings:
    """Intervals and feature switches derived from :class:`Settings`.

    Attributes:
        check_interval: time in ms between two checks whether to update the ranking.
        recheck_interval: time in ms between two checks of a request that waits or could not be hedged.
        dial_allowance: time in ms that an attempt may take until its first byte is written.
        gossips: whether dispatchers exchange load reports.
        aggregated: whether the number of dispatchers requires aggregators to sum up the load reports.
        report_interval: time in ms between two load reports of this dispatcher.
        summary_interval: time in ms between two load summaries.
        latency_objectives: the latency objectives of all classes in ms, ascending.
        scores_per_outcome: number of servers that may be scored per outcome.
        can_hedge: whether attempts that have not started can be hedged.
        can_retry: whether some class allows another attempt after one that may have run.
        free_slots_index: index of the free slots in a load report, -1 if the report has no such field.
        learns_from_starts: whether capacity is learned from starts and overdue starts, as no load report contains it.
        silence_is_known: whether silent attempts can be detected, as servers report starts and progress.
    """

    check_interval: float
    recheck_interval: float
    dial_allowance: float
    gossips: bool
    aggregated: bool
    report_interval: float
    summary_interval: float
    latency_objectives: tuple[float, ...]
    scores_per_outcome: float
    can_hedge: bool
    can_retry: bool
    free_slots_index: int
    learns_from_starts: bool
    silence_is_known: bool


def derive(settings: Settings) -> DerivedSettings:
    """Returns the derived settings."""
    objectives = sorted(request_class.latency_objective for request_class in settings.classes)
    check_interval = objectives[0] / CHECK_INTERVALS_PER_OBJECTIVE
    gossips = settings.gossip and settings.instances > 1
    aggregated = gossips and 2 * (settings.instances - 1) > REPORTS_PER_REQUEST
    summary_objective = objectives[len(objectives) // 2 if aggregated else -1]
    fields = settings.report_fields
    free_slots_index = fields.index(FREE_SLOTS_FIELD) if FREE_SLOTS_FIELD in fields else -1
    return DerivedSettings(
        check_interval=check_interval,
        recheck_interval=CHECK_INTERVALS_PER_RECHECK * check_interval,
        dial_allowance=DIAL_TIMEOUTS_PER_ATTEMPT * settings.dial_timeout,
        gossips=gossips,
        aggregated=aggregated,
        report_interval=0.0 if aggregated else check_interval * settings.instances / 2,
        summary_interval=summary_objective / SUMMARIES_PER_OBJECTIVE,
        latency_objectives=tuple(objectives),
        scores_per_outcome=SCORES_PER_CPU_US * settings.cpu_per_request or SCORES_PER_OUTCOME,
        can_hedge=settings.reports_start and settings.hedging,
        can_retry=any(c.effect is not Effect.NON_IDEMPOTENT for c in settings.classes),
        free_slots_index=free_slots_index,
        learns_from_starts=free_slots_index < 0 and settings.reports_start,
        silence_is_known=settings.reports_start and bool(settings.progress_interval),
    )
