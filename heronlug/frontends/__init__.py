"""The frontends: protocols in which clients hand in requests."""
