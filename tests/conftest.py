"""The same verdict every time: hypothesis draws the same examples in every run."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
