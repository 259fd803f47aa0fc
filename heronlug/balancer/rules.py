"""Creates the decision rules of one dispatcher and connects each rule with the state and the rules that it uses."""

from dataclasses import dataclass
from random import Random

from heronlug.balancer.admission import Admission
from heronlug.balancer.attempt_starts import AttemptStarts
from heronlug.balancer.attempt_timeouts import AttemptTimeouts
from heronlug.balancer.attempts import AttemptStarter
from heronlug.balancer.derived_settings import derive
from heronlug.balancer.estimates import ClassValues
from heronlug.balancer.exploration import Exploration
from heronlug.balancer.hedging import Hedging
from heronlug.balancer.learning import OutcomeLearning
from heronlug.balancer.list_subscription import ListSubscription
from heronlug.balancer.load_reports import LoadReports
from heronlug.balancer.loan_requests import LoanRequests
from heronlug.balancer.model import Server
from heronlug.balancer.open_requests import OpenRequests
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.outlier_detection import OutlierDetection
from heronlug.balancer.overload import OverloadDetector
from heronlug.balancer.payoffs import PayoffGrading
from heronlug.balancer.peer_load import PeerLoad
from heronlug.balancer.placement import Placement
from heronlug.balancer.queue import QueueOrder, RequestQueue
from heronlug.balancer.ranking import Ranking
from heronlug.balancer.retries import ArrivalCount, RetryBudget, RetryRules
from heronlug.balancer.run_times import RunTimes
from heronlug.balancer.selection import Selection
from heronlug.balancer.servers import ServerTable
from heronlug.balancer.settings import Settings
from heronlug.balancer.silence import SilenceDetection
from heronlug.balancer.slow_start import CapacityShares
from heronlug.balancer.state import BalancerState
from heronlug.balancer.timers import TimerQueue
from heronlug.balancer.zone_failover.controller import ZoneFailover


@dataclass(frozen=True, slots=True)
class Rules:
    """The decision rules of one dispatcher; the docstring of each rule's module describes the rule."""

    admission: Admission
    arrivals: ArrivalCount
    class_values: ClassValues
    exploration: Exploration
    learning: OutcomeLearning
    load_reports: LoadReports
    placement: Placement
    queue: RequestQueue
    ranking: Ranking
    retry_budget: RetryBudget
    selection: Selection
    shares: CapacityShares
    silence: SilenceDetection
    starter: AttemptStarter
    starts: AttemptStarts
    subscription: ListSubscription
    zone_failover: ZoneFailover

    def rerank(self, now: float) -> None:
        """Expires old load reports and scores all servers again."""
        rerank(self.load_reports, self.ranking, self.selection, now)


def rerank(load_reports: LoadReports, ranking: Ranking, selection: Selection, now: float) -> None:
    """Expires old load reports and scores all servers again."""
    load_reports.expire(now)
    ranking.update(now)
    selection.ranking_changed()


def make_state(settings: Settings) -> BalancerState:
    """Returns the state of a dispatcher without any servers."""
    derived = derive(settings)
    outbox, peer_load = Outbox(), PeerLoad()
    return BalancerState(
        settings=settings,
        derived=derived,
        outbox=outbox,
        timers=TimerQueue(),
        servers=ServerTable(slots_unreported=derived.learns_from_starts, on_forgotten=peer_load.forget_server),
        open_requests=OpenRequests(outbox, peer_load, may_cancel=settings.may_cancel),
        peer_load=peer_load,
        run_times=RunTimes(),
    )


def make_rules(state: BalancerState, rng: Random) -> Rules:
    """Creates the rules in the order of their dependencies.

    Args:
        state: the state that the rules share.
        rng: random generator of the rules.

    Returns:
        The connected rules.
    """
    settings, derived = state.settings, state.derived
    arrivals = ArrivalCount()
    retry_budget = RetryBudget(settings, arrivals)
    class_values = ClassValues(len(settings.classes))
    shares = CapacityShares(settings)
    outliers = OutlierDetection(settings, derived, rng, state.outbox)
    exploration = Exploration(settings, state.peer_load)
    ranking = Ranking(state, shares, outliers, exploration)
    overload = OverloadDetector(
        state.open_requests,
        state.run_times,
        sees_starts_only=derived.learns_from_starts and shares.without_gossip,
    )
    retries = RetryRules(settings, derived, retry_budget)
    selection = Selection(state, ranking, exploration, outliers, shares, overload, retries)
    starter = AttemptStarter(state, ranking, shares, retry_budget)
    starts = AttemptStarts(derived, shares)
    queue = RequestQueue(
        state,
        QueueOrder(settings, state.run_times, class_values),
        selection,
        overload,
        retry_budget,
        starter=starter,
        loans=LoanRequests(state.outbox, ranking, shares),
    )
    hedging = Hedging(state, starts, selection, starter, queue)
    starter.watchers += [AttemptTimeouts(state.timers, state.open_requests, state.outbox), hedging]
    load_reports = LoadReports(state)
    zone_failover = ZoneFailover(state, exploration, lambda now: rerank(load_reports, ranking, selection, now))
    zone_failover.begin()
    load_reports.begin()
    state.peer_load.on_load_changed = selection.server_changed

    def on_loan(server: Server) -> None:
        selection.server_changed(server)
        queue.mark_changed()

    shares.on_loan = on_loan
    return Rules(
        admission=Admission(settings, arrivals, state.run_times, class_values),
        arrivals=arrivals,
        class_values=class_values,
        exploration=exploration,
        learning=OutcomeLearning(state, PayoffGrading(settings, state.run_times), overload, outliers),
        load_reports=load_reports,
        placement=Placement(state, selection, queue, starter),
        queue=queue,
        ranking=ranking,
        retry_budget=retry_budget,
        selection=selection,
        shares=shares,
        silence=SilenceDetection(settings, derived, state.open_requests, hedging),
        starter=starter,
        starts=starts,
        subscription=ListSubscription(settings, rng, state.outbox, state.timers),
        zone_failover=zone_failover,
    )
