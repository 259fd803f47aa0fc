"""Operators' files: TOML read whole, decoded strictly, and every problem told with its line."""

from heronlug.config.strict_toml.errors import ConfigProblem, ConfigProblems
from heronlug.config.strict_toml.source import Source

__all__ = ["ConfigProblem", "ConfigProblems", "Source"]
