"""Measures a gateway's memory and CPU by the number of open streams."""

import argparse
import asyncio
import json
from typing import Any

import numpy
import psutil

from bench.load import LoadPlan, run_load
from bench.system import LocalSystem, Process

TOKENS = 400
TOKEN_RATE = 20.0
SETTLE_SECONDS = 4.0
SAMPLE_SECONDS = 4.0


async def measure(
    system: LocalSystem, process: Process, streams: int
) -> dict[str, float]:
    """Open ``streams`` drafts and sample the gateway while they run."""
    address = system.addresses["gateway-1"]
    plan = LoadPlan(
        (address,), "demo-key", streams / 2.0, 2.0, TOKENS, seed=streams
    )
    load = asyncio.create_task(run_load(plan))
    await asyncio.sleep(2.0 + SETTLE_SECONDS)
    sampled = psutil.Process(process.pid)
    before = sampled.cpu_times()
    await asyncio.sleep(SAMPLE_SECONDS)
    after = sampled.cpu_times()
    rss = sampled.memory_info().rss
    spent = after.user + after.system - before.user - before.system
    result = await load
    return {
        "streams": result.whole + result.failed,
        "failed": result.failed,
        "rss_mb": rss / 1e6,
        "cpu_share": spent / SAMPLE_SECONDS,
    }


def fit(rows: list[dict[str, float]], figure: str) -> dict[str, float]:
    """Return the slope and intercept of ``figure`` by stream count."""
    counts = [row["streams"] for row in rows]
    values = [row[figure] for row in rows]
    slope, base = numpy.polyfit(counts, values, 1)
    return {"per_stream": float(slope), "at_none": float(base)}


def main() -> None:
    """Measure several stream counts and print the rows and linear fits."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("streams", type=int, nargs="*")
    arguments = parser.parse_args()
    options = ("--token-rate", str(TOKEN_RATE), "--slots", "256")
    system = LocalSystem(
        gateways=1, engines=4, services=1, engine_options=options, slots=256
    )
    rows = []
    try:
        system.start()
        process = system.processes["gateway-1"]
        for count in arguments.streams or [20, 60, 120, 180]:
            rows.append(asyncio.run(measure(system, process, count)))
    finally:
        system.stop()
    report: dict[str, Any] = {
        "rows": rows,
        "rss_mb": fit(rows, "rss_mb"),
        "cpu_share": fit(rows, "cpu_share"),
        "tokens_per_second_and_stream": TOKEN_RATE,
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
