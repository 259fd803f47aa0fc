"""Stores accepted requests across restarts: the stored data (``model``) and the stores (``sqlite``, ``memory``)."""
