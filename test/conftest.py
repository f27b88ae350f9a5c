"""Settings of Hypothesis: the same verdict on each run."""

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None)
settings.load_profile("ci")
