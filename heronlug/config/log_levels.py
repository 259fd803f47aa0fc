"""The levels of the log."""

LEVELS = {"debug": 0, "info": 1, "warning": 2}
"""The levels by name; an event is logged from its level on."""
