"""Defines the log levels."""

LEVELS = {"debug": 0, "info": 1, "warning": 2}
"""Ranks of the log levels by name; an event is logged if its rank is at least that of the configured level."""
