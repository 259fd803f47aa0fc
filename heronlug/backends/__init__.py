"""Backends: reusable connections to servers and the parsing of their responses."""
