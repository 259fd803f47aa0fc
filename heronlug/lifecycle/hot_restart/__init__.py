"""Hot restart: a new process takes over from the running process without interrupting any client."""
