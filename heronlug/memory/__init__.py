"""The memory that clients, servers, peers and operators can make a process hold: one account and its limit."""
