"""HTTP frontend: the platform's HTTP protocol on client connections."""
