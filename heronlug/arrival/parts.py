"""What a cold worker bears, divided among all dispatchers, and lent.  No I/O, no clock, no chance.

A cold worker stands so much work within a stated span from all dispatchers together.  That is divided into as many
parts as hold a job of usual size; who has one follows from the worker's number and the position, so nobody has to
agree.  Where there are more dispatchers than parts, most have none, and what they take in would wait beside parts
that nobody uses.  So who has none asks one that has: it books the work as if it had sent it itself, and says so.
Where many may not talk at all, there are turns instead: see :mod:`heronlug.arrival.tickets`.

* Safe whatever is lost: work is booked before the grant goes out, at the time when the grant ends, so the parts are
  never passed.  A lost ask or grant costs a part of a part for the span.
* A grant ends after ``HOLDS``: who gets it later has nothing.
* Who has just started may have sent more in a life before, of which it knows nothing: its part of a worker that is
  older than itself grows with the time that it has lived, to all of it after the span.
* A grant answers our last ask about that worker, once; what comes twice, late or unasked for is skipped, as is a
  message that makes no sense.  A grant for a process of the worker that has ended since is void.
"""

import struct
from collections.abc import Sequence
from math import inf, isfinite
from typing import NamedTuple

from heronlug import interface as pk
from heronlug.arrival.tickets import Tickets
from heronlug.decisions.model import Job, Worker
from heronlug.decisions.state import State

MARGIN = 0.7  # use most of what a worker stands: sizes, and speeds of the kinds, are only estimated
HOLDS = 400.0  # ms that a grant is good for, from the moment it was given
AGAIN = 120.0  # ms before the same worker's part is asked for again

HOLD = 4.0  # jobs of usual size that a part holds, where parts are lent: wide ones fit in too
FEW = 9  # dispatchers: so few have parts large enough, and hear of each other soon enough
LOOKS = 64  # cold workers that are looked at for each of them, in turn
ASKS = 4  # jobs that are asked for at one look
ASK, GRANT = b"a", b"g"  # what a message begins with
FORM = struct.Struct(">cIdd")  # kind, the worker, the work, and the asker's clock, by which the grant ends


class Grant(NamedTuple):
    """Work that somebody has granted us at a worker."""

    ends: float
    work: float
    started_at: float  # of the worker's process that it is good for


class Parts:
    """One dispatcher's parts of the cold workers, what it lends of them, and what it has been lent."""

    __slots__ = (
        "_asked",
        "_born",
        "_granted",
        "_hold",
        "_instances",
        "_lends",
        "_open",
        "_position",
        "_s",
        "_stands",
        "_tickets",
        "_turn",
        "apart",
        "asked",
        "lent",
        "used",
    )

    def __init__(self, settings: pk.Settings) -> None:
        self._s = settings
        self._lends = settings.lends and settings.instances > FEW
        self.apart = settings.instances > FEW and not settings.may_tell  # we are many, and none hears of another
        self._tickets = Tickets(settings, MARGIN) if self.apart else None
        self._born = -1.0
        self._instances, self._position = settings.instances, settings.position
        self._stands = MARGIN * settings.tip_multiple * settings.overload_for  # work, by slot and part of its capacity
        self._hold = HOLD if self._lends else 1.0
        self._turn = settings.position  # so that not all ask the same one
        self._asked: dict[int, float] = {}  # by worker, when we asked last
        self._open: set[int] = set()  # the workers whose last ask has no answer yet
        self._granted: dict[int, list[Grant]] = {}  # by worker, what others have granted us
        self.asked = self.lent = self.used = 0  # asks told, grants given, grants used

    # -- whose part

    def share(self, worker: Worker, warmth: float, job: float, now: float) -> float:
        """Our part of what a cold worker stands within the span; 0 for none, also where there are turns instead."""
        if self._tickets is not None:
            self._tickets.cold(worker, job)
            return 0.0
        if self._born < 0:
            self._born = now
        budget = self._stands * warmth * worker.model.slots
        users = int(budget / (self._hold * job))
        if users < 1:
            users = 1
        elif users > self._instances:
            users = self._instances
        worker.users = users
        return budget / users if (self._position - worker.id) % self._instances < users else 0.0

    def ranked(self) -> None:
        """All workers have been asked for by :meth:`share`."""
        if self._tickets is not None:
            self._tickets.ranked()

    # -- what may go out

    def turns(self, now: float) -> list[Worker]:
        """The cold workers at which our turn has come, where dispatchers may not talk; each told once."""
        return self._tickets.turns(now) if self._tickets is not None else []

    def may_any(self, worker: Worker) -> bool:
        """Whether any work might be sent there: false only where :meth:`may` is false of all."""
        if worker.budget > 0:
            return True
        return self._tickets.may_open(worker) if self._tickets is not None else worker.id in self._granted

    def moved(self, now: float) -> Sequence[Worker]:
        """The workers for which :meth:`may_any` may have changed."""
        return self._tickets.moved(now) if self._tickets is not None else ()

    def may(self, worker: Worker, work: float, now: float) -> bool:
        """Whether that much more may be sent there now, from our part or from grants."""
        if self._tickets is not None and worker.budget < inf:
            return self._tickets.may(worker, work, now)
        return worker.budget == inf or self._left(worker, now) >= work or self._lent_us(worker, now) >= work

    def sent(self, worker: Worker, work: float, now: float) -> None:
        """It has been: grants are used before our own."""
        if self._tickets is not None and worker.budget < inf:
            self._tickets.sent(worker, work, now)
        elif worker.id in self._granted and self._lent_us(worker, now) >= work:
            self.used += 1
            grants = self._granted.pop(worker.id)
            for at, grant in enumerate(grants):
                if grant.work > work:
                    self._granted[worker.id] = [grant._replace(work=grant.work - work), *grants[at + 1 :]]
                    return
                work -= grant.work
        else:
            worker.recent.add(now, work)

    def _left(self, worker: Worker, now: float) -> float:
        """What is left of our part."""
        grown = 1.0
        if worker.known_before and worker.started_at < self._born:
            grown = min(1.0, (now - self._born) / self._s.overload_for)
        return grown * worker.budget - worker.recent.total(now - self._s.overload_for)

    def _lent_us(self, worker: Worker, now: float) -> float:
        grants = self._granted.get(worker.id)
        if not grants:
            return 0.0
        if grants[0].ends < now or grants[0].started_at != worker.started_at:
            grants = [grant for grant in grants if grant.ends >= now and grant.started_at == worker.started_at]
            self._granted[worker.id] = grants
        return sum(grant.work for grant in grants)

    def started(self, worker: Worker, wait: float) -> None:
        """A job has started there after so long."""
        if self._tickets is not None:
            self._tickets.started(worker, wait)

    # -- loans

    def ask(self, held: Sequence[tuple[float, int, Job]], cold: Sequence[Worker], now: float) -> list[pk.Tell]:
        """Whom to ask for the first of the jobs that are held, of the cold workers that are listed ready."""
        out: list[pk.Tell] = []
        for _, _, job in held[: ASKS if self._lends and cold else 0]:
            for _ in range(min(len(cold), LOOKS)):
                self._turn += 1
                worker = cold[self._turn % len(cold)]
                if worker.trials or worker.suspect:
                    continue
                holder = (worker.id + self._turn // len(cold) % worker.users) % self._s.instances
                if holder != self._s.position and now - self._asked.get(worker.id, -inf) >= AGAIN:
                    self._asked[worker.id] = now
                    self._open.add(worker.id)
                    self.asked += 1
                    out.append(pk.Tell(FORM.pack(ASK, worker.id, job.work, now), holder))
                    break
        return out

    def heard(self, event: pk.PeerMessage, state: State, now: float) -> list[pk.Tell]:
        """What to answer to an ask; after a grant, what is held is looked at again.  All else is none of ours."""
        if len(event.content) != FORM.size or event.content[:1] not in (ASK, GRANT):
            return []
        kind, number, work, stamp = FORM.unpack(event.content)
        worker = state.workers.get(number)
        if worker is None or not (isfinite(work) and isfinite(stamp) and work > 0):
            return []
        if kind == GRANT:
            if self._asked.get(number) != stamp or number not in self._open or now > stamp + HOLDS:
                return []  # too late, of another life of ours, forged, or told twice
            self._open.discard(number)
            self._granted.setdefault(number, []).append(Grant(stamp + HOLDS, work, worker.started_at))
            state.peers.moved(worker)
            state.seen = -1
            return []
        ready = worker.state is pk.WorkerState.READY and not worker.trials
        if not ready or not 0 < worker.budget < inf or self._left(worker, now) < work:
            return []
        worker.recent.add(now + HOLDS, work)  # it may be sent as late as that
        self.lent += 1
        return [pk.Tell(FORM.pack(GRANT, number, work, stamp), event.peer)]
