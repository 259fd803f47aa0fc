"""The HTTP frontend: the platform's protocol on clients' connections."""
