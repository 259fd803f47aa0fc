"""Load on sockets: a scenario's jobs in real time against running dispatchers, open loop, on loopback alone.

``plan`` says what is due when, ``http`` and ``faktory`` hand it in, ``tally`` counts. A job's latency is counted from
when it was due, so that a stall of the dispatcher, or of the load tool itself, is not hidden (coordinated omission).
"""
