"""A job, and how it is read from the argument of PUSH."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from typing import NamedTuple

import orjson

from heronlug.balancer.settings import RequestClass
from heronlug.frontends.faktory.errors import CommandError, InvalidArgumentError, JobTooLargeError
from heronlug.frontends.faktory.resp import JsonObject, optional_number
from heronlug.net import http
from heronlug.requests.model import FinalAnswer

MIN_JID_CHARACTERS = 8
"""Length of the shortest jid."""

MAX_JID_CHARACTERS = 128
"""Length of the longest jid."""

DEFAULT_QUEUE = "default"
"""The queue of a job that names none, and of a FETCH that names none."""

PushCallback = Callable[[CommandError | None], None]
"""Called once a job is accepted, with None, or with the reason why it is not."""


@dataclass(slots=True, eq=False)
class Job:
    """A job that is stored or being stored.

    Attributes:
        jid: its id.
        class_index: the index of its class in the settings.
        queue: its queue.
        payload: the JSON object that was pushed; empty once it has ended.
        size: bytes of the payload as JSON.
        reserve_ms: time for a worker to end it.
        policy: its class with the limits under which it was accepted, whatever is set later.
        final_answer: how it ended, None before that.
        being_stored: it is not durable yet.
        push_callbacks: to be called once it is.
    """

    jid: str
    class_index: int
    queue: str
    payload: JsonObject
    size: int
    reserve_ms: float
    policy: RequestClass
    final_answer: FinalAnswer | None = None
    being_stored: bool = False
    push_callbacks: list[PushCallback] = field(default_factory=list)

    @property
    def custom(self) -> JsonObject:
        """The ``custom`` object of the payload."""
        return self.payload.get("custom") or {}


class StartTime(NamedTuple):
    """When a job may start, and how long it may take.

    Attributes:
        remaining_ms: the time for its final answer, from its start.
        due_at: not to be started before this, 0 for at once.
    """

    remaining_ms: float
    due_at: float


class PushArguments(NamedTuple):
    """The argument of PUSH, checked.

    Attributes:
        payload: the JSON object.
        encoded: the same as JSON.
        class_index: the index of the class that the jobtype names.
        queue: the queue.
        custom: the ``custom`` object.
        remaining_ms: the time that the producer gives it, None for that of its class.
        reserve_s: time for a worker to end it, None for the configured one.
    """

    payload: JsonObject
    encoded: bytes
    class_index: int
    queue: str
    custom: JsonObject
    remaining_ms: float | None
    reserve_s: float | None


def parse_jid(payload: JsonObject) -> str:
    """The jid of a pushed job; raises :class:`InvalidArgumentError`."""
    jid = payload.get("jid")
    if not isinstance(jid, str) or not MIN_JID_CHARACTERS <= len(jid) <= MAX_JID_CHARACTERS:
        msg = f"jid is no text of {MIN_JID_CHARACTERS} to {MAX_JID_CHARACTERS} characters"
        raise InvalidArgumentError(msg)
    return jid


def parse_push(payload: JsonObject, class_names: list[str]) -> PushArguments:
    """Check a pushed job but for its jid and its times; raises :class:`CommandError`."""
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
    encoded = orjson.dumps(payload)
    if len(encoded) > http.MAX_BODY:
        raise JobTooLargeError
    return PushArguments(
        payload,
        encoded,
        class_names.index(payload["jobtype"]),
        queue,
        custom,
        optional_number(custom, "remaining_ms"),
        optional_number(payload, "reserve_for"),
    )


def parse_due_at(payload: JsonObject) -> float:
    """The time in ms before which a job must not start, 0 for none; raises :class:`InvalidArgumentError`."""
    at = payload.get("at")
    if not at:
        return 0.0
    try:
        return datetime.fromisoformat(str(at)).astimezone().timestamp() * 1000
    except ValueError as error:
        msg = "at is no time"
        raise InvalidArgumentError(msg) from error
