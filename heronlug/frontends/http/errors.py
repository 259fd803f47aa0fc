"""Defines the errors for invalid requests, each with its HTTP status and response body.

The texts are part of the wire protocol and must not change; in them, "message" means request and "figure" means number.
``X-Txn`` carries the id of a request and ``X-Lane`` its class; :mod:`heronlug.frontends.http.request_policy` describes
all headers.
"""

from typing import ClassVar


class BadRequestError(Exception):
    """Raised for a request that is answered with an error; its connection is closed afterwards.

    Attributes:
        status: HTTP status of the response.
        text: Body of the response, one line, also written to the log.
    """

    status: ClassVar[int] = 400
    text: ClassVar[str]

    def __init__(self) -> None:
        super().__init__(self.text)


class MalformedRequestError(BadRequestError):
    """The input is not valid HTTP/1.1."""

    text = "this is no HTTP/1.1"


class UpgradeError(BadRequestError):
    """The client requests an upgrade to another protocol."""

    text = "no upgrades here"


class DuplicateHeaderError(BadRequestError):
    """A header that must be unique occurs twice; the second value would silently replace the first."""

    text = "a header is given twice"


class ConflictingLengthError(BadRequestError):
    """Content-Length and Transfer-Encoding are both present, so the length of the body is ambiguous."""

    text = "Content-Length with Transfer-Encoding"


class InvalidContentLengthError(BadRequestError):
    """Content-Length is not a non-negative integer."""

    text = "Content-Length is no figure"


class InvalidRequestIdError(BadRequestError):
    """The request id (X-Txn) is missing, too long or not printable ASCII."""

    text = "X-Txn is missing or no ASCII"


class ControlCharacterError(BadRequestError):
    """A forwarded header contains a control character."""

    text = "a header holds a control character"


class UnknownClassError(BadRequestError):
    """The path does not name a known request class, or X-Lane differs from the class in the path."""

    text = "X-Txn, X-Lane or path names nothing known"


class InvalidNumberError(BadRequestError):
    """The remaining time (X-Remaining-Ms) is not an integer, or a label (X-Labels) is not a number."""

    text = "X-Remaining-Ms or X-Labels is no figure"


class NonFiniteNumberError(BadRequestError):
    """A label (X-Labels) is infinite or NaN.

    The text also names X-Remaining-Ms, whose value cannot be infinite or NaN because only digits are accepted.
    """

    text = "X-Remaining-Ms or X-Labels is no finite figure"


class MethodNotAllowedError(BadRequestError):
    """The method of a request that would be forwarded is not POST."""

    status = 405
    text = "only POST hands in a message"


class IncompleteRequestError(BadRequestError):
    """The request is not complete within the read time-out."""

    status = 408
    text = "the request is not whole in time"


class DuplicateRequestIdError(BadRequestError):
    """Another open request has the same id (X-Txn)."""

    status = 409
    text = "a message of this X-Txn is open"


class BodyTooLargeError(BadRequestError):
    """The body exceeds the size limit of the protocol."""

    status = 413
    text = "a body holds 64 KiB at most"


class FramingTooLargeError(BadRequestError):
    """The chunk framing makes the request many times larger than the largest allowed body."""

    status = 413
    text = "too much framing"


class TooManyPipelinedRequestsError(BadRequestError):
    """Too many pipelined requests wait on one connection."""

    status = 429
    text = "too many requests at once on one connection"


class HeadTooLargeError(BadRequestError):
    """The request line and headers exceed the size limit."""

    status = 431
    text = "the head is too large"


class UnsupportedTransferCodingError(BadRequestError):
    """The transfer coding is not chunked."""

    status = 501
    text = "no transfer coding but chunked"


class BodyMemoryExhaustedError(BadRequestError):
    """The memory for request bodies is exhausted."""

    status = 503
    text = "no room for a body now"
