"""Simulates version moves with seeds and counts the harmed requests.

Run ``python -m bench.moves [SEEDS]``; it prints one line per case. The
results do not depend on the machine.
"""

import sys
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import cache, partial
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from lagoonpost.systems.evidence import (
    INTERVAL_SECONDS,
    Counts,
    Evidence,
    add_interval,
    compute_log_ratios,
    is_worse,
)
from lagoonpost.systems.move import (
    MAX_RAMP_SECONDS,
    DeadlineTooNear,
    MoveRow,
    begin_move,
    compute_share,
    find_stage,
    finish_move,
    roll_back,
)
from lagoonpost.tables.entity import VersionMove

GATEWAYS = tuple(f"gateway-{index}" for index in range(9))
ROUTES = ("bookings", "checks/*")
ROUTE_SHARES = (0.3, 0.7)
SYMPTOMS = ("failed", "slow")
PROCESSES = 3

Array = npt.NDArray[np.float64]
Rates = tuple[float, float]
"""Probability that a request fails, and that it is slow (0 to 1)."""
GOOD: Rates = (0.002, 0.04)


class Point(NamedTuple):
    """State of a move at which a probability is evaluated.

    Attributes:
        route: Name of the route.
        time: Seconds since the ticket.
        share: Traffic share of the new version (0 to 1).
    """

    route: str
    time: float
    share: float


class Case(NamedTuple):
    """A simulated new version and its conditions.

    Attributes:
        good: Whether the move should complete.
        new: Failure and slowness probabilities of the new version.
        old: Failure and slowness probabilities of the old version.
        rate: Requests per second over all routes and gateways.
        seconds: Time from the ticket to the deadline.
    """

    good: bool
    new: Callable[[Point], Rates]
    old: Callable[[Point], Rates] = lambda point: GOOD
    rate: float = 30.0
    seconds: float = 600.0


class Result(NamedTuple):
    """Outcome of one move.

    Attributes:
        outcome: Reported outcome, or ``too_near``.
        ended: Seconds from the ticket to its end.
        harmed: Requests to the new version that failed or were slow, counted
            where it is worse than the old version. Includes the interval in
            which the rollback decision spreads to all gateways.
        traffic: Requests of the service from the ticket to the deadline.
    """

    outcome: str
    ended: float
    harmed: int
    traffic: float


def _is_outage(point: Point) -> bool:
    return 100 <= point.time % 250 < 130


def _hit_both(point: Point) -> Rates:
    return (0.6, 0.3) if _is_outage(point) else GOOD


CASES: dict[str, Case] = {
    "bad at once": Case(False, lambda p: (0.5, 0.04)),
    "bad at once, one in ten": Case(False, lambda p: (0.1, 0.04)),
    "bad later": Case(False, lambda p: (0.5, 0.04) if p.time > 330 else GOOD),
    "bad in the bake": Case(
        False, lambda p: (0.5, 0.04) if p.time > 480 else GOOD
    ),
    "only under load": Case(
        False, lambda p: (0.3, 0.2) if p.share >= 0.5 else GOOD
    ),
    "only on one route": Case(
        False, lambda p: (0.5, 0.04) if p.route == "bookings" else GOOD
    ),
    "slower, not failing": Case(False, lambda p: (0.002, 0.35)),
    "bad with little traffic": Case(False, lambda p: (0.5, 0.04), rate=1.0),
    "good": Case(True, lambda p: GOOD),
    "good but noisy": Case(
        True, lambda p: (0.06, 0.15), old=lambda p: (0.05, 0.13)
    ),
    "good with little traffic": Case(True, lambda p: GOOD, rate=0.1),
    "good under an outage of both": Case(True, _hit_both, old=_hit_both),
    "good in a short time": Case(True, lambda p: GOOD, seconds=96.0),
    "deadline too near": Case(False, lambda p: GOOD, seconds=60.0),
}


class _MoveSimulation:
    """Simulation of one move of one service, interval by interval."""

    def __init__(self, case: Case, ticket: int) -> None:
        self.case = case
        move = VersionMove("booking", "v1", "v2", case.seconds, ticket)
        self.row: MoveRow | DeadlineTooNear = begin_move(move, 0.0)
        symptoms = [(r, s) for r in ROUTES for s in SYMPTOMS]
        self.evidence = dict.fromkeys(symptoms, Evidence())
        self.intervals = case.seconds / INTERVAL_SECONDS
        self.harmed = 0

    def step(self, now: float, rng: np.random.Generator) -> None:
        """Simulate the interval that ends at ``now``."""
        row = self.row
        if isinstance(row, DeadlineTooNear) or row.outcome != "moving":
            return
        # Evidence of the previous interval reaches all gateways by the end
        # of this one.
        worse = [
            f"{symptom} on {route}"
            for (route, symptom), evidence in self.evidence.items()
            if is_worse(evidence, len(self.evidence))
        ]
        self._run(row, now, rng)
        if worse:
            self.row = roll_back(row, worse[0], now)
            return
        self.row = finish_move(row, now)

    def get_result(self) -> Result:
        """Return the outcome of the move."""
        traffic = self.case.rate * self.case.seconds
        if isinstance(self.row, DeadlineTooNear):
            return Result("too_near", 0.0, self.harmed, traffic)
        row = self.row
        return Result(row.outcome, row.ended, self.harmed, traffic)

    def _run(self, row: MoveRow, now: float, rng: np.random.Generator) -> None:
        # Axes: symptom, route, version (new, old), gateway.
        begun = now - INTERVAL_SECONDS
        shares = _list_shares(row, begun)[None, :, :]
        mean = self.case.rate * INTERVAL_SECONDS / len(GATEWAYS)
        runs = rng.poisson(
            mean * np.array(ROUTE_SHARES)[:, None, None] * shares
        )
        chances = self._list_chances(now, shares)
        bad = rng.binomial(runs, chances)
        worse = chances[:, :, 0] != chances[:, :, 1]
        self.harmed += int((bad[:, :, 0] * worse).max(axis=0).sum())
        observed = bad.sum(axis=2)
        for index, key in enumerate(self.evidence):
            route, symptom = divmod(index, len(SYMPTOMS))
            ratios = [
                compute_log_ratios(
                    Counts(
                        float(shares[0, 0, gateway]),
                        int(bad[symptom, route, 0, gateway]),
                        int(bad[symptom, route, 1, gateway]),
                    )
                )
                for gateway in observed[symptom, route].nonzero()[0]
            ]
            self.evidence[key] = add_interval(
                self.evidence[key], ratios, self.intervals
            )

    def _list_chances(self, now: float, shares: Array) -> Array:
        chances = np.empty((len(SYMPTOMS), len(ROUTES), 2, 1))
        for index, route in enumerate(ROUTES):
            point = Point(route, now, float(shares[0, 0].mean()))
            chances[:, index, 0, 0] = self.case.new(point)
            chances[:, index, 1, 0] = self.case.old(point)
        return chances


def _list_shares(row: MoveRow, now: float) -> Array:
    return _list_stage_shares(row.move.ticket, find_stage(row, now))


@cache
def _list_stage_shares(ticket: int, stage: int) -> Array:
    # Cached by ticket number, because the gateways that serve the new version
    # first depend on this number alone.
    row = begin_move(VersionMove("", "", "", MAX_RAMP_SECONDS, ticket), 0.0)
    assert isinstance(row, MoveRow)
    times = np.arange(0.0, MAX_RAMP_SECONDS, 10.0)
    now = next(time for time in times if find_stage(row, time) == stage)
    new = np.array(
        [compute_share(row, name, GATEWAYS, now, now) for name in GATEWAYS]
    )
    return np.stack([new, 1 - new])


def play(names: Sequence[str], seed: int) -> list[Result]:
    """Simulate one case, or several concurrently, with one seed."""
    rng = np.random.default_rng([*"".join(names).encode(), seed])
    simulations = [
        _MoveSimulation(CASES[name], int(rng.integers(50)) + 1)
        for name in names
    ]
    longest = max(CASES[name].seconds for name in names)
    for interval in range(1, int(longest / INTERVAL_SECONDS) + 1):
        for simulation in simulations:
            simulation.step(interval * INTERVAL_SECONDS, rng)
    return [simulation.get_result() for simulation in simulations]


def _summarise(name: str, results: Sequence[Result]) -> str:
    ends = Counter(result.outcome for result in results)
    latest = max(result.ended for result in results)
    outcomes = ", ".join(f"{end} {count}" for end, count in ends.items())
    line = f"{name}: {outcomes}; latest end {latest:.0f} s"
    line += f" of {CASES[name].seconds:.0f}"
    if CASES[name].good:
        return line
    parts = sorted(result.harmed / result.traffic for result in results)
    median, over = parts[len(parts) // 2], sum(part > 0.01 for part in parts)
    return (
        f"{line}; harmed: median {median:.2%}, worst {parts[-1]:.2%}, "
        f"over 1% in {over}"
    )


def main(seeds: int) -> None:
    """Print one line for each case, over ``seeds`` seeds."""
    groups = [(name,) for name in CASES] + [("bad at once", "good")]
    with ProcessPoolExecutor(PROCESSES) as pool:
        for names in groups:
            jobs = pool.map(partial(play, names), range(seeds), chunksize=25)
            columns = zip(*jobs, strict=True)
            for name, results in zip(names, columns, strict=True):
                label = " + ".join(names) + ":" if len(names) > 1 else ""
                print(label, _summarise(name, results), flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1000)
