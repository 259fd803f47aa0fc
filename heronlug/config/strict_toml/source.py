"""Reads and parses a TOML file in one consistent state and gives the line of each key."""

import os
import tomllib
from pathlib import Path
from typing import Any

from heronlug.config.strict_toml.errors import ConfigProblem, ConfigProblems

MAX_BYTES = 1024 * 1024
"""Maximum size of a file in bytes."""
MAX_READS = 5
"""Maximum number of reads of a file that changes while it is read."""
Keys = tuple[str | int, ...]
"""Path of a key: names of keys, and indexes of list elements."""


class Source:
    """The text of a file, the parsed table and the lines of its keys.

    The lines are found only when a problem is reported, so that the parser for them is not imported before.

    Attributes:
        path: Path of the file, as the operator gave it.
        text: Text of the file.
        table: The parsed text.
    """

    def __init__(self, path: str, text: str, table: dict[str, Any]) -> None:
        """Creates the source of a parsed file."""
        self.path = path
        self.text = text
        self.table = table
        self._lines: dict[Keys, int] | None = None

    @classmethod
    def read(cls, path: Path) -> "Source":
        """Reads and parses a file; raises :class:`ConfigProblems` if the file cannot be read or parsed."""
        try:
            return cls.parse(str(path), _read_unchanged(path))
        except OSError as error:
            raise ConfigProblems(
                [ConfigProblem(str(path), 0, "", error.strerror or str(error), "expected a readable file")]
            ) from None

    @classmethod
    def parse(cls, path: str, data: bytes) -> "Source":
        """Parses the bytes of a file; raises :class:`ConfigProblems` if the bytes are not valid."""
        if len(data) > MAX_BYTES:
            right = f"expected at most {MAX_BYTES} bytes"
            raise ConfigProblems([ConfigProblem(path, 0, "", f"the file has more than {MAX_BYTES} bytes", right)])
        if not data.strip():  # a file that is being written may be empty; accepting it would reset all settings
            raise ConfigProblems(
                [ConfigProblem(path, 0, "", "the file is empty", 'expected at least log_level = "info"')]
            )
        try:
            text = data.decode()
        except UnicodeDecodeError as error:
            line = data.count(b"\n", 0, error.start) + 1
            raise ConfigProblems(
                [
                    ConfigProblem(
                        path, line, "", f"byte {data[error.start]:#04x} is not valid UTF-8", "expected UTF-8 text"
                    )
                ]
            ) from None
        try:
            return cls(path, text, tomllib.loads(text))
        except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
            wrong, line = _syntax_error(str(error) or "the document is nested too deeply", text)
            raise ConfigProblems([ConfigProblem(path, line, "", wrong, "expected TOML 1.0")]) from None

    def problem(self, keys: Keys, wrong: str, right: str = "") -> ConfigProblem:
        """Returns a problem at a key; the line of an absent key is that of the enclosing table."""
        return ConfigProblem(self.path, self.line(keys), ".".join(map(str, keys)), wrong, right)

    def line(self, keys: Keys) -> int:
        """Returns the line of a key or, if the key is absent, of the nearest enclosing table; 0 if there is none."""
        if self._lines is None:
            from heronlug.config.strict_toml.key_lines import find_key_lines

            self._lines = find_key_lines(self.text)
        while keys and keys not in self._lines:
            keys = keys[:-1]
        return self._lines.get(keys, 0)


def _read_unchanged(path: Path) -> bytes:
    """Returns the bytes of a file; reads the file again if the file changed during the read.

    Raises:
        OSError: If the file cannot be read.
    """
    data = b""
    for _ in range(MAX_READS):
        with path.open("rb") as file:
            before = os.fstat(file.fileno())
            data = file.read(MAX_BYTES + 1)
            after = os.fstat(file.fileno())
        if (before.st_mtime_ns, before.st_size) == (after.st_mtime_ns, after.st_size):
            return data
    return data  # the file changed during each read; the checks of its content decide whether it is accepted


def _syntax_error(text: str, document: str) -> tuple[str, int]:
    """Returns the description in an error of the TOML parser and the line number, 0 if the error has none."""
    description, _, location = text.rpartition(" (at ")
    if location.startswith("line "):
        return description, int(location[5:].partition(",")[0])
    if location.startswith("end of document"):
        return description + " at the end of the file", document.count("\n") + 1
    return text, 0
