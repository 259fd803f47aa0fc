"""All responses that the HTTP frontend gives."""

from heronlug.frontends.http.errors import BadRequestError
from heronlug.frontends.http.request import HttpRequest
from heronlug.net import http
from heronlug.requests.model import FinalAnswer

HEALTH_PREFIX = b"/health/"
READY_PATH = b"/health/ready"
LIVE_PATH = b"/health/live"

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Asks a client that expects it to send the body."""

FINAL_STATUS = {FinalAnswer.SERVED: 200, FinalAnswer.REFUSED: 503, FinalAnswer.FAILED: 500}
"""The status of each kind of final answer."""


def is_health_check(request: HttpRequest) -> bool:
    """Whether a request is answered by the dispatcher itself."""
    return request.method == b"GET" and request.target.startswith(HEALTH_PREFIX)


def health_response(path: bytes, ready: bool, *, close: bool) -> bytes:
    """The response to a health check."""
    if path == READY_PATH:
        return http.response(200, b"ready\n", close=close) if ready else http.response(503, close=close)
    if path == LIVE_PATH:
        return http.response(200, b"alive\n", close=close)
    return http.response(404, close=close)


def final_response(final: FinalAnswer, body: bytes, retry_after_ms: float, *, close: bool) -> bytes:
    """The response with a final answer; only one that invites a retry has a Retry-After."""
    retry_after_ms = retry_after_ms if final is FinalAnswer.REFUSED else 0.0
    return http.response(FINAL_STATUS[final], body, close=close, retry_after=retry_after_ms)


def rejection_response(error: BadRequestError) -> bytes:
    """The response to a request that breaks the protocol, the last one on its connection."""
    return http.response(error.status, error.text.encode() + b"\n", close=True)


def unserved_response() -> bytes:
    """The response to a complete request that waited behind another one on a connection that ends."""
    return http.response(FINAL_STATUS[FinalAnswer.REFUSED])
