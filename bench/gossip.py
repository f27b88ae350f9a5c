"""Measures the cost of membership and gossip per member by cluster size.

Each member is a process on the loopback interface. Bytes are counted between
grpclib and the transport; 52 bytes of IP and TCP headers are added for each
read and write and again for its acknowledgement, as each call corresponds to
about one segment.
"""

import asyncio
import contextlib
import json
import random
import statistics
import sys
from collections.abc import Sequence
from typing import Any, NamedTuple

import click
import numpy
import psutil

HEADER_BYTES = 52
# Per day: 4,700 configuration changes, and one departure of each of 1,904
# reclaimable runners and 220 hosts, spread evenly.
FACTS_PER_SECOND = (4700 + 1904 + 220) / 86400
TARGET_MEMBERS = 320
BUDGETS = {"bytes/s": 3000.0, "core %": 2.0, "RSS MB": 64.0, "all s": 2.0}


class Plan(NamedTuple):
    """Settings of the members and of the measurement.

    Attributes:
        seconds: Length of the steady phase, with evenly spread facts.
        burst: Number of facts published in the burst.
        regions: Number of regions.
        channels: Connections that each member keeps open.
        rings: Value of ``membership.RINGS``; 1000 connects all members.
    """

    seconds: float
    burst: int
    regions: int
    channels: int
    rings: int


class Member:
    """A member process, controlled over its standard input and output."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self.address = ""
        self.usage = psutil.Process(process.pid)

    async def read(self) -> str:
        """Return the next line of the process's standard output."""
        assert self._process.stdout
        line = await self._process.stdout.readline()
        return line.decode().strip()

    def send_command(self, command: str) -> None:
        """Write one command line to the process."""
        assert self._process.stdin
        self._process.stdin.write(f"{command}\n".encode())

    async def report(self) -> dict[str, Any]:
        """Return the member's counters and its resource usage."""
        self.send_command("report")
        report: dict[str, Any] = json.loads(await self.read())
        times = self.usage.cpu_times()
        report["cpu"] = times.user + times.system
        report["rss"] = self.usage.memory_info().rss / 1e6
        open_now = self.usage.net_connections(kind="tcp")
        report["open"] = sum(row.status == "ESTABLISHED" for row in open_now)
        return report

    async def stop(self) -> None:
        """Close the input and wait for the exit; kill after 20 seconds."""
        assert self._process.stdin
        self._process.stdin.close()
        try:
            async with asyncio.timeout(20):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


async def start_member(
    number: int, seeds: Sequence[str], plan: Plan
) -> Member:
    """Start a member process and read its address."""
    region = f"region{number % plan.regions}"
    options = [
        f"--name=gateway-{number:03}",
        f"--region={region}",
        f"--failure-domain={region}-{number // plan.regions % 4}",
        f"--channels={plan.channels}",
        f"--rings={plan.rings}",
        *(f"--seed={seed}" for seed in seeds),
    ]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.gossip_member",
        *options,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=2**22,
    )
    member = Member(process)
    member.address = await member.read()
    return member


async def start_all(
    size: int, plan: Plan, stack: contextlib.AsyncExitStack
) -> list[Member]:
    """Start the members and wait until each one lists all others."""
    members: list[Member] = []
    seeds: list[str] = []
    for number in range(size):
        member = await start_member(number, seeds[:3], plan)
        stack.push_async_callback(member.stop)
        seeds.append(member.address)
        members.append(member)
    for _ in range(120):
        reports = [await member.report() for member in members]
        if all(row["members"] == size for row in reports):
            return members
        await asyncio.sleep(1.0)
    raise AssertionError("the members did not find each other")


async def publish(
    members: Sequence[Member], rate: float, seconds: float, prefix: str
) -> None:
    """Publish facts at random members, evenly spread.

    Args:
        members: The members.
        rate: Facts per second.
        seconds: Length of the phase.
        prefix: Prefix of the keys; also the seed.
    """
    rng = random.Random(prefix)
    count = max(1, round(rate * seconds))
    for number in range(count):
        rng.choice(members).send_command(f"publish {prefix}-{number}")
        await asyncio.sleep(seconds / count)


def measure_traffic(before: dict[str, Any], after: dict[str, Any]) -> float:
    """Return bytes in and out between two reports, including headers."""
    counts = {
        name: after["counts"][name] - before["counts"][name]
        for name in after["counts"]
    }
    payload = counts["bytes_in"] + counts["bytes_out"]
    return float(
        payload + HEADER_BYTES * 2 * (counts["reads"] + counts["writes"])
    )


def measure_spread(
    reports: Sequence[dict[str, Any]], prefix: str
) -> list[float]:
    """Return for each fact the seconds until every member received it."""
    spread = []
    for row in reports:
        for key, published in row["published"].items():
            if key.startswith(prefix):
                known = [other["known"].get(key) for other in reports]
                missing = any(moment is None for moment in known)
                last = max(moment or 0.0 for moment in known)
                spread.append(float("inf") if missing else last - published)
    return spread


async def measure(size: int, plan: Plan) -> dict[str, float]:
    """Return the measurements at one cluster size."""
    async with contextlib.AsyncExitStack() as stack:
        members = await start_all(size, plan, stack)
        await asyncio.sleep(5.0)
        first = [await member.report() for member in members]
        await publish(members, FACTS_PER_SECOND, plan.seconds, "even")
        second = [await member.report() for member in members]
        await publish(members, plan.burst / 10.0, 10.0, "burst")
        await asyncio.sleep(3.0)
        third = [await member.report() for member in members]
    pairs = list(zip(first, second, strict=True))
    traffic = [measure_traffic(*pair) / plan.seconds for pair in pairs]
    cores = [(b["cpu"] - a["cpu"]) / plan.seconds * 100 for a, b in pairs]
    burst = [
        measure_traffic(*pair) for pair in zip(second, third, strict=True)
    ]
    quiet = statistics.mean(traffic) * 13.0
    spread = measure_spread(third, "burst") + measure_spread(third, "even")
    return {
        "bytes/s": statistics.mean(traffic),
        "max bytes/s": max(traffic),
        "core %": statistics.mean(cores),
        "max core %": max(cores),
        "RSS MB": statistics.mean(row["rss"] for row in third),
        "max RSS MB": max(row["rss"] for row in third),
        "max open": max(row["open"] for row in third),
        "B/fact": (statistics.mean(burst) - quiet) / plan.burst,
        "median s": statistics.median(spread),
        "all s": max(spread),
    }


def fit(sizes: Sequence[int], values: Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    slope, intercept = numpy.polyfit(sizes, values, 1)
    return float(slope), float(intercept)


def print_table(rows: dict[int, dict[str, float]]) -> None:
    """Print the measurements by size and a linear fit of each one."""
    names = list(next(iter(rows.values())))
    print("members".rjust(8), *(name.rjust(12) for name in names))
    for size, row in rows.items():
        print(str(size).rjust(8), *(f"{row[name]:12.3f}" for name in names))
    if len(rows) < 2:
        return
    for name in names:
        values = [row[name] for row in rows.values()]
        slope, intercept = fit(list(rows), values)
        at_target = intercept + slope * TARGET_MEMBERS
        budget = BUDGETS.get(name)
        print(
            f"{name}: {intercept:.3f} + {slope:.5f} x members,"
            f" {at_target:.3f} at {TARGET_MEMBERS}"
            + (f" (budget {budget})" if budget else "")
        )


@click.command()
@click.argument("sizes", nargs=-1, type=int)
@click.option("--seconds", default=40.0, help="Length of the steady phase.")
@click.option(
    "--burst", default=40, help="Facts published in the ten-second burst."
)
@click.option("--regions", default=1)
@click.option(
    "--channels", default=8, help="Connections kept open; 0 for none."
)
@click.option("--rings", default=3, help="Number of neighbours; 1000 for all.")
def main(
    sizes: Sequence[int],
    seconds: float,
    burst: int,
    regions: int,
    channels: int,
    rings: int,
) -> None:
    """Measure at each of SIZES, such as 3 9 18 36 72."""
    plan = Plan(seconds, burst, regions, channels, rings)
    rows = {}
    for size in sizes or (3, 9, 18):
        rows[size] = asyncio.run(measure(size, plan))
        print(size, json.dumps(rows[size]), file=sys.stderr, flush=True)
    print_table(rows)


if __name__ == "__main__":
    main()
