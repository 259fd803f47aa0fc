"""Slow start: who may send how much to a server that warms up, over all dispatchers.

A server that warms up can take a certain amount of work within the overload window, from all dispatchers together.
That budget is divided into shares, each large enough for a request of usual size. Which dispatchers hold a share
follows from the server's number and their positions, so that they need not agree on it. Where there are more
dispatchers than shares, most hold none: they ask a holder for a loan, and the holder books the work as if it had sent
it itself. Where many dispatchers exchange no messages at all there are reservations instead, see
:mod:`heronlug.balancer.reservations`.

* A lost message never lets the budget be exceeded: work is booked before the loan goes out, at the time at which the
  loan ends. A lost request or loan costs a part of a share for one window.
* A loan ends after ``LOAN_MS``.
* A process that has just started may have sent work in an earlier incarnation, of which it knows nothing. Its share
  of a server that is older than itself grows with its own age, to all of it after one window.
* A loan answers the last request for that server, once.  Repeated, late, unasked or malformed messages are skipped, and
  so are loans for an earlier process of the server.
"""

import struct
from collections.abc import Callable, Mapping, Sequence
from math import inf, isfinite
from typing import NamedTuple

from heronlug.balancer.actions import SendPeerMessage
from heronlug.balancer.events import PeerMessage, ServerState
from heronlug.balancer.model import Request, Server
from heronlug.balancer.reservations import Reservations
from heronlug.balancer.settings import Settings

BUDGET_MARGIN = 0.7
"""Share of a server's budget that is used: request sizes and server speeds are only estimated."""

LOAN_MS = 400.0
"""How long a loan may be used, from the moment it was asked for."""

ASK_AGAIN_MS = 120.0
"""Time until a share of the same server is asked for again."""

REQUESTS_IN_LENT_SHARE = 4.0
"""Requests of usual size that a share holds where shares are lent, so that wide ones fit in too."""

MAX_DISPATCHERS_WITHOUT_LOANS = 9
"""So few dispatchers have shares that are large enough, and learn of each other's load soon enough."""

MAX_SERVERS_EXAMINED = 64
"""Servers that are looked at for each request that a loan is wanted for."""

MAX_LOAN_REQUESTS = 4
"""Requests for which loans are asked at one time."""

ASK, GRANT = b"a", b"g"
"""The first byte of a message."""

LOAN_MESSAGE = struct.Struct(">cIdd")
"""Kind, server, work, and the clock of who asks, by which the loan ends."""


class CapacityLoan(NamedTuple):
    """Work that another dispatcher lets us send to a server.

    Attributes:
        ends_at: when it may be used no longer.
        work: the work that is left of it.
        started_at: when the process of the server started for which it holds.
    """

    ends_at: float
    work: float
    started_at: float


class CapacityShares:
    """One dispatcher's shares of the servers that warm up, and its loans in both directions.

    Attributes:
        without_gossip: dispatchers are many and exchange no messages, so that there are reservations.
        loans_requested: messages that asked for a loan.
        loans_given: loans given to others.
        loans_used: loans of others that were used.
        on_loan: called with a server when another dispatcher has granted a loan there.
    """

    __slots__ = (
        "_asked_at",
        "_awaiting_grant",
        "_budget_by_slot",
        "_first_scored_at",
        "_lends_capacity",
        "_loans",
        "_next_server",
        "_requests_in_share",
        "_reservations",
        "_settings",
        "loans_given",
        "loans_requested",
        "loans_used",
        "on_loan",
        "without_gossip",
    )

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.on_loan: Callable[[Server], None] = lambda server: None
        many_dispatchers = settings.instances > MAX_DISPATCHERS_WITHOUT_LOANS
        self._lends_capacity = settings.lends_capacity and many_dispatchers
        self.without_gossip = many_dispatchers and not settings.gossip
        self._reservations = Reservations(settings, BUDGET_MARGIN) if self.without_gossip else None
        self._first_scored_at: float | None = None
        self._budget_by_slot = BUDGET_MARGIN * settings.overload_multiple * settings.overload_window
        self._requests_in_share = REQUESTS_IN_LENT_SHARE if self._lends_capacity else 1.0
        self._next_server = settings.position  # so that dispatchers don't all ask for the same one
        self._asked_at: dict[int, float] = {}  # by server, when we asked last
        self._awaiting_grant: set[int] = set()  # servers for which that has no answer yet
        self._loans: dict[int, list[CapacityLoan]] = {}  # by server, what others have granted
        self.loans_requested = 0
        self.loans_given = 0
        self.loans_used = 0

    # -- our share

    def share(self, server: Server, capacity: float, usual_work: float, now: float) -> float:
        """Our share of the work that a server can take within the overload window.

        Args:
            server: a server that warms up.
            capacity: the fraction of its capacity that it has at least.
            usual_work: work of a request of usual size, in ms of one slot.
            now: the time.

        Returns:
            The work in ms of one slot; 0 for no share, also where there are reservations instead.
        """
        if self._reservations is not None:
            self._reservations.add_warming(server, usual_work)
            return 0.0
        if self._first_scored_at is None:
            self._first_scored_at = now
        budget = self._budget_by_slot * capacity * server.capacity.slots
        instances = self._settings.instances
        count = int(budget / (self._requests_in_share * usual_work))
        if count < 1:  # not min() and max(): this runs for every server that warms up, whenever they are ranked
            count = 1
        elif count > instances:
            count = instances
        server.slow_start.share_count = count
        holds_share = (self._settings.position - server.id) % instances < count
        return budget / count if holds_share else 0.0

    def scoring_finished(self) -> None:
        """Note that :meth:`share` has been asked for all servers that warm up."""
        if self._reservations is not None:
            self._reservations.scoring_finished()

    # -- what may be sent

    def reservation_turns(self, now: float) -> list[Server]:
        """Servers at which a reservation of ours has opened, each returned once."""
        return self._reservations.newly_open_servers(now) if self._reservations is not None else []

    def may_accept_any(self, server: Server) -> bool:
        """Whether any work might be sent there: false only where :meth:`may_send` is false for all work."""
        if server.slow_start.work_budget > 0:
            return True
        if self._reservations is not None:
            return self._reservations.may_be_open(server)
        return server.id in self._loans

    def changed_servers(self, now: float) -> Sequence[Server]:
        """Servers for which :meth:`may_accept_any` may have changed since the last call."""
        return self._reservations.changed_servers(now) if self._reservations is not None else ()

    def may_send(self, server: Server, work: float, now: float) -> bool:
        """Whether so much work may be sent there now, from our share, a loan or a reservation."""
        budget = server.slow_start.work_budget
        if budget == inf:
            return True
        if self._reservations is not None:
            return self._reservations.may_send(server, work, now)
        return self._remaining_share(server, now) >= work or self._remaining_loans(server, now) >= work

    def record_send(self, server: Server, work: float, now: float) -> None:
        """Book work that is sent there; loans are used before our own share."""
        if self._reservations is not None and server.slow_start.work_budget < inf:
            self._reservations.record_send(server, work, now)
        elif server.id in self._loans and self._remaining_loans(server, now) >= work:
            self._use_loans(server, work)
        else:
            server.slow_start.recent_work.add(now, work)

    def record_start(self, server: Server, wait: float) -> None:
        """Record that an attempt started there after waiting so long."""
        if self._reservations is not None:
            self._reservations.record_start(server, wait)

    def _remaining_share(self, server: Server, now: float) -> float:
        state, window = server.slow_start, self._settings.overload_window
        usable_fraction = 1.0
        if (
            state.known_before_restart
            and self._first_scored_at is not None
            and server.started_at < self._first_scored_at
        ):
            usable_fraction = min(1.0, (now - self._first_scored_at) / window)
        return usable_fraction * state.work_budget - state.recent_work.total(now - window)

    def _remaining_loans(self, server: Server, now: float) -> float:
        loans = self._loans.get(server.id)
        if not loans:
            return 0.0
        if loans[0].ends_at < now or loans[0].started_at != server.started_at:
            loans = [loan for loan in loans if loan.ends_at >= now and loan.started_at == server.started_at]
            self._loans[server.id] = loans
        return sum(loan.work for loan in loans)

    def _use_loans(self, server: Server, work: float) -> None:
        self.loans_used += 1
        loans = self._loans.pop(server.id)
        for number, loan in enumerate(loans):
            if loan.work > work:
                self._loans[server.id] = [loan._replace(work=loan.work - work), *loans[number + 1 :]]
                return
            work -= loan.work

    # -- loans

    def request_loans(
        self, requests: Sequence[Request], warming: Sequence[Server], now: float
    ) -> list[SendPeerMessage]:
        """Messages that ask for a loan for each of the first few requests, at a server that warms up."""
        if not self._lends_capacity or not warming:
            return []
        messages = [self._request_loan(request, warming, now) for request in requests[:MAX_LOAN_REQUESTS]]
        return [message for message in messages if message is not None]

    def _request_loan(self, request: Request, warming: Sequence[Server], now: float) -> SendPeerMessage | None:
        """Ask a holder of a share of the next server in turn that was not asked for lately."""
        for _ in range(min(len(warming), MAX_SERVERS_EXAMINED)):
            self._next_server += 1
            server = warming[self._next_server % len(warming)]
            if server.outlier.trials_left or server.load.reported_failing:
                continue
            share = self._next_server // len(warming) % server.slow_start.share_count
            holder = (server.id + share) % self._settings.instances
            asked_lately = now - self._asked_at.get(server.id, -inf) < ASK_AGAIN_MS
            if holder != self._settings.position and not asked_lately:
                self._asked_at[server.id] = now
                self._awaiting_grant.add(server.id)
                self.loans_requested += 1
                return SendPeerMessage(LOAN_MESSAGE.pack(ASK, server.id, request.work, now), holder)
        return None

    def receive(self, message: PeerMessage, servers: Mapping[int, Server], now: float) -> list[SendPeerMessage]:
        """Answer a message that asks for a loan, and take in one that grants it; any other is skipped."""
        if len(message.content) != LOAN_MESSAGE.size or message.content[:1] not in (ASK, GRANT):
            return []
        kind, server_id, work, asked_at = LOAN_MESSAGE.unpack(message.content)
        server = servers.get(server_id)
        if server is None or not (isfinite(work) and isfinite(asked_at) and work > 0):
            return []
        if kind == ASK:
            return self._grant_loan(server, work, asked_at, message.peer, now)
        self._accept_loan(server, work, asked_at, now)
        return []

    def _grant_loan(self, server: Server, work: float, asked_at: float, peer: int, now: float) -> list[SendPeerMessage]:
        state = server.slow_start
        is_ready = server.state is ServerState.READY and not server.outlier.trials_left
        if not is_ready or not 0 < state.work_budget < inf or self._remaining_share(server, now) < work:
            return []
        state.recent_work.add(now + LOAN_MS, work)  # it may be sent as late as that
        self.loans_given += 1
        return [SendPeerMessage(LOAN_MESSAGE.pack(GRANT, server.id, work, asked_at), peer)]

    def _accept_loan(self, server: Server, work: float, asked_at: float, now: float) -> None:
        """Take a loan, unless it is late, repeated, or of an earlier incarnation of ours."""
        is_answer = self._asked_at.get(server.id) == asked_at and server.id in self._awaiting_grant
        if not is_answer or now > asked_at + LOAN_MS:
            return
        self._awaiting_grant.discard(server.id)
        self._loans.setdefault(server.id, []).append(CapacityLoan(asked_at + LOAN_MS, work, server.started_at))
        self.on_loan(server)
