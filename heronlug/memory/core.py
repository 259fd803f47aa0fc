"""The core: owns each message until its one final answer, and turns decisions into calls on a front.

Events come in through the methods below, actions of the decision module go out through :class:`Front`.  Nothing
here knows a socket or a protocol.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf
from typing import Any, NamedTuple, Protocol

from heronlug import interface as pk
from heronlug.learned import attempts, not_before
from heronlug.logic import Dispatcher
from heronlug.memory.deadlines import Deadlines, Key
from heronlug.memory.numbers import Numbers
from heronlug.memory.slots import Slots

SLOW_EVENT = 100.0  # ms that an event may take before it is worth a line
POSTPONED = 5.0  # ms until the list is looked at again, for which an attempt waits

Event = pk.Event
Logger = Callable[..., None]


class Final(Enum):
    """The kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class HostEntry(NamedTuple):
    """One line of an inventory, by the host's name."""

    name: str
    address: str
    state: pk.WorkerState = pk.WorkerState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: float = 0.0


@dataclass(slots=True, eq=False)
class Host:
    """A south side host as the inventory last told of it."""

    number: int
    entry: HostEntry
    unwanted_since: float | None = None  # when we were notified that it drains or has left

    @property
    def ready(self) -> bool:
        """Whether it may be sent anything new."""
        return self.unwanted_since is None


def _line(host: Host) -> pk.WorkerEntry:
    """A host as the module has it in a list."""
    _, _, state, zone, kind, cell, weight, started_at = host.entry
    return pk.WorkerEntry(host.number, state, zone, kind, cell, weight, started_at)


@dataclass(slots=True, eq=False)
class Message:
    """A client's request until its final answer has gone out and its last relay has ended."""

    load: Any  # the front's own: what to relay, and whom to answer
    lane: int
    terms: pk.JobClass  # its class with the limits that it was accepted under, whatever is set later
    give_up_at: float
    taken_at: float
    name: str = ""  # the client's own name for it; no two open ones may have the same
    ticket: int = 0
    final: Final | None = None
    gone: bool = False  # the client has left, nothing is owed
    relays: list["Relay"] = field(default_factory=list)
    guard: Key | None = None

    @property
    def closed(self) -> bool:
        """Whether anything is still owed."""
        return self.gone or self.final is not None


@dataclass(slots=True, eq=False)
class Relay:
    """One attempt."""

    message: Message
    number: int
    host: Host
    sent_at: float
    ticket: int = 0
    out: bool = True
    ran: bool = True  # it may have run, or may yet; unless its end proves that it never did
    wire: Any = None  # the front's own


class Front(Protocol):
    """What the core asks of a protocol."""

    def send(self, relay: Relay) -> None:
        """Begin a relay; its one end is told through :meth:`Core.ended`."""

    def cancel(self, relay: Relay) -> None:
        """Stop waiting for a relay; the core has booked its end already."""

    def answer(self, message: Message, final: Final, body: bytes, come_back: float) -> None:
        """Give the one final answer."""

    def here(self, message: Message) -> bool:
        """Whether its client still waits, as far as our machine knows, read or not."""


class Hooks(Protocol):
    """What plug-ins may see; see :mod:`heronlug.hooks.host`."""

    def admit(self, lane: int, remaining: float, size: int) -> bool:
        """Whether a message is taken in."""

    def observe(self, lane: int, final: Final, took: float) -> None:
        """A final answer has gone out."""


def _quiet(event: str, **fields: object) -> None:
    """Log nothing."""


class Core:
    """Messages, relays and hosts of one front, and the module that decides about them."""

    def __init__(
        self,
        settings: pk.Settings,
        seed: int,
        front: Front,
        deadlines: Deadlines,
        *,
        log: Logger = _quiet,
        subscribe: Callable[[], None] = lambda: None,
        tell: Callable[[bytes, int], None] = lambda content, peer: None,
        max_open: int = 20_000,
        max_come_back: float = 0.0,
        hooks: Hooks | None = None,
        behind: Callable[[], bool] = lambda: False,
    ) -> None:
        self.settings, self.front, self.deadlines = settings, front, deadlines
        self.hooks = hooks
        self.messages: Slots[Message] = Slots()
        self.relays: Slots[Relay] = Slots()
        self.hosts: dict[int, Host] = {}
        self.stale = False  # any host may drain or have left by now: the list is older than the rules allow
        self.dispatcher = Dispatcher(settings, seed)
        self._numbers = Numbers()
        self._left_at: dict[int, float] = {}  # when each host that has left was told of as gone, oldest first
        self.names: set[str] = set()  # of the messages in the table
        self.elsewhere: set[str] = set()  # of those that another process of this dispatcher has
        self.named: Callable[[str, bool], None] | None = None  # told when one opens, and when it ends
        self._queue: deque[Event] = deque()
        self._pumping = False
        self._log, self._subscribe, self._tell = log, subscribe, tell
        self.behind = behind  # the list is about to change: no attempt begins before that is known
        self.postponed = 0  # attempts that have waited for the list
        self.slow_events = 0  # events of the module that took longer than SLOW_EVENT
        self.max_open, self._max_come_back = max_open, max_come_back
        self.answer_by = inf  # the last moment for any answer, once a stop has begun
        self.lanes = [lane.name for lane in settings.classes]
        self.open = 0  # messages taken and not yet ended
        self.finals = [dict.fromkeys(Final, 0) for _ in self.lanes]  # answers by class, since the start
        self.dispatches = 0  # relays written whole

    # -- the north side

    def is_open(self, name: str) -> bool:
        """Whether a message of that name is open: a host could not tell another one from it."""
        return name in self.names or name in self.elsewhere

    def take(
        self,
        load: Any,
        lane: int,
        remaining: float,
        *,
        name: str = "",
        size: int = 0,
        terms: pk.JobClass | None = None,
        **fields: Any,
    ) -> Message:
        """Take a message in; from here on it is owed one final answer.  ``fields`` are those of ``JobArrived``.

        ``terms`` are those it was accepted under, where that was earlier.
        """
        now = self.deadlines.clock()
        terms = terms or self.settings.classes[lane]
        if terms.give_up:
            remaining = min(remaining, terms.give_up)
        message = Message(load, lane, terms, min(now + remaining, self.answer_by), now, name)
        message.ticket = self.messages.put(message)
        self.open += 1
        if name:
            self.names.add(name)
            if self.named is not None:
                self.named(name, True)
        message.guard = self.deadlines.at(message.give_up_at, self._give_up, message)
        self._log("taken", message=message.ticket, id=name, lane=terms.name, left=round(message.give_up_at - now))
        full = message.give_up_at <= now or len(self.messages) > self.max_open
        if full or (self.hooks is not None and not self.hooks.admit(lane, remaining, size)):
            reason = "not_admitted" if not full else "expired" if message.give_up_at <= now else "too_many_open"
            self._close(message, Final.REFUSED, b"", self._max_come_back / 2, reason)
        else:
            self._give(pk.JobArrived(message.ticket, lane, message.give_up_at, terms=terms, **fields))
        return message

    def adopt(
        self,
        load: Any,
        lane: int,
        give_up_at: float,
        taken_at: float,
        name: str,
        passed: Sequence[tuple[HostEntry, pk.Attempt]],
        terms: pk.JobClass,
        not_before: float = 0.0,
        **fields: Any,
    ) -> Message:
        """Go on with a message that another process took; its relays that are out need their wires."""
        message = Message(load, lane, terms, give_up_at, taken_at, name)
        message.ticket = self.messages.put(message)
        self.open += 1
        self.names.add(name)
        message.guard = self.deadlines.at(give_up_at, self._give_up, message)
        attempts = []
        for entry, attempt in passed:
            number = self._numbers.of(entry.name)
            if number not in self.hosts:
                self.inventory(pk.ListKind.CHANGES, [entry])
            relay = Relay(message, len(message.relays), self.hosts[number], attempt.sent, out=attempt.out)
            relay.ran = attempt.may_have_run
            message.relays.append(relay)
            if relay.out:
                relay.ticket = self.relays.put(relay)
            attempts.append(attempt._replace(worker=number))
        arrived = pk.JobArrived(message.ticket, lane, give_up_at, terms=terms, **fields)
        self._give(pk.JobAdopted(arrived, taken_at, tuple(attempts), not_before))
        return message

    def attempts(self, message: Message) -> list[tuple[HostEntry, pk.Attempt]] | None:
        """What is known of its relays, for another process to go on with; None if it is over."""
        passed = None if message.closed else attempts(self.dispatcher, message.ticket)
        if passed is None or len(passed) != len(message.relays):
            return None
        return [(relay.host.entry, attempt) for relay, attempt in zip(message.relays, passed, strict=True)]

    def not_before(self, message: Message) -> float:
        """When a message that waits for its next relay may have it."""
        return not_before(self.dispatcher, message.ticket)

    def pass_on(self, message: Message) -> None:
        """Another process goes on with it: nothing is owed here, and nothing has ended."""
        message.gone = True
        self.open -= 1
        for relay in message.relays:
            if relay.out:
                relay.out = False
                self.relays.take(relay.ticket)
        self._give(pk.JobPassedOn(message.ticket))
        self._forget(message)

    def use(self, classes: tuple[pk.JobClass, ...]) -> None:
        """Other limits from now on, in one step; what has been accepted keeps its own.

        The classes stay the same in number, order, effect and aim: the module has learned by them.
        """
        self.settings = replace(self.settings, classes=classes)

    def leave(self, message: Message) -> None:
        """The client has gone: nothing is owed any more."""
        if not message.closed:
            message.gone = True
            self.open -= 1
            self._log("client_gone", message=message.ticket, id=message.name)
            self._give(pk.ClientGone(message.ticket))
            self._forget(message)

    def turned_away(self, lane: int, final: Final) -> None:
        """One final answer more; a front counts here too what it answers without having it taken."""
        self.finals[lane][final] += 1

    def fail(self, message: Message) -> None:
        """Give it up from outside the module: its final answer is a failure, and what is out is cancelled."""
        if not message.closed:
            self._close(message, Final.FAILED, b"", reason="connection_rejected")
            self._give(pk.ClientGone(message.ticket))
            self._forget(message)

    def give_up_all(self) -> None:
        """The process ends: whatever is still owed is answered now, as the module words it."""
        for message in list(self.messages):
            if not message.closed:
                self._give(pk.NoTimeLeft(message.ticket))

    # -- the south side

    def may_write(self, relay: Relay) -> bool:
        """Whether the first byte of a relay may still be written.

        Guards the drain and no-repeat rules at the last moment: the decision was right when it was made, but the
        host may drain or have left, or the message closed, while a connection was being made.
        """
        held_off = self.stale or not relay.host.ready or not self._may_repeat(relay)
        return relay.out and not held_off and not self._left(relay.message)

    def _may_repeat(self, relay: Relay) -> bool:
        """Whether hosts still drop a repeat, where they do so for a while only: a dial takes some of that."""
        terms = relay.message.terms
        risky = [r for r in relay.message.relays[: relay.number] if r.ran] if terms.effect is pk.Effect.BY_KEY else []
        return all(self.deadlines.clock() - r.sent_at <= terms.repeat_window for r in risky)

    def runs_once(self, relay: Relay) -> bool:
        """Whether it must not run a second time, so that only proof that it never ran lets it go out again."""
        return self.settings.classes[relay.message.lane].effect is pk.Effect.ONCE

    def written(self) -> None:
        """The last byte of a relay has gone out."""
        self.dispatches += 1

    def noted(self, relay: Relay, kind: pk.NoteKind, share: float = 0.0) -> None:
        """The host tells that a relay has started, or how far it has come."""
        if relay.out:
            self._give(pk.Note(relay.message.ticket, relay.number, relay.host.number, kind, share))

    def ended(self, relay: Relay, outcome: pk.Outcome, result: bytes = b"") -> None:
        """The one end of a relay; further ones are ignored.  A first ``SERVED`` answers the message."""
        if not relay.out:
            return
        relay.out, relay.ran = False, outcome not in pk.NEVER_RAN
        self.relays.take(relay.ticket)
        message, now = relay.message, self.deadlines.clock()
        if outcome != pk.Outcome.SERVED:
            self._log(
                "relay_ended",
                message=message.ticket,
                id=message.name,
                relay=relay.number,
                host=relay.host.entry.name,
                outcome=outcome.name.lower(),
                ms=round(now - relay.sent_at, 1),
            )
        elif not message.closed:
            self._close(message, Final.SERVED, result)
        latency = max(0.0, now - relay.sent_at)
        self._give(pk.AttemptEnded(message.ticket, relay.number, relay.host.number, outcome, latency, message.closed))
        self._forget(message)

    # -- the inventory and the peers

    def inventory(self, kind: pk.ListKind, entries: Sequence[HostEntry]) -> None:
        """News of the hosts."""
        now = self.deadlines.clock()
        lines = [self._take_in(entry, now) for entry in entries]
        if kind in (pk.ListKind.FULL, pk.ListKind.CACHED):
            for number in self.hosts.keys() - {line.worker for line in lines}:
                host = self.hosts[number]
                host.entry = host.entry._replace(state=pk.WorkerState.GONE)
                self._tell_state(host, now)
        if self.stale and kind in (pk.ListKind.FULL, pk.ListKind.CHANGES):
            self.stale, kind, lines = False, pk.ListKind.FULL, self._listed()  # the module has none
        self._give(pk.WorkerList(kind, tuple(lines)))
        self._forget_hosts(now)

    def _take_in(self, entry: HostEntry, now: float) -> pk.WorkerEntry:
        """One line of a list, as the module has it."""
        number = self._numbers.of(entry.name)
        host = self.hosts.get(number)
        if host is None:
            host = self.hosts[number] = Host(number, entry)
        host.entry = entry
        self._tell_state(host, now)
        return _line(host)

    def _forget_hosts(self, now: float) -> None:
        """Drop what is kept of hosts that left long ago, once nothing of ours is out at them."""
        due = [number for number, at in self._left_at.items() if at <= now - pk.FORGET_AFTER]
        used = {relay.host.number for relay in self.relays} if due else set()
        for number in due:
            if number not in used:
                del self._left_at[number]
                self._numbers.forget(self.hosts.pop(number).entry.name)

    def use_list(self, good: bool) -> None:
        """Whether the list that is held may be gone by.  While it may not, no server gets new work: it is as none."""
        if good is self.stale:
            self.stale = not good
            self._give(pk.WorkerList(pk.ListKind.CACHED, tuple(self._listed()) if good else ()))

    def _listed(self) -> list[pk.WorkerEntry]:
        """All hosts that have not left, as the module has them."""
        return [_line(host) for host in self.hosts.values() if host.entry.state is not pk.WorkerState.GONE]

    def heard(self, peer: int, content: bytes) -> None:
        """A message from another dispatcher."""
        self._give(pk.PeerMessage(peer, content))

    @property
    def counts(self) -> dict[Final, int]:
        """The final answers of all classes."""
        return {final: sum(finals[final] for finals in self.finals) for final in Final}

    def targets(self) -> tuple[int, int]:
        """How many hosts the inventory lists, and how many of them the module avoids now."""
        listed = [number for number, host in self.hosts.items() if host.entry.state is not pk.WorkerState.GONE]
        avoided = self.dispatcher.avoided(self.deadlines.clock())
        return len(listed), sum(1 for number in listed if number in avoided)

    def alone(self) -> None:
        """There is no other process of this dispatcher any more."""
        self.elsewhere.clear()
        self._give(pk.PeerGone(self.settings.position))

    @property
    def can_serve(self) -> bool:
        """Whether there is a host that may be sent something."""
        return not self.stale and self.lists_ready

    @property
    def lists_ready(self) -> bool:
        """Whether the list names a host that is ready, be it good or not."""
        return any(host.ready for host in self.hosts.values())

    # -- inside

    def _tell_state(self, host: Host, now: float) -> None:
        state = host.entry.state
        if state is pk.WorkerState.READY:
            host.unwanted_since = None
        elif host.unwanted_since is None:
            host.unwanted_since = now
        if state is not pk.WorkerState.GONE:
            self._left_at.pop(host.number, None)
        else:
            self._left_at.setdefault(host.number, now)

    def _give(self, event: Event) -> None:
        """Hand an event to the module; what its actions cause in turn waits until they are all done."""
        self._queue.append(event)
        if self._pumping:
            return
        self._pumping = True
        try:
            while self._queue:
                now, event = self.deadlines.clock(), self._queue.popleft()
                for action in self.dispatcher.handle(now, event):
                    self._do(action, now)
                took = self.deadlines.clock() - now
                if took >= SLOW_EVENT:
                    self._note_slow(event, took)
        finally:
            self._pumping = False

    def _note_slow(self, event: Event, took: float) -> None:
        """An event has held the loop up, or the process had no processor meanwhile."""
        self.slow_events += 1
        self._log(
            "slow_event",
            kind=type(event).__name__,
            ms=round(took, 1),
            hosts=len(self.hosts),
            open=self.open,
            waiting=len(self.dispatcher.held) + len(self.dispatcher.late),
        )

    def _do(self, action: pk.Action, now: float) -> None:
        if isinstance(action, pk.Send):
            self._send(action, now)
        elif isinstance(action, pk.SetTimer):
            self.deadlines.at(now + action.delay, self._give, pk.TimerFired(action.token))
        elif isinstance(action, pk.Refuse | pk.Fail):
            message = self.messages.get(action.job)
            if message is not None and not message.closed:
                refused = isinstance(action, pk.Refuse)
                final = Final.REFUSED if refused else Final.FAILED
                self._close(message, final, b"", self._max_come_back / 2, action.reason.value)
                self._forget(message)
        elif isinstance(action, pk.Cancel):
            message = self.messages.get(action.job)
            if message is not None and action.attempt < len(message.relays):
                self._end_early(message.relays[action.attempt], pk.Outcome.CANCELLED)
        elif isinstance(action, pk.Tell):
            self._tell(action.content, action.peer)
        elif isinstance(action, pk.Subscribe):
            self._subscribe()
        else:
            self._log("decision", text=action.text)

    def _send(self, action: pk.Send, now: float) -> None:
        message, host = self.messages.get(action.job), self.hosts[action.worker]
        if message is None:
            self._queue.append(pk.AttemptEnded(action.job, 0, host.number, pk.Outcome.MOOT, 0.0, True))
            return
        relay = Relay(message, len(message.relays), host, now)
        message.relays.append(relay)
        relay.ticket = self.relays.put(relay)
        if relay.number:
            hedged = any(other.out for other in message.relays[:-1])
            self._log(
                "attempt_hedged" if hedged else "attempt_retried",
                message=message.ticket,
                id=message.name,
                relay=relay.number,
                host=host.entry.name,
            )
        if now >= message.give_up_at or relay.number >= self.settings.cap(message.terms) or self._left(message):
            self.ended(relay, pk.Outcome.MOOT)
        elif self.behind():
            self.postpone(self._begin, relay)
        else:
            self.front.send(relay)

    def postpone(self, act: Callable[[Relay], None], relay: Relay) -> None:
        """Go on with an attempt at the next sweep, for the list is read in this turn."""
        self.postponed += 1
        message = relay.message
        self._log(
            "attempt_postponed", message=message.ticket, id=message.name, relay=relay.number, host=relay.host.entry.name
        )
        self.deadlines.after(0.0, act, relay)

    def _begin(self, relay: Relay) -> None:
        """Begin an attempt that has waited for the list, if that still allows it."""
        if not relay.out:
            return
        if self.behind():
            self.deadlines.after(POSTPONED, self._begin, relay)
        elif self.may_write(relay):
            self.front.send(relay)
        else:
            self.ended(relay, pk.Outcome.CONNECT_FAILED)

    def _left(self, message: Message) -> bool:
        """Whether nothing is owed; a client may have left long ago, with the news of it not read yet."""
        if not message.closed and not self.front.here(message):
            self.leave(message)
        return message.closed

    def _end_early(self, relay: Relay, outcome: pk.Outcome) -> None:
        if relay.out:
            self.front.cancel(relay)
            self.ended(relay, outcome)

    def _give_up(self, message: Message) -> None:
        """The client's time is over: relays still out have timed out, and an answer still owed is given here."""
        for relay in message.relays:
            self._end_early(relay, pk.Outcome.TIMEOUT)
        if not message.closed:
            self._log("overdue", message=message.ticket, id=message.name)
            self._close(message, Final.FAILED, b"", reason="overdue")
        self._forget(message)

    def _close(self, message: Message, final: Final, body: bytes, come_back: float = 0.0, reason: str = "") -> None:
        """The one place where a final answer goes out."""
        message.final = final
        self.open -= 1
        self.turned_away(message.lane, final)
        took = self.deadlines.clock() - message.taken_at
        self._log(
            "answer",
            message=message.ticket,
            id=message.name,
            lane=self.settings.classes[message.lane].name,
            final=final.value,
            relays=len(message.relays),
            ms=round(took, 1),
            **({"why": reason} if reason else {}),
        )
        self.front.answer(message, final, body, come_back)
        if self.hooks is not None:
            self.hooks.observe(message.lane, final, took)
        self._forget(message)

    def _forget(self, message: Message) -> None:
        """Free the slot once nothing is owed and nothing is out."""
        if message.closed and not any(relay.out for relay in message.relays):
            self.deadlines.drop(message.guard)
            if self.messages.take(message.ticket) is not None and message.name:
                self.names.discard(message.name)
                if self.named is not None:
                    self.named(message.name, False)
