"""Decisions in modules of their own: no I/O, no clock, no randomness."""

from heronlug.decisions.candidates import Candidates, Group

__all__ = ["Candidates", "Group"]
