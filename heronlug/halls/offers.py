"""Which hosts work may go to, and how much: what a hall's state means for each host of it.

Who decides.  Up to nine dispatchers hear each other's ends, and each decides by them alone: the same evidence, the same
table.  Of more, two sum up for all; the first of them that is heard decides, marks every host that is not offered in
the sums that go out anyway, and all others keep to the marks.  No message is new.  Whoever starts in the middle, or
sums up in the place of one that has died, reads the state off the last sums.  Who hears no sums decides for itself.

What it means.  A host that is not offered gets nothing; while its hall is left, a few dispatchers in turn may send
single repeatable jobs to single hosts of it.  A host that is offered again is taken for cold from then on, whatever the
list says, so that its budget over all dispatchers holds (:mod:`heronlug.arrival.parts`).
"""

from dataclasses import replace
from math import ceil
from typing import Any

from heronlug import interface as pk
from heronlug.decisions.model import QUIET, SUSPECT, Worker
from heronlug.decisions.peer_reports import PeerReports
from heronlug.halls.evidence import Seen, Tally, elsewhere, ratio, tallies
from heronlug.halls.table import STAGES, Hall, Phase, View

LOOK = 100.0  # ms between two looks
LATELY = 3000.0  # ms that an end counts for
MOST = 0.5  # share of the ready hosts that may be left: with more, it is we who fail
TERM = 1000.0  # ms that a trial is somebody's
TRIALS = 4  # hosts of a left hall that are tried in a term, by all dispatchers together
MARKED = 0.8  # share of a hall's hosts that are marked: it is left
GRACE = 3000.0  # ms that a left hall stays left when its marks have gone all at once
STILL_TOLD = 1000.0  # ms between two times that a host which stands still is told of
UNHEARD = 1.25  # periods of progress without a word, in a left hall, after which a job is taken back
BACK_AT_ONCE = 2  # at one look
KEPT = 64  # changes that are remembered


def _by_hall(workers: list[Worker]) -> dict[int, list[Worker]]:
    found: dict[int, list[Worker]] = {}
    for worker in workers:
        found.setdefault(worker.zone, []).append(worker)
    return found


class Halls:
    """All halls, as one dispatcher has them."""

    __slots__ = ("_ours", "_s", "changes", "halls")

    def __init__(self, state: Any) -> None:
        """Of a dispatcher, which looks as long as it is."""
        self._s: pk.Settings = state.s
        self.halls: dict[int, Hall] = {}
        self._ours: list[Worker] = []  # hosts of left halls that are ours to try now
        self.changes: list[tuple[int, Hall]] = []  # the last ones
        if self._s.halls:
            state.agenda.at(0.0, self._tick, state)

    @property
    def away(self) -> int:
        """How many halls are left, or not wholly returned to."""
        return sum(hall.phase in (Phase.LEFT, Phase.RETURNING) for hall in self.halls.values())

    def _tick(self, state: Any, now: float) -> None:
        told = len(self.changes)
        self.look(state, now)
        self._tell_silence(state, now)
        self._take_back(state, now)
        for number, hall in self.changes[told:]:
            state.out.append(pk.Log(f"hall {number} {hall.phase.value}: {hall.cause}"))
        del self.changes[:-KEPT]
        state.agenda.at(now + LOOK, self._tick, state)

    def look(self, state: Any, now: float) -> None:
        """Look at all hosts that are ready, and have each offered or not."""
        by_hall = _by_hall(state.peers.roster)
        if len(by_hall) < 2:
            return
        decides = self._decides(state, now)
        if decides:
            self._decide(by_hall, len(state.peers.roster), now)
        else:
            self._follow(state, by_hall, now)
        self._offer(state, by_hall, not decides, now)

    def turn(self, mine: list[Worker], peers: PeerReports) -> Worker | None:
        """The marked host that is ours to try: one of a left hall, of which few are tried at a time, comes first."""
        return next((w for w in [*self._ours, *mine] if w.level == SUSPECT and not w.closed), None)

    # -- for people

    def rows(self, state: Any, now: float) -> dict[int, dict[str, Any]]:
        """Each hall that has hosts, by number."""
        decides = "here" if self._decides(state, now) else "whoever sums up"
        rows = {}
        for number, workers in _by_hall(state.peers.roster).items():
            hall = self.halls.get(number, Hall())
            tried = [worker for worker in workers if worker.ended_at >= now - LATELY]
            rows[number] = {
                "state": hall.phase.value,
                "hosts": len(workers),
                "offered": sum(not worker.closed or worker.trying for worker in workers),
                "stage": hall.stage + 1 if hall.phase is Phase.RETURNING else None,
                "tried": len(tried),
                "failed": sum(worker.bad for worker in tried),
                "falls": hall.falls,
                "for_s": round((now - hall.since) / 1000) if hall.since else None,
                "cause": hall.cause or None,
                "decided": "by hand" if now < hall.held else decides,
            }
        return rows

    def order(self, state: Any, number: int, phase: Phase | None, until: float, now: float) -> None:
        """An operator has a hall left or well until then, or with no phase lets what is seen decide.

        Raises ``ValueError`` where more hosts would be left than may be.
        """
        hall = self.halls.setdefault(number, Hall())
        if phase is Phase.LEFT:
            away = self._left | {number}
            left = sum(worker.zone in away for worker in state.peers.roster)
            if left > MOST * len(state.peers.roster):
                raise ValueError(f"{left} of {len(state.peers.roster)} hosts would be left, more than {MOST:.0%}")
        if phase is None:
            hall.let_go(now)
        else:
            hall.hold(phase, until, now)
            self.changes.append((number, replace(hall)))
        self.look(state, now)

    def table(self) -> list[list[Any]]:
        """For another process of this dispatcher: plain figures."""
        return [
            [number, hall.phase.value, hall.since, hall.stage, hall.falls, hall.held if hall.held < 1e300 else -1.0]
            for number, hall in self.halls.items()
        ]

    def take_up(self, table: list[list[Any]]) -> None:
        """Go on with what another process has decided; raises ``ValueError`` and changes nothing."""
        taken = {}
        for number, phase, since, stage, falls, held in table:
            if not 0 <= int(stage) < len(STAGES):
                raise ValueError(f"stage {stage}")
            held = float("inf") if held == -1.0 else float(held)
            taken[int(number)] = Hall(Phase(phase), float(since), int(stage), int(falls), held, "taken up")
        self.halls.update(taken)

    # -- the state

    @property
    def _left(self) -> set[int]:
        return {number for number, hall in self.halls.items() if hall.phase is Phase.LEFT}

    def _decides(self, state: Any, now: float) -> bool:
        """Whether there is nobody that sums up, we are the first of those, or hear none."""
        if not state.relayed:
            return True
        since = now - 2 * LATELY
        heard = [peer for peer, at in state.peers.relays.items() if at > since]
        if state.peers.relaying:
            return all(peer > self._s.position for peer in heard)
        return not heard

    def _decide(self, by_hall: dict[int, list[Worker]], count: int, now: float) -> None:
        fresh = now - LATELY
        found = tallies(Seen(n, w.bad) for n, workers in by_hall.items() for w in workers if w.ended_at >= fresh)
        away = sum(len(by_hall.get(number, ())) for number in self._left)
        order = sorted(by_hall, key=lambda n: -found[n].bad if n in found else 0)
        for number in order:
            hall, workers = self.halls.setdefault(number, Hall()), by_hall[number]
            if hall.phase is Phase.RETURNING:
                seen = [w for w in workers if not w.closed and w.ended_at >= max(fresh, w.eased_at)]
            else:
                seen = [w for w in workers if w.ended_at >= fresh]
            tally = Tally(len(seen), sum(w.bad for w in seen))
            since = [w for w in workers if w.ended_at > hall.since]
            view = View(
                ratio=ratio(tally, elsewhere(found, number)),
                bad=tally.bad,
                may_leave=away + len(workers) <= MOST * count,
                served=sum(not w.bad for w in since),
                failed_at=max((w.ended_at for w in since if w.bad), default=0.0),
            )
            while hall.look(view, now):
                self.changes.append((number, replace(hall)))
                if hall.phase is Phase.LEFT:
                    away += len(workers)
                if hall.phase is not Phase.DOUBTFUL:
                    break

    def _follow(self, state: Any, by_hall: dict[int, list[Worker]], now: float) -> None:
        """Read it off the marks."""
        for number, workers in by_hall.items():
            hall = self.halls.setdefault(number, Hall())
            if hall.is_held(now):
                continue
            marked = sum(worker.level == SUSPECT for worker in workers)
            was = hall.phase
            # who returns does so in stages: marks that go all at once are of one that sums up and knows nothing yet
            gone = was is Phase.LEFT and not marked
            if not gone:
                hall.marked_at = now
            if marked >= max(2, MARKED * len(workers)) or (gone and now - hall.marked_at < GRACE):
                phase = Phase.LEFT
            elif was in (Phase.LEFT, Phase.RETURNING) and marked:
                phase = Phase.RETURNING
            else:
                phase = Phase.WELL
            if phase is not was:
                hall.phase, hall.since, hall.cause = phase, now, f"{marked} of {len(workers)} marked"
                hall.falls += was is Phase.RETURNING and phase is Phase.LEFT
                self.changes.append((number, replace(hall)))

    # -- what it means

    def _offer(self, state: Any, by_hall: dict[int, list[Worker]], following: bool, now: float) -> None:
        shut: set[int] = set()
        self._ours = []
        for number, workers in by_hall.items():
            hall = self.halls.get(number)
            if hall is None or hall.phase in (Phase.WELL, Phase.DOUBTFUL):
                continue
            ranked = sorted(workers, key=lambda w: w.id)
            if following and hall.phase is Phase.RETURNING:
                shut.update(w.id for w in ranked if w.level == SUSPECT)
            else:
                shut.update(w.id for w in ranked[ceil(hall.offered * len(ranked)) :])
            if hall.phase is Phase.LEFT and now >= hall.held:
                self._ours += self._trials(state, ranked, now)
        shut -= {worker.id for worker in self._ours}
        left, opened = self._left, False
        for worker in state.peers.roster:
            worker.closed = worker.id in shut
            worker.trying = worker.trying and not worker.closed
            marked = worker.closed or worker.zone in left
            if worker.marked and not marked:
                worker.eased_at, opened = now, True
            worker.marked = marked
        if opened:
            state._rank(now)  # what they bear is little again

    def _tell_silence(self, state: Any, now: float) -> None:
        """A host that stands still counts as an end that was bad, here and for all who are told of ends.

        So does one that has had a job of ours for as long without a word, where hosts tell of a start.
        """
        since = now - QUIET * self._s.progress_every if self._s.tells_start and self._s.progress_every else -1.0
        waits = [f for f in state.flights.values() if f.out and f.waiting]
        mute = {f.worker.id for f in waits if max(f.sent, f.worker.heard) <= since}
        for worker in state.peers.roster:
            silent = (worker.still and worker.flights) or worker.id in mute
            if silent and now - worker.ended_at >= STILL_TOLD:
                worker.ended(True, now)
                state.peers.ended[worker.id] = PeerReports.ENDED_BADLY
                state.peers.changed[worker.id] = worker

    def _take_back(self, state: Any, now: float) -> None:
        """Jobs that may run twice are taken back from a left hall that tells nothing of them: a few at each look."""
        if not self._s.may_cancel:
            return
        quiet = now - UNHEARD * max(self._s.progress_every, self._s.dial_timeout)
        left = self._left
        there = (
            [
                flight
                for flight in state.flights.values()
                if flight.worker.zone in left
                and flight.out
                and flight.heard <= quiet
                and not flight.worker.trying
                and flight.job.lane.effect is pk.Effect.REPEATABLE
                and state.jobs.get(flight.job.id) is flight.job
                and sum(other.out for other in flight.job.attempts) == 1
                and len(flight.job.attempts) < flight.job.cap
            ]
            if left
            else []
        )
        there.sort(key=lambda flight: flight.sent)
        for flight in there[:BACK_AT_ONCE]:
            state.out.append(pk.Cancel(flight.job.id, flight.job.attempts.index(flight)))

    def _trials(self, state: Any, ranked: list[Worker], now: float) -> list[Worker]:
        """The hosts that are ours to try in this term: each of a few is one dispatcher's."""
        term, every = int(now / TERM), self._s.instances
        ours = []
        for number in range(min(TRIALS, len(ranked))):
            worker = ranked[(term * TRIALS + number) % len(ranked)]
            mine = (term * TRIALS + number + ranked[0].zone) % every == self._s.position
            if mine and not (worker.ended_at > now - TERM and worker.bad) and not worker.flights:
                worker.trials, worker.ejections = max(1, worker.trials), max(1, worker.ejections)
                worker.ejected_until, worker.trying = min(worker.ejected_until, now), True
                state._try(worker)
                if worker not in state.sweep:
                    state.sweep.append(worker)
                ours.append(worker)
        return ours
