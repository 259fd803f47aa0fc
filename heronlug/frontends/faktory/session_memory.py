"""Counts what the connections of producers and workers hold, and closes those that hold most when it is too much."""

from typing import Protocol

from heronlug.memory.account import MemoryAccount, Reservation
from heronlug.memory.holders import Holder

SESSION_BYTES = 8192
"""Memory of a connection without commands and replies, in bytes."""

COMMANDS_SHARE = 0.15
"""Share of the account that the commands and replies of all connections may take."""

MIN_COMMANDS_BYTES = 512 * 1024
"""Memory that they may take at least, in bytes: less would be too little for a command of the largest size."""


class HoldingSession(Protocol):
    """A connection that holds commands and replies."""

    def reject_for_memory(self, held_bytes: int) -> None:
        """Closes the connection, whose commands and replies hold so many bytes and must not be held any longer."""


class SessionMemory:
    """The connections and their commands and replies, in the account of the process."""

    def __init__(self, account: MemoryAccount) -> None:
        """Creates the part of an account that has no connection yet; its bound follows from the limit as it is now."""
        self._account = account
        self._max_bytes = max(MIN_COMMANDS_BYTES, int(COMMANDS_SHARE * account.limit))
        self._reservations: dict[HoldingSession, Reservation] = {}

    def add(self, session: HoldingSession) -> None:
        """Counts a connection."""
        self._reservations[session] = Reservation(self._account, Holder.FAKTORY_SESSIONS)
        self._reservations[session].hold(SESSION_BYTES)

    def remove(self, session: HoldingSession) -> None:
        """Releases all that a connection holds; has no effect on one that is not counted."""
        reservation = self._reservations.pop(session, None)
        if reservation is not None:
            reservation.release()

    def update(self, session: HoldingSession, size: int) -> None:
        """Sets what the commands and replies of a connection hold, in bytes.

        If all connections hold too much, those that hold most are closed: who sends one command at a time holds least.
        """
        reservation = self._reservations.get(session)
        if reservation is None or size == _held_bytes(reservation):
            return
        grows = size > _held_bytes(reservation)
        reservation.hold(SESSION_BYTES + size)
        while grows and self._total_bytes > self._max_bytes:
            self._account.refusals[Holder.FAKTORY_SESSIONS] += 1
            largest, reservation = max(self._reservations.items(), key=lambda item: item[1].size)
            held_bytes = _held_bytes(reservation)
            reservation.hold(SESSION_BYTES)
            largest.reject_for_memory(held_bytes)

    @property
    def _total_bytes(self) -> int:
        """Returns what the commands and replies of all connections hold, in bytes."""
        return self._account.by_holder[Holder.FAKTORY_SESSIONS] - SESSION_BYTES * len(self._reservations)


def _held_bytes(reservation: Reservation) -> int:
    """Returns what the commands and replies of a connection hold, in bytes."""
    return reservation.size - SESSION_BYTES
