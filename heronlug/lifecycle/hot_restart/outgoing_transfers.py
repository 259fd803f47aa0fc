"""Offers connections and requests to the successor, and lets go of each only once the successor has accepted it.

Until then this process can take an offer back, because it keeps all descriptors and only pauses reading. Exactly one
process continues at any time: the successor waits for the commit, and the commit is the last that this process does.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from heronlug.lifecycle.hot_restart import messages
from heronlug.lifecycle.hot_restart.errors import UnexpectedMessageError
from heronlug.lifecycle.hot_restart.messages import Feature, Message
from heronlug.lifecycle.hot_restart.session import HotRestart
from heronlug.lifecycle.hot_restart.shared_limits import Room
from heronlug.requests.deadlines import Deadlines, Key

MIN_WINDOW = 4
"""Number of descriptors that may be offered without an answer in any case; both processes hold them meanwhile."""
MAX_WINDOW = 128
"""Maximum number of descriptors that are offered without an answer."""
WITHHELD_BY_MIDDLE = 22
"""Descriptors by which a process with a predecessor reduces the window, because three processes hold descriptors."""
OFFER_TIMEOUT_MS = 1000.0
"""Time after which a successor that does not answer an offer counts as hanging, in ms."""


class Transferable(Protocol):
    """An idle client connection, or a request with its connections, that can be offered."""

    def describe(self) -> dict[str, str]:
        """Returns the fields that identify the connection or request in the log."""

    def release(self) -> None:
        """Lets go, because the successor continues."""

    def reclaim(self) -> None:
        """Continues in this process, as if nothing had been offered."""


@dataclass(frozen=True)
class _Offer:
    """An offer that the successor has not answered yet."""

    item: Transferable
    descriptors: int
    room: Room
    timeout: Key


class OutgoingTransfers:
    """The offers of this process to its successor."""

    def __init__(
        self,
        session: HotRestart,
        deadlines: Deadlines,
        log: Callable[..., None],
        give_room: Callable[[Room], None],
        on_answered: Callable[[], None],
        when_closed: Callable[[Callable[[], None]], None],
    ) -> None:
        """Creates a table without offers.

        Args:
            session: Sends the messages to the successor.
            deadlines: The deadlines of the process.
            log: Logs events.
            give_room: Called with the room that goes to the successor, before the successor may use it.
            on_answered: Called when further offers may be possible.
            when_closed: Calls its argument once the event loop has closed the descriptors that were released before.
        """
        self._session = session
        self._deadlines = deadlines
        self._log = log
        self._give_room = give_room
        self._on_answered = on_answered
        self._when_closed = when_closed
        self._closing = 0  # descriptors that are released and not closed yet
        self._offers: dict[int, _Offer] = {}
        self._last_number = 0
        self._window = MIN_WINDOW

    @property
    def full(self) -> bool:
        """Returns whether no further offer can be made now."""
        window = self._window if self._session.predecessor is None else self._window - WITHHELD_BY_MIDDLE
        held_twice = self._closing + sum(offer.descriptors for offer in self._offers.values())
        return held_twice >= min(MAX_WINDOW, max(MIN_WINDOW, window))

    @property
    def confirmed(self) -> bool:
        """Returns whether the successor confirms what it continues."""
        return self._session.successor_has(Feature.CONFIRM)

    def offer(self, message: Message, fds: list[int], item: Transferable, room: Room) -> int | None:
        """Offers an item whose connections are paused; takes the item back if the offer cannot be sent.

        A successor without :attr:`Feature.CONFIRM` continues the item at once.

        Args:
            message: The message that describes the item.
            fds: The descriptors of its connections.
            item: What is offered.
            room: The room of the shared limits that the item takes along.

        Returns:
            The number of the offer, for :meth:`withdraw`; None if there is nothing to withdraw.
        """
        if not self._session.handed_over:
            item.reclaim()
            return None
        confirmed = self.confirmed
        self._last_number += 1
        number = self._last_number
        try:
            self._session.send_to_successor(messages.with_transfer(message, number) if confirmed else message, fds)
        except OSError as error:  # no descriptor is free for the copies
            self._log("transfer_failed", why=str(error), **item.describe())
            item.reclaim()
            return None
        if not confirmed:
            self._give_room(room)
            item.release()
            return None
        timeout = self._deadlines.call_after(OFFER_TIMEOUT_MS, self._on_timeout, number)
        self._offers[number] = _Offer(item, len(fds), room, timeout)
        return number

    def accept(self, number: int, window: int) -> None:
        """Lets go of an item that the successor has accepted; an item that was taken back stays here.

        Args:
            number: Number of the offer.
            window: Number of descriptors that the successor can hold before this process closes its own.
        """
        self._window = window
        offer = self._remove(number)
        if offer is None:
            return
        self._give_room(offer.room)
        self._session.send_to_successor(messages.committed(number))
        offer.item.release()
        self._closing += offer.descriptors
        self._when_closed(lambda: self._count_closed(offer.descriptors))

    def decline(self, number: int, reason: str) -> None:
        """Takes back an item that the successor cannot continue."""
        offer = self._remove(number)
        if offer is None:
            return
        self._log("transfer_declined", why=reason, **offer.item.describe())
        offer.item.reclaim()
        self._on_answered()

    def withdraw(self, number: int) -> None:
        """Takes back an item because this process has to act on it; does nothing once the offer was answered."""
        offer = self._remove(number)
        if offer is not None:
            self._session.send_to_successor(messages.withdrawn(number))
            offer.item.reclaim()

    def withdraw_all(self) -> None:
        """Takes back all items after the successor has ended."""
        for number in list(self._offers):
            self.withdraw(number)

    def _count_closed(self, descriptors: int) -> None:
        self._closing -= descriptors
        self._on_answered()

    def _on_timeout(self, number: int) -> None:
        if number in self._offers:
            self._session.abandon_successor()

    def _remove(self, number: int) -> _Offer | None:
        if number > self._last_number:
            msg = f"transfer {number} was never offered, expected at most {self._last_number}"
            raise UnexpectedMessageError(msg)
        offer = self._offers.pop(number, None)
        if offer is not None:
            self._deadlines.cancel(offer.timeout)
        return offer
