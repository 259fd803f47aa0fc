"""Emulates clients, dispatchers, servers, network and service discovery in virtual time.

The core and the balancer are the real ones. ``scenario`` reads the scenario file and ``world`` runs it. ``timeline``
schedules events, ``draws`` provides random draws and ``faults`` injects faults. ``clients``, ``dispatchers``,
``backend``, ``network``, ``servers`` and ``discovery`` emulate the parts of the system. ``policies`` provides other
policies for choosing a server, and ``figures`` collects the results. The package uses no sockets; runs of a scenario
with the same seed are identical.
"""
