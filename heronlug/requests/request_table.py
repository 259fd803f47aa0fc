"""The table of requests: by handle, and by the ids that clients give them."""

from collections.abc import Callable, Iterator

from heronlug.requests.deadlines import Deadlines
from heronlug.requests.model import Request
from heronlug.requests.slots import SlotTable


class RequestTable:
    """Open requests, and answered ones with attempts in flight.

    Attributes:
        open_count: requests that are owed a final answer.
        ids: the clients' ids of the requests in the table.
        peer_process_ids: ids of requests that another process of this dispatcher has.
        on_id_changed: called with an id when its request is accepted (True), and when it is forgotten.
    """

    __slots__ = ("_deadlines", "_slots", "ids", "on_id_changed", "open_count", "peer_process_ids")

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
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
        """The request of a handle; None once it is forgotten."""
        return self._slots.get(handle)

    def has_id(self, request_id: str) -> bool:
        """Whether a request of that id is open, here or in another process: a server could not tell the two apart."""
        return request_id in self.ids or request_id in self.peer_process_ids

    def add(self, request: Request, on_deadline: Callable[[Request], None]) -> None:
        """Add a request that is owed a final answer by its deadline."""
        request.handle = self._slots.add(request)
        self.open_count += 1
        if request.request_id:
            self.ids.add(request.request_id)
        request.deadline_key = self._deadlines.call_at(request.give_up_at, on_deadline, request)

    def announce(self, request: Request) -> None:
        """Tell another process of this dispatcher that the request is open here."""
        if request.request_id and self.on_id_changed is not None:
            self.on_id_changed(request.request_id, True)

    def count_closed(self) -> None:
        """Count a request that is owed nothing any more."""
        self.open_count -= 1

    def forget(self, request: Request) -> None:
        """Free the slot of a request once nothing is owed and nothing is in flight."""
        if not request.closed or any(attempt.in_flight for attempt in request.attempts):
            return
        self._deadlines.cancel(request.deadline_key)
        if self._slots.remove(request.handle) is None or not request.request_id:
            return
        self.ids.discard(request.request_id)
        if self.on_id_changed is not None:
            self.on_id_changed(request.request_id, False)
