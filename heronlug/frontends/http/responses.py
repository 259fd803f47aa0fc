"""Builds the responses of the HTTP frontend."""

from heronlug.frontends.http.errors import BadRequestError
from heronlug.frontends.http.request import HttpRequest
from heronlug.net import http
from heronlug.requests.model import FinalAnswer

HEALTH_PREFIX = b"/health/"
READY_PATH = b"/health/ready"
LIVE_PATH = b"/health/live"

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Interim response to a client that sends ``Expect: 100-continue`` and waits before sending the body."""

FINAL_STATUS = {FinalAnswer.SERVED: 200, FinalAnswer.REFUSED: 503, FinalAnswer.FAILED: 500}
"""HTTP status of each kind of final answer."""


def is_health_check(request: HttpRequest) -> bool:
    """Returns whether a request is a health check, which the dispatcher answers itself."""
    return request.method == b"GET" and request.target.startswith(HEALTH_PREFIX)


def health_response(path: bytes, ready: bool, *, close: bool) -> bytes:
    """Returns the response to a health check."""
    if path == READY_PATH:
        return http.response(200, b"ready\n", close=close) if ready else http.response(503, close=close)
    if path == LIVE_PATH:
        return http.response(200, b"alive\n", close=close)
    return http.response(404, close=close)


def final_response(final: FinalAnswer, body: bytes, retry_after_ms: float, *, close: bool) -> bytes:
    """Returns the response with a final answer; only a rejection, which invites a retry, carries Retry-After."""
    retry_after_ms = retry_after_ms if final is FinalAnswer.REFUSED else 0.0
    return http.response(FINAL_STATUS[final], body, close=close, retry_after=retry_after_ms)


def rejection_response(error: BadRequestError) -> bytes:
    """Returns the response to an invalid request, which is the last response on its connection."""
    return http.response(error.status, error.text.encode() + b"\n", close=True)


def refused_response(error: BadRequestError) -> bytes:
    """Returns the response to a valid request that is refused with an error, after which the connection stays open."""
    return http.response(error.status, error.text.encode() + b"\n")


def unserved_response() -> bytes:
    """Returns the response to a complete request that was still waiting in the pipeline when its connection ended."""
    return http.response(FINAL_STATUS[FinalAnswer.REFUSED])
