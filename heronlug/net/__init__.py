"""Provides the sockets and HTTP/1.1 functions shared by the frontends, the backends and service discovery."""
