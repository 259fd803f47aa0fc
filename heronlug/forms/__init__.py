"""Operators' files: TOML read whole, decoded strictly, and every fault told with its line."""

from heronlug.forms.faults import Fault, Faults
from heronlug.forms.source import Source

__all__ = ["Fault", "Faults", "Source"]
