"""Settings of Hypothesis and pytest: the same verdict on each run."""

import eliot
import pytest
from hypothesis import settings
from known_red import LIST, pass_over, read_known_red

settings.register_profile("ci", derandomize=True, deadline=None)
settings.load_profile("ci")
# Without any destination, eliot keeps messages for the first one to come.
eliot.add_destinations(lambda message: None)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    pass_over(items, read_known_red(LIST.read_text()))
