"""Measures the decision time per request by the number of runners.

Run ``python -m bench.decisions``. Absolute times depend on the machine;
compare the ratios to the smallest fleet of the same run.
"""

import gc
from random import Random
from statistics import median
from time import perf_counter

from bench.workload import make_declaration
from lagoonpost.systems.event import (
    Arrived,
    Declared,
    Dispatch,
    Event,
    Finished,
    FirstToken,
    Progress,
    Reported,
    Tick,
)
from lagoonpost.systems.gateway import decide
from lagoonpost.systems.gateway_tables import GatewayTables
from lagoonpost.tables.load_report import LoadReport
from lagoonpost.tables.request import RequestRow

FLEETS = (10, 100, 1000, 2800)
REQUESTS = 4000
RUNS = 3
# Target deployment: 320 gateway daemons for 2,800 runners.
RUNNERS_PER_GATEWAY = 2800 / 320


def make_request(number: int, rng: Random, now: float) -> RequestRow:
    """Return a check that shares prompt blocks with the rest of its group."""
    group = rng.randrange(50)
    prefix = (*range(group * 100, group * 100 + 8), 10**6 + number)
    name = f"q{number}"
    return RequestRow(
        name,
        f"w{group % 20}",
        "model",
        "check",
        "check",
        600,
        50,
        prefix,
        name,
        now,
        now + 1.0,
        True,
    )


def measure(runners: int, load: float, every: int) -> dict[str, float]:
    """Return the median microseconds per kind of event.

    Args:
        runners: Size of the fleet.
        load: Requests in flight as a fraction of the gateway's slots.
        every: Number of arrivals for each request that ends.
    """
    rng = Random(1)
    gateways = max(1, round(runners / RUNNERS_PER_GATEWAY))
    tables = GatewayTables("g0", gateways)
    decide(tables, Declared(make_declaration(runners)), 0.0, rng)
    names = list(tables.pools["model"].loads)
    in_flight: list[tuple[str, str]] = []
    spent: dict[str, list[float]] = {
        "arrived": [],
        "finished": [],
        "reported": [],
        "progress": [],
        "tick": [],
    }
    now = 0.0

    def run(kind: str, event: Event) -> None:
        begin = perf_counter()
        actions = decide(tables, event, now, rng)
        spent[kind].append(perf_counter() - begin)
        for action in actions:
            if isinstance(action, Dispatch):
                in_flight.append((action.request_id, action.runner))
                first = FirstToken(action.request_id, action.runner)
                decide(tables, first, now + 0.1, rng)

    for number in range(REQUESTS):
        now += 0.01
        run("arrived", Arrived(make_request(number, rng, now)))
        max_in_flight = load * tables.pools["model"].quota
        if (
            in_flight
            and len(in_flight) >= max_in_flight
            and number % every == 0
        ):
            run("finished", Finished(*in_flight.pop(0), 50))
        name = names[number % len(names)]
        own = tables.pools["model"].loads[name].own
        run("reported", Reported(LoadReport(name, now, own, 0, 0)))
        if in_flight:
            run("progress", Progress(*in_flight[-1], 1))
        if number % 5 == 0:
            run("tick", Tick())
    return {kind: median(times) * 1e6 for kind, times in spent.items()}


def main() -> None:
    """Print the medians and their ratios to the smallest fleet."""
    gc.disable()
    for load, every in ((0.7, 1), (1.0, 2)):
        base: dict[str, float] = {}
        for runners in FLEETS:
            runs = [measure(runners, load, every) for _ in range(RUNS)]
            best = {k: min(run[k] for run in runs) for k in runs[0]}
            base = base or best
            cells = (
                f"{kind} {best[kind]:.0f} us ({best[kind] / base[kind]:.1f}x)"
                for kind in best
            )
            name = "overload" if every > 1 else "steady"
            print(f"{name}, {runners} runners:", ", ".join(cells))


if __name__ == "__main__":
    main()
