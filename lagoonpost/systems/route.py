"""Route lookup: maps a request to its route and its workspace.

Load pattern: some hundred routes on one host, and one lookup per request.
Comparing each prefix costs time in proportion to the number of routes.
Prefixes end with a slash, so the only candidates are the beginnings of the
path that end with one. They are looked up longest first, which takes as many
steps as the path has slashes.
"""

from random import Random

from lagoonpost.tables.configuration import (
    Configuration,
    Route,
    Workspace,
)


class RouteTable:
    """Index of a configuration's routes and keys.

    Attributes:
        configuration: The indexed configuration.
        priorities: Priorities of all routes.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.priorities = frozenset(
            route.priority for route in configuration.routes
        )
        self._routes = {
            (route.host.lower(), route.prefix): route
            for route in configuration.routes
        }
        self._workspaces = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching prefix of a path.

        Args:
            host: Value of the host header, in lower case.
            target: Path, with or without a query.

        Returns:
            The route; None if no prefix matches.
        """
        path = target.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace of a key; None if the key is unknown."""
        return self._workspaces.get(key) if key else None

    @property
    def needs_key(self) -> bool:
        """Whether requests on non-public routes require a key."""
        return bool(self.configuration.workspaces)


def choose_service(route: Route, rng: Random) -> str:
    """Choose the service for a request by the weights of its route."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return rng.choices(names, weights)[0]
