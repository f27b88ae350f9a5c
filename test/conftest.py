"""Configuration of Hypothesis and pytest for reproducible results."""

import eliot
import pytest
from hypothesis import settings
from known_red import LIST, mark_expected_failures, read_known_red

settings.register_profile("ci", derandomize=True, deadline=None)
settings.load_profile("ci")
# Without a destination, eliot buffers messages for the first one added.
eliot.add_destinations(lambda message: None)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    mark_expected_failures(items, read_known_red(LIST.read_text()))
