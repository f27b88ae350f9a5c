"""Configuration of Hypothesis and pytest for reproducible results."""

import gc
from collections.abc import Iterator

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


@pytest.fixture(autouse=True, scope="module")
def collect_connections() -> Iterator[None]:
    """Collect connections that a module's tests left open.

    Guards against finalizers that end another module's test: one that formats
    a traceback while Hypothesis parses a source makes CPython 3.11 fail.
    """
    yield
    gc.collect()
