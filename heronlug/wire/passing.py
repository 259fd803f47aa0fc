"""A message that runs, as a table that another process can go on with."""

from base64 import b64decode, b64encode
from typing import Any

from heronlug.wire.north import Request

Table = dict[str, Any]


def write_request(request: Request) -> Table:
    """A request as it came, less what belongs to its connection."""
    return {
        "method": request.method.decode("latin-1"),
        "target": request.target.decode("latin-1"),
        "headers": [(name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers.items()],
        "body": b64encode(request.body).decode(),
        "txn": request.txn,
        "lane": request.lane,
        "figures": request.figures,
        "keep_alive": request.keep_alive,
    }


def read_request(table: Table) -> Request:
    """The same request; raises ``KeyError``, ``TypeError`` or ``ValueError``."""
    request = Request()
    request.method, request.target = table["method"].encode("latin-1"), table["target"].encode("latin-1")
    request.headers = {name.encode("latin-1"): value.encode("latin-1") for name, value in table["headers"]}
    request.body = b64decode(table["body"], validate=True)
    request.txn, request.lane = str(table["txn"]), int(table["lane"])
    request.figures = {str(name): value for name, value in table["figures"].items()}
    request.keep_alive = table["keep_alive"] is True
    return request
