"""What follows from the settings once and for all: intervals, and which mechanisms there is a use for."""

from dataclasses import dataclass

from heronlug.balancer.settings import Effect, Settings

CHECK_INTERVALS_PER_OBJECTIVE = 16
"""Check intervals within the shortest latency objective."""

CHECK_INTERVALS_PER_RECHECK = 2
"""Check intervals between two looks at a request that waits."""

REPORTS_PER_REQUEST = 16
"""Load reports that a dispatcher can read for each request of its own; with more, aggregators sum them up."""

SUMMARIES_PER_OBJECTIVE = 4
"""Load summaries are sent this often within the median latency objective."""

SCORES_PER_OUTCOME = 128
"""Servers that are scored for each outcome, at most, where the settings limit no CPU time."""

SCORES_PER_CPU_US = 3.2
"""Servers that are scored for each microsecond of CPU that a request may use: a sixth of that time."""

DIAL_TIMEOUTS_PER_ATTEMPT = 2
"""Connection time-outs that pass at most between a decision and the first byte at a server."""

FREE_SLOTS_FIELD = "x0"
"""The field of a server's load report that gives its free slots; the platform names it so."""


@dataclass(frozen=True, slots=True)
class DerivedSettings:
    """Figures and switches that follow from :class:`Settings`.

    Attributes:
        check_interval: ms between two looks at whether the ranking is to be updated.
        recheck_interval: ms between two looks at a request that waits, or could not be hedged.
        dial_allowance: ms that an attempt may take until its first byte is written.
        gossips: dispatchers exchange load reports.
        aggregated: they are so many that aggregators sum the reports up.
        report_interval: ms between two load reports of this dispatcher.
        summary_interval: ms between two load summaries.
        latency_objectives: those of all classes, ascending.
        scores_per_outcome: servers that may be scored for each outcome.
        can_hedge: attempts that have not started can be hedged.
        can_retry: some class may have a second attempt after one that may have run.
        free_slots_index: index of the free slots in a load report, -1 if it has none.
        learns_from_starts: capacity is learned from starts and waits, as no report gives it.
        silence_is_known: servers report starts and progress, so silence means something.
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
    """Work out what follows from the settings."""
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
