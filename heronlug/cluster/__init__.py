"""Dispatchers that know of each other and share periodic duties: no I/O, no clock and no randomness of its own.

``node`` puts ``membership`` (who is there), ``ownership`` (who should own) and ``leases`` (who may act) together;
``codec`` is what goes between them, ``duties`` when a duty is run, ``schema`` the operators' table. Sockets are in
``heronlug.cluster.transport``.
"""
