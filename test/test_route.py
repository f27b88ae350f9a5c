"""Lookup of routes and keys in a configuration."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.route import RouteTable, choose_service
from lagoonpost.tables.configuration import (
    Configuration,
    Route,
    TrafficShare,
    Workspace,
)

WORDS = st.sampled_from(["a", "b", "ab", ""])
PREFIXES = st.lists(WORDS, max_size=3).map(
    lambda words: "/" + "".join(f"{word}/" for word in words if word)
)
PATHS = st.lists(WORDS, max_size=5).map(lambda words: "/" + "/".join(words))


def make_route(prefix: str, host: str = "h") -> Route:
    return Route(
        name=f"{host}{prefix}",
        host=host,
        prefix=prefix,
        kind="safe",
        shares=(TrafficShare("desk", 1.0),),
        timeout=1.0,
        target=1.0,
        max_attempts=1,
        priority=0,
        public=False,
        resumable=False,
        gap=0.0,
    )


def make_table(prefixes, workspaces=()) -> RouteTable:
    routes = tuple(make_route(prefix) for prefix in prefixes)
    return RouteTable(Configuration(1, routes, {}, tuple(workspaces)))


class TestRouteTable:
    @given(st.lists(PREFIXES, unique=True), PATHS)
    def test_the_longest_prefix_that_begins_the_path(self, prefixes, path):
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = make_table(prefixes).find_route("h", path)
        expected = max(fitting, key=len) if fitting else None
        assert (found.prefix if found else None) == expected

    def test_queries_and_hosts(self):
        table = make_table(["/a/"])
        assert table.find_route("h", "/a/b?x=/c/") is not None
        assert table.find_route("h", "/c?x=/a/") is None
        assert table.find_route("other", "/a/b") is None

    def test_keys(self):
        pottery = Workspace("pottery", ("one", "two"))
        table = make_table(["/a/"], [pottery])
        assert table.needs_key
        assert table.find_workspace("two") == pottery
        assert table.find_workspace("three") is None
        assert table.find_workspace("") is None


class TestChooseService:
    def test_weights(self):
        shares = (TrafficShare("old", 90.0), TrafficShare("new", 10.0))
        route = make_route("/a/")._replace(shares=shares)
        rng = Random(1)
        chosen = [choose_service(route, rng) for _ in range(2000)]
        assert 120 < chosen.count("new") < 290
