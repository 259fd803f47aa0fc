"""Stand-ins for external systems, used by demos, tests and benchmarks of the program."""
