"""Stores requests by handle, and tracks the ids that clients give requests."""

from collections.abc import Callable, Iterator

from heronlug.memory.account import MemoryAccount
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import Request
from heronlug.requests.past_requests import PastRequests
from heronlug.requests.slots import SlotTable


class RequestTable:
    """Open requests, and closed requests with attempts in flight.

    Attributes:
        open_count: Number of requests that need a final answer.
        ids: Client-given ids of the requests in the table.
        peer_process_ids: Client-given ids of the requests of another process of this dispatcher.
        past: Ids of the requests that may have run and are not in the table any more.
        on_id_changed: Called with an id and True when its request is accepted, and with the id and False when the
            request is removed; None if there is no other process.
    """

    __slots__ = ("_deadlines", "_slots", "ids", "on_id_changed", "open_count", "past", "peer_process_ids")

    def __init__(self, deadlines: Deadlines, memory: MemoryAccount) -> None:
        self._deadlines = deadlines
        self.past = PastRequests(memory, deadlines.clock)
        self._slots: SlotTable[Request] = SlotTable()
        self.open_count = 0
        self.ids: set[str] = set()
        self.peer_process_ids: set[str] = set()
        self.on_id_changed: Callable[[str, bool], None] | None = None

    def __len__(self) -> int:
        return len(self._slots)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._slots)

    def get(self, handle: int) -> Request | None:
        """Returns the request with this handle; None if the request has been removed."""
        return self._slots.get(handle)

    def has_id(self, request_id: str) -> bool:
        """Returns whether a request with this id is in the table or in another process of this dispatcher.

        Servers could not distinguish two requests with the same id.
        """
        return request_id in self.ids or request_id in self.peer_process_ids

    def add(self, request: Request, on_deadline: Callable[[Request], None]) -> None:
        """Adds an open request; ``on_deadline`` is called with the request at its deadline."""
        request.handle = self._slots.add(request)
        self.open_count += 1
        if request.request_id:
            self.ids.add(request.request_id)
        request.deadline_key = self._deadlines.call_at(request.give_up_at, on_deadline, request)

    def announce(self, request: Request) -> None:
        """Reports the id of an accepted request to the other process of this dispatcher, if there is one."""
        if request.request_id and self.on_id_changed is not None:
            self.on_id_changed(request.request_id, True)

    def count_closed(self) -> None:
        """Decrements the count of open requests after a request has been closed."""
        self.open_count -= 1

    def forget(self, request: Request) -> None:
        """Removes a request if it is closed and has no attempt in flight.

        Request and attempts refer to each other; without the attempts, nothing holds a removed request.
        """
        if not request.closed or any(attempt.in_flight for attempt in request.attempts):
            return
        self._deadlines.cancel(request.deadline_key)
        self.past.request_ended(request)
        request.attempts = []
        if self._slots.remove(request.handle) is None or not request.request_id:
            return
        self.ids.discard(request.request_id)
        if self.on_id_changed is not None:
            self.on_id_changed(request.request_id, False)
