"""Many processes of the program with faults between them: one rig for tests, benchmarks and ``heronlug fleet``.

Its parts stand apart: what is started (:mod:`processes`, :mod:`runners`), the faults (:mod:`paths`, by a
:mod:`script`), the history of what happened (:mod:`history`), and the checker that judges it and knows nothing of the
program (:mod:`heronlug.conformance`).
"""
