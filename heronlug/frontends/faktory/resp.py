"""Frames of the protocol: replies in RESP, and the JSON arguments of commands."""

import math
from typing import Any

import orjson

from heronlug.frontends.faktory.errors import CommandError, InvalidArgumentError

MAX_ERROR_CHARACTERS = 300
"""Length of the longest text of an error; it may quote what a client sent."""

JsonObject = dict[str, Any]
"""A decoded JSON object of a client."""


def simple_string(text: str) -> bytes:
    """A simple string."""
    return f"+{text}\r\n".encode()


def error_reply(error: CommandError) -> bytes:
    """An error, on one line whatever it quotes."""
    text = " ".join(str(error).split())[:MAX_ERROR_CHARACTERS]
    return f"-ERR {text}\r\n".encode("utf-8", "replace")


def bulk_string(data: bytes | None) -> bytes:
    """A bulk string, or the null one."""
    return b"$-1\r\n" if data is None else b"$%d\r\n%s\r\n" % (len(data), data)


def bulk_json(value: object) -> bytes:
    """A bulk string with a value as JSON."""
    return bulk_string(orjson.dumps(value))


OK = simple_string("OK")
"""The reply to a command that returns nothing."""

NO_JOB = bulk_string(None)
"""The reply to a FETCH without a job."""


def parse_object(text: bytes) -> JsonObject:
    """The JSON object that a command has as its argument; raises :class:`InvalidArgumentError`."""
    value = _parse_json(text)
    if not isinstance(value, dict):
        msg = "not a JSON object"
        raise InvalidArgumentError(msg)
    return value


def parse_objects(text: bytes) -> list[JsonObject]:
    """The list of JSON objects that a command has as its argument; raises :class:`InvalidArgumentError`."""
    value = _parse_json(text)
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        msg = "not a JSON list of objects"
        raise InvalidArgumentError(msg)
    return value


def optional_number(fields: JsonObject, key: str) -> float | None:
    """A number of 0 or more, or None if there is none; raises :class:`InvalidArgumentError`."""
    value = fields.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        msg = f"{key} is no figure of 0 or more"
        raise InvalidArgumentError(msg)
    return float(value)


def _parse_json(text: bytes) -> object:
    try:
        return orjson.loads(text)
    except ValueError as error:
        msg = "malformed JSON"
        raise InvalidArgumentError(msg) from error
