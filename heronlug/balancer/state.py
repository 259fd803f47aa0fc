"""Defines the state that the rules of one dispatcher share: settings, servers, requests and load reports."""

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
        settings: settings of the dispatcher.
        derived: values that are computed from the settings.
        outbox: actions of the event that is being handled.
        timers: calls that are due later.
        servers: table of all known servers.
        open_requests: open requests and attempts in flight.
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
