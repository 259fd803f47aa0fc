"""The plug-in host."""
