"""Reads the stored jobs at the start, and keeps of each only what decides how it continues, without its payload."""

import math
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, get_type_hints

from heronlug.frontends.faktory.errors import CommandError
from heronlug.frontends.faktory.resp import optional_number, parse_object
from heronlug.scheduling.chains import Edge, parse_edges
from heronlug.storage.model import FinalState, StoredRequest

FIELD_TYPES = {
    name: (int, float) if annotation is float else annotation
    for name, annotation in get_type_hints(StoredRequest).items()
}
"""Types of the values of a row; SQLite stores a number without a fraction as an integer."""


class OpenStoredJob(NamedTuple):
    """A stored job that has not ended.

    Attributes:
        request: the stored data without the job itself.
        size: size of the job as JSON, in bytes.
        edges: the parents that the job names.
        reserve_s: time in seconds within which a worker must end the job; None for the configured default.
        damage: why the job cannot be read; empty if it can.
    """

    request: StoredRequest
    size: int
    edges: list[Edge]
    reserve_s: float | None
    damage: str = ""


class EndedStoredJob(NamedTuple):
    """A stored job that has ended.

    Attributes:
        jid: the job id.
        final_state: a value of :class:`heronlug.storage.model.FinalState`.
        ended_at: Unix time of the end in ms; None if it cannot be read.
        damage: why the row cannot be read; empty if it can.
    """

    jid: str
    final_state: str
    ended_at: float | None
    damage: str = ""


@dataclass
class StoredJobs:
    """The stored jobs without their payloads.

    Attributes:
        open: the jobs that have not ended.
        ended: the jobs that have ended and whose jids are still stored.
    """

    open: list[OpenStoredJob] = field(default_factory=list)
    ended: list[EndedStoredJob] = field(default_factory=list)


def read_stored_jobs(requests: Iterable[StoredRequest]) -> StoredJobs:
    """Returns the stored jobs without their payloads, of which one at a time is in memory."""
    jobs = StoredJobs()
    for request in requests:
        if request.final_state:
            jobs.ended.append(_read_ended_job(request))
        else:
            jobs.open.append(_read_open_job(request))
    return jobs


def _read_ended_job(request: StoredRequest) -> EndedStoredJob:
    """Returns a job that has ended; one whose final state cannot be read may have run, and has failed."""
    try:
        _check_types(request)
        return EndedStoredJob(request.jid, FinalState(request.final_state).value, request.ended_at)
    except ValueError as error:
        return EndedStoredJob(request.jid, FinalState.FAILED.value, None, str(error))


def _read_open_job(request: StoredRequest) -> OpenStoredJob:
    try:
        _check_types(request)
        without_job = request._replace(
            job=b"",
            class_name=sys.intern(request.class_name),
            queue=sys.intern(request.queue),
            effect=sys.intern(request.effect),
        )
        payload = parse_object(request.job)
        reserve_s = optional_number(payload, "reserve_for")
        custom = payload.get("custom") or {}
        edges = parse_edges(custom.get("after"), custom.get("on_failure"))
    except (ValueError, AttributeError, CommandError) as error:
        delivered_at = 1.0 if request.first_delivered_at else 0.0  # whether it may have run decides its end
        unreadable = StoredRequest(request.jid, "", "", b"", 0.0, 0.0, first_delivered_at=delivered_at)
        return OpenStoredJob(unreadable, 0, [], None, str(error))
    return OpenStoredJob(without_job, len(request.job), edges, reserve_s)


def _check_types(request: StoredRequest) -> None:
    """Raises ``ValueError`` for a row with a value of another type than its column, which SQLite allows."""
    for name, types in FIELD_TYPES.items():
        value = getattr(request, name)
        if not isinstance(value, types) or (isinstance(value, float) and not math.isfinite(value)):
            msg = f"{name} is not valid"
            raise ValueError(msg)
