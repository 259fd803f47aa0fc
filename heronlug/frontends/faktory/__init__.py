"""The Faktory frontend: the Faktory work protocol, version 2."""
