"""Assigns reservations at servers that warm up to dispatchers that exchange no messages.

The reservations of a server open one after the other from the time at which the server begins to warm up: each opens
once the server has warmed up enough to have served one more request of usual size. The number of a reservation, the
number of the server and the position of a dispatcher determine whose reservation it is. All dispatchers together thus
send what the server can serve, each sends seldom, and requests don't arrive in bursts because few reservations are
open at any time.

The capacity of a warming server is unknown, except that it grows at least linearly. Reservations therefore open sooner
the more of this dispatcher's attempts started without a wait at servers that warm up, and later the more of them
waited, always within fixed bounds.

With thousands of servers a dispatcher's turn at one of them comes seldom or never, so not every server is examined
for each request. The highest pace and slot count that are currently valid bound the number of reservations that may
be open at a time; a server at which this bound is below the dispatcher's next reservation is not examined until the
bound can have reached that reservation.

Dispatchers estimate the usual size and the slots a little differently, and so number the reservations differently: two
dispatchers may claim the same reservation and none the next. The margin in the budget of a server covers that.
"""

from collections.abc import Sequence
from heapq import heapify, heappop, heappush
from math import ceil, floor, inf
from typing import NamedTuple

from heronlug.balancer.capacity import CapacityEstimate
from heronlug.balancer.events import ServerState
from heronlug.balancer.model import Server
from heronlug.balancer.settings import Settings

COLD_PACE = 0.4
"""Work opened by reservations as a fraction of the estimated capacity of a cold server."""

WARM_PACE = 1.2
"""Work opened by reservations as a fraction of the capacity of a server that has warmed up."""

HIGHEST_PACE = 1.5
"""Upper bound of the work opened, as a fraction of the estimated capacity."""

SPEED_UP = 1.1
"""Factor on the pace after an attempt that started without a wait."""

SLOW_DOWN = 0.7
"""Factor on the pace after an attempt that waited."""

MIN_PACE_FACTOR, MAX_PACE_FACTOR = 0.7, 2.5
"""Bounds of the product of the ``SPEED_UP`` and ``SLOW_DOWN`` factors."""

NO_WAIT_FRACTION = 0.25
"""An attempt that starts within this fraction of the usual run time counts as started without a wait."""

MAX_OPEN_RESERVATIONS = 3
"""Open reservations of a server at a time; a dispatcher without a request while its reservation is open loses it."""

MAX_RESERVATIONS_PER_REQUEST = 4.0
"""Largest work of a request that is sent on reservations, in requests of usual size.

A request uses as many reservations of its sender as its work corresponds to, rounded, and at least one.
"""

CHECK_INTERVAL_MS = 20.0
"""Time between two checks for newly opened reservations of this dispatcher."""

MAYBE_OPEN_RECHECK_MS = 200.0
"""Time until a server at which a reservation of this dispatcher may be open is checked again."""

MAX_RECHECK_MS = 4_000.0
"""Longest time until a server without a possibly open reservation of this dispatcher is checked again."""

PACE_FACTOR_MARGIN = 1.15
"""Factor by which the pace factor changes before all servers are checked again."""

SLOTS_MARGIN = 1.1
"""Factor by which a capacity estimate changes before all servers are checked again."""


class Reservation(NamedTuple):
    """A reservation at a server.

    Attributes:
        began_at: time in ms at which the server began to warm up.
        number: index of the reservation since that time, from 0.
    """

    began_at: float
    number: int


class OpeningPace(NamedTuple):
    """Fractions of the capacity of a server that reservations open.

    Attributes:
        cold: fraction for a cold server.
        warm: fraction for a server that has warmed up.
    """

    cold: float
    warm: float


class WarmupCurve:
    """Computes the capacity of a server that warms up linearly, and the work that reservations open meanwhile."""

    __slots__ = ("_capacity_per_ms", "_highest_pace", "_initial_capacity")

    def __init__(self, settings: Settings, budget_margin: float) -> None:
        """Creates the curve; reservations open at most the fraction ``budget_margin`` of a server's budget."""
        self._highest_pace = min(HIGHEST_PACE, budget_margin * settings.overload_multiple)
        self._initial_capacity = settings.warmup_capacity
        self._capacity_per_ms = (1 - self._initial_capacity) / settings.warmup_time if settings.warmup_time else 0.0

    def pace(self, pace_factor: float) -> OpeningPace:
        """Returns the usual pace times a factor, within its upper bound."""
        return OpeningPace(
            min(COLD_PACE * pace_factor, self._highest_pace), min(WARM_PACE * pace_factor, self._highest_pace)
        )

    def work_opened(self, age: float, pace: OpeningPace) -> float:
        """Returns the work opened for one slot until an age in ms, in ms of a slot of a warm server.

        Capacity and pace both grow linearly with the age; the result is the integral of their product.
        """
        cold, warm = pace
        least = self._initial_capacity
        capacity = least + self._capacity_per_ms * age
        integral = age * (least + capacity) / 2
        integral_of_square = age * (least * least + least * capacity + capacity * capacity) / 3
        return cold * integral + (warm - cold) * integral_of_square

    def rate(self, age: float, pace: OpeningPace) -> float:
        """Returns the growth of :meth:`work_opened` per ms at an age in ms."""
        capacity = self._initial_capacity + self._capacity_per_ms * age
        return capacity * (pace.cold + (pace.warm - pace.cold) * capacity)


class WarmingServer:
    """A server that warms up.

    Attributes:
        server: the server.
        began_at: time in ms at which the server began to warm up.
        usual_work: work of a request of usual size, in ms of one slot.
    """

    __slots__ = ("began_at", "server", "usual_work")

    def __init__(self, server: Server) -> None:
        self.server = server
        self.began_at = 0.0
        self.usual_work = 0.0

    @property
    def is_warming_and_ready(self) -> bool:
        """Returns whether the server still warms up and is ready, so that reservations may be open there."""
        return self.server.slow_start.work_budget < inf and self.server.state is ServerState.READY


class ReservationBounds:
    """Ranges of the pace factor and the slots within which earlier checks of the servers stay valid.

    Attributes:
        lowest_factor: lower bound of the pace factor.
        highest_factor: upper bound of the pace factor.
        lowest_pace: pace at the lower bound.
        highest_pace: pace at the upper bound.
        slots: lower and upper bound of the slots, by capacity estimate.
    """

    __slots__ = ("highest_factor", "highest_pace", "lowest_factor", "lowest_pace", "slots")

    def __init__(self, pace_factor: float, curve: WarmupCurve) -> None:
        self.lowest_factor, self.highest_factor = pace_factor / PACE_FACTOR_MARGIN, pace_factor * PACE_FACTOR_MARGIN
        self.lowest_pace, self.highest_pace = curve.pace(self.lowest_factor), curve.pace(self.highest_factor)
        self.slots: dict[CapacityEstimate, tuple[float, float]] = {}

    def slots_of(self, capacity: CapacityEstimate) -> tuple[float, float]:
        """Returns the lower and upper bound of the slots of a capacity estimate."""
        if capacity not in self.slots:
            self.slots[capacity] = capacity.slots / SLOTS_MARGIN, capacity.slots * SLOTS_MARGIN
        return self.slots[capacity]

    def are_valid(self, pace_factor: float) -> bool:
        """Returns whether the pace factor and all capacity estimates are still within their bounds."""
        if not self.lowest_factor <= pace_factor <= self.highest_factor:
            return False
        return all(least <= capacity.slots <= most for capacity, (least, most) in self.slots.items())


class Reservations:
    """Tracks the reservations of one dispatcher at all servers that warm up."""

    __slots__ = (
        "_announced",
        "_bounds",
        "_changed",
        "_checked_at",
        "_checks_due",
        "_curve",
        "_insertion_order",
        "_instances",
        "_maybe_open",
        "_pace",
        "_pace_factor",
        "_position",
        "_used",
        "_warming",
    )

    def __init__(self, settings: Settings, budget_margin: float) -> None:
        """Creates the reservations; they open at most the fraction ``budget_margin`` of a server's budget."""
        self._instances, self._position = settings.instances, settings.position
        self._curve = WarmupCurve(settings, budget_margin)
        self._pace_factor = 1.0
        self._pace = self._curve.pace(self._pace_factor)
        self._warming: dict[int, WarmingServer] = {}
        self._used: dict[int, Reservation] = {}  # the last used reservation, by server
        self._announced: dict[int, Reservation] = {}  # open reservations that newly_open_servers() returned, by server
        self._checked_at = -inf
        self._bounds: ReservationBounds | None = None  # None until all servers have been checked again
        self._maybe_open: dict[int, None] = {}  # servers that may have an open reservation of this dispatcher
        self._insertion_order: dict[int, int] = {}  # position of each server in the order of addition
        self._checks_due: list[tuple[float, int]] = []  # heap of the next check time and the server
        self._changed: list[Server] = []  # servers added to or removed from _maybe_open

    def add_warming(self, server: Server, usual_work: float) -> None:
        """Adds or updates a server that warms up; ``usual_work`` is the work of a request of usual size there."""
        warming = self._warming.get(server.id)
        if warming is None:
            self._bounds = None
            warming = self._warming[server.id] = WarmingServer(server)
        warming.server, warming.began_at, warming.usual_work = server, server.warming_since, usual_work

    def scoring_finished(self) -> None:
        """Records that all servers that warm up have been added."""
        self._bounds = None

    def newly_open_servers(self, now: float) -> list[Server]:
        """Returns servers at which a reservation of this dispatcher has opened; each opening is returned once."""
        if now - self._checked_at < CHECK_INTERVAL_MS:
            return []
        self._checked_at = now
        self._run_due_checks(now)
        self._drop_closed()
        open_reservations = {n: found for n in self._maybe_open if (found := self._open_reservation(n, now))}
        newly_open = [n for n, reservation in open_reservations.items() if self._announced.get(n) != reservation]
        self._announced = open_reservations
        return [self._warming[n].server for n in sorted(newly_open, key=self._insertion_order.__getitem__)]

    def may_send(self, server: Server, work: float, now: float) -> bool:
        """Returns whether an open reservation of this dispatcher allows a request of so much work at the server."""
        if self._open_reservation(server.id, now) is None:
            return False
        return work <= MAX_RESERVATIONS_PER_REQUEST * self._warming[server.id].usual_work

    def may_be_open(self, server: Server) -> bool:
        """Returns whether a reservation of this dispatcher may be open, as of the last :meth:`changed_servers`."""
        return server.id in self._maybe_open

    def changed_servers(self, now: float) -> Sequence[Server]:
        """Returns servers for which :meth:`may_be_open` has changed since the last call."""
        self._run_due_checks(now)
        changed, self._changed = self._changed, []
        return changed

    def record_send(self, server: Server, work: float, now: float) -> None:
        """Uses the open reservation of this dispatcher, and its next reservations too for a large request."""
        reservation = self._open_reservation(server.id, now)
        if reservation is None:
            return
        extra = max(0, ceil(work / self._warming[server.id].usual_work - 0.5) - 1)
        last_number = reservation.number + extra * self._instances
        self._used[server.id] = reservation._replace(number=last_number)

    def record_start(self, server: Server, wait: float) -> None:
        """Adapts the pace to an attempt that started at the server after it had waited for ``wait`` ms."""
        warming = self._warming.get(server.id)
        if warming is not None and server.slow_start.work_budget < inf:
            self._pace_factor *= SPEED_UP if wait <= NO_WAIT_FRACTION * warming.usual_work else SLOW_DOWN
            self._pace_factor = max(MIN_PACE_FACTOR, min(MAX_PACE_FACTOR, self._pace_factor))
            self._pace = self._curve.pace(self._pace_factor)

    # -- checks of servers

    def _run_due_checks(self, now: float) -> None:
        """Updates the set of servers that may have an open reservation of this dispatcher."""
        if self._bounds is None or not self._bounds.are_valid(self._pace_factor):
            self._check_all_servers(now)
        checks_due = self._checks_due
        while checks_due and checks_due[0][0] <= now:
            self._check_server(heappop(checks_due)[1], now)

    def _check_all_servers(self, now: float) -> None:
        self._bounds = ReservationBounds(self._pace_factor, self._curve)
        for server_id in [n for n, warming in self._warming.items() if not warming.is_warming_and_ready]:
            del self._warming[server_id]
        before, self._maybe_open = self._maybe_open, {}
        self._checks_due = [(self._update_maybe_open(server_id, now), server_id) for server_id in self._warming]
        heapify(self._checks_due)
        self._insertion_order = {server_id: index for index, server_id in enumerate(self._warming)}
        changed = before.keys() ^ self._maybe_open.keys()
        self._changed += [self._warming[server_id].server for server_id in changed if server_id in self._warming]

    def _check_server(self, server_id: int, now: float) -> None:
        if server_id not in self._warming:
            return
        was_maybe_open = server_id in self._maybe_open
        heappush(self._checks_due, (self._update_maybe_open(server_id, now), server_id))
        if was_maybe_open != (server_id in self._maybe_open):
            self._changed.append(self._warming[server_id].server)

    def _update_maybe_open(self, server_id: int, now: float) -> float:
        """Updates whether a reservation may be open at a server; returns the latest time of the next check."""
        warming, curve = self._warming[server_id], self._curve
        bounds = self._bounds or ReservationBounds(self._pace_factor, curve)
        least_slots, most_slots = bounds.slots_of(warming.server.capacity)
        age = max(0.0, now - warming.began_at)
        fewest_opened = floor(least_slots / warming.usual_work * curve.work_opened(age, bounds.lowest_pace))
        most_opened = most_slots / warming.usual_work * curve.work_opened(age, bounds.highest_pace)
        used = self._used.get(server_id)
        first_unused = used.number + 1 if used is not None and used.began_at == warming.began_at else 0
        first_candidate = max(0, fewest_opened - MAX_OPEN_RESERVATIONS + 1, first_unused)
        own_number = first_candidate + (self._position - server_id - first_candidate) % self._instances
        if most_opened >= own_number:
            self._maybe_open[server_id] = None
            return now + MAYBE_OPEN_RECHECK_MS
        self._maybe_open.pop(server_id, None)
        fastest_rate = most_slots / warming.usual_work * curve.rate(age + MAX_RECHECK_MS, bounds.highest_pace)
        return now + min(MAX_RECHECK_MS, (own_number - most_opened) / fastest_rate)

    def _drop_closed(self) -> None:
        for server_id in [
            n for n in self._maybe_open if n not in self._warming or not self._warming[n].is_warming_and_ready
        ]:
            self._warming.pop(server_id, None)
            del self._maybe_open[server_id]

    # -- open reservations

    def _open_reservation(self, server_id: int, now: float) -> Reservation | None:
        """Returns this dispatcher's last open and unused reservation at a server, or None."""
        warming = self._warming.get(server_id)
        if warming is None:
            return None
        work_opened = self._curve.work_opened(max(0.0, now - warming.began_at), self._pace)
        opened = floor(warming.server.capacity.slots / warming.usual_work * work_opened)
        number = opened - (opened - self._position + server_id) % self._instances
        used = self._used.get(server_id)
        is_used = used is not None and used.began_at == warming.began_at and number <= used.number
        if number < 0 or opened - number >= MAX_OPEN_RESERVATIONS or is_used:
            return None
        return Reservation(warming.began_at, number)
