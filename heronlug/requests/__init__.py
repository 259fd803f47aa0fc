"""What is kept in memory: numbered slots, deadlines, and the core that owns every message."""
