"""Runs the stand-in for service discovery and records its calls, watches and lists in the history."""

import asyncio
from collections.abc import Iterable
from typing import Any, NamedTuple

from heronlug.conformance import Called, Changed, Listed, Reachable, Watching, WatchOver
from heronlug.faults.history import History
from heronlug.faults.network import FaultyNetwork
from heronlug.faults.plan import FaultPlan
from heronlug.faults.tasks import BackgroundTasks
from heronlug.standins.discovery import Call, StandInDiscovery

DISCOVERY_PARTY = "register"
"""The name of service discovery in a test plan."""
CHECKER_STATES = {"active": "ready", "leaving": "draining", "left": "gone"}
"""State name that the conformance checker uses, by lifecycle in the endpoint list."""


class WrittenList(NamedTuple):
    """Endpoint list that was last sent to a dispatcher.

    Attributes:
        version: version of the list.
        instances: servers by instance id, in the format of the protocol.
    """

    version: int
    instances: dict[str, dict[str, Any]]


class ObservedDiscovery:
    """The stand-in for service discovery in a run, with its events recorded.

    Attributes:
        stand_in: stand-in service.
        watched_after: seconds from the start of the run until the dispatcher's first watch was waiting for an update,
            by dispatcher name.
        dispatcher_names: dispatchers of the run; empty until their files have been written.
    """

    def __init__(self, plan: FaultPlan, history: History, network: FaultyNetwork, tasks: BackgroundTasks) -> None:
        table = plan.register
        self.stand_in = StandInDiscovery(table.call_ms, table.wait_most_ms, table.turned_ms, plan.seed)
        self.stand_in.retry_after_ms = table.retry_after_ms
        self.stand_in.on_poll = self._record_call
        self.stand_in.on_list_written = self._record_list
        self.stand_in.on_watch = self._record_watch
        self.stand_in.on_watch_end = self._record_watch_end
        self.stand_in.on_change = self._record_change
        self.watched_after: dict[str, float] = {}
        self.dispatcher_names: list[str] = []
        self._plan = plan
        self._history = history
        self._network = network
        self._tasks = tasks
        self._down = False
        self._unreachable: set[str] = set()
        self._written_lists: dict[str, WrittenList] = {}

    def set_down(self, down: bool) -> None:
        """Stops the service, or starts it again; connections are refused while the service is down."""
        self._down = down
        self.record_reachability(self.dispatcher_names)
        if down:
            self.stand_in.close()
            self._network.set_target_gone(DISCOVERY_PARTY, True)
        else:
            self._tasks.spawn(self._reopen())

    def record_reachability(self, names: Iterable[str]) -> None:
        """Records each of the given dispatchers for which service discovery became reachable or unreachable."""
        for name in names:
            cut = DISCOVERY_PARTY in self._plan.relays and self._network.path_between(name, DISCOVERY_PARTY).blocked
            reachable = not self._down and not cut
            if reachable is (name not in self._unreachable):
                continue
            if reachable:
                self._unreachable.discard(name)
            else:
                self._unreachable.add(name)
            self._history.record(Reachable(self._history.now(), name, reachable))

    def record_shared_change(self, server: str, state: str) -> None:
        """Records a change as notified to every member of a cluster after the plan's ``told_after_ms``.

        Members that do not poll service discovery themselves are included.
        """

        def record() -> None:
            for name in self.dispatcher_names:
                self._history.record(Listed(self._history.now(), name, server, CHECKER_STATES[state]))

        if self._plan.dispatchers.cluster:
            asyncio.get_running_loop().call_later(self._plan.told_after_ms / 1000, record)

    def initial_list(self, name: str) -> dict[str, Any]:
        """Returns the complete list that the platform gives to a dispatcher before its first start."""
        instances = list(self.stand_in.instances.values())
        version = self.stand_in.version
        self._written_lists[name] = WrittenList(version, {each["instanceId"]: dict(each) for each in instances})
        return self.stand_in.table(name, version, instances, True)

    def last_written_list(self, name: str) -> dict[str, Any] | None:
        """Returns the list that a dispatcher last received; None if the platform gives the dispatcher no list."""
        if name not in self._written_lists:
            return None
        version, instances = self._written_lists[name]
        return self.stand_in.table(name, version, list(instances.values()), True)

    def listed_count(self) -> int:
        """Returns the number of listed servers whose lifecycle is not ``left``."""
        return sum(each["lifecycle"] != "left" for each in self.stand_in.instances.values())

    async def _reopen(self) -> None:
        for name in self.dispatcher_names:
            await self.stand_in.open(caller=name)
        self._network.set_target_gone(DISCOVERY_PARTY, False)

    def _record_call(self, call: Call) -> None:
        self._history.record(Called(self._history.now(), call.caller, call.complete, call.rejected, call.waited_ms))

    def _record_watch(self, caller: str, call: int, wait_ms: float) -> None:
        self._history.record(Watching(self._history.now(), caller, call, wait_ms))
        self.watched_after.setdefault(caller, self._history.elapsed_s())

    def _record_watch_end(self, caller: str, call: int) -> None:
        self._history.record(WatchOver(self._history.now(), caller, call))

    def _record_change(self, name: str, lifecycle: str) -> None:
        self._history.record(Changed(self._history.now(), name, CHECKER_STATES[lifecycle]))

    def _record_list(self, caller: str, instances: list[dict[str, Any]], complete: bool) -> None:
        now = self._history.now()
        if self._plan.dispatchers.platform:
            previous = {} if complete or caller not in self._written_lists else self._written_lists[caller].instances
            update = {each["instanceId"]: dict(each) for each in instances}
            self._written_lists[caller] = WrittenList(self.stand_in.version, previous | update)
        for instance in instances:
            self._history.record(Listed(now, caller, instance["instanceId"], CHECKER_STATES[instance["lifecycle"]]))
