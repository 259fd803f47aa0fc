"""Frontend for version 2 of the Faktory work protocol."""
