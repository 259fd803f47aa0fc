"""Generates load on sockets: sends a scenario's requests in real time to running dispatchers, only on loopback.

``plan`` computes the due time of each request, ``http`` and ``faktory`` send the requests and ``tally`` counts the
outcomes. The load is an open loop: a request is sent when it is due, whatever the outcome of earlier requests. Latency
counts from the due time, so that a stall of the dispatcher or of the load generator is not hidden (coordinated
omission).
"""
