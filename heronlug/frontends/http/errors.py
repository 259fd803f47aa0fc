"""Requests that break the protocol, each error with its status and the text that is sent with it.

The texts go over the wire and keep their words: a message there is a request here, and a figure a number. ``X-Txn`` is
the request's id and ``X-Lane`` its class; :mod:`heronlug.frontends.http.request_policy` explains all headers.
"""

from typing import ClassVar


class BadRequestError(Exception):
    """A request that is answered with an error, after which its connection ends.

    Attributes:
        status: the status of the response.
        text: the line that is the body of the response, and is logged.
    """

    status: ClassVar[int] = 400
    text: ClassVar[str]

    def __init__(self) -> None:
        super().__init__(self.text)


class MalformedRequestError(BadRequestError):
    """What came is not HTTP/1.1."""

    text = "this is no HTTP/1.1"


class UpgradeError(BadRequestError):
    """The client asks for another protocol."""

    text = "no upgrades here"


class DuplicateHeaderError(BadRequestError):
    """A header came twice that may come once: the second would silently replace the first."""

    text = "a header is given twice"


class ConflictingLengthError(BadRequestError):
    """Two headers give the body's length, and one of them would hide what the other shows."""

    text = "Content-Length with Transfer-Encoding"


class InvalidContentLengthError(BadRequestError):
    """Content-Length is not a whole number."""

    text = "Content-Length is no figure"


class InvalidRequestIdError(BadRequestError):
    """The request's id (X-Txn) is missing, too long, or not printable ASCII."""

    text = "X-Txn is missing or no ASCII"


class ControlCharacterError(BadRequestError):
    """A header that is forwarded holds a control character."""

    text = "a header holds a control character"


class UnknownClassError(BadRequestError):
    """The path names no known class, or X-Lane names another class than the path."""

    text = "X-Txn, X-Lane or path names nothing known"


class InvalidNumberError(BadRequestError):
    """The remaining time (X-Remaining-Ms) or a label (X-Labels) is not a number."""

    text = "X-Remaining-Ms or X-Labels is no figure"


class NonFiniteNumberError(BadRequestError):
    """A label (X-Labels) is infinite or not a number; the text names X-Remaining-Ms too, which cannot be either."""

    text = "X-Remaining-Ms or X-Labels is no finite figure"


class MethodNotAllowedError(BadRequestError):
    """A request for a server with a method other than POST."""

    status = 405
    text = "only POST hands in a message"


class IncompleteRequestError(BadRequestError):
    """A request was not complete in time."""

    status = 408
    text = "the request is not whole in time"


class DuplicateRequestIdError(BadRequestError):
    """Another request with the same id (X-Txn) is open."""

    status = 409
    text = "a message of this X-Txn is open"


class BodyTooLargeError(BadRequestError):
    """The body is larger than the limit of the protocol."""

    status = 413
    text = "a body holds 64 KiB at most"


class FramingTooLargeError(BadRequestError):
    """The framing of a chunked body takes many times the space of the largest body."""

    status = 413
    text = "too much framing"


class TooManyPipelinedRequestsError(BadRequestError):
    """Too many requests of one connection wait for their turn."""

    status = 429
    text = "too many requests at once on one connection"


class HeadTooLargeError(BadRequestError):
    """The request line and the headers are larger than the limit."""

    status = 431
    text = "the head is too large"


class UnsupportedTransferCodingError(BadRequestError):
    """A transfer coding other than chunked."""

    status = 501
    text = "no transfer coding but chunked"


class BodyMemoryExhaustedError(BadRequestError):
    """The memory for bodies is used up."""

    status = 503
    text = "no room for a body now"
