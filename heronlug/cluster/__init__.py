"""Forms a cluster of dispatchers that share leases and replicate tables.

The modules that make decisions have no I/O, no clock and no source of randomness of their own:

- ``node``: one member, which combines the following modules.
- ``membership``, ``failure_detector``, ``gossip_queue``, ``member``: the list of members (SWIM, Lifeguard).
- ``ownership``: the preferred holder of a lease; ``leases``, ``lease_state``: the actual holder.
- ``replicated_tables``, ``table_state``, ``node_store``, ``merkle_trie``: tables that one member writes.
- ``messages``, ``codec``, ``datagrams``: the messages between members.
- ``periodic_tasks``, ``health_checks``, ``server_view``: the work of lease holders and the use of its results.

``transport`` owns the socket, ``health_checker`` runs health checks, ``task_runner`` runs periodic tasks and ``status``
reports to operators. ``shared_discovery``, ``server_rows`` and ``table_writer`` share the endpoint list. The
configuration is read by :mod:`heronlug.config.cluster_section`.
"""
