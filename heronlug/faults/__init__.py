"""The fault-injection harness: many processes of the program with faults between them, played by a test plan.

It serves tests, benchmarks and ``heronlug fleet``. What is started (:mod:`dispatchers`, :mod:`servers`), the faults
(:mod:`network`, :mod:`steps`) and the history of what happened (:mod:`history`) stand apart from the checker that
judges the history and knows nothing of the program (:mod:`heronlug.conformance`).
"""
