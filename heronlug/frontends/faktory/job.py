"""Defines a job and parses jobs from the argument of PUSH."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from typing import NamedTuple, Protocol

import orjson

from heronlug.balancer.settings import RequestClass
from heronlug.frontends.faktory.config import FaktoryConfig
from heronlug.frontends.faktory.errors import CommandError, InvalidArgumentError, JobTooLargeError
from heronlug.frontends.faktory.job_state import TRANSITIONS, JobState, JobStateError
from heronlug.frontends.faktory.resp import JsonObject, optional_number
from heronlug.net import http
from heronlug.requests.deadlines import Key
from heronlug.requests.model import FinalAnswer
from heronlug.scheduling.chains import Edge

MIN_JID_CHARACTERS = 8
"""Minimum length of a jid in characters."""

MAX_JID_CHARACTERS = 128
"""Maximum length of a jid in characters."""

MAX_DEPTH = 254
"""Maximum depth of the values of a job, which is that of orjson."""

MAX_RESERVE_S = 366 * 86_400.0
"""Maximum time in seconds within which a worker must end a job."""

DEFAULT_QUEUE = "default"
"""The queue for a PUSH or FETCH that names no queue."""

PushCallback = Callable[[CommandError | None], None]
"""Called with None once a job is accepted, or with the error if the job is not accepted."""


@dataclass(slots=True, eq=False)
class Job:
    """A known job, either stored or being stored.

    Attributes:
        jid: the job id.
        class_index: the index of the request class in the settings.
        queue: the queue that the job was pushed to.
        payload: the pushed job as JSON; empty if only the store has it, or once the job has ended.
        size: size of the JSON payload in bytes.
        reserve_ms: time in ms within which a worker must end the job after fetching it.
        policy: the request class with the limits at the time of acceptance; later reloads do not change it.
        final_answer: the final answer; None until the job has ended.
        timing: the start time of the job and the time that it may take.
        state: what the job waits for; changed by :meth:`enter` alone.
        start_deadline: the pending deadline that starts a delayed job.
        push_callbacks: callbacks to be called once the store has reported success or failure.
        parents: the parents that the job names, until the job starts or waits for them; a parent may be forgotten
            while the job is being stored.
        held_bytes: memory reserved for the job without its payload, in bytes.
        held_payload_bytes: memory reserved for the payload, in bytes.
    """

    jid: str
    class_index: int
    queue: str
    payload: bytes
    size: int
    reserve_ms: float
    policy: RequestClass
    timing: "JobTiming"
    state: JobState = JobState.BEING_STORED
    start_deadline: Key | None = None
    final_answer: FinalAnswer | None = None
    push_callbacks: list[PushCallback] = field(default_factory=list)
    parents: list["Parent"] = field(default_factory=list)
    held_bytes: int = 0
    held_payload_bytes: int = 0

    def enter(self, state: JobState) -> None:
        """Changes the state.

        Raises:
            JobStateError: if the table of transitions does not allow the change.
        """
        if state not in TRANSITIONS[self.state]:
            raise JobStateError(self.jid, self.state, state)
        self.state = state


class ParentJob(Protocol):
    """A job of which another one waits for the end."""

    @property
    def jid(self) -> str:
        """Returns the job id."""

    @property
    def final_answer(self) -> FinalAnswer | None:
        """Returns the final answer; None until the job has ended."""


class Parent(NamedTuple):
    """A parent of a job and the edge that leads to it."""

    edge: Edge
    job: ParentJob


class JobTiming(NamedTuple):
    """The earliest start of a job and the time that the job may take.

    Attributes:
        remaining_ms: time in ms from the start of the job to its final answer at the latest.
        due_at: earliest start as Unix time in ms; 0 for an immediate start.
    """

    remaining_ms: float
    due_at: float


class PushArguments(NamedTuple):
    """The validated argument of PUSH.

    Attributes:
        encoded: the pushed job as JSON.
        class_index: the index of the request class that the jobtype names.
        queue: the queue of the job.
        custom: the ``custom`` object.
        remaining_ms: time in ms that the producer allows for the job; None for the deadline of the request class.
        reserve_s: time in seconds within which a worker must end the job; None for the configured default.
    """

    encoded: bytes
    class_index: int
    queue: str
    custom: JsonObject
    remaining_ms: float | None
    reserve_s: float | None


def parse_jid(payload: JsonObject) -> str:
    """Returns the jid of a pushed job.

    Raises:
        InvalidArgumentError: if the jid is not a string of the accepted length.
    """
    jid = payload.get("jid")
    if not isinstance(jid, str) or not MIN_JID_CHARACTERS <= len(jid) <= MAX_JID_CHARACTERS:
        msg = f"jid is no text of {MIN_JID_CHARACTERS} to {MAX_JID_CHARACTERS} characters"
        raise InvalidArgumentError(msg)
    return jid


def parse_push(payload: JsonObject, class_names: list[str]) -> PushArguments:
    """Validates a pushed job except for its jid and its ``at`` time.

    Raises:
        InvalidArgumentError: if a field has the wrong type or the jobtype names no class.
        JobTooLargeError: if the job is larger than the size limit.
    """
    if payload.get("jobtype") not in class_names:
        msg = "jobtype names no class"
        raise InvalidArgumentError(msg)
    if not isinstance(payload.get("args"), list):
        msg = "args is no list"
        raise InvalidArgumentError(msg)
    queue = payload.get("queue", DEFAULT_QUEUE)
    custom = payload.get("custom") or {}
    if not isinstance(queue, str) or not queue or not isinstance(custom, dict):
        msg = "queue is no text, or custom no object"
        raise InvalidArgumentError(msg)
    encoded = _encode(payload)
    if len(encoded) > http.MAX_BODY:
        raise JobTooLargeError
    return PushArguments(
        encoded,
        class_names.index(payload["jobtype"]),
        queue,
        custom,
        optional_number(custom, "remaining_ms"),
        parse_reserve_s(payload),
    )


def _encode(payload: JsonObject) -> bytes:
    """Returns a job as JSON.

    Raises:
        InvalidArgumentError: if its values are nested too deeply.
    """
    try:
        return bytes(memoryview(orjson.dumps(payload)))  # a copy, because orjson's buffer is larger than its content
    except TypeError as error:
        msg = f"the job is nested more than {MAX_DEPTH} deep"
        raise InvalidArgumentError(msg) from error


def parse_due_at(payload: JsonObject) -> float:
    """Returns the earliest start of a job as Unix time in ms, 0 if the job has none.

    Raises:
        InvalidArgumentError: if ``at`` is not an ISO 8601 time.
    """
    at = payload.get("at")
    if not at:
        return 0.0
    try:
        return datetime.fromisoformat(str(at)).astimezone().timestamp() * 1000
    except (ValueError, OverflowError) as error:
        msg = "at is no time from year 1 to 9999 in UTC"
        raise InvalidArgumentError(msg) from error


def parse_reserve_s(payload: JsonObject) -> float | None:
    """Returns the ``reserve_for`` of a job in seconds; None if it has none.

    Raises:
        InvalidArgumentError: if the value is not a number from 0 to ``MAX_RESERVE_S``.
    """
    reserve_s = optional_number(payload, "reserve_for")
    if reserve_s is not None and reserve_s > MAX_RESERVE_S:
        msg = f"reserve_for is over {MAX_RESERVE_S:.0f} s"
        raise InvalidArgumentError(msg)
    return reserve_s


def delivered_form(payload: bytes) -> bytes:
    """Returns the JSON of a job for its worker, which has a queue and a retry count even if the producer gave none.

    Raises:
        ValueError: if the payload is not a JSON object, because the store is damaged.
    """
    return orjson.dumps({"queue": DEFAULT_QUEUE, "retry": 0, **orjson.loads(payload)})


def reserve_ms(reserve_s: float | None, config: FaktoryConfig) -> float:
    """Returns the time in ms within which a worker must end a job with this ``reserve_for``."""
    return reserve_s * 1000 if reserve_s else config.reserve_ms
