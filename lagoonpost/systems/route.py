"""Which route a request takes, and whose request it is.

Pattern of load: some hundred routes on one host, and one look-up a request.
Trying each prefix grows with the routes. As prefixes end with a slash, the
only candidates are the beginnings of the path that end with one, longest
first, so that a look-up costs as many steps as the path has slashes.
"""

from random import Random

from lagoonpost.tables.configuration import (
    Configuration,
    Route,
    Workspace,
)


class RouteTable:
    """One configuration, indexed.

    Attributes:
        configuration: What it was made from.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
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
        """Return the route with the longest prefix that begins a path.

        Args:
            host: Value of the host header, in lower case.
            target: Path, with or without a query.
        """
        path = target.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._workspaces.get(key) if key else None

    @property
    def needs_key(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return bool(self.configuration.workspaces)


def choose_service(route: Route, rng: Random) -> str:
    """Return the service for one request, by the weights of the route."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return rng.choices(names, weights)[0]
