"""All that one gateway's decisions know."""

from lagoonpost.systems.pool import Pool
from lagoonpost.tables.entity import Declaration
from lagoonpost.tables.request import RequestRow


class GatewayTables:
    """All that one gateway's decisions know.

    Attributes:
        name: The gateway's name, by which it chooses its runners.
        gateways: How many gateways there are; 1 while unknown.
        declaration: The declaration in force.
        requests: Requests that are waiting or running, by id.
        pools: State of each service.
        leaving: Names of runners that will go.
        verdicts: Verdicts on fingerprints.
        avoid: Versions that a suspect fingerprint should not run on.
    """

    def __init__(self, name: str = "", gateways: int = 1) -> None:
        self.name = name
        self.gateways = gateways
        self.declaration = Declaration()
        self.requests: dict[str, RequestRow] = {}
        self.pools: dict[str, Pool] = {}
        self.leaving: set[str] = set()
        self.verdicts: dict[str, str] = {}
        self.avoid: dict[str, frozenset[str]] = {}
