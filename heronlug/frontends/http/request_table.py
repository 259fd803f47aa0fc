"""Converts an open request to and from the table that hands it over to another process."""

from base64 import b64decode, b64encode
from typing import Any

from heronlug.frontends.http.request import HttpRequest
from heronlug.requests.model import Workload

Table = dict[str, Any]

WORKLOAD_KEYS = {
    "slots": "slots",
    "memory": "memory",
    "hint": "work_hint",
    "tenant": "tenant",
    "key": "key",
    "retry": "retry",
}
"""Keys of a workload in the table, with the corresponding field of :class:`Workload`."""


def write_request(request: HttpRequest) -> Table:
    """Returns the table of a request, without the state of its connection."""
    return {
        "method": request.method.decode("latin-1"),
        "target": request.target.decode("latin-1"),
        "headers": [(name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers.items()],
        "body": b64encode(request.body).decode(),
        "txn": request.request_id,
        "lane": request.class_index,
        "figures": _write_workload(request.workload),
        "keep_alive": request.keep_alive,
    }


def write_queued_request(request: HttpRequest, now: float) -> Table:
    """Returns the table of a request that is not accepted yet; ``now`` is the current time in ms."""
    return {**write_request(request), "remaining_ms": request.remaining_ms, "age_ms": now - request.received_at}


def read_queued_request(table: Table, now: float) -> HttpRequest:
    """Returns the request that a table of :func:`write_queued_request` describes.

    Raises:
        KeyError, TypeError, ValueError: as :func:`read_request`.
    """
    request = read_request(table)
    request.remaining_ms = float(table["remaining_ms"])
    request.received_at = now - float(table["age_ms"])
    return request


def read_request(table: Table) -> HttpRequest:
    """Returns the request that a table describes.

    Raises:
        KeyError: An entry is missing or the key of a workload entry is unknown.
        TypeError: An entry has the wrong type.
        ValueError: An entry cannot be decoded.
    """
    request = HttpRequest()
    request.method = table["method"].encode("latin-1")
    request.target = table["target"].encode("latin-1")
    request.headers = {name.encode("latin-1"): value.encode("latin-1") for name, value in table["headers"]}
    request.body = b64decode(table["body"], validate=True)
    request.request_id = str(table["txn"])
    request.class_index = int(table["lane"])
    request.workload = _read_workload(table["figures"])
    request.keep_alive = table["keep_alive"] is True
    return request


def _write_workload(workload: Workload) -> Table:
    """Returns the entries that differ from the defaults; a process of any version fills in missing entries."""
    defaults = Workload()
    fields = {key: (getattr(workload, name), getattr(defaults, name)) for key, name in WORKLOAD_KEYS.items()}
    return {key: value for key, (value, default) in fields.items() if value != default}


def _read_workload(table: Table) -> Workload:
    return Workload(**{WORKLOAD_KEYS[key]: value for key, value in table.items()})
