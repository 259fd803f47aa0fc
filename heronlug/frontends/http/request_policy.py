"""Reads the id, class, remaining time and workload of a request from its headers.

================ ================================================================================================
header           meaning
================ ================================================================================================
X-Txn            the id of the request
X-Lane           the request class; must equal the first segment of the path, which is the default
X-Remaining-Ms   the time left until the client gives up, in ms; at most the deadline of the class, as by default
X-Labels         the slots and the memory that the request takes on a server, for example ``slots=2,memory=0.5``
X-Org            the tenant
X-Resent         ``1`` if the client has sent the request before
Idempotency-Key  forwarded to the server without being interpreted
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
from heronlug.requests.model import Workload, allowed_ms

MAX_REQUEST_ID_BYTES = 256
"""Maximum length of X-Txn, in bytes."""

TRANSIT_MARGIN_MS = 15.0
"""Upper bound of the time in transit and in the socket queue, subtracted from the time that the client states.

X-Remaining-Ms counts from the moment at which the client sends the request.
"""

RETRY_MARK = b"1"
"""Value of X-Resent that marks a request as a retry by the client."""


class RequestPolicy:
    """Reads and checks the headers of requests according to the current settings.

    Attributes:
        settings: Settings that define the request classes and tenants.
    """

    __slots__ = ("_class_indices", "_tenant_indices", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._class_indices = {policy.name: index for index, policy in enumerate(settings.classes)}
        self._tenant_indices = {name.encode(): index for index, name in enumerate(settings.tenants)}

    def read(self, request: HttpRequest) -> None:
        """Sets the id, class, remaining time and workload of a request.

        Raises:
            BadRequestError: The method is not POST, or a header is missing or invalid; the class is then not set.
        """
        if request.method != b"POST":
            raise MethodNotAllowedError
        request.request_id = _request_id(request.headers)
        if any(byte < 0x20 for name in FORWARDED_HEADERS for byte in request.headers.get(name, b"")):
            raise ControlCharacterError
        class_index = self._class_index(request)
        stated_ms = _stated_ms(request.headers)
        request.workload = self._workload(request.headers)
        request.class_index = class_index
        request.remaining_ms = allowed_ms(self.settings.classes[class_index], stated_ms) - TRANSIT_MARGIN_MS

    def _class_index(self, request: HttpRequest) -> int:
        segment = http.first_segment(request.target)
        name = request.headers.get(b"x-lane", segment.encode()).decode("utf-8", "replace")
        if name != segment or name not in self._class_indices:
            raise UnknownClassError
        return self._class_indices[name]

    def _workload(self, headers: dict[bytes, bytes]) -> Workload:
        labels = _labels(headers.get(b"x-labels", b""))
        return Workload(
            slots=labels.get(b"slots", 1.0),
            memory=labels.get(b"memory", 0.0),
            # the index past the last tenant stands for an unknown tenant, which has no quota
            tenant=self._tenant_indices.get(headers.get(b"x-org", b""), len(self._tenant_indices)),
            retry=headers.get(b"x-resent") == RETRY_MARK,
        )


def _request_id(headers: dict[bytes, bytes]) -> str:
    value = headers.get(b"x-txn", b"")
    if not 0 < len(value) <= MAX_REQUEST_ID_BYTES or not all(0x20 < byte < 0x7F for byte in value):
        raise InvalidRequestIdError
    return value.decode("ascii")


def _stated_ms(headers: dict[bytes, bytes]) -> float | None:
    """Returns the time in ms that the client states; None if it states none.

    Raises:
        InvalidNumberError: The value is not a whole number.
    """
    value = headers.get(b"x-remaining-ms")
    if value is None:
        return None
    if not value.isdigit():  # float() would also accept values that are not whole milliseconds
        raise InvalidNumberError
    return float(value)


def _labels(value: bytes) -> dict[bytes, float]:
    """Returns the numbers in X-Labels by lower-case name.

    Raises:
        InvalidNumberError: A label has no value or its value is not a number.
        NonFiniteNumberError: A value is infinite or NaN.
    """
    try:
        pairs = dict(part.split(b"=", 1) for part in value.split(b",") if part.strip())
        labels = {name.strip().lower(): float(number) for name, number in pairs.items()}
    except ValueError as error:
        raise InvalidNumberError from error
    if not all(map(math.isfinite, labels.values())):
        raise NonFiniteNumberError
    return labels
