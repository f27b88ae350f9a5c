"""Measures what membership and gossip cost one member, by their number.

Real processes on the loopback interface, one for each member. Bytes are
counted where grpclib meets the transport; 52 bytes of IP and TCP head are
added for each read and write, as each is about a segment or its answer.
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

HEAD_BYTES = 52
# 4,700 changes of configuration a day, and 1,904 reclaimable runners and
# 220 hosts that leave once a day, spread evenly.
FACTS_PER_SECOND = (4700 + 1904 + 220) / 86400
TARGET = 320
BUDGETS = {"bytes/s": 3000.0, "core %": 2.0, "RSS MB": 64.0, "all s": 2.0}


class Plan(NamedTuple):
    """How the members are started and for how long they are measured."""

    seconds: float
    burst: int
    regions: int
    channels: int
    rings: int


class Member:
    """A started process."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self.address = ""
        self.usage = psutil.Process(process.pid)

    async def read(self) -> str:
        """Return the next line that the process printed."""
        assert self._process.stdout
        line = await self._process.stdout.readline()
        return line.decode().strip()

    def send_command(self, command: str) -> None:
        """Send a command."""
        assert self._process.stdin
        self._process.stdin.write(f"{command}\n".encode())

    async def report(self) -> dict[str, Any]:
        """Return what the member has counted, with its usage."""
        self.send_command("report")
        report: dict[str, Any] = json.loads(await self.read())
        times = self.usage.cpu_times()
        report["cpu"] = times.user + times.system
        report["rss"] = self.usage.memory_info().rss / 1e6
        open_now = self.usage.net_connections(kind="tcp")
        report["open"] = sum(row.status == "ESTABLISHED" for row in open_now)
        return report

    async def stop(self) -> None:
        """End the process and wait for it."""
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
    """Start one member process."""
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
    """Start the members and wait until each knows all."""
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
    """Publish facts at random members, evenly for some seconds."""
    rng = random.Random(prefix)
    count = max(1, round(rate * seconds))
    for number in range(count):
        rng.choice(members).send_command(f"publish {prefix}-{number}")
        await asyncio.sleep(seconds / count)


def measure_traffic(before: dict[str, Any], after: dict[str, Any]) -> float:
    """Return bytes in and out between two reports, heads included."""
    counts = {
        name: after["counts"][name] - before["counts"][name]
        for name in after["counts"]
    }
    plain = counts["bytes_in"] + counts["bytes_out"]
    return float(plain + HEAD_BYTES * 2 * (counts["reads"] + counts["writes"]))


def measure_spread(
    reports: Sequence[dict[str, Any]], prefix: str
) -> list[float]:
    """Return for each fact the seconds until all members knew it."""
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
    """Return the figures of one size."""
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
    """Print the figures by size, and lines through them."""
    names = list(next(iter(rows.values())))
    print("members".rjust(8), *(name.rjust(12) for name in names))
    for size, row in rows.items():
        print(str(size).rjust(8), *(f"{row[name]:12.3f}" for name in names))
    if len(rows) < 2:
        return
    for name in names:
        values = [row[name] for row in rows.values()]
        slope, intercept = fit(list(rows), values)
        at_target = intercept + slope * TARGET
        budget = BUDGETS.get(name)
        print(
            f"{name}: {intercept:.3f} + {slope:.5f} x members,"
            f" {at_target:.3f} at {TARGET}"
            + (f" (budget {budget})" if budget else "")
        )


@click.command()
@click.argument("sizes", nargs=-1, type=int)
@click.option("--seconds", default=40.0, help="Length of the even part.")
@click.option("--burst", default=40, help="Facts of the ten-second burst.")
@click.option("--regions", default=1)
@click.option("--channels", default=8, help="Connections kept; 0 for none.")
@click.option("--rings", default=3, help="Neighbours; 1000 for all.")
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
