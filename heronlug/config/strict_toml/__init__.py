"""Reads operators' TOML files, decodes them strictly and reports all problems with their lines."""

from heronlug.config.strict_toml.errors import ConfigProblem, ConfigProblems
from heronlug.config.strict_toml.source import Source

__all__ = ["ConfigProblem", "ConfigProblems", "Source"]
