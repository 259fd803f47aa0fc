"""Reservations: who sends the next request to a server that warms up, where dispatchers exchange no messages.

From the start of such a server on, its reservations open one after the other, each when the server has warmed up enough
to have done one more request of usual size.  Which dispatcher a reservation belongs to follows from its number, the
server's and the dispatchers' positions.  So all together send what the server can do, each seldom, and not at once: at
any time few reservations are open.

What a server can do is not known, only that it warms up at least evenly. So reservations open the sooner the more of
our attempts started at once at servers that warm up, and the later the more waited there, within bounds that always
hold.

A dispatcher's turn at a server comes seldom, with thousands of servers possibly never, so not all servers are looked
at for each request. The reservations that may be open by a time are bounded by the highest pace and slots that still
hold; a server below our next reservation by that bound is left alone until it can have been reached.

Estimates of usual size and of slots differ a little between dispatchers, and with them the numbers of reservations: two
dispatchers may hold one, and nobody the next.  There is a margin for that in what a server can take.
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
"""Part of what a cold server is taken to do that is opened."""

WARM_PACE = 1.2
"""The same for a server that has warmed up."""

HIGHEST_PACE = 1.5
"""The most that is ever opened."""

SPEED_UP = 1.1
"""Factor on the pace after an attempt that started at once."""

SLOW_DOWN = 0.7
"""Factor on the pace after an attempt that waited."""

MIN_PACE_FACTOR, MAX_PACE_FACTOR = 0.7, 2.5
"""Bounds of the product of those factors."""

NO_WAIT_FRACTION = 0.25
"""An attempt that starts within this part of a usual run time has not waited."""

MAX_OPEN_RESERVATIONS = 3
"""Reservations open at a time: a dispatcher with no request while its own is open loses it."""

MAX_RESERVATIONS_PER_REQUEST = 4.0
"""Requests of usual size that one may be worth: it takes as many of its sender's reservations."""

CHECK_INTERVAL_MS = 20.0
"""Time between two looks for reservations of ours that have opened."""

MAYBE_OPEN_RECHECK_MS = 200.0
"""Time until a server is looked at again where a reservation of ours may be open."""

MAX_RECHECK_MS = 4_000.0
"""The longest time until a server is looked at again where none may be open."""

PACE_FACTOR_MARGIN = 1.15
"""Change of the level after which all servers are looked at again."""

SLOTS_MARGIN = 1.1
"""Change of a capacity estimate after which all servers are looked at again."""


class Reservation(NamedTuple):
    """A reservation at a server: its number, counted from when the server began to warm up."""

    began_at: float
    number: int


class OpeningPace(NamedTuple):
    """How much of what a server can do is opened: a part of it while it is cold, and another once it is warm."""

    cold: float
    warm: float


class WarmupCurve:
    """The capacity of a server that warms up evenly, and the work that is opened meanwhile."""

    __slots__ = ("_capacity_per_ms", "_highest_pace", "_initial_capacity")

    def __init__(self, settings: Settings, budget_margin: float) -> None:
        """Make it; at most ``budget_margin`` of what a server can take is opened."""
        self._highest_pace = min(HIGHEST_PACE, budget_margin * settings.overload_multiple)
        self._initial_capacity = settings.warmup_capacity
        self._capacity_per_ms = (1 - self._initial_capacity) / settings.warmup_time if settings.warmup_time else 0.0

    def pace(self, pace_factor: float) -> OpeningPace:
        """The pace for a level, the factor on the usual pace."""
        return OpeningPace(
            min(COLD_PACE * pace_factor, self._highest_pace), min(WARM_PACE * pace_factor, self._highest_pace)
        )

    def work_opened(self, age: float, pace: OpeningPace) -> float:
        """Work that one slot is given until that age, in ms of a slot of a warm server.

        The capacity grows evenly, and with it the pace; this is the integral of their product.
        """
        cold, warm = pace
        least = self._initial_capacity
        capacity = least + self._capacity_per_ms * age
        integral = age * (least + capacity) / 2
        integral_of_square = age * (least * least + least * capacity + capacity * capacity) / 3
        return cold * integral + (warm - cold) * integral_of_square

    def rate(self, age: float, pace: OpeningPace) -> float:
        """The rate at which :meth:`work_opened` grows at that age."""
        capacity = self._initial_capacity + self._capacity_per_ms * age
        return capacity * (pace.cold + (pace.warm - pace.cold) * capacity)


class WarmingServer:
    """A server that warms up.

    Attributes:
        server: the server.
        began_at: when it began to warm up.
        usual_work: work of a request of usual size, in ms of one slot.
    """

    __slots__ = ("began_at", "server", "usual_work")

    def __init__(self, server: Server) -> None:
        self.server = server
        self.began_at = 0.0
        self.usual_work = 0.0

    @property
    def is_warming_and_ready(self) -> bool:
        """Whether it still warms up and is ready, so that somebody may have a turn."""
        return self.server.slow_start.work_budget < inf and self.server.state is ServerState.READY


class ReservationBounds:
    """The level and slots between which the servers that may have an open reservation stay the same."""

    __slots__ = ("highest_factor", "highest_pace", "lowest_factor", "lowest_pace", "slots")

    def __init__(self, pace_factor: float, curve: WarmupCurve) -> None:
        self.lowest_factor, self.highest_factor = pace_factor / PACE_FACTOR_MARGIN, pace_factor * PACE_FACTOR_MARGIN
        self.lowest_pace, self.highest_pace = curve.pace(self.lowest_factor), curve.pace(self.highest_factor)
        self.slots: dict[CapacityEstimate, tuple[float, float]] = {}

    def slots_of(self, capacity: CapacityEstimate) -> tuple[float, float]:
        """The least and the most slots for which the bounds hold."""
        if capacity not in self.slots:
            self.slots[capacity] = capacity.slots / SLOTS_MARGIN, capacity.slots * SLOTS_MARGIN
        return self.slots[capacity]

    def are_valid(self, pace_factor: float) -> bool:
        """Whether everything is still between them."""
        if not self.lowest_factor <= pace_factor <= self.highest_factor:
            return False
        return all(least <= capacity.slots <= most for capacity, (least, most) in self.slots.items())


class Reservations:
    """The reservations of one dispatcher at all servers that warm up."""

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
        """Make it; at most ``budget_margin`` of what a server can take is opened."""
        self._instances, self._position = settings.instances, settings.position
        self._curve = WarmupCurve(settings, budget_margin)
        self._pace_factor = 1.0  # factor on the pace
        self._pace = self._curve.pace(self._pace_factor)
        self._warming: dict[int, WarmingServer] = {}
        self._used: dict[int, Reservation] = {}  # by server, the last one that was used
        self._announced: dict[int, Reservation] = {}  # by server, the open one that turns() has returned
        self._checked_at = -inf
        self._bounds: ReservationBounds | None = None  # None where all servers are to be looked at
        self._maybe_open: dict[int, None] = {}  # servers that may have an open reservation of ours
        self._insertion_order: dict[int, int] = {}  # of each server, as they were added
        self._checks_due: list[tuple[float, int]] = []  # when to look at each server again
        self._changed: list[Server] = []  # servers that have become near, or ceased to be

    def add_warming(self, server: Server, usual_work: float) -> None:
        """Add a server that warms up, at which a request of usual size takes so much work."""
        warming = self._warming.get(server.id)
        if warming is None:
            self._bounds = None
            warming = self._warming[server.id] = WarmingServer(server)
        warming.server, warming.began_at, warming.usual_work = server, server.warming_since, usual_work

    def scoring_finished(self) -> None:
        """Note that all servers that warm up have been added."""
        self._bounds = None

    def newly_open_servers(self, now: float) -> list[Server]:
        """Servers at which a reservation of ours has opened, each returned once."""
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
        """Whether a reservation of ours is open there for a request of so much work."""
        if self._open_reservation(server.id, now) is None:
            return False
        return work <= MAX_RESERVATIONS_PER_REQUEST * self._warming[server.id].usual_work

    def may_be_open(self, server: Server) -> bool:
        """Whether a reservation of ours may be open there, as of the last :meth:`changed_servers`."""
        return server.id in self._maybe_open

    def changed_servers(self, now: float) -> Sequence[Server]:
        """Servers for which :meth:`may_be_open` has changed since the last call."""
        self._run_due_checks(now)
        changed, self._changed = self._changed, []
        return changed

    def record_send(self, server: Server, work: float, now: float) -> None:
        """Use our open reservation, and the next ones with it where the request is a wide one."""
        reservation = self._open_reservation(server.id, now)
        if reservation is None:
            return
        extra = max(0, ceil(work / self._warming[server.id].usual_work - 0.5) - 1)
        last_number = reservation.number + extra * self._instances
        self._used[server.id] = reservation._replace(number=last_number)

    def record_start(self, server: Server, wait: float) -> None:
        """Record that an attempt started there after waiting so long."""
        warming = self._warming.get(server.id)
        if warming is not None and server.slow_start.work_budget < inf:
            self._pace_factor *= SPEED_UP if wait <= NO_WAIT_FRACTION * warming.usual_work else SLOW_DOWN
            self._pace_factor = max(MIN_PACE_FACTOR, min(MAX_PACE_FACTOR, self._pace_factor))
            self._pace = self._curve.pace(self._pace_factor)

    # -- which servers are looked at

    def _run_due_checks(self, now: float) -> None:
        """Bring the servers that may have an open reservation up to date."""
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
        """Note whether a reservation of ours may be open there now; returns when to look again at the latest."""
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

    # -- which reservations are open

    def _open_reservation(self, server_id: int, now: float) -> Reservation | None:
        """Our last open reservation at a server that is not used; None if there is none."""
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
