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

LOWEST_LEVEL, HIGHEST_LEVEL = 0.7, 2.5
"""Bounds of the product of those factors."""

AT_ONCE = 0.25
"""An attempt that starts within this part of a usual run time has not waited."""

OPEN_AT_A_TIME = 3
"""Reservations open at a time: a dispatcher with no request while its own is open loses it."""

WIDEST_REQUEST = 4.0
"""Requests of usual size that one may be worth: it takes as many of its sender's reservations."""

CHECK_MS = 20.0
"""Time between two looks for reservations of ours that have opened."""

NEAR_MS = 200.0
"""Time until a server is looked at again where a reservation of ours may be open."""

FAR_MS = 4_000.0
"""The longest time until a server is looked at again where none may be open."""

LEVEL_MARGIN = 1.15
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

    __slots__ = ("_highest_pace", "_least", "_rise")

    def __init__(self, settings: Settings, budget_margin: float) -> None:
        """Make it; at most ``budget_margin`` of what a server can take is opened."""
        self._highest_pace = min(HIGHEST_PACE, budget_margin * settings.overload_multiple)
        self._least = settings.warmup_capacity
        self._rise = (1 - self._least) / settings.warmup_time if settings.warmup_time else 0.0

    def pace(self, level: float) -> OpeningPace:
        """The pace for a level, the factor on the usual pace."""
        return OpeningPace(min(COLD_PACE * level, self._highest_pace), min(WARM_PACE * level, self._highest_pace))

    def work_opened(self, age: float, pace: OpeningPace) -> float:
        """Work that one slot is given until that age, in ms of a slot of a warm server.

        The capacity grows evenly, and with it the pace; this is the integral of their product.
        """
        cold, warm = pace
        least = self._least
        capacity = least + self._rise * age
        integral = age * (least + capacity) / 2
        integral_of_square = age * (least * least + least * capacity + capacity * capacity) / 3
        return cold * integral + (warm - cold) * integral_of_square

    def rate(self, age: float, pace: OpeningPace) -> float:
        """The rate at which :meth:`work_opened` grows at that age."""
        capacity = self._least + self._rise * age
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
    def is_open(self) -> bool:
        """Whether it still warms up and is ready, so that somebody may have a turn."""
        return self.server.slow_start.work_budget < inf and self.server.state is ServerState.READY


class ReservationBounds:
    """The level and slots between which the servers that may have an open reservation stay the same."""

    __slots__ = ("highest_level", "highest_pace", "lowest_level", "lowest_pace", "slots")

    def __init__(self, level: float, curve: WarmupCurve) -> None:
        self.lowest_level, self.highest_level = level / LEVEL_MARGIN, level * LEVEL_MARGIN
        self.lowest_pace, self.highest_pace = curve.pace(self.lowest_level), curve.pace(self.highest_level)
        self.slots: dict[CapacityEstimate, tuple[float, float]] = {}

    def slots_of(self, capacity: CapacityEstimate) -> tuple[float, float]:
        """The least and the most slots for which the bounds hold."""
        if capacity not in self.slots:
            self.slots[capacity] = capacity.slots / SLOTS_MARGIN, capacity.slots * SLOTS_MARGIN
        return self.slots[capacity]

    def hold(self, level: float) -> bool:
        """Whether everything is still between them."""
        if not self.lowest_level <= level <= self.highest_level:
            return False
        return all(least <= capacity.slots <= most for capacity, (least, most) in self.slots.items())


class Reservations:
    """The reservations of one dispatcher at all servers that warm up."""

    __slots__ = (
        "_announced",
        "_bounds",
        "_changed",
        "_checked_at",
        "_curve",
        "_due",
        "_instances",
        "_level",
        "_near",
        "_order",
        "_pace",
        "_position",
        "_used",
        "_warming",
    )

    def __init__(self, settings: Settings, budget_margin: float) -> None:
        """Make it; at most ``budget_margin`` of what a server can take is opened."""
        self._instances, self._position = settings.instances, settings.position
        self._curve = WarmupCurve(settings, budget_margin)
        self._level = 1.0  # factor on the pace
        self._pace = self._curve.pace(self._level)
        self._warming: dict[int, WarmingServer] = {}
        self._used: dict[int, Reservation] = {}  # by server, the last one that was used
        self._announced: dict[int, Reservation] = {}  # by server, the open one that turns() has returned
        self._checked_at = -inf
        self._bounds: ReservationBounds | None = None  # None where all servers are to be looked at
        self._near: dict[int, None] = {}  # servers that may have an open reservation of ours
        self._order: dict[int, int] = {}  # of each server, as they were added
        self._due: list[tuple[float, int]] = []  # when to look at each server again
        self._changed: list[Server] = []  # servers that have become near, or ceased to be

    def add_warming(self, server: Server, usual_work: float) -> None:
        """Add a server that warms up, at which a request of usual size takes so much work."""
        warming = self._warming.get(server.id)
        if warming is None:
            self._bounds = None
            warming = self._warming[server.id] = WarmingServer(server)
        warming.server, warming.began_at, warming.usual_work = server, server.warming_since, usual_work

    def all_scored(self) -> None:
        """Note that all servers that warm up have been added."""
        self._bounds = None

    def turns(self, now: float) -> list[Server]:
        """Servers at which a reservation of ours has opened, each returned once."""
        if now - self._checked_at < CHECK_MS:
            return []
        self._checked_at = now
        self._advance(now)
        self._drop_closed()
        open_ones = {n: found for n in self._near if (found := self._open_reservation(n, now))}
        fresh = [n for n, reservation in open_ones.items() if self._announced.get(n) != reservation]
        self._announced = open_ones
        return [self._warming[n].server for n in sorted(fresh, key=self._order.__getitem__)]

    def may_send(self, server: Server, work: float, now: float) -> bool:
        """Whether a reservation of ours is open there for a request of so much work."""
        if self._open_reservation(server.id, now) is None:
            return False
        return work <= WIDEST_REQUEST * self._warming[server.id].usual_work

    def may_be_open(self, server: Server) -> bool:
        """Whether a reservation of ours may be open there, as of the last :meth:`changed_servers`."""
        return server.id in self._near

    def changed_servers(self, now: float) -> Sequence[Server]:
        """Servers for which :meth:`may_be_open` has changed since the last call."""
        self._advance(now)
        changed, self._changed = self._changed, []
        return changed

    def record_send(self, server: Server, work: float, now: float) -> None:
        """Use our open reservation, and the next ones with it where the request is a wide one."""
        reservation = self._open_reservation(server.id, now)
        if reservation is None:
            return
        more = max(0, ceil(work / self._warming[server.id].usual_work - 0.5) - 1)
        last = reservation.number + more * self._instances
        self._used[server.id] = reservation._replace(number=last)

    def record_start(self, server: Server, wait: float) -> None:
        """Record that an attempt started there after waiting so long."""
        warming = self._warming.get(server.id)
        if warming is not None and server.slow_start.work_budget < inf:
            self._level *= SPEED_UP if wait <= AT_ONCE * warming.usual_work else SLOW_DOWN
            self._level = max(LOWEST_LEVEL, min(HIGHEST_LEVEL, self._level))
            self._pace = self._curve.pace(self._level)

    # -- which servers are looked at

    def _advance(self, now: float) -> None:
        """Bring the servers that may have an open reservation up to date."""
        if self._bounds is None or not self._bounds.hold(self._level):
            self._look_at_all(now)
        due = self._due
        while due and due[0][0] <= now:
            self._look_at(heappop(due)[1], now)

    def _look_at_all(self, now: float) -> None:
        self._bounds = ReservationBounds(self._level, self._curve)
        for server_id in [n for n, warming in self._warming.items() if not warming.is_open]:
            del self._warming[server_id]
        before, self._near = self._near, {}
        self._due = [(self._look_again_at(server_id, now), server_id) for server_id in self._warming]
        heapify(self._due)
        self._order = {server_id: index for index, server_id in enumerate(self._warming)}
        changed = before.keys() ^ self._near.keys()
        self._changed += [self._warming[server_id].server for server_id in changed if server_id in self._warming]

    def _look_at(self, server_id: int, now: float) -> None:
        if server_id not in self._warming:
            return
        was_near = server_id in self._near
        heappush(self._due, (self._look_again_at(server_id, now), server_id))
        if was_near != (server_id in self._near):
            self._changed.append(self._warming[server_id].server)

    def _look_again_at(self, server_id: int, now: float) -> float:
        """Note whether a reservation of ours may be open there now; returns when to look again at the latest."""
        warming, curve = self._warming[server_id], self._curve
        bounds = self._bounds or ReservationBounds(self._level, curve)
        least_slots, most_slots = bounds.slots_of(warming.server.capacity)
        age = max(0.0, now - warming.began_at)
        lowest = floor(least_slots / warming.usual_work * curve.work_opened(age, bounds.lowest_pace))
        highest = most_slots / warming.usual_work * curve.work_opened(age, bounds.highest_pace)
        used = self._used.get(server_id)
        first_unused = used.number + 1 if used is not None and used.began_at == warming.began_at else 0
        first = max(0, lowest - OPEN_AT_A_TIME + 1, first_unused)
        ours = first + (self._position - server_id - first) % self._instances
        if highest >= ours:
            self._near[server_id] = None
            return now + NEAR_MS
        self._near.pop(server_id, None)
        fastest = most_slots / warming.usual_work * curve.rate(age + FAR_MS, bounds.highest_pace)
        return now + min(FAR_MS, (ours - highest) / fastest)

    def _drop_closed(self) -> None:
        for server_id in [n for n in self._near if n not in self._warming or not self._warming[n].is_open]:
            self._warming.pop(server_id, None)
            del self._near[server_id]

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
        if number < 0 or opened - number >= OPEN_AT_A_TIME or is_used:
            return None
        return Reservation(warming.began_at, number)
