"""Service discovery: obtains the endpoint list of a dispatcher and limits how long the list may be used.

:mod:`client` polls service discovery. Four modules make the decisions, without I/O, a clock or randomness of their own:
:mod:`freshness` (how long a list may be used), :mod:`poll_pacing` (when to poll), :mod:`reader_election` (which members
of a cluster poll for the whole cluster) and :mod:`cache` (whether a cached list may be used).
"""
