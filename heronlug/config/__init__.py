"""Reads, validates and reloads the configuration from files and the environment."""
