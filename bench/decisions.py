"""Decision time per request as the number of runners grows.

Run ``python -m bench.decisions``. Absolute times are this machine's; what is
to be read is the ratio to the smallest fleet in the same run.
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
# The users' target: 320 daemons before 2,800 runners.
RUNNERS_PER_GATEWAY = 2800 / 320


def make_request(number: int, rng: Random, now: float) -> RequestRow:
    """Make a check whose prompt shares blocks with a group's others."""
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
    """Return median microseconds per event kind.

    Args:
        runners: Size of the fleet.
        load: Requests in flight, as a part of the gateway's slots.
        every: One request ends for this many that arrive.
    """
    rng = Random(1)
    gateways = max(1, round(runners / RUNNERS_PER_GATEWAY))
    tables = GatewayTables("g0", gateways)
    decide(tables, Declared(make_declaration(runners)), 0.0, rng)
    names = list(tables.pools["model"].loads)
    flights: list[tuple[str, str]] = []
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
                flights.append((action.request_id, action.runner))
                first = FirstToken(action.request_id, action.runner)
                decide(tables, first, now + 0.1, rng)

    for number in range(REQUESTS):
        now += 0.01
        run("arrived", Arrived(make_request(number, rng, now)))
        most = load * tables.pools["model"].quota
        if flights and len(flights) >= most and number % every == 0:
            run("finished", Finished(*flights.pop(0), 50))
        name = names[number % len(names)]
        own = tables.pools["model"].loads[name].own
        run("reported", Reported(LoadReport(name, now, own, 0, 0)))
        if flights:
            run("progress", Progress(*flights[-1], 1))
        if number % 5 == 0:
            run("tick", Tick())
    return {kind: median(times) * 1e6 for kind, times in spent.items()}


def main() -> None:
    """Print a table of medians and their ratios to the smallest fleet."""
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
