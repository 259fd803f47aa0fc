"""The decisions behind the simulator's wire: many dispatchers in one process on standard input and output."""
