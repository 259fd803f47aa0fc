"""Limits the work that all dispatchers together send to a server that warms up (slow start).

A server that warms up has a budget: the work that it can take within the overload window from all dispatchers
together. The budget is divided into capacity shares, each large enough for a request of usual size. The server's
number and the dispatchers' positions determine which dispatchers hold a share, so no agreement is needed. Where there
are more dispatchers than shares, most dispatchers hold none: they ask a share holder for a capacity loan, and the
holder records the lent work as if the holder had sent it. Many dispatchers that exchange no messages use reservations
instead, see :mod:`heronlug.balancer.reservations`.

* A lost message never lets the budget be exceeded: the lender records the work before the loan is sent, at the time at
  which the loan ends. A lost loan request or loan costs a part of a share for one overload window.
* A loan ends after ``LOAN_MS``.
* A dispatcher process that has just started may have sent work in an earlier incarnation without a record of it. Its
  share of a server that is older than the process grows with the age of the process, up to the whole share after one
  overload window.
* A loan answers the last loan request for that server, once. Repeated, late, unrequested and malformed messages are
  ignored, and so are loans for an earlier process of the server.
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
"""Fraction of a server's budget that is used, because request sizes and server speeds are only estimates."""

LOAN_MS = 400.0
"""Time from the loan request after which a loan may no longer be used."""

ASK_AGAIN_MS = 120.0
"""Least time between two loan requests for the same server."""

REQUESTS_IN_LENT_SHARE = 4.0
"""Requests of usual size that a share holds where shares are lent, so that larger requests fit in too."""

MAX_DISPATCHERS_WITHOUT_LOANS = 9
"""Up to this number of dispatchers, each share is large enough and load reports arrive soon enough without loans."""

MAX_SERVERS_EXAMINED = 64
"""Servers examined for each request that needs a loan."""

MAX_LOAN_REQUESTS = 4
"""Largest number of queued requests for which loans are requested at the same time."""

ASK, GRANT = b"a", b"g"
"""First byte of a message: a loan request or a granted loan."""

LOAN_MESSAGE = struct.Struct(">cIdd")
"""Kind, server, work in ms of one slot, and the borrower's clock at the request, from which the loan's end follows."""


class CapacityLoan(NamedTuple):
    """Work that another dispatcher lends to this dispatcher at a server.

    Attributes:
        ends_at: time in ms after which the loan may not be used.
        work: unused work of the loan, in ms of one slot.
        started_at: start time of the server process that the loan is valid for.
    """

    ends_at: float
    work: float
    started_at: float


class CapacityShares:
    """One dispatcher's capacity shares of servers that warm up, and the loans it has given and received.

    Attributes:
        without_gossip: whether there are many dispatchers that exchange no messages, so that reservations are used.
        loans_requested: number of loan requests sent.
        loans_given: number of loans granted to other dispatchers.
        loans_used: number of times that work was sent on a received loan.
        on_loan: called with the server when another dispatcher has granted a loan there.
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
        self._next_server = settings.position  # a start by position spreads the loan requests over the servers
        self._asked_at: dict[int, float] = {}  # time of the last loan request, by server
        self._awaiting_grant: set[int] = set()  # servers whose last loan request is unanswered
        self._loans: dict[int, list[CapacityLoan]] = {}  # loans received, by server
        self.loans_requested = 0
        self.loans_given = 0
        self.loans_used = 0

    # -- capacity shares

    def share(self, server: Server, capacity: float, usual_work: float, now: float) -> float:
        """Returns this dispatcher's share of the work that a server can take within the overload window.

        Args:
            server: a server that warms up.
            capacity: least fraction of its full capacity that the server has now.
            usual_work: work of a request of usual size, in ms of one slot.
            now: current time in ms.

        Returns:
            The work in ms of one slot; 0 if this dispatcher holds no share or uses reservations.
        """
        if self._reservations is not None:
            self._reservations.add_warming(server, usual_work)
            return 0.0
        if self._first_scored_at is None:
            self._first_scored_at = now
        budget = self._budget_by_slot * capacity * server.capacity.slots
        instances = self._settings.instances
        count = int(budget / (self._requests_in_share * usual_work))
        if count < 1:  # faster than min() and max(); this code runs for every warming server at every ranking
            count = 1
        elif count > instances:
            count = instances
        server.slow_start.share_count = count
        holds_share = (self._settings.position - server.id) % instances < count
        return budget / count if holds_share else 0.0

    def scoring_finished(self) -> None:
        """Records that :meth:`share` has been called for all servers that warm up."""
        if self._reservations is not None:
            self._reservations.scoring_finished()

    # -- what may be sent

    def reservation_turns(self, now: float) -> list[Server]:
        """Returns servers at which a reservation of this dispatcher has opened; each opening is returned once."""
        return self._reservations.newly_open_servers(now) if self._reservations is not None else []

    def may_accept_any(self, server: Server) -> bool:
        """Returns whether any work might be sent to the server.

        The result is false only if :meth:`may_send` is false for every amount of work.
        """
        if server.slow_start.work_budget > 0:
            return True
        if self._reservations is not None:
            return self._reservations.may_be_open(server)
        return server.id in self._loans

    def changed_servers(self, now: float) -> Sequence[Server]:
        """Returns servers for which :meth:`may_accept_any` may have changed since the last call."""
        return self._reservations.changed_servers(now) if self._reservations is not None else ()

    def may_send(self, server: Server, work: float, now: float) -> bool:
        """Returns whether a share, a loan or a reservation allows so much work to be sent to the server now."""
        budget = server.slow_start.work_budget
        if budget == inf:
            return True
        if self._reservations is not None:
            return self._reservations.may_send(server, work, now)
        return self._remaining_share(server, now) >= work or self._remaining_loans(server, now) >= work

    def record_send(self, server: Server, work: float, now: float) -> None:
        """Records work that is sent to the server; loans are used before the own share."""
        if self._reservations is not None and server.slow_start.work_budget < inf:
            self._reservations.record_send(server, work, now)
        elif server.id in self._loans and self._remaining_loans(server, now) >= work:
            self._use_loans(server, work)
        else:
            server.slow_start.recent_work.add(now, work)

    def record_start(self, server: Server, wait: float) -> None:
        """Records that an attempt started at the server after it had waited there for ``wait`` ms."""
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
        """Returns loan requests for the first few queued requests, each at a server that warms up."""
        if not self._lends_capacity or not warming:
            return []
        messages = [self._request_loan(request, warming, now) for request in requests[:MAX_LOAN_REQUESTS]]
        return [message for message in messages if message is not None]

    def _request_loan(self, request: Request, warming: Sequence[Server], now: float) -> SendPeerMessage | None:
        """Returns a loan request for the next server in turn that has no recent loan request, or None."""
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
        """Answers a loan request or records a granted loan; other messages are ignored."""
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
        state.recent_work.add(now + LOAN_MS, work)  # the borrower may send the work as late as that
        self.loans_given += 1
        return [SendPeerMessage(LOAN_MESSAGE.pack(GRANT, server.id, work, asked_at), peer)]

    def _accept_loan(self, server: Server, work: float, asked_at: float, now: float) -> None:
        """Records a loan unless it is late, repeated or requested by an earlier incarnation of this dispatcher."""
        is_answer = self._asked_at.get(server.id) == asked_at and server.id in self._awaiting_grant
        if not is_answer or now > asked_at + LOAN_MS:
            return
        self._awaiting_grant.discard(server.id)
        self._loans.setdefault(server.id, []).append(CapacityLoan(asked_at + LOAN_MS, work, server.started_at))
        self.on_loan(server)
