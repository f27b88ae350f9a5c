"""Divides a service that is short among workspaces, over all gateways.

Load pattern: one workspace sends several times its usual load, or reclaims
take most runners, and for some seconds a service serves less than is asked.
Served in order of arrival, each workspace gets room in proportion to what it
asks: the one that asks for six times its usual gets most of it, although it
is within its quota, and all others are late.

While a service is short, what it serves is divided by max-min fairness: each
workspace may have a share in proportion to its weight, and what one doesn't
ask for is divided among the others. With dozens of gateways each sees a few
requests a second, so each adds what the others report. Requests of a
workspace that asks for more than its share are marked at random, such that
the unmarked ones add up to the share over all gateways, whichever of them the
requests arrive at.

Nothing is marked while the service isn't short, and nothing at a gateway that
doesn't know what the others were asked for, as it would take its own few
requests for the whole load.
"""

import math
from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.service_share import (
    UNLISTED,
    Demand,
    ServiceLoad,
    ShareCheck,
)

DEMAND_SECONDS = 1.0
"""Time constant with which earlier requests are forgotten: a sudden rise is
seen within some tenths of a second, and sixteen requests a second at all
gateways give an estimate to a quarter."""
SHORT_PRESSURE, RELIEVED_PRESSURE = 1.0, 0.3
"""Pressures at which a service becomes short and at which it no longer is.
They differ so that marking requests, which lowers the pressure, doesn't end
the marking at once. Between them gateways already tell each other what they
are asked for, so that it is known when the service becomes short."""
SHARED_PART = 0.9
"""Part that is divided, of what the runners serve and of what is asked: at
most as much is served, as the waits show. Requests within their shares would
wait for each other if they took all room. The rest goes to requests that are
over their share."""
ESTIMATE_MARGIN = 1.25
"""Ratio of what a workspace asks for to its share from which its requests are
marked. One that asks for its share has at times more by chance."""
MAX_REPORTED_WORKSPACES = 12
"""Most workspaces of a service in a gateway's report: 250 bytes. One that is
not among the largest of any gateway is not the cause of a shortage."""
MAX_SUMMED_WORKSPACES = 24
"""Most workspaces of a service in a hub's summary: 500 bytes."""
CLEANUP_SECONDS = 8.0
"""Pause between searches for workspaces that may be forgotten."""
MIN_RATE = 0.01
"""Units a second below which a workspace is forgotten: a plain request that
was made five seconds ago."""


class Request(NamedTuple):
    """Units a second that one workspace asks for, and its weight."""

    units: float
    weight: float


def find_level(requests: Iterable[Request], capacity: float) -> float:
    """Return the units per weight above which a workspace is cut.

    Args:
        requests: What is asked for.
        capacity: Units a second to divide.

    Returns:
        The level; infinite if all requests fit.
    """
    ordered = sorted(requests, key=_find_need)
    weight = sum(each.weight for each in ordered)
    for each in ordered:
        level = max(0.0, capacity) / weight
        if each.units > level * each.weight:
            return level
        capacity -= each.units
        weight -= each.weight
    return math.inf


def find_weights(workspaces: Iterable[Workspace]) -> dict[str, float]:
    """Return the weight of each workspace.

    Quotas state how large workspaces are, so weights are in their ratio. A
    workspace without a quota weighs as much as the mean of the others. With
    quotas in requests beside quotas in tokens all weigh the same.
    """
    found = list(workspaces)
    limited = [each for each in found if each.rate > 0]
    if len({each.by_tokens for each in limited}) != 1:
        return {each.name: 1.0 for each in found}
    mean = sum(each.rate for each in limited) / len(limited)
    return {
        each.name: each.rate / mean if each.rate > 0 else 1.0 for each in found
    }


def sum_demand(parts: Iterable[Demand | None]) -> Demand | None:
    """Return the sum of several gateways' demand, the largest listed.

    Returns:
        The sum; None if no gateway tells its demand.
    """
    told = [part for part in parts if part]
    if not told:
        return None
    total: Demand = {}
    for part in told:
        for service, asked in part.items():
            sums = total.setdefault(service, {})
            for name, units in asked.items():
                sums[name] = sums.get(name, 0.0) + units
    return {
        name: list_largest(sums, MAX_SUMMED_WORKSPACES)
        for name, sums in total.items()
    }


def subtract_demand(total: Demand, part: Demand | None) -> Demand:
    """Subtract a part of a demand from its sum, with 0 as the lower bound."""
    return {
        service: {
            name: max(0.0, units - (part or {}).get(service, {}).get(name, 0))
            for name, units in asked.items()
        }
        for service, asked in total.items()
    }


def list_largest(asked: Mapping[str, float], count: int) -> dict[str, float]:
    """Return the workspaces that ask for most, and the sum of the rest."""
    ordered = sorted(
        (name for name in asked if name != UNLISTED),
        key=lambda name: asked[name],
        reverse=True,
    )
    listed = {name: round(asked[name], 2) for name in ordered[:count]}
    rest = asked.get(UNLISTED, 0.0)
    rest += sum(asked[name] for name in ordered[count:])
    if rest >= MIN_RATE:
        listed[UNLISTED] = round(rest, 2)
    return listed


class _DecayingSum:
    """Units of recent requests, the later the more."""

    def __init__(self) -> None:
        self._units = 0.0
        self._at = -math.inf

    def add(self, units: float, now: float) -> None:
        """Add units that are asked for now."""
        self._units = self.find_rate(now) * DEMAND_SECONDS + units
        self._at = now

    def find_rate(self, now: float) -> float:
        """Return the units a second."""
        age = max(0.0, now - self._at)
        return self._units * math.exp(-age / DEMAND_SECONDS) / DEMAND_SECONDS


class _History:
    """Mean part of a workspace's requests that was within its share."""

    def __init__(self) -> None:
        self._mean = 1.0
        self._part = 1.0
        self._at: float | None = None

    def find_part(self, asked: float, share: float, now: float) -> float:
        """Return the part of the next requests that is within the share.

        What was within the share lately, while the others' requests weren't
        known yet or the workspace was asking for less, is made up for.

        Args:
            asked: Units a second that the workspace asks for.
            share: Units a second that it may have.
            now: Time in seconds.
        """
        age = now - self._at if self._at is not None else 0.0
        weight = math.exp(-max(0.0, age) / DEMAND_SECONDS)
        self._mean = weight * self._mean + (1.0 - weight) * self._part
        self._at = now
        self._part = 1.0
        if asked > ESTIMATE_MARGIN * share:
            excess = asked * self._mean - share
            self._part = min(1.0, max(0.0, (share - excess) / asked))
        return self._part


class ServiceShares:
    """Tells which requests are over the share of their workspace.

    Attributes:
        check: Inputs of the last decision, for the log; None if the service
            wasn't short or the demand at other gateways wasn't known.
    """

    def __init__(self) -> None:
        self.check: ShareCheck | None = None
        self._own: dict[str, dict[str, _DecayingSum]] = {}
        self._others: Demand = {}
        self._weights: dict[str, float] = {}
        self._loads: Mapping[str, ServiceLoad] = {}
        self._short: set[str] = set()
        self._levels: dict[str, float] = {}
        self._histories: dict[tuple[str, str], _History] = {}
        self._next_cleanup = -math.inf

    def update(
        self,
        loads: Mapping[str, ServiceLoad],
        others: Demand | None,
        weights: dict[str, float],
        now: float,
    ) -> list[str]:
        """Apply the newest state of all services.

        Args:
            loads: Load of each service.
            others: Demand at the other gateways; None if it isn't known.
            weights: Weight of each workspace.
            now: Time in seconds.

        Returns:
            The services that became short or no longer are.
        """
        before = frozenset(self._short)
        self._loads = loads
        self._short = {
            service
            for service, load in loads.items()
            if load.pressure
            > (RELIEVED_PRESSURE if service in before else SHORT_PRESSURE)
        }
        self._weights = weights
        self._others = others or {}
        self._levels = {}
        if others is not None:
            self._levels = {
                service: self._find_level(service, now)
                for service in self._short
            }
        if now >= self._next_cleanup:
            self._next_cleanup = now + CLEANUP_SECONDS
            self._forget_old(now)
        return sorted(before ^ self._short)

    def is_short(self, service: str) -> bool:
        """Return whether a service serves less than is asked of it."""
        return service in self._short

    def is_over_share(
        self,
        service: str,
        workspace: str,
        units: float,
        now: float,
        rng: Random,
    ) -> bool:
        """Count a request and return whether it is over its share.

        Args:
            service: Service that the request is for.
            workspace: Workspace that it is charged to; `UNLISTED` for none.
            units: Units of work of the request.
            now: Time in seconds.
            rng: Draws the requests that are over the share.
        """
        own = self._own.setdefault(service, {})
        own.setdefault(workspace, _DecayingSum()).add(units, now)
        self.check = None
        level = self._levels.get(service)
        if level is None or workspace == UNLISTED:
            return False
        asked = own[workspace].find_rate(now)
        asked += self._others.get(service, {}).get(workspace, 0.0)
        share = level * self._weights.get(workspace, 1.0)
        history = self._histories.setdefault((service, workspace), _History())
        part = history.find_part(asked, share, now)
        self.check = ShareCheck(asked, min(asked, share), part)
        return rng.random() >= part

    def make_report(self, now: float) -> Demand | None:
        """Return this gateway's demand of the services under pressure.

        Returns:
            The demand; None if no service is near to being short, when the
            others don't need it.
        """
        report = {
            service: list_largest(
                self._list_own(service, now), MAX_REPORTED_WORKSPACES
            )
            for service, load in self._loads.items()
            if load.pressure > RELIEVED_PRESSURE
        }
        return {name: asked for name, asked in report.items() if asked} or None

    def _list_own(self, service: str, now: float) -> dict[str, float]:
        own = self._own.get(service, {})
        return {name: each.find_rate(now) for name, each in own.items()}

    def _find_level(self, service: str, now: float) -> float:
        asked = self._list_own(service, now)
        for name, units in self._others.get(service, {}).items():
            asked[name] = asked.get(name, 0.0) + units
        most = min(self._loads[service].rate, sum(asked.values()))
        capacity = SHARED_PART * most
        rest = asked.pop(UNLISTED, 0.0)
        requests = [
            Request(units, self._weights.get(name, 1.0))
            for name, units in asked.items()
        ]
        # Of the rest only the sum is known. It is divided as if all of them
        # were like the smallest one that is listed.
        smallest = min(requests, key=_find_need, default=None)
        if rest > 0 and smallest is not None and smallest.units > 0:
            weight = smallest.weight * rest / smallest.units
            requests.append(Request(rest, weight))
        return find_level(requests, capacity)

    def _forget_old(self, now: float) -> None:
        for service, own in self._own.items():
            for name in list(own):
                if own[name].find_rate(now) < MIN_RATE:
                    del own[name]
                    self._histories.pop((service, name), None)


def _find_need(request: Request) -> float:
    return request.units / request.weight
