"""Owns the requests of a dispatcher in memory, together with their attempts, deadlines and servers."""
