"""Dispatchers that know of each other, share leases and replicate tables.

What decides has no I/O, no clock and no randomness of its own:

- ``node``: one member, which puts the following together.
- ``membership``, ``failure_detector``, ``gossip_queue``, ``member``: who is there (SWIM, Lifeguard).
- ``ownership``: which member should hold a lease; ``leases``, ``lease_state``: which member does.
- ``replicated_tables``, ``table_state``, ``node_store``, ``merkle_trie``: tables that one member writes.
- ``messages``, ``codec``, ``datagrams``: what members send each other.
- ``periodic_tasks``, ``health_checks``, ``server_view``: what the holder of a lease does.

``transport`` has the socket, ``task_runner`` runs periodic tasks, ``schema`` reads the operators' table, ``status`` is
what operators see.
"""
