"""Configuration: files and environment, their schemas, validation and reload."""
