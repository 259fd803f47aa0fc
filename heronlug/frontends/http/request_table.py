"""A message that runs, as a table that another process can go on with."""

from base64 import b64decode, b64encode
from typing import Any

from heronlug.frontends.http.frontend import HttpRequest
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
    """A request as it came, less what belongs to its connection."""
    return {
        "method": request.method.decode("latin-1"),
        "target": request.target.decode("latin-1"),
        "headers": [(name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers.items()],
        "body": b64encode(request.body).decode(),
        "txn": request.txn,
        "lane": request.lane,
        "figures": _write_workload(request.workload),
        "keep_alive": request.keep_alive,
    }


def read_request(table: Table) -> HttpRequest:
    """The same request; raises ``KeyError``, ``TypeError`` or ``ValueError``."""
    request = HttpRequest()
    request.method, request.target = table["method"].encode("latin-1"), table["target"].encode("latin-1")
    request.headers = {name.encode("latin-1"): value.encode("latin-1") for name, value in table["headers"]}
    request.body = b64decode(table["body"], validate=True)
    request.txn, request.lane = str(table["txn"]), int(table["lane"])
    request.workload = _read_workload(table["figures"])
    request.keep_alive = table["keep_alive"] is True
    return request


def _write_workload(workload: Workload) -> Table:
    """What differs from the defaults: a process of any version fills in the others."""
    usual = Workload()
    fields = {key: (getattr(workload, name), getattr(usual, name)) for key, name in WORKLOAD_KEYS.items()}
    return {key: value for key, (value, default) in fields.items() if value != default}


def _read_workload(table: Table) -> Workload:
    return Workload(**{WORKLOAD_KEYS[key]: value for key, value in table.items()})
