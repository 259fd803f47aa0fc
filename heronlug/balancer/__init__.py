"""The decisions of a dispatcher: no I/O, no clock, no randomness of their own.

A host builds :class:`heronlug.balancer.settings.Settings`, makes a :class:`heronlug.balancer.dispatcher.Dispatcher`
and calls its ``handle(now, event)`` for every event, in the order in which they happened; it carries out the actions
that the call returns. All times are milliseconds on one clock that only goes forward; ids are integers chosen by the
host. An instance is not thread-safe.
"""
