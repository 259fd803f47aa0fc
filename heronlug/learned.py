"""What a dispatcher has learned, as a table of plain figures that another process can take up."""

from math import isfinite
from typing import Any

from heronlug.decisions.model import Flight, Job, Worker
from heronlug.decisions.peer_reports import PeerReports
from heronlug.decisions.state import State
from heronlug.interface import Attempt

WORKER = (
    "n",
    "mean",
    "health",
    "heard",
    "stuck_until",
    "ejected_until",
    "ejections",
    "trials",
)
ALL = ("sends", "ranked_at", "mean_span", "arrivals")
KIND = ("top", "low", "slots")


def learned(state: State) -> dict[str, Any]:
    """The table of a dispatcher."""
    return {
        "all": [getattr(state, name) for name in ALL],
        "span": sorted(state.span.items()),
        "usual_pace": sorted(state.usual_pace.items()),
        "retries": state.retries.level,
        "halls": state.halls.table(),
        "kinds": [[kind, *(getattr(model, name) for name in KIND)] for kind, model in state.kinds.items()],
        "workers": [
            [w.id, w.started_at, w.own, w.recent.items(), *(getattr(w, name) for name in WORKER)]
            for w in state.workers.values()
        ],
    }


def attempts(state: State, job_id: int) -> tuple[Attempt, ...] | None:
    """The attempts of a job, for another process to go on with; None if it is over."""
    job = state.jobs.get(job_id)
    if job is None:
        return None
    return tuple(Attempt(f.worker.id, f.sent, f.out, f.waiting, f.may_have_run, f.heard) for f in job.attempts)


def not_before(state: State, job_id: int) -> float:
    """Until when its limits have a job wait for its next attempt; 0 if it does not wait."""
    job = state.jobs.get(job_id)
    return job.not_before if job is not None else 0.0


def flights(state: State, job: Job, passed: tuple[Attempt, ...]) -> list[Flight]:
    """The same attempts here."""
    made = []
    for attempt in passed:
        flight = Flight(job, state.workers[attempt.worker], attempt.sent, attempt.out and attempt.waiting)
        flight.out, flight.may_have_run, flight.heard = attempt.out, attempt.may_have_run, attempt.heard
        made.append(flight)
    return made


def recall(state: State, table: Any, position: int, now: float) -> None:
    """Take such a table up, for the workers that are listed; raises ``ValueError`` and changes nothing.

    What the other process has out at a worker counts as told by a peer: by ourselves, for nobody else is that.
    """
    try:
        ints = [_figure(value) for value in table["all"]]
        every = dict(zip(ALL, ints, strict=True))
        spans = [{int(cls): _figure(value) for cls, value in table[name]} for name in ("span", "usual_pace")]
        level = _figure(table["retries"])
        kinds = [(int(kind), [_figure(value) for value in values]) for kind, *values in table["kinds"]]
        workers: list[tuple[Worker, float, list[tuple[float, float]], list[float]]] = []
        for number, started_at, own, recent, *values in table["workers"]:
            worker = state.workers.get(number)
            if worker is not None and worker.started_at == started_at and len(values) == len(WORKER):
                items = [(_figure(at), _figure(amount)) for at, amount in recent]
                workers.append((worker, _figure(own), items, [_figure(value) for value in values]))
        halls = [[int(number), str(phase), *map(_figure, rest)] for number, phase, *rest in table.get("halls", ())]
        if any(len(values) != len(KIND) for _, values in kinds):
            raise ValueError("a kind of another shape")
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(repr(error)) from None
    state.halls.take_up(halls)
    for name, value in every.items():
        setattr(state, name, type(getattr(state, name))(value))
    state.span.update(spans[0])
    state.usual_pace.update(spans[1])
    state.retries.refill(level, state.arrivals)
    for kind, values in kinds:
        for name, value in zip(KIND, values, strict=True):
            setattr(state.kinds[kind], name, value)
    counts: dict[int, int] = {}
    for worker, own, items, values in workers:
        for name, value in zip(WORKER, values, strict=True):
            setattr(worker, name, type(getattr(worker, name))(value))
        for at, amount in items:
            worker.recent.add(at, amount)
        if own:
            counts[worker.id] = min(PeerReports.MOST, round(own))
    state.peers.book(position, counts, state.workers, now)


def _figure(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise ValueError(f"{value!r} is no figure")
    return value
