"""Plays clients that make a dispatcher hold memory, connections or its loop, beside clients that keep the protocol.

The dispatcher runs as a process with the memory and descriptor limits of the platform. It must stay within the limits,
and the well-behaved clients must be served as if the others were not there.
"""
