"""An open request as a table, with which another process can go on."""

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
"""The keys of a workload between two processes, and the field of :class:`Workload` that each sets."""


def write_request(request: HttpRequest) -> Table:
    """The table of a request, without what belongs to its connection."""
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


def read_request(table: Table) -> HttpRequest:
    """The request of a table.

    Raises:
        KeyError: an entry is missing.
        TypeError: an entry has the wrong type.
        ValueError: an entry cannot be decoded.
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
    """The entries that differ from the defaults, which a process of any version fills in."""
    defaults = Workload()
    fields = {key: (getattr(workload, name), getattr(defaults, name)) for key, name in WORKLOAD_KEYS.items()}
    return {key: value for key, (value, default) in fields.items() if value != default}


def _read_workload(table: Table) -> Workload:
    return Workload(**{WORKLOAD_KEYS[key]: value for key, value in table.items()})
