"""Encodes RESP replies and decodes the JSON arguments of commands."""

import math
from typing import Any

import orjson

from heronlug.frontends.faktory.errors import CommandError, InvalidArgumentError

MAX_ERROR_CHARACTERS = 300
"""Maximum length of an error text in characters; error texts may quote input of the client."""

JsonObject = dict[str, Any]
"""A decoded JSON object."""


def simple_string(text: str) -> bytes:
    """Returns a RESP simple string."""
    return f"+{text}\r\n".encode()


def error_reply(error: CommandError) -> bytes:
    """Returns a RESP error; line breaks in the text are replaced, since a RESP error is one line."""
    text = " ".join(str(error).split())[:MAX_ERROR_CHARACTERS]
    return f"-ERR {text}\r\n".encode("utf-8", "replace")


def bulk_string(data: bytes | None) -> bytes:
    """Returns a RESP bulk string, or the null bulk string for None."""
    return b"$-1\r\n" if data is None else b"$%d\r\n%s\r\n" % (len(data), data)


def bulk_json(value: object) -> bytes:
    """Returns a RESP bulk string with a value encoded as JSON."""
    return bulk_string(orjson.dumps(value))


OK = simple_string("OK")
"""The reply to a command that succeeded and returns no data."""

NO_JOB = bulk_string(None)
"""The reply to a FETCH that gets no job."""


def parse_object(text: bytes) -> JsonObject:
    """Returns the JSON object in the argument of a command.

    Raises:
        InvalidArgumentError: if the argument is not a JSON object.
    """
    value = _parse_json(text)
    if not isinstance(value, dict):
        msg = "not a JSON object"
        raise InvalidArgumentError(msg)
    return value


def parse_objects(text: bytes) -> list[JsonObject]:
    """Returns the list of JSON objects in the argument of a command.

    Raises:
        InvalidArgumentError: if the argument is not a JSON list of objects.
    """
    value = _parse_json(text)
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        msg = "not a JSON list of objects"
        raise InvalidArgumentError(msg)
    return value


def optional_number(fields: JsonObject, key: str) -> float | None:
    """Returns the value of a key as a finite number of at least 0, or None if the key is absent or null.

    Raises:
        InvalidArgumentError: if the value is not a finite number of at least 0.
    """
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
