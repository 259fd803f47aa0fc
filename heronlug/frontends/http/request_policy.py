"""What the headers of a request say: its id, class, remaining time and workload.

================ ================================================================================================
header           meaning
================ ================================================================================================
X-Txn            the request's id
X-Lane           its class; the first segment of the path by default, and never another
X-Remaining-Ms   the time left until the client gives up, in ms; the deadline of the class by default
X-Labels         its workload, as ``slots=2,memory=0.5``: the slots and the memory that it takes of a server
X-Org            its tenant
X-Resent         ``1`` if the client has sent the request before
Idempotency-Key  forwarded to the server, not read here
================ ================================================================================================
"""

import math

from heronlug.balancer.settings import Settings
from heronlug.frontends.http.errors import (
    ControlCharacterError,
    InvalidNumberError,
    InvalidRequestIdError,
    MethodNotAllowedError,
    NonFiniteNumberError,
    UnknownClassError,
)
from heronlug.frontends.http.request import FORWARDED_HEADERS, HttpRequest
from heronlug.net import http
from heronlug.requests.model import Workload

MAX_REQUEST_ID_BYTES = 256
"""Length of the longest X-Txn that is accepted."""

MAX_REMAINING_MS = 71 * 60_000.0
"""The longest time that a client may give a request; more is cut to this."""

TRANSIT_MARGIN_MS = 15.0
"""Taken off a client's time, which runs from its send: what transit and the socket's queue have used at most."""

RETRY_MARK = b"1"
"""The value of X-Resent that says that the client has sent the request before."""


class RequestPolicy:
    """Reads requests by the settings in force.

    Attributes:
        settings: the settings, with the classes and tenants.
    """

    __slots__ = ("_class_indices", "_tenant_indices", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._class_indices = {policy.name: index for index, policy in enumerate(settings.classes)}
        self._tenant_indices = {name.encode(): index for index, name in enumerate(settings.tenants)}

    def read(self, request: HttpRequest) -> None:
        """Set the id, class, remaining time and workload of a request.

        Raises:
            BadRequestError: a header is missing or wrong; the class is not set then.
        """
        if request.method != b"POST":
            raise MethodNotAllowedError
        request.request_id = _request_id(request.headers)
        if any(byte < 0x20 for name in FORWARDED_HEADERS for byte in request.headers.get(name, b"")):
            raise ControlCharacterError
        class_index = self._class_index(request)
        remaining_ms = self._remaining_ms(request.headers, class_index)
        request.workload = self._workload(request.headers)
        request.class_index = class_index
        request.remaining_ms = min(remaining_ms, MAX_REMAINING_MS) - TRANSIT_MARGIN_MS

    def _class_index(self, request: HttpRequest) -> int:
        segment = http.first_segment(request.target)
        name = request.headers.get(b"x-lane", segment.encode()).decode("utf-8", "replace")
        if name != segment or name not in self._class_indices:
            raise UnknownClassError
        return self._class_indices[name]

    def _remaining_ms(self, headers: dict[bytes, bytes], class_index: int) -> float:
        value = headers.get(b"x-remaining-ms", b"%d" % self.settings.classes[class_index].deadline)
        if not value.isdigit():  # float() would accept more than whole milliseconds
            raise InvalidNumberError
        return float(value)

    def _workload(self, headers: dict[bytes, bytes]) -> Workload:
        labels = _labels(headers.get(b"x-labels", b""))
        return Workload(
            slots=labels.get(b"slots", 1.0),
            memory=labels.get(b"memory", 0.0),
            # an unknown tenant counts against no quota
            tenant=self._tenant_indices.get(headers.get(b"x-org", b""), len(self._tenant_indices)),
            retry=headers.get(b"x-resent") == RETRY_MARK,
        )


def _request_id(headers: dict[bytes, bytes]) -> str:
    value = headers.get(b"x-txn", b"")
    if not 0 < len(value) <= MAX_REQUEST_ID_BYTES or not all(0x20 < byte < 0x7F for byte in value):
        raise InvalidRequestIdError
    return value.decode("ascii")


def _labels(value: bytes) -> dict[bytes, float]:
    """The numbers of X-Labels by name in lower case."""
    try:
        pairs = dict(part.split(b"=", 1) for part in value.split(b",") if part.strip())
        labels = {name.strip().lower(): float(number) for name, number in pairs.items()}
    except ValueError as error:
        raise InvalidNumberError from error
    if not all(map(math.isfinite, labels.values())):
        raise NonFiniteNumberError
    return labels
