"""How much of each workspace's quota is left, over all gateways.

Pattern of load: one workspace sends many times its usual, through all
gateways at once. A fixed part for each gateway refuses callers that happen
to meet at one of them while the whole quota is hardly used; asking a
central counter costs a call a request. Here each gateway keeps the whole
bucket, takes from it at once what it lets through itself, and takes what the
others let through when their counts arrive, some tenths of a second later.

What is let through before the others' news arrives goes into debt, which is
paid back by refusing a little longer, so the sum over a window stays within
what the bounds tolerate as long as news comes. A gateway that hears only
some of the others lets through only the part of those that it hears,
itself included: 1 of 9 cut off keeps a ninth, the other eight the rest.
"""

from collections.abc import Mapping
from typing import NamedTuple

from lagoonpost.tables.configuration import Workspace

SHORTEST_WAIT = 0.2
"""Least seconds to tell a refused caller; news is about as old."""
LONGEST_WAIT = 5.0
"""Most seconds to tell a refused caller; quotas may be raised meanwhile."""


class Level(NamedTuple):
    """State of one workspace's bucket.

    Attributes:
        units: What may be let through; negative while in debt.
        at: Time of ``units``, in seconds.
    """

    units: float
    at: float


class Quotas:
    """Buckets of all workspaces.

    Attributes:
        used: Units let through by this gateway since its start.
    """

    def __init__(self) -> None:
        self.used: dict[str, float] = {}
        self._levels: dict[str, Level] = {}
        self._heard: dict[tuple[str, str], float] = {}

    def take(
        self, workspace: Workspace, cost: float, part: float, now: float
    ) -> float | None:
        """Take a request's units.

        Args:
            workspace: Whose request it is.
            cost: Its units.
            part: Part of all gateways that this one hears of, itself
                included; 0 to 1.
            now: Time in seconds.

        Returns:
            None if it is let through, else seconds until it would be.
        """
        if workspace.rate <= 0:
            return None
        level = self._refill(workspace, part, now)
        # Full buckets let through even what is larger than they are, or a
        # large request would never fit.
        if level < min(cost, workspace.burst) * (1 if part >= 1 else part):
            missing = cost - level
            wait = missing / (workspace.rate * max(part, 0.01))
            return min(LONGEST_WAIT, max(SHORTEST_WAIT, wait))
        self._levels[workspace.name] = Level(level - cost, now)
        total = self.used.get(workspace.name, 0.0) + cost
        self.used[workspace.name] = total
        return None

    def give_back(self, workspace: Workspace, cost: float) -> None:
        """Return the units of a request that did not run."""
        if workspace.rate <= 0:
            return
        level = self._levels.get(workspace.name)
        if level is not None:
            self._levels[workspace.name] = level._replace(
                units=level.units + cost
            )
        self.used[workspace.name] = self.used.get(workspace.name, 0.0) - cost

    def hear(self, sender: str, used: Mapping[str, float]) -> None:
        """Take another gateway's count into account.

        Args:
            sender: Identifies one run of the other gateway.
            used: Units by workspace that it let through since its start.
        """
        for name, units in used.items():
            before = self._heard.get((sender, name), 0.0)
            self._heard[sender, name] = units
            level = self._levels.get(name)
            if level is not None:
                self._levels[name] = level._replace(
                    units=level.units - (units - before)
                )

    def _refill(self, workspace: Workspace, part: float, now: float) -> float:
        most = workspace.burst * part
        level = self._levels.get(workspace.name)
        if level is None:
            level = Level(most, now)
        grown = level.units + (now - level.at) * workspace.rate * part
        units = min(most, grown)
        self._levels[workspace.name] = Level(units, now)
        return units


def count_units(workspace: Workspace, tokens: int | None) -> float:
    """Return a request's units.

    Args:
        workspace: Whose request it is.
        tokens: Tokens of prompt and answer; None if it names none.
    """
    if not workspace.by_tokens:
        return 1.0
    return workspace.plain_tokens if tokens is None else float(tokens)
