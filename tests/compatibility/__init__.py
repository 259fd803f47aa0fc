"""Forms that processes of different versions exchange, and forms that are stored."""
