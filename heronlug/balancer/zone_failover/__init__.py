"""Zone failover: traffic leaves a zone that fails as one, and returns to it in stages.

What the servers of a zone have shown lately is :mod:`evidence`, what follows from it for the zone is
:mod:`zone_state`, and what that means for each of its servers is :mod:`controller`. Attempts that are silent in a
failed zone are the business of :mod:`stranded_attempts`.
"""
