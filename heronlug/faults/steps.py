"""Applies the steps of a test plan and reverts those that have a duration."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random

from heronlug.faults.direction import Direction
from heronlug.faults.dispatchers import Dispatchers
from heronlug.faults.history import History
from heronlug.faults.network import FaultyNetwork, NetworkPath
from heronlug.faults.observed_discovery import DISCOVERY_PARTY, ObservedDiscovery
from heronlug.faults.plan import (
    DISCOVERY_ACTIONS,
    DISPATCHER_ACTIONS,
    SERVER_ACTIONS,
    TIMED_ACTIONS,
    FaultPlan,
    Step,
    select_parties,
)
from heronlug.faults.servers import StandInServers
from heronlug.faults.tasks import BackgroundTasks

PARTIES_WITHIN_S = 10.0
"""Longest wait for a dispatcher that a step selects by its state; restarted dispatchers have to be ready by then."""
PARTIES_CHECK_INTERVAL_S = 0.005
"""Interval between two checks whether a dispatcher is in that state; a dispatcher has no watch for some ms at times."""


class NoPartyError(RuntimeError):
    """Raised if a step selects nobody to act on."""

    def __init__(self, step: Step, waited_s: float) -> None:
        selectors = ", ".join(step.who)
        super().__init__(f'step "{step.do}" at {step.at_s:g} s: nobody is {selectors!r} within {waited_s:g} s')


Undo = Callable[[], Awaitable[None] | None]
"""Function that reverts a step."""


class StepRunner:
    """Applies steps to the dispatchers, servers, service discovery and network of a run."""

    def __init__(
        self,
        plan: FaultPlan,
        history: History,
        dispatchers: Dispatchers,
        servers: StandInServers,
        discovery: ObservedDiscovery,
        network: FaultyNetwork,
        tasks: BackgroundTasks,
    ) -> None:
        self._plan = plan
        self._history = history
        self._dispatchers = dispatchers
        self._servers = servers
        self._discovery = discovery
        self._network = network
        self._tasks = tasks
        self._random = Random(plan.seed)

    async def run(self, step: Step) -> None:
        """Waits until a step is due and applies the step to each party that its selectors name.

        Raises:
            NoPartyError: if the selectors name nobody within ``PARTIES_WITHIN_S``.
        """
        await asyncio.sleep(max(0.0, step.at_s - self._history.elapsed_s()))
        parties = await self._wait_for_parties(step)
        for number, name in enumerate(parties or [""]):
            if number and step.every_s:
                await asyncio.sleep(step.every_s)
            self._history.record_delay(step.at_s + number * (step.every_s or 0.0))
            self._history.record_step(f"{step.do} {name}".strip())
            undo = await self._apply(step, name)
            if step.for_s is not None and step.do in TIMED_ACTIONS:
                self._tasks.spawn(self._undo_later(step.for_s, f"end of {step.do} {name}".strip(), undo))

    async def _wait_for_parties(self, step: Step) -> list[str]:
        """Returns the parties that a step acts on, as soon as there is one; none for a step without selectors."""
        began_at = time.monotonic()
        while not (parties := self._choose(step.who)) and step.who:
            if time.monotonic() - began_at >= PARTIES_WITHIN_S:
                raise NoPartyError(step, PARTIES_WITHIN_S)
            await asyncio.sleep(PARTIES_CHECK_INTERVAL_S)
        return parties

    def _choose(self, selectors: list[str]) -> list[str]:
        return select_parties(selectors, self._plan, self._random, self._discovery.stand_in.watching())

    async def _undo_later(self, seconds: float, title: str, undo: Undo) -> None:
        await asyncio.sleep(seconds)
        self._history.record_step(title)
        done = undo()
        if done is not None:
            await done

    async def _apply(self, step: Step, name: str) -> Undo:
        if step.do in DISPATCHER_ACTIONS:
            return await self._dispatchers.apply(step, name)
        if step.do in SERVER_ACTIONS:
            return await self._apply_to_server(step, name)
        if step.do in DISCOVERY_ACTIONS:
            return self._apply_to_discovery(step)
        return self._apply_to_paths(step)

    async def _apply_to_server(self, step: Step, name: str) -> Undo:
        if step.do == "die":
            self._servers.stop(name)
            return lambda: self._servers.restart(name, step.cold)
        if step.do == "back":
            await self._servers.restart(name, step.cold)
        elif step.do == "slow":
            self._servers.emulated_servers[name].slowdown = step.factor
        elif step.do == "list":
            self._servers.list_as(name, step.state)
            self._discovery.record_shared_change(name, step.state)
        return lambda: setattr(self._servers.emulated_servers[name], "slowdown", 1.0)

    def _apply_to_discovery(self, step: Step) -> Undo:
        stand_in = self._discovery.stand_in
        if step.do in ("down", "up"):
            self._discovery.set_down(step.do == "down")
            return lambda: self._discovery.set_down(False)
        if step.do in ("hang", "speak"):
            stand_in.silent = step.do == "hang"
            return lambda: setattr(stand_in, "silent", False)
        if step.do == "anew":
            stand_in.restart_versions()
        elif step.do == "costs":
            stand_in.call_ms = step.ms
        else:
            stand_in.reject_share = step.share
        return lambda: setattr(stand_in, "reject_share", 0.0)

    def _apply_to_paths(self, step: Step) -> Undo:
        sources = self._choose(step.source)
        targets = self._choose(step.target)
        chosen = self._network.paths_between(sources, targets)

        def set_faults(active: bool) -> None:
            for path, forward in chosen:
                _set_fault(step, path, forward, active)
                if path.name[1] == DISCOVERY_PARTY:
                    self._discovery.record_reachability([path.name[0]])

        set_faults(True)
        return lambda: set_faults(False)


def _set_fault(step: Step, path: NetworkPath, forward: bool, active: bool) -> None:
    """Begins or ends the fault of a step on one path.

    Args:
        step: step whose fault is set.
        path: path on which the fault is set.
        forward: whether the path runs from the step's source to its target, and not back.
        active: whether the fault begins; otherwise it ends.
    """
    if step.do == "heal":
        path.heal()
    elif step.do == "refuse":
        path.refusing = active
    elif step.do == "full":
        path.queue_full = active
    elif step.do == "reset":
        path.reset_connections()
    elif step.do in ("trickle", "half"):
        _limit_answers(path.backward if forward else path.forward, step, active)
    elif step.do == "silent":
        path.silent = active
    one_way = path.forward if forward else path.backward
    for direction in (path.forward, path.backward) if step.both else (one_way,):
        _set_direction_fault(step, direction, active)
    path.apply_faults()


def _set_direction_fault(step: Step, direction: Direction, active: bool) -> None:
    if step.do in ("cut", "silent"):
        direction.stalled = active
    elif step.do == "delay":
        direction.delay_ms = step.ms if active else 0.0
    elif step.do == "loss":
        direction.loss = step.share if active else 0.0


def _limit_answers(direction: Direction, step: Step, active: bool) -> None:
    """Limits the target's answers: ``trickle`` limits the rate, ``half`` the bytes before a connection is reset."""
    limit = step.bytes if active else 0
    if step.do == "trickle":
        direction.bytes_per_second = limit
    else:
        direction.reset_after_bytes = limit
