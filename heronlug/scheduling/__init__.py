"""When an accepted job may begin, beside its deadline: what it waits for.  No I/O and no clock."""
