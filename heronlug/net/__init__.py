"""What is spoken on sockets and pipes: the two fronts, the south side, and the simulator."""
