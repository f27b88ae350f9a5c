"""State on which one gateway bases its decisions."""

from lagoonpost.systems.pool import Pool
from lagoonpost.tables.entity import Declaration
from lagoonpost.tables.request import RequestRow


class GatewayTables:
    """State on which one gateway bases its decisions.

    Attributes:
        name: The gateway's name, from which its runner subset is derived.
        gateways: Number of gateways; 1 while unknown.
        declaration: The declaration in force.
        requests: Waiting and running requests by id.
        pools: State of each service by name.
        leaving: Names of runners that are about to shut down.
        verdicts: Quarantine verdicts by request fingerprint.
        avoid: Versions that a suspect request should not run on, by request
            fingerprint.
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
