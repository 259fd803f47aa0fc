"""The messages that two processes of one dispatcher exchange during a hot restart.

Processes of other versions read and write them too, so their words and the order of their keys stay as they are
(``tests/compatibility``). Descriptors of sockets travel beside a message, see :mod:`.channel`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import isfinite
from typing import Any

from heronlug.balancer.events import AttemptSnapshot
from heronlug.balancer.settings import RequestClass
from heronlug.config.limits import model
from heronlug.discovery.endpoint_list import write_list
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_table import read_request, write_request
from heronlug.lifecycle.hot_restart.errors import IncompatiblePeerError, MalformedMessageError
from heronlug.requests.model import ListedServer

VERSION = 1
"""Of the messages; processes with different versions restart without a handover."""

Message = dict[str, Any]
"""A message as it is sent: JSON with its kind under ``kind``."""
ReadList = Callable[[Any], tuple[int, bool, list[ListedServer]]]
"""Reads an endpoint list: its version, whether it is complete, and its servers."""


class MessageKind(StrEnum):
    """What a message says, by the word on the socket."""

    HELLO = "hello"
    """The new process asks for the state."""
    STATE = "state"
    """The old process answers with its state and sockets."""
    SERVING = "serving"
    """The new process accepts clients."""
    CLIENT = "client"
    """The old process hands over a client's connection."""
    REQUEST = "message"
    """The old process hands over a request in progress, with its connections."""
    REQUEST_UPDATE = "news"
    """Either process has accepted or finished requests, or counts its slots in flight."""
    GOODBYE = "bye"
    """The old process has handed over everything and ends."""


def hello(name: str) -> Message:
    """Ask for the state of the dispatcher of this name."""
    return {"kind": MessageKind.HELLO, "version": VERSION, "name": name}


def check_hello(message: Message, name: str) -> None:
    """Raise :class:`IncompatiblePeerError` unless the message is from a process of this dispatcher and version."""
    if message["version"] != VERSION or message["name"] != name:
        msg = f"expected version {VERSION} of {name!r}, got version {message['version']!r} of {message['name']!r}"
        raise IncompatiblePeerError(msg)


def serving() -> Message:
    """Say that this process accepts clients."""
    return {"kind": MessageKind.SERVING}


def client(served: bool) -> Message:
    """Hand over a client's connection; ``served`` says whether it has had an answer."""
    return {"kind": MessageKind.CLIENT, "served": served}


def goodbye() -> Message:
    """Say that nothing follows."""
    return {"kind": MessageKind.GOODBYE}


def request_opened(request_id: str) -> Message:
    """Say that a request was accepted."""
    return {"kind": MessageKind.REQUEST_UPDATE, "opened": [request_id]}


def request_ended(request_id: str) -> Message:
    """Say that a request was forgotten."""
    return {"kind": MessageKind.REQUEST_UPDATE, "ended": [request_id]}


def slot_counts(content: bytes) -> Message:
    """Pass on a peer message with the slots in flight."""
    return {"kind": MessageKind.REQUEST_UPDATE, "counts": content.hex()}


@dataclass(frozen=True)
class RequestUpdate:
    """What the other process tells about its requests.

    Attributes:
        opened: ids of requests that it has accepted.
        ended: ids of requests that it has forgotten.
        counts: a peer message with its slots in flight; None for none.
    """

    opened: tuple[str, ...]
    ended: tuple[str, ...]
    counts: bytes | None

    @classmethod
    def decode(cls, message: Message) -> "RequestUpdate":
        """Read news; raises ``TypeError`` or ``ValueError``."""
        counts = bytes.fromhex(message["counts"]) if "counts" in message else None
        return cls(_strings(message.get("opened")), _strings(message.get("ended")), counts)


@dataclass(frozen=True)
class ProcessState:
    """What a new process needs to know of the one that runs.

    Attributes:
        endpoint_list: the list as it is held, in the form of service discovery; None where none was told.
        list_valid_ms: how long the list may still be used without confirmation, in ms.
        learned: what the balancer has learned, see :mod:`heronlug.balancer.snapshot`.
        request_ids: ids of the requests in progress.
        socket_names: what each descriptor beside the message is.
    """

    endpoint_list: Any
    list_valid_ms: float
    learned: Any
    request_ids: tuple[str, ...]
    socket_names: tuple[str, ...]

    def encode(self) -> Message:
        """The message that tells it."""
        return {
            "kind": MessageKind.STATE,
            "known": self.endpoint_list,
            "list_good_ms": self.list_valid_ms,
            "learned": self.learned,
            "names": self.request_ids,
            "sockets": self.socket_names,
        }

    @classmethod
    def decode(cls, message: Message) -> "ProcessState":
        """Read the state; raises ``KeyError`` or ``TypeError``."""
        return cls(
            endpoint_list=message.get("known"),
            list_valid_ms=_milliseconds(message.get("list_good_ms")),
            learned=message.get("learned"),
            request_ids=_strings(message["names"]),
            socket_names=tuple(map(str, message["sockets"])),
        )


@dataclass(frozen=True)
class ExchangeState:
    """How far the exchange with a server is whose connection is handed over.

    Attributes:
        answered: the server has begun its answer.
        last: the connection ends with this answer.
    """

    answered: bool
    last: bool


@dataclass(frozen=True)
class RequestHandover:
    """A request in progress.

    Attributes:
        request: as the client sent it.
        give_up_at: its deadline, in ms.
        accepted_at: when it was accepted, in ms.
        policy: of its class, as it was when the request was accepted.
        not_before: when its backoff ends, in ms; 0 for none.
        attempts: all its attempts in order, each with its server.
        exchanges: of the attempts in flight, in order.
    """

    request: HttpRequest
    give_up_at: float
    accepted_at: float
    policy: RequestClass
    not_before: float
    attempts: list[tuple[ListedServer, AttemptSnapshot]]
    exchanges: list[ExchangeState]

    @classmethod
    def decode(
        cls, message: Message, connections: int, read_list: ReadList, classes: tuple[RequestClass, ...]
    ) -> "RequestHandover":
        """Read a request that comes with this many connections to servers.

        Raises:
            KeyError, TypeError, ValueError, IndexError: if the message is malformed.
        """
        request = read_request(message["request"])
        version, _, entries = read_list(message["hosts"])
        snapshots = [AttemptSnapshot(*values) for values in message["attempts"]]
        attempts = list(zip(entries, snapshots, strict=True))
        exchanges = [_read_exchange(dict(exchange)) for exchange in message["wires"]]
        in_flight = sum(attempt.in_flight for attempt in snapshots)
        if len(exchanges) != connections or len(exchanges) != in_flight or version != 0:
            msg = f"{in_flight} attempts in flight need as many connections, got {connections} for {len(exchanges)}"
            raise MalformedMessageError(msg)
        policy = classes[request.class_index]
        if "terms" in message:  # versions without limits don't tell them
            policy = model.read(policy, message["terms"])
        return cls(
            request=request,
            give_up_at=float(message["give_up_at"]),
            accepted_at=float(message["taken_at"]),
            policy=policy,
            not_before=float(message.get("not_before", 0.0)),
            attempts=attempts,
            exchanges=exchanges,
        )

    def encode(self, zones: list[str], kinds: list[str]) -> Message:
        """The message that hands the request over; ``zones`` and ``kinds`` are the names in the endpoint list."""
        servers = [entry for entry, _ in self.attempts]
        return {
            "kind": MessageKind.REQUEST,
            "request": write_request(self.request),
            "give_up_at": self.give_up_at,
            "taken_at": self.accepted_at,
            "terms": model.write(self.policy),
            "not_before": self.not_before,
            "hosts": write_list(0, servers, zones, kinds, True),
            "attempts": [list(attempt) for _, attempt in self.attempts],
            "wires": [{"answered": exchange.answered, "last": exchange.last} for exchange in self.exchanges],
        }


def _read_exchange(table: dict[str, Any]) -> ExchangeState:
    return ExchangeState(answered=table.get("answered") is True, last=table.get("last") is True)


def _strings(values: Iterable[object] | None) -> tuple[str, ...]:
    return tuple(map(str, values or ()))


def _milliseconds(value: object) -> float:
    """A time span that another process has told, 0 where it makes no sense."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        return 0.0
    return max(0.0, float(value))
