"""The decisions of a dispatcher: no I/O, no clock, no randomness of their own.

Servers are chosen by Upper-Confidence Priority-K (X. Fu, E. Modiano, "Optimal Routing to Parallel Servers With Unknown
Utilities", Algorithm 2): rank the servers by an upper confidence bound on their payoff, and fill the best one up to K
requests a slot before the next.

A host builds :class:`heronlug.balancer.settings.Settings`, makes a :class:`heronlug.balancer.dispatcher.Dispatcher`
and calls its ``handle(now, event)`` for every event, in the order in which they happened; it carries out the actions
that the call returns. All times are milliseconds on one clock that only goes forward; ids are integers chosen by the
host. An instance is not thread-safe.
"""
