"""Accepted work that survives a restart: what is kept (``model``), and where (``sqlite``, ``memory``)."""
