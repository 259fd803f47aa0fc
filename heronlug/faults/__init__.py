"""Fault-injection harness: runs several dispatcher processes and injects faults between them as a test plan says.

Tests, benchmarks and ``heronlug fleet`` use the harness. Processes and stand-ins (:mod:`dispatchers`, :mod:`servers`),
faults (:mod:`network`, :mod:`steps`) and the recorded history (:mod:`history`) are separate from the conformance
checker (:mod:`heronlug.conformance`), which judges the history and does not depend on the program under test.
"""
