"""Hot restart: one process takes over from another without losing connections or requests."""
