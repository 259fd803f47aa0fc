"""How a dispatcher comes to its list when many start at once, or when the node register comes back.

Decisions without I/O, clock or randomness of their own: when to call the register (:mod:`pacing`), who of a cluster
reads it for all (:mod:`reading`), what a list kept over a restart is worth (:mod:`kept`).
"""
