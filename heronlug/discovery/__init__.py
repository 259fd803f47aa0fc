"""Service discovery: how a dispatcher gets its endpoint list, and how long it may use it.

:mod:`client` polls service discovery. Decisions without I/O, clock or randomness of their own are :mod:`freshness`
(until when a list may be used), :mod:`poll_pacing` (when to poll), :mod:`reader_election` (which members of a cluster
poll for all) and :mod:`cache` (whether a cached list may be used).
"""
