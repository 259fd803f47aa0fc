"""What the rules of one dispatcher share: the settings, and the owners of servers, requests and reports."""

from dataclasses import dataclass

from heronlug.balancer.derived_settings import DerivedSettings
from heronlug.balancer.open_requests import OpenRequests
from heronlug.balancer.outbox import Outbox
from heronlug.balancer.peer_load import PeerLoad
from heronlug.balancer.run_times import RunTimes
from heronlug.balancer.servers import ServerTable
from heronlug.balancer.settings import Settings
from heronlug.balancer.timers import TimerQueue


@dataclass(frozen=True, slots=True)
class BalancerState:
    """The state that several rules read; each part is changed by its own methods alone.

    Attributes:
        settings: of the dispatcher.
        derived: what follows from them.
        outbox: the actions of the event that is being handled.
        timers: what is to be done later.
        servers: all servers that are known.
        open_requests: requests and attempts in flight.
        peer_load: load reports of other dispatchers.
        run_times: mean run times and latencies.
    """

    settings: Settings
    derived: DerivedSettings
    outbox: Outbox
    timers: TimerQueue
    servers: ServerTable
    open_requests: OpenRequests
    peer_load: PeerLoad
    run_times: RunTimes
