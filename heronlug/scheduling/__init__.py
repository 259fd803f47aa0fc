"""Schedules accepted jobs that depend on other jobs.  Does no I/O and has no clock."""
