"""Problems of an operators' file, and the error that carries them."""

from collections.abc import Iterable
from typing import NamedTuple

from heronlug.config.errors import ConfigurationError


class ConfigProblem(NamedTuple):
    """One thing that is wrong with a file.

    Attributes:
        path: of the file.
        line: counted from 1; 0 where no line can be named.
        key: dotted, as in ``class.send-invites.attempts``; empty for the file as a whole.
        wrong: what is wrong.
        right: what would be right; empty where that is plain.
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
    """What would be right in place of an unknown word."""
    from difflib import get_close_matches

    known_words = list(known)
    matches = get_close_matches(word, known_words, 1)
    return f"perhaps {matches[0]}" if matches else "one of " + ", ".join(known_words)


class ConfigProblems(ConfigurationError, ValueError):
    """All problems of a file, one line each, in the order of their lines.

    Attributes:
        problems: in that order.
    """

    def __init__(self, problems: Iterable[ConfigProblem]) -> None:
        self.problems = sorted(problems, key=lambda problem: (problem.path, problem.line, problem.key))
        super().__init__("\n".join(map(str, self.problems)))
