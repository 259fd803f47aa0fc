"""Counts what the connections of producers and workers hold, and closes those that hold most when it is too much."""

from typing import Protocol

from heronlug.memory.account import MemoryAccount
from heronlug.memory.holders import Holder

SESSION_BYTES = 8192
"""Memory of a connection without commands and replies, in bytes."""

COMMANDS_SHARE = 0.15
"""Share of the account that the commands and replies of all connections may take."""

MIN_COMMANDS_BYTES = 512 * 1024
"""Memory that they may take at least, in bytes: less would be too little for a command of the largest size."""


class HoldingSession(Protocol):
    """A connection that holds commands and replies.

    Attributes:
        held_bytes: what its commands and replies hold, in bytes; changed by :class:`SessionMemory` alone.
    """

    held_bytes: int

    def reject_for_memory(self) -> None:
        """Closes the connection, which then holds nothing."""


class SessionMemory:
    """What the connections hold, in the account of the process."""

    def __init__(self, account: MemoryAccount) -> None:
        """Creates the part of an account that has no connection yet; its bound follows from the limit as it is now."""
        self._account = account
        self._max_bytes = max(MIN_COMMANDS_BYTES, int(COMMANDS_SHARE * account.limit))
        self._held_bytes = 0
        self._sessions: set[HoldingSession] = set()

    def add(self, session: HoldingSession) -> None:
        """Counts a connection."""
        self._sessions.add(session)
        self._account.hold(Holder.FAKTORY_SESSIONS, SESSION_BYTES)

    def remove(self, session: HoldingSession) -> None:
        """Releases all that a connection holds; has no effect if it is not counted."""
        if session in self._sessions:
            self._set(session, 0)
            self._sessions.remove(session)
            self._account.release(Holder.FAKTORY_SESSIONS, SESSION_BYTES)

    def update(self, session: HoldingSession, size: int) -> None:
        """Sets what the commands and replies of a connection hold, in bytes.

        If all connections hold too much, those that hold most are closed: who sends one command at a time holds least.
        """
        if session not in self._sessions or size == session.held_bytes:
            return
        grows = size > session.held_bytes
        self._set(session, size)
        while grows and self._held_bytes > self._max_bytes:
            self._account.refusals[Holder.FAKTORY_SESSIONS] += 1
            largest = max(self._sessions, key=lambda each: each.held_bytes)
            largest.reject_for_memory()
            self._set(largest, 0)

    def _set(self, session: HoldingSession, size: int) -> None:
        growth = size - session.held_bytes
        self._held_bytes += growth
        session.held_bytes = size
        self._account.hold(Holder.FAKTORY_SESSIONS, growth)
