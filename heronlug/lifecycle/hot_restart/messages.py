"""Encodes and decodes the messages that two processes of one dispatcher exchange during a hot restart.

Processes of other versions read and write these messages too, so the names and the order of the keys must not change
(``tests/compatibility``). Socket descriptors accompany a message without being part of the JSON, see :mod:`.channel`.
"""

from base64 import b64decode, b64encode
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import isfinite
from typing import Any

from heronlug.balancer.events import AttemptSnapshot
from heronlug.balancer.settings import Effect, RequestClass
from heronlug.config.limits import model
from heronlug.discovery.endpoint_list import write_list
from heronlug.frontends.http.client_state import ClientState
from heronlug.frontends.http.request import HttpRequest
from heronlug.frontends.http.request_table import read_queued_request, read_request, write_queued_request, write_request
from heronlug.lifecycle.hot_restart.errors import IncompatiblePeerError, MalformedMessageError
from heronlug.lifecycle.hot_restart.shared_limits import Resource, Room
from heronlug.requests.model import ListedServer
from heronlug.requests.past_requests import PastRequest

VERSION = 1
"""Version of the messages; processes with different versions restart without a handover."""

Message = dict[str, Any]
"""A message as sent: a JSON object with the message kind under ``kind``."""
ReadList = Callable[[Any], tuple[int, bool, list[ListedServer]]]
"""Decodes an endpoint list into its version, whether the list is complete, and its servers."""


class MessageKind(StrEnum):
    """The kinds of messages; the values are sent on the socket."""

    HELLO = "hello"
    """The new process requests the state of the old process."""
    STATE = "state"
    """The old process answers with its state and sockets."""
    SERVING = "serving"
    """The new process accepts clients."""
    CLIENT = "client"
    """The old process hands over a client connection."""
    REQUEST = "message"
    """The old process hands over a request in progress, with its connections."""
    REQUEST_UPDATE = "news"
    """Either process has accepted or finished requests, reports its slots in flight, or names its features."""
    ROOM = "room"
    """The old process gives room of its limits to the new one; only sent with :attr:`Feature.ROOM`."""
    ACCEPTED = "accepted"
    """The new process can continue an offered connection or request; only sent with :attr:`Feature.CONFIRM`."""
    DECLINED = "declined"
    """The new process cannot continue an offered connection or request; only sent with :attr:`Feature.CONFIRM`."""
    COMMITTED = "committed"
    """The old process has let go of what the new one has accepted; only sent with :attr:`Feature.CONFIRM`."""
    WITHDRAWN = "withdrawn"
    """The old process continues what it had offered; only sent with :attr:`Feature.CONFIRM`."""
    GOODBYE = "bye"
    """The old process has handed over everything and exits."""


class Feature(StrEnum):
    """An ability beyond the first version of the messages; processes of that version ignore the names."""

    ROOM = "room"
    """Shares the limits of the dispatcher by messages, instead of half for each process."""
    CONFIRM = "confirm"
    """Confirms each handover, so that exactly one process continues what is handed over, even if the other ends."""


def features(clock_offset_ns: int | None = None) -> Message:
    """Returns the update that names the features of this process; sent before the hello or the state.

    Args:
        clock_offset_ns: Difference of the clock of an old process to the monotonic clock, in ns; None in a new one.
    """
    clock = {} if clock_offset_ns is None else {"clock_ns": clock_offset_ns}
    return {"kind": MessageKind.REQUEST_UPDATE, "features": list(Feature), **clock}


def room(amounts: Room) -> Message:
    """Returns the message that gives room to the new process."""
    return {"kind": MessageKind.ROOM, **{resource.value: amount for resource, amount in amounts.items()}}


def read_room(message: Message) -> Room:
    """Decodes given room; raises :class:`MalformedMessageError` if an amount is not a whole number of 0 or more."""
    return {resource: _whole_number(message.get(resource, 0), f"room: {resource}", 0) for resource in Resource}


def hello(name: str) -> Message:
    """Returns a request for the state of the dispatcher with this name."""
    return {"kind": MessageKind.HELLO, "version": VERSION, "name": name}


def check_hello(message: Message, name: str) -> None:
    """Raises :class:`IncompatiblePeerError` if the message is from another dispatcher or another version."""
    if message["version"] != VERSION or message["name"] != name:
        msg = f"expected version {VERSION} of {name!r}, got version {message['version']!r} of {message['name']!r}"
        raise IncompatiblePeerError(msg)


def serving() -> Message:
    """Returns the message that announces that this process accepts clients."""
    return {"kind": MessageKind.SERVING}


def client(served: bool) -> Message:
    """Returns the message for a client connection; ``served`` is true if an answer has been sent on the connection."""
    return {"kind": MessageKind.CLIENT, "served": served}


def client_with_state(state: ClientState, now: float) -> Message:
    """Returns the message for a client connection with what has been read; only with :attr:`Feature.CONFIRM`."""
    return {**client(state.served), **client_state_fields(state, now)}


def client_state_fields(state: ClientState, now: float) -> Message:
    """Returns the entries of a message for what has been read from a client; ``now`` is the current time in ms."""
    fields: Message = {}
    if not state.has_sent_request:
        fields["silent_ms"] = state.age_ms
    if state.partial_request:
        fields |= {"partial": b64encode(state.partial_request).decode(), "reading_ms": state.reading_ms}
    if state.queued:
        fields["queued"] = [write_queued_request(request, now) for request in state.queued]
    return fields


def read_client_state(message: Message, served: bool, now: float) -> ClientState:
    """Decodes what another process has read from a client.

    Raises:
        KeyError, TypeError, ValueError: if the message is malformed.
    """
    return ClientState(
        served=served,
        has_sent_request="silent_ms" not in message,
        age_ms=_milliseconds(message.get("silent_ms")),
        queued=tuple(read_queued_request(table, now) for table in message.get("queued", ())),
        partial_request=b64decode(message.get("partial", ""), validate=True),
        reading_ms=_milliseconds(message.get("reading_ms")),
    )


def with_transfer(message: Message, transfer: int) -> Message:
    """Returns a message that offers a connection or request under a number, which the other process confirms."""
    return {**message, "transfer": transfer}


def read_transfer(message: Message) -> int:
    """Returns the number of a transfer; raises :class:`MalformedMessageError` if it is not a positive whole number."""
    return _whole_number(message["transfer"], "transfer", 1)


def accepted(transfer: int, window: int) -> Message:
    """Returns the message that accepts an offered connection or request.

    Args:
        transfer: Number of the offer.
        window: Number of offered descriptors that the new process can hold before the old one closes its own.
    """
    return {"kind": MessageKind.ACCEPTED, "transfer": transfer, "window": window}


def read_window(message: Message) -> int:
    """Returns the window of an accepted offer; 0 if the message has none."""
    window: object = message.get("window")
    return window if isinstance(window, int) and not isinstance(window, bool) and window > 0 else 0


def declined(transfer: int, reason: str) -> Message:
    """Returns the message that declines an offered connection or request."""
    return {"kind": MessageKind.DECLINED, "transfer": transfer, "why": reason}


def committed(transfer: int) -> Message:
    """Returns the message after which the new process continues a connection or request."""
    return {"kind": MessageKind.COMMITTED, "transfer": transfer}


def withdrawn(transfer: int) -> Message:
    """Returns the message that takes an offer back."""
    return {"kind": MessageKind.WITHDRAWN, "transfer": transfer}


def goodbye() -> Message:
    """Returns the last message of the old process."""
    return {"kind": MessageKind.GOODBYE}


def request_opened(request_id: str) -> Message:
    """Returns the update that reports that a request was accepted."""
    return {"kind": MessageKind.REQUEST_UPDATE, "opened": [request_id]}


def request_ended(request_id: str) -> Message:
    """Returns the update that reports that a request was removed from the request table."""
    return {"kind": MessageKind.REQUEST_UPDATE, "ended": [request_id]}


def past_requests(records: Iterable[PastRequest]) -> Message:
    """Returns the update with requests that may have run and are not open any more."""
    rows = [
        [each.request_id, each.effect and each.effect.value, each.first_sent_at, each.server, each.forget_at]
        for each in records
    ]
    return {"kind": MessageKind.REQUEST_UPDATE, "past": rows}


def slot_counts(content: bytes) -> Message:
    """Returns the update with ``content``, a peer message of the slots in flight."""
    return {"kind": MessageKind.REQUEST_UPDATE, "counts": content.hex()}


@dataclass(frozen=True)
class RequestUpdate:
    """An update of the other process on its requests.

    Attributes:
        opened: Ids of the requests that the other process has accepted.
        ended: Ids of the requests that the other process has removed.
        counts: A peer message with the slots in flight of the other process; None if the update has no counts.
        features: Names of the features of the other process; empty if the update names none.
        clock_offset_ns: Difference of the clock of the other process to the monotonic clock, in ns; None if unknown.
        past: Requests of the other process that may have run.
    """

    opened: tuple[str, ...]
    ended: tuple[str, ...]
    counts: bytes | None
    features: frozenset[str] = frozenset()
    clock_offset_ns: int | None = None
    past: tuple[PastRequest, ...] = ()

    @classmethod
    def decode(cls, message: Message) -> "RequestUpdate":
        """Decodes an update; raises ``TypeError`` or ``ValueError`` if the message is malformed."""
        counts = bytes.fromhex(message["counts"]) if "counts" in message else None
        features = frozenset(_strings(message.get("features")))
        clock = message.get("clock_ns")
        clock_offset_ns = int(clock) if clock is not None else None
        past = tuple(_read_past_request(*row) for row in message.get("past", ()))
        opened, ended = _strings(message.get("opened")), _strings(message.get("ended"))
        return cls(opened, ended, counts, features, clock_offset_ns, past)


@dataclass(frozen=True)
class ProcessState:
    """The state of the running process that a new process takes over.

    Attributes:
        endpoint_list: The current endpoint list in the format of service discovery; None if the message has no list.
        list_valid_ms: Remaining time for which the list may be used without confirmation, in ms.
        learned: The learned state of the balancer, see :mod:`heronlug.balancer.snapshot`.
        request_ids: Ids of the requests in progress.
        socket_names: Name of the socket behind each accompanying descriptor.
    """

    endpoint_list: Any
    list_valid_ms: float
    learned: Any
    request_ids: tuple[str, ...]
    socket_names: tuple[str, ...]

    def encode(self) -> Message:
        """Returns the message with this state."""
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
        """Decodes the state; raises ``KeyError`` or ``TypeError`` if the message is malformed."""
        return cls(
            endpoint_list=message.get("known"),
            list_valid_ms=_milliseconds(message.get("list_good_ms")),
            learned=message.get("learned"),
            request_ids=_strings(message["names"]),
            socket_names=tuple(map(str, message["sockets"])),
        )


@dataclass(frozen=True)
class ExchangeState:
    """Progress of the exchange with a server whose connection is handed over.

    Attributes:
        answered: Whether the server has begun its answer.
        last: Whether the connection ends with this answer.
    """

    answered: bool
    last: bool


@dataclass(frozen=True)
class RequestHandover:
    """A request in progress that is handed over.

    Attributes:
        request: The request as the client sent it.
        give_up_at: Deadline of the request, in ms.
        accepted_at: Time at which the request was accepted, in ms.
        policy: Policy of the request class at the time of acceptance.
        not_before: Time at which the backoff of the request ends, in ms; 0 without a backoff.
        attempts: All attempts of the request in order, each with its server.
        exchanges: Progress of the attempts in flight, in the order of the attempts.
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
        """Decodes a request in progress.

        Args:
            message: The message that hands the request over.
            connections: Number of server connections that accompany the message.
            read_list: Decodes the servers of the attempts.
            classes: The configured request classes.

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
            msg = (
                f"expected equal counts and list version 0, got {in_flight} attempts in flight, "
                f"{connections} connections, {len(exchanges)} exchanges and list version {version}"
            )
            raise MalformedMessageError(msg)
        policy = classes[request.class_index]
        if "terms" in message:  # absent in messages of versions without configurable limits
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
        """Returns the message that hands the request over; ``zones`` and ``kinds`` are names for the endpoint list."""
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


def _read_past_request(
    request_id: object, effect: object, first_sent_at: float | None, server: object, forget_at: float
) -> PastRequest:
    """Returns a record; raises ``TypeError`` or ``ValueError`` if a value is invalid."""
    return PastRequest(
        str(request_id),
        Effect(effect) if effect is not None else None,
        float(first_sent_at) if first_sent_at is not None else None,
        str(server),
        float(forget_at),
    )


def _read_exchange(table: dict[str, Any]) -> ExchangeState:
    return ExchangeState(answered=table.get("answered") is True, last=table.get("last") is True)


def _strings(values: Iterable[object] | None) -> tuple[str, ...]:
    return tuple(map(str, values or ()))


def _whole_number(value: object, name: str, least: int) -> int:
    """Returns a whole number from another process; raises :class:`MalformedMessageError` with its name for others."""
    if isinstance(value, bool) or not isinstance(value, int) or value < least:
        msg = f"{name}: {value!r} is not accepted, expected a whole number of {least} or more"
        raise MalformedMessageError(msg)
    return value


def _milliseconds(value: object) -> float:
    """Returns a time span from another process, in ms; 0 if the value is not a finite, non-negative number."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        return 0.0
    return max(0.0, float(value))
