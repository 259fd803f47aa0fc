"""Decides how a dispatcher forwards requests to servers, without I/O, a clock or an unseeded random source.

Servers are chosen by Upper-Confidence Priority-K (X. Fu, E. Modiano, "Optimal Routing to Parallel Servers With Unknown
Utilities", Algorithm 2): the servers are ranked by an upper confidence bound on their payoff, and the best server is
filled up to K requests per slot before the next.

A host builds :class:`heronlug.balancer.settings.Settings`, creates a :class:`heronlug.balancer.dispatcher.Dispatcher`,
calls ``handle(now, event)`` for each event in the order of occurrence, and carries out the returned actions. All times
are milliseconds on one monotonic clock; ids are integers chosen by the host. A dispatcher object is not thread-safe.
"""
