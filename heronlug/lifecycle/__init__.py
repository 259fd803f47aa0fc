"""Lifecycle of a dispatcher: start, logging, hot restart, graceful shutdown, and changes by plan and apply."""
