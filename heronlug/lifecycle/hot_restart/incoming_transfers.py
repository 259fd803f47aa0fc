"""Accepts or declines what the predecessor offers, and continues it once the predecessor has let go of it."""

from collections.abc import Callable
from typing import Protocol

from heronlug.lifecycle.hot_restart import messages
from heronlug.lifecycle.hot_restart.channel import ReceivedMessage
from heronlug.lifecycle.hot_restart.errors import HandoverError, UnexpectedMessageError
from heronlug.lifecycle.hot_restart.messages import Message


class PreparedHandover(Protocol):
    """A decoded connection or request that can be continued."""

    def adopt(self) -> None:
        """Continues the connection or request in this process."""

    def close(self) -> None:
        """Closes the descriptors of this process; the connections stay open in the predecessor."""


class IncomingTransfers:
    """The offers of the predecessor that this process has accepted, until they are committed or withdrawn."""

    def __init__(
        self,
        prepare: Callable[[ReceivedMessage], PreparedHandover],
        send: Callable[[Message], None],
        log: Callable[..., None],
        window: Callable[[], int],
    ) -> None:
        """Creates a table without offers.

        Args:
            prepare: Decodes a connection or request and takes its descriptors; raises :class:`HandoverError`.
            send: Sends a message to the predecessor.
            log: Logs events.
            window: Returns the number of offered descriptors that this process can hold.
        """
        self._prepare = prepare
        self._send = send
        self._log = log
        self._window = window
        self._accepted: dict[int, PreparedHandover] = {}

    def __len__(self) -> int:
        return len(self._accepted)

    def receive(self, received: ReceivedMessage) -> None:
        """Answers an offer, or continues at once what a predecessor without confirmations hands over."""
        number = messages.read_transfer(received.message) if "transfer" in received.message else None
        try:
            prepared = self._prepare(received)
        except HandoverError as error:
            self._log("handover_failed", error=str(error))
            if number is not None:
                self._send(messages.declined(number, str(error)))
            return
        if number is None:
            prepared.adopt()
        else:
            self._accepted[number] = prepared
            self._send(messages.accepted(number, self._window()))

    def commit(self, number: int) -> None:
        """Continues what the predecessor has let go of.

        Raises:
            UnexpectedMessageError: if this process has not accepted the offer.
        """
        prepared = self._accepted.pop(number, None)
        if prepared is None:
            msg = f"transfer {number} was committed, but is not among those that were accepted"
            raise UnexpectedMessageError(msg)
        prepared.adopt()

    def withdraw(self, number: int) -> None:
        """Forgets an offer that the predecessor has taken back."""
        prepared = self._accepted.pop(number, None)
        if prepared is not None:
            prepared.close()

    def withdraw_all(self) -> None:
        """Forgets the offers of a predecessor whose channel has ended."""
        for number in list(self._accepted):
            self.withdraw(number)
