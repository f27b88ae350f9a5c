"""Compares calls through one gateway with direct calls to its engines."""

import argparse
import asyncio
import json

import psutil

from bench.load import LoadPlan, LoadResult, run_load
from bench.system import LocalSystem

TOKENS = 100


class Sample:
    """CPU time and memory of a process, measured over one load run."""

    def __init__(self, pid: int) -> None:
        self._process = psutil.Process(pid)
        self._before = self._read()

    def _read(self) -> float:
        times = self._process.cpu_times()
        return float(times.user + times.system)

    def describe(self, result: LoadResult) -> dict[str, float]:
        """Return the share of a core, CPU time per token, and memory."""
        spent = self._read() - self._before
        return {
            "cpu_share": spent / result.elapsed,
            "cpu_us_per_token": spent / max(1, result.tokens) * 1e6,
            "rss_mb": self._process.memory_info().rss / 1e6,
        }


def main() -> None:
    """Run the same load directly and through the gateway; print both."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--token-rate", type=float, default=30.0)
    parser.add_argument("--engines", type=int, default=4)
    arguments = parser.parse_args()
    options = ("--token-rate", str(arguments.token_rate), "--slots", "256")
    system = LocalSystem(
        gateways=1,
        engines=arguments.engines,
        services=1,
        engine_options=options,
        slots=256,
    )
    try:
        system.start()
        engines = tuple(system.addresses[name] for name in system.engines)
        gateway = (system.addresses["gateway-1"],)
        plan = LoadPlan(engines, "", arguments.rate, arguments.seconds, TOKENS)
        direct = asyncio.run(run_load(plan))
        sample = Sample(system.processes["gateway-1"].pid)
        plan = plan._replace(addresses=gateway, key="demo-key", seed=2)
        relayed = asyncio.run(run_load(plan))
        report = {
            "direct": direct.describe(),
            "relayed": relayed.describe(),
            "gateway": sample.describe(relayed),
        }
    finally:
        system.stop()
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
