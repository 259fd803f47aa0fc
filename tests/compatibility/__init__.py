"""Tests of the forms that processes of different versions exchange, and of the forms that are stored."""
