"""Clients that abuse a dispatcher: they make it hold memory and connections, or keep its event loop busy."""
