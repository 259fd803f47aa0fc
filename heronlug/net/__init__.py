"""Sockets and HTTP/1.1, as the frontends, the backends and service discovery share them."""
