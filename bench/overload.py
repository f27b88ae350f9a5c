"""Runs overload, recovery and a slow runner against real processes."""

import argparse
import asyncio
import json
from http.client import HTTPConnection
from typing import Any

import msgspec

from bench.load import LoadPlan, LoadResult, run_load
from bench.system import LocalSystem

SLOTS = 8
ENGINES = 3
GATEWAYS = 3
TOKENS = 40
TOKEN_RATE = 40.0
SECONDS = 20.0
ROUNDS = 10


def summarise(result: LoadResult, capacity: float) -> dict[str, float]:
    """Return the results of a run, with goodput relative to capacity."""
    admitted = result.whole + result.failed
    return {
        "sent": result.sent,
        "goodput": result.in_time / (capacity * result.elapsed),
        "admitted_in_time": result.in_time / max(1, admitted),
        "refused": result.refused,
        "refusal_p99_ms": result.refusals.get_value_at_percentile(99) / 1e3,
        "first_p95_ms": result.first.get_value_at_percentile(95) / 1e3,
        "failed": result.failed,
    }


def set_fault(system: LocalSystem, name: str, fault: dict[str, Any]) -> None:
    """Set the faults that a stand-in engine injects."""
    address = system.addresses[name]
    connection = HTTPConnection(address.host, address.port, timeout=5.0)
    body = msgspec.json.encode(fault)
    connection.request("POST", "/standin/faults", body)
    connection.getresponse().read()
    connection.close()


def calibrate(system: LocalSystem) -> float:
    """Return the answers per second of the engines at saturation."""
    engines = tuple(system.addresses[name] for name in system.engines)
    answers = ROUNDS * SLOTS * len(engines)
    plan = LoadPlan(engines, "", answers / 0.5, 0.5, TOKENS)
    result = asyncio.run(run_load(plan))
    return result.whole / result.elapsed


def play(
    system: LocalSystem, capacity: float, load: float, seconds: float
) -> LoadResult:
    """Send load over all gateways.

    Args:
        system: The running system.
        capacity: Answers per second at saturation.
        load: Arrival rate as a multiple of the capacity.
        seconds: Duration of the arrivals.
    """
    entries = tuple(system.addresses[name] for name in system.gateways)
    rate = capacity * load
    plan = LoadPlan(
        entries, "demo-key", rate, seconds, TOKENS, seed=int(load * 10)
    )
    return asyncio.run(run_load(plan))


def count_runs(system: LocalSystem, name: str) -> int:
    """Return the number of requests that an engine has run."""
    address = system.addresses[name]
    connection = HTTPConnection(address.host, address.port, timeout=5.0)
    connection.request("GET", "/standin/counts")
    counts: dict[str, int] = json.load(connection.getresponse())
    connection.close()
    return counts["requests"]


def play_slow_runner(
    system: LocalSystem, capacity: float, factor: float
) -> dict[str, float]:
    """Slow one engine down by ``factor``; return its share of new work."""
    slow = system.engines[0]
    play(system, capacity, 0.6, 5.0)
    set_fault(system, slow, {"slow": factor})
    play(system, capacity, 0.6, 4.0)
    before = {name: count_runs(system, name) for name in system.engines}
    during = play(system, capacity, 0.6, SECONDS)
    runs = {
        name: count_runs(system, name) - before[name]
        for name in system.engines
    }
    set_fault(system, slow, {})
    play(system, capacity, 0.6, 10.0)
    back = {name: count_runs(system, name) for name in system.engines}
    play(system, capacity, 0.6, SECONDS)
    after = {
        name: count_runs(system, name) - back[name] for name in system.engines
    }
    return {
        "slow_part": runs[slow] / max(1, sum(runs.values())),
        "back_part": after[slow] / max(1, sum(after.values())),
        **summarise(during, capacity * 0.6),
    }


def main() -> None:
    """Run the load patterns in sequence and print a report as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    arguments = parser.parse_args()
    system = LocalSystem(
        GATEWAYS,
        ENGINES,
        1,
        engine_options=(
            "--token-rate",
            str(TOKEN_RATE),
            "--slots",
            str(SLOTS),
        ),
        slots=SLOTS,
    )
    report: dict[str, Any] = {}
    try:
        system.start()
        capacity = calibrate(system)
        report["capacity_per_second"] = capacity
        play(system, capacity, 0.5, 5.0)
        for load in (0.7, 1.2, 2.0, 5.0, 0.7):
            result = play(system, capacity, load, arguments.seconds)
            name = f"load_{load}"
            while name in report:
                name += "_again"
            report[name] = summarise(result, capacity * min(1.0, load))
        report["slow_runner_x10"] = play_slow_runner(system, capacity, 10.0)
    finally:
        system.stop()
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
