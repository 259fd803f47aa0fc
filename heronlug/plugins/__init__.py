"""Runs the plug-ins that operators configure."""
