"""The backends: connections to servers, and health checks of servers."""
