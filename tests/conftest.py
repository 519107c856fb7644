"""The same generated inputs in every run, and no judgement by how long they take."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
