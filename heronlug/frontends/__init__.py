"""Frontends: the protocols over which clients send requests to the dispatcher."""
