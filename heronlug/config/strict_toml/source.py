"""A TOML file as it was read at one moment, and where each of its keys stands."""

import os
import tomllib
from pathlib import Path
from typing import Any

from heronlug.config.strict_toml.errors import ConfigProblem, ConfigProblems

MAX_BYTES = 1024 * 1024
"""Size of a file at most, in bytes."""
MAX_READS = 5
"""How often a file that changes while it is read is read anew."""
Keys = tuple[str | int, ...]
"""The path of a key: names, and numbers in lists."""


class Source:
    """The text of a file, the table in it, and the lines of its keys.

    The lines are found only when a problem is reported: the parser for that is not imported before.

    Attributes:
        path: of the file, as the operator gave it.
        text: of the file.
        table: what the text says.
    """

    def __init__(self, path: str, text: str, table: dict[str, Any]) -> None:
        """Hold a file that was parsed."""
        self.path = path
        self.text = text
        self.table = table
        self._lines: dict[Keys, int] | None = None

    @classmethod
    def read(cls, path: Path) -> "Source":
        """Read a file; raises :class:`ConfigProblems`."""
        try:
            return cls.parse(str(path), _read_unchanged(path))
        except OSError as error:
            raise ConfigProblems(
                [ConfigProblem(str(path), 0, "", error.strerror or str(error), "a file that can be read")]
            ) from None

    @classmethod
    def parse(cls, path: str, data: bytes) -> "Source":
        """A file's bytes; raises :class:`ConfigProblems`."""
        if len(data) > MAX_BYTES:
            right = f"{MAX_BYTES} bytes at most"
            raise ConfigProblems([ConfigProblem(path, 0, "", f"it holds more than {MAX_BYTES} bytes", right)])
        if not data.strip():  # perhaps it is just being written; all that it set would be taken back
            raise ConfigProblems([ConfigProblem(path, 0, "", "it is empty", 'at least log_level = "info"')])
        try:
            text = data.decode()
        except UnicodeDecodeError as error:
            line = data.count(b"\n", 0, error.start) + 1
            raise ConfigProblems(
                [ConfigProblem(path, line, "", f"byte {data[error.start]:#04x} is no UTF-8", "UTF-8 text")]
            ) from None
        try:
            return cls(path, text, tomllib.loads(text))
        except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
            wrong, line = _syntax_error(str(error) or "nested too deeply", text)
            raise ConfigProblems([ConfigProblem(path, line, "", wrong, "TOML 1.0")]) from None

    def problem(self, keys: Keys, wrong: str, right: str = "") -> ConfigProblem:
        """A problem at a key; an absent key has the line of the table that it should be in."""
        return ConfigProblem(self.path, self.line(keys), ".".join(map(str, keys)), wrong, right)

    def line(self, keys: Keys) -> int:
        """The line of a key, or else of the nearest table round it; 0 if there is none."""
        if self._lines is None:
            from heronlug.config.strict_toml.key_lines import find_key_lines

            self._lines = find_key_lines(self.text)
        while keys and keys not in self._lines:
            keys = keys[:-1]
        return self._lines.get(keys, 0)


def _read_unchanged(path: Path) -> bytes:
    """The bytes of one state of a file: one that changes under the reading is read anew; raises ``OSError``."""
    data = b""
    for _ in range(MAX_READS):
        with path.open("rb") as file:
            before = os.fstat(file.fileno())
            data = file.read(MAX_BYTES + 1)
            after = os.fstat(file.fileno())
        if (before.st_mtime_ns, before.st_size) == (after.st_mtime_ns, after.st_size):
            return data
    return data  # whoever writes it all the time has to live with what its checks say


def _syntax_error(text: str, document: str) -> tuple[str, int]:
    """The parser's own words and the line in them."""
    description, _, location = text.rpartition(" (at ")
    if location.startswith("line "):
        return description, int(location[5:].partition(",")[0])
    if location.startswith("end of document"):
        return description + " at the end of the file", document.count("\n") + 1
    return text, 0
