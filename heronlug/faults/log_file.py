"""Reads the log that a process has written, one JSON object a line."""

from pathlib import Path
from typing import Any

import orjson


def read_log(path: Path) -> list[dict[str, Any]]:
    """Returns the complete lines of a log, without lines that are no events, such as a traceback."""
    lines = path.read_bytes().rpartition(b"\n")[0].splitlines()
    return [orjson.loads(line) for line in lines if line.startswith(b"{") and line.endswith(b"}")]
