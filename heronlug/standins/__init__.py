"""Stand-ins of outside systems, for trying the program out, for its tests and its benchmarks."""
