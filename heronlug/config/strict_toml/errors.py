"""Defines a problem of an operators' file and the error that holds all problems of a file."""

from collections.abc import Iterable
from typing import NamedTuple

from heronlug.config.errors import ConfigurationError


class ConfigProblem(NamedTuple):
    """A problem of a file.

    Attributes:
        path: Path of the file.
        line: Line number, starting at 1; 0 if the problem has no line.
        key: Dotted key, such as ``class.send-invites.attempts``; empty if the problem concerns the whole file.
        wrong: What is wrong.
        right: What is accepted; empty if ``wrong`` says that too.
    """

    path: str
    line: int
    key: str
    wrong: str
    right: str = ""

    def __str__(self) -> str:
        location = f"{self.path}:{self.line}: " if self.line else f"{self.path}: "
        key = f"{self.key}: " if self.key else ""
        return " ".join(f"{location}{key}{self.wrong}{', ' if self.right else ''}{self.right}".split())


def suggest(word: str, known: Iterable[str]) -> str:
    """Returns what is accepted in place of an unknown word: the closest known word if any, otherwise all of them."""
    from difflib import get_close_matches

    known_words = list(known)
    matches = get_close_matches(word, known_words, 1)
    return f"did you mean {matches[0]}?" if matches else "expected one of " + ", ".join(known_words)


class ConfigProblems(ConfigurationError, ValueError):
    """Raised with all problems of a file; the message has one line for each problem.

    Attributes:
        problems: The problems, sorted by path, line and key.
    """

    def __init__(self, problems: Iterable[ConfigProblem]) -> None:
        self.problems = sorted(problems, key=lambda problem: (problem.path, problem.line, problem.key))
        super().__init__("\n".join(map(str, self.problems)))
