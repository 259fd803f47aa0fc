"""Start and stop: configuration, the log, the daemon, plan and apply."""
