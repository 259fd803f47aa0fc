"""The inventory: a watch on discovery, one call after the other on a warm connection."""

import asyncio
import errno
import math
from collections.abc import Callable
from random import uniform
from typing import Any, Protocol, cast

import httptools
import orjson

from heronlug.balancer.events import ListKind
from heronlug.discovery.endpoint_list import EndpointListError
from heronlug.discovery.freshness import Event, Freshness, State
from heronlug.discovery.poll_failure import PollFailure
from heronlug.net import http
from heronlug.net.connection_state import has_unread_input
from heronlug.requests.deadlines import Deadlines, Key
from heronlug.requests.model import ListedServer

WAIT = 20_000.0  # a call waits so long for something new
SPREAD = 0.4  # or for up to so much of it less, each dispatcher in its place: calls of many do not end together
LATE = 500.0  # and is given up after so much more: what it has missed counts as told soon after
LIST_WAIT = 3_500.0  # an answer that does not wait for news, or has begun, is given up after this
DIAL_WAIT = 1_000.0  # an address that neither answers nor refuses is given up after this
READ_WITHIN = 500.0  # what has been written to us longer ago than this has been read; far below the grace for drains
RETRY_FIRST, RETRY_MOST = 300.0, 1_000.0  # the pause after a call that failed is up to twice the first, then more
MAX_LIST = 8 * 1024 * 1024
EVENTS = {
    PollFailure.SLOW: Event.GIVEN_UP,
    PollFailure.REFUSED: Event.REFUSED,
    PollFailure.UNREACHABLE: Event.UNREACHABLE,
}  # else it failed
UNREACHABLE = {errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT}


class Pace(Protocol):
    """When to poll, see :class:`heronlug.discovery.poll_pacing.Pacer`; without one, when the balancer subscribes."""

    patience: float  # ms that an answer is waited for that does not wait for news

    @property
    def watch(self) -> float:
        """ms that a watch waits for news."""

    def begin(self, now: float, listed: bool) -> float:
        """When the first call may go."""

    def answered(self, took: float) -> None:
        """A call that did not wait for news was answered."""

    def failed(self, now: float, how: PollFailure, listed: bool, retry_after: float = 0.0) -> float:
        """When the next may go after one that failed."""


class _Call(asyncio.Protocol):
    """A connection to discovery, and the call on it."""

    def __init__(self, watch: "DiscoveryClient") -> None:
        self.watch = watch
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self.at_once = False  # the answer is not kept for news
        self.asked_at = 0.0
        self.retry_after = 0.0
        self._heard = False  # an answer has begun
        self._parser: Any = None
        self._body: list[bytes] = []
        self._size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The dial has come through."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass, and keeps to it
        if self.watch.call is self:
            self.ask()
        else:
            self.transport.abort()

    def ask(self) -> None:
        """Send a call."""
        assert self.transport is not None
        self._parser, self._body, self._size = httptools.HttpResponseParser(self), [], 0
        target, version = "/registry/instances", self.watch.version
        pace = self.watch.pace
        wait = 0.0 if self.watch.at_once else (pace.watch if pace is not None else WAIT) * self.watch.part
        if version is not None:
            target += f"?after={version}&wait_ms={int(wait)}"
        self.watch.at_once, self.at_once, self.retry_after = False, version is None or not wait, 0.0
        self._heard = False
        self.watch.asked(self, 0.0 if self.at_once else wait)
        self.transport.write(http.request(b"GET", target.encode(), self.watch.address, [], b""))

    def data_received(self, data: bytes) -> None:
        """Bytes of the answer."""
        try:
            if self._parser is None:
                raise EndpointListError("an answer that nobody asked for")
            if not self._heard:
                self._heard = True
                self.watch.hears(self)
            self._parser.feed_data(data)
        except Exception as error:
            self.watch.failed(self, repr(error.__context__ or error), PollFailure.BAD)
        self.watch.turn()

    def connection_lost(self, exc: Exception | None) -> None:
        """Discovery has closed."""
        self.lost = True
        if self._parser is not None:
            self.watch.failed(self, f"connection lost: {exc}")
        self.watch.turn()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Who is turned away may be told when to come again."""
        if name.lower() == b"retry-after":
            try:
                self.retry_after = max(0.0, min(60_000.0, 1000 * float(value)))
            except ValueError:
                self.retry_after = 0.0  # a date, or nonsense

    def on_headers_complete(self) -> None:
        """The answer is a list, or a refusal."""
        if self._parser.get_status_code() == 200:
            self.watch.lists(self)

    def on_body(self, body: bytes) -> None:
        """A piece of the answer."""
        self._size += len(body)
        if self._size > MAX_LIST:
            raise EndpointListError("the list is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The answer is whole."""
        status, keep = self._parser.get_status_code(), self._parser.should_keep_alive()
        self._parser = None
        if not keep and self.transport is not None:
            self.lost = True
            self.transport.close()
        if status == 200:
            self.watch.answered(self, b"".join(self._body))
        else:
            self.watch.failed(
                self, f"status {status}", PollFailure.TURNED_AWAY if status in (429, 503) else PollFailure.BAD
            )


class DiscoveryClient:
    """Watches while asked to; a failure ends the watch, and the module asks again."""

    def __init__(
        self,
        address: str,
        version: int | None,  # the last that was read; None asks for the whole list
        read: Callable[[Any], tuple[int, bool, list[ListedServer]]],
        news: Callable[[ListKind, list[ListedServer]], None],
        deadlines: Deadlines,
        log: Callable[..., None],
        turn: Callable[[], None],
        freshness: Freshness,
        part: float = 1.0,
    ) -> None:
        self.address, self.version = address, version
        self.freshness, self.part = freshness, part  # of the list; our part of the longest wait
        self.on_good: Callable[[bool], None] | None = None  # whether the list may be gone by; None: nobody minds
        self._stale_at: Key | None = None
        self._noted_stale = False
        self._failures = 0  # calls since the last answer
        self._answered_at = -math.inf
        self.call: _Call | None = None
        self.turn = turn
        self.read, self.news, self._deadlines, self._log = read, news, deadlines, log
        self.at_once = False  # the next call does not wait for news
        self._watching = False
        self._fresh = False  # the first answer of a watch is told even when it brings nothing
        self._deadline: Key | None = None
        self._dial: asyncio.Task[None] | None = None
        self.pace: Pace | None = None
        self._read_at = -math.inf  # nothing that was written to us before that waits to be read
        self.listed = False  # there is a list to go by, if an old one
        self._again: Key | None = None  # when the next call may go
        self._begun = False

    def subscribe(self) -> None:
        """Begin a watch, unless one is on, or there is nowhere to ask; with a pace, when that lets it."""
        if self._watching or not self.address or self._again is not None:
            return
        now = self._deadlines.clock()
        if self.pace is not None and not self._begun and (when := self.pace.begin(now, self.listed)) > now:
            self._begun = True
            self._again = self._deadlines.call_at(when, self._begin)
        else:
            self._begin()

    def _begin(self) -> None:
        self._again = None
        self._watching = self._fresh = self._begun = True
        # a silent register is found out sooner, and what is missing is needed even if it is nothing
        minded = self.on_good is not None or self.freshness.state is State.MISSED
        unlisted = self.pace is not None and not self.listed
        self.at_once = self.at_once or unlisted or (minded and self.freshness.missing)
        self._ask()

    def begin_clock(self, remaining: float) -> None:
        """The process begins with a list that is good for so many ms as another one knows; 0 is of unknown age."""
        self.freshness.begin(self._deadlines.clock(), remaining)
        self._set_clock()

    def _happened(self, event: Event) -> None:
        """Something has become of a call: the list may be good for longer, or for less long."""
        freshness, now = self.freshness, self._deadlines.clock()
        before, was_good = freshness.state, now < freshness.good_until
        freshness.happened(event, now)
        if freshness.state is not before:
            left = freshness.good_until - now
            self._log(
                "list_state",
                state=freshness.state.value,
                before=before.value,
                why=event.value,
                version=self.version,
                good_ms=round(left) if math.isfinite(left) else None,
            )
        self._set_clock()
        if self.on_good is not None and not was_good and now < freshness.good_until and event is not Event.ANSWERED:
            self.on_good(True)  # an answer tells it itself, with its news

    def _set_clock(self) -> None:
        """Have it told when the list that is held may not be gone by any more."""
        self._deadlines.cancel(self._stale_at)
        self._stale_at = None
        if self.on_good is None or not self.address:
            return
        if self.freshness.good_until <= self._deadlines.clock():
            self._note_stale()
            return
        self._noted_stale = False
        if math.isfinite(self.freshness.good_until):
            self._stale_at = self._deadlines.call_at(self.freshness.good_until, self._note_stale)

    def _note_stale(self) -> None:
        self._stale_at = None
        if self.on_good is not None and not self._noted_stale:
            self._noted_stale = True
            self._fresh = True  # the next answer lifts it, whatever it brings
            age = self._deadlines.clock() - self._answered_at
            self._log(
                "list_stale",
                state=self.freshness.state.value,
                version=self.version,
                answered_ms_ago=round(age) if math.isfinite(age) else None,
            )
            self.on_good(False)

    def behind(self) -> bool:
        """Whether the list that is held must not be gone by, though the loop has not come to know of it.

        The loop may have stood still: a change that counts as told waits unread behind other bytes, or the timer that
        ends the list's time is overdue.  Both are over within a turn of the loop, so whatever is to go out waits.
        """
        now = self._deadlines.clock()
        if self._stale_at is not None and now >= self.freshness.good_until:
            return True
        if now - self._read_at < READ_WITHIN:
            return False
        call = self.call
        if call is not None and call.transport is not None and not call.lost and has_unread_input(call.transport):
            return True
        self._read_at = now
        return False

    @property
    def watching(self) -> bool:
        """Whether a watch is on."""
        return self._watching

    def resume(self) -> None:
        """Begin a watch after a pause; its first call is answered at once, also when there is nothing new."""
        self.at_once = not self._watching
        self.subscribe()

    def move(self, address: str) -> None:
        """Discovery is elsewhere from now on: ask there at once, and for all that it knows.

        Its versions need not be those of the address before, so a watch from ours could wait for ever while what
        it has to tell counts as told.  What is held stays until it answers.
        """
        if address == self.address:
            return
        self._drop()
        self.address, self.version = address, None
        self._happened(Event.MOVED)
        self._begin()

    def asked(self, call: _Call, wait: float) -> None:
        """A call has gone out that waits so long for news; else it may take as long as the pace has patience."""
        call.asked_at = self._deadlines.clock()
        self.freshness.called(call.asked_at, wait)
        self._set_clock()
        patience = self.pace.patience if self.pace is not None else LIST_WAIT
        self._expect(call, patience if call.at_once else wait + LATE, "no answer in time", PollFailure.SLOW)

    def lists(self, call: _Call) -> None:
        """A list has begun: what it tells counts from its writing on, whenever the rest of it comes."""
        if call is self.call:
            self._happened(Event.BEGUN)

    def hears(self, call: _Call) -> None:
        """An answer has begun; its bytes may come slowly."""
        if call is self.call and not call.at_once:
            self._expect(call, LIST_WAIT, "no whole answer in time", PollFailure.SLOW)

    def _expect(self, call: _Call, wait: float, why: str, how: PollFailure) -> None:
        """A call has failed unless it comes further within this time."""
        self._deadlines.cancel(self._deadline)
        self._deadline = self._deadlines.call_after(wait, self.failed, call, why, how)

    def stop(self) -> None:
        """Close the connection, and call no more until the next :meth:`subscribe`."""
        self._watching = False
        self._deadlines.cancel(self._stale_at)
        self._stale_at = None
        self._drop()

    def answered(self, call: _Call, body: bytes) -> None:
        """An answer has come: the next call goes out at once, for a watch ends 200 ms after its last answer."""
        if call is not self.call:
            return
        try:
            version, whole, entries = self.read(orjson.loads(body))
            if not whole and self.version is not None and version < self.version:
                raise EndpointListError(f"changes of version {version} after {self.version}")
        except ValueError as error:
            self.failed(call, f"bad list: {error}", PollFailure.BAD)
            return
        self.version = version
        fresh, self._fresh, self.listed = self._fresh, False, True
        self._answered_at, self._failures = self._deadlines.clock(), 0
        if self.pace is not None and call.at_once:
            self.pace.answered(self._answered_at - call.asked_at)
        self._happened(Event.ANSWERED)
        self._ask()
        if entries or whole or fresh:
            self._log("inventory", version=version, whole=whole, entries=len(entries))
            self.news(ListKind.FULL if whole else ListKind.CHANGES, entries)

    def failed(self, call: _Call | None, why: str, how: PollFailure = PollFailure.DOWN) -> None:
        """A call has failed: the list held so far stays, and the module decides when to ask again, or the pace.

        But a watch that has fallen silent is opened anew at once, and what has been missed is asked for: it counts as
        notified whether or not it has come.
        """
        if call is not self.call or not self._watching:
            return
        now, silent = self._deadlines.clock(), how is PollFailure.SLOW
        self._happened(EVENTS.get(how, Event.FAILED))
        retry_after = call.retry_after if call is not None else 0.0
        self._drop()
        self._log(
            "inventory_failed",
            why=why,
            how=how.value,
            at_once=call is not None and call.at_once,
            after_ms=round(now - call.asked_at) if call is not None and call.asked_at else None,
        )
        if silent and call is not None and not call.at_once:
            self.at_once = True
            self._ask()
            return
        self._watching = False
        if self.pace is not None:
            self._again = self._deadlines.call_at(self.pace.failed(now, how, self.listed, retry_after), self._begin)
        elif self.on_good is not None:
            self._again = self._deadlines.call_after(self._pause(), self._begin)
        self.news(ListKind.FAILED, [])

    def _pause(self) -> float:
        """Until the next call after one that failed: while the list is not confirmed its time runs out."""
        if self.freshness.pause is not None:
            return self.freshness.pause
        self._failures += 1
        return min(RETRY_MOST, RETRY_FIRST * 2.0 ** min(self._failures, 8)) * uniform(0.5, 1.0)

    def _ask(self) -> None:
        if self.call is not None and not self.call.lost and self.call.transport is not None:
            self.call.ask()
        else:
            if self.freshness.state is State.WATCHED:
                self._happened(Event.FAILED)
            call = self.call = _Call(self)
            self._expect(call, DIAL_WAIT, "dial: no answer in time", PollFailure.UNREACHABLE)
            self._dial = asyncio.get_running_loop().create_task(self._connect(call))

    def _drop(self) -> None:
        self._deadlines.cancel(self._deadline)
        self._deadlines.cancel(self._again)
        call, self.call, self._again = self.call, None, None
        if call is not None and call.transport is not None:
            call.transport.abort()
        elif self._dial is not None:
            self._dial.cancel()

    async def _connect(self, call: _Call) -> None:
        host, port = http.split_address(self.address)
        try:
            await asyncio.get_running_loop().create_connection(lambda: call, host, port)
        except OSError as error:
            self.failed(call, f"dial: {error}", _why(error))
            self.turn()


def _why(error: OSError) -> PollFailure:
    """What a dial that failed says of the other side; a failure of our own machine says nothing."""
    if isinstance(error, ConnectionRefusedError):
        return PollFailure.REFUSED
    return PollFailure.UNREACHABLE if error.errno in UNREACHABLE else PollFailure.DOWN
