"""Connects the simulator to many dispatchers in one process over standard input and output."""
