"""Hot restart: a new process takes over from the one that runs, and no client notices."""
