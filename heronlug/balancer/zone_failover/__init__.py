"""Stops the traffic to a zone whose servers fail together, and returns traffic to the zone in stages.

:mod:`evidence` evaluates the recent outcomes of a zone's servers, :mod:`zone_state` holds the state machine of a zone,
and :mod:`controller` applies the state to each server of the zone. :mod:`stranded_attempts` cancels silent attempts in
an excluded zone.
"""
