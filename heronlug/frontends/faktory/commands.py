"""Implements the commands of the Faktory protocol, one function per command."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Protocol

from heronlug.balancer.events import Outcome
from heronlug.frontends.faktory.authentication import is_valid_proof
from heronlug.frontends.faktory.context import FaktoryContext
from heronlug.frontends.faktory.delivery import JobDelivery
from heronlug.frontends.faktory.errors import (
    CommandError,
    EndNotStoredError,
    HelloRequiredError,
    InvalidPasswordError,
    InvalidWorkerIdError,
    UnknownCommandError,
    UnknownJobError,
    UnsupportedVersionError,
    WorkerRequiredError,
)
from heronlug.frontends.faktory.job import DEFAULT_QUEUE
from heronlug.frontends.faktory.jobs import JobTable
from heronlug.frontends.faktory.resp import OK, JsonObject, bulk_json, error_reply, parse_object, parse_objects
from heronlug.frontends.faktory.worker import ReplyCallback, Worker
from heronlug.frontends.faktory.workers import WorkerTable

PROTOCOL_VERSION = 2
"""The only supported version of the Faktory protocol."""

MAX_WID_CHARACTERS = 64
"""Maximum length of a wid in characters."""


class CommandTarget(Protocol):
    """The part of the frontend that commands use.

    Attributes:
        context: the configuration and services.
        jobs: the known jobs.
        workers: the workers by wid.
        delivery: delivers jobs to workers.
    """

    context: FaktoryContext
    jobs: JobTable
    workers: WorkerTable
    delivery: JobDelivery

    def info(self) -> JsonObject:
        """Returns the state of the frontend for the reply to INFO."""


class CommandSession(Protocol):
    """The part of a session that commands use.

    Attributes:
        worker: the worker to which the session belongs; None for a producer.
    """

    worker: Worker | None

    @property
    def frontend(self) -> CommandTarget:
        """Returns the frontend to which the session belongs."""

    @property
    def greeted(self) -> bool:
        """Returns whether the client has completed HELLO."""

    @property
    def salt(self) -> str:
        """Returns the password salt that HI announced."""

    def greet(self, wid: str | None) -> None:
        """Accepts the client, as a worker if ``wid`` is given and as a producer otherwise."""

    def wait_for_job(self, worker: Worker, queues: list[str]) -> None:
        """Makes the session wait for a job from one of these queues."""

    def defer_reply(self) -> ReplyCallback:
        """Blocks further commands of the session until the returned function is called with the reply."""

    def write(self, data: bytes) -> None:
        """Writes a reply to the client."""

    def close(self) -> None:
        """Closes the session."""


def execute(session: CommandSession, name: str, argument: bytes) -> None:
    """Executes one command.

    Args:
        session: the session that received the command.
        name: the command name in upper case.
        argument: the text after the command name.

    Raises:
        CommandError: if the command is invalid or cannot be executed.
    """
    if not session.greeted:
        if name != "HELLO":
            raise HelloRequiredError
        _hello(session, argument)
        return
    command = COMMANDS.get(name)
    if command is None:
        raise UnknownCommandError(name)
    command(session, argument)


def _hello(session: CommandSession, argument: bytes) -> None:
    fields = parse_object(argument)
    if fields.get("v") != PROTOCOL_VERSION:
        raise UnsupportedVersionError(PROTOCOL_VERSION)
    password = session.frontend.context.config.password
    if password and not is_valid_proof(password, session.salt, fields.get("pwdhash", "")):
        raise InvalidPasswordError
    wid = fields.get("wid")
    if wid is not None and (not isinstance(wid, str) or not 0 < len(wid) <= MAX_WID_CHARACTERS):
        raise InvalidWorkerIdError(MAX_WID_CHARACTERS)
    session.greet(wid)


def _push(session: CommandSession, argument: bytes) -> None:
    payload = parse_object(argument)
    reply = session.defer_reply()

    def on_pushed(error: CommandError | None) -> None:
        """Replies once the job has been accepted or rejected."""
        reply(OK if error is None else error_reply(error))

    session.frontend.jobs.push(payload, on_pushed)


def _push_bulk(session: CommandSession, argument: bytes) -> None:
    payloads = parse_objects(argument)
    reply = session.defer_reply()
    session.frontend.jobs.push_all(payloads, lambda errors: reply(bulk_json(errors)))


def _fetch(session: CommandSession, argument: bytes) -> None:
    if session.worker is None:
        msg = "FETCH needs"
        raise WorkerRequiredError(msg)
    session.wait_for_job(session.worker, argument.decode("utf-8", "replace").split() or [DEFAULT_QUEUE])


def _acknowledge(session: CommandSession, argument: bytes) -> None:
    _end_job(session, argument, Outcome.SERVED)


def _fail(session: CommandSession, argument: bytes) -> None:
    _end_job(session, argument, Outcome.ERROR)


def _end_job(session: CommandSession, argument: bytes, outcome: Outcome) -> None:
    """Ends a job and replies once the end of the job has been stored."""
    jid = parse_object(argument).get("jid")
    if session.worker is None:
        msg = "ACK and FAIL need"
        raise WorkerRequiredError(msg)
    if not isinstance(jid, str) or jid not in session.frontend.jobs.by_jid:
        raise UnknownJobError
    session.frontend.delivery.acknowledge(session.worker, jid, outcome)
    reply = session.defer_reply()

    def on_stored(failure: str) -> None:
        """Replies once the end of the job has been stored or could not be stored."""
        reply(error_reply(EndNotStoredError(failure)) if failure else OK)

    session.frontend.context.store.when_durable(on_stored)


def _heartbeat(session: CommandSession, argument: bytes) -> None:
    state = session.frontend.workers.heartbeat(parse_object(argument))
    session.write(bulk_json({"state": state}) if state else OK)


def _info(session: CommandSession, argument: bytes) -> None:
    session.write(bulk_json(session.frontend.info()))


def _end_session(session: CommandSession, argument: bytes) -> None:
    session.write(OK)
    session.close()


COMMANDS: Mapping[str, Callable[[CommandSession, bytes], None]] = MappingProxyType(
    {
        "PUSH": _push,
        "PUSHB": _push_bulk,
        "FETCH": _fetch,
        "ACK": _acknowledge,
        "FAIL": _fail,
        "BEAT": _heartbeat,
        "INFO": _info,
        "END": _end_session,
    }
)
"""Commands that are allowed after HELLO, by name."""
