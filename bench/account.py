"""Measures the resource use of one gateway by the number of gateways.

Gateways are processes on the loopback interface; the store, the cloud and the
runners are stand-ins in this process. The gateways are first idle, then each
serves a fixed request rate. Bytes count message bodies without headers. While
other work shares the machine, only ratios are meaningful.
"""

import asyncio
import itertools
import json
import re
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

import click
import numpy
import psutil

from lagoonpost.http.client import Client
from lagoonpost.http.message import Address
from lagoonpost_standins.deployment import make_caller_headers
from soak.system import STREAM_EVENTS, SoakSystem

SETTLE_SECONDS = 8.0
"""Time after the start in which gateways poll often for peers."""
DEADLINE_SECONDS = 4.0
RUNNERS = 6
PROMPT_TOKENS = 400
_METRIC = re.compile(
    r'lagoonpost_control_(messages|bytes)_total\{direction="(\w+)",'
    r'kind="([^"]+)"\} (\S+)'
)


class Reading(NamedTuple):
    """Cumulative resource use of all gateways since their start.

    Attributes:
        at: Time of the monotonic clock in seconds.
        seconds: CPU time of all gateways.
        messages: Number of control messages by kind and direction.
        sizes: Bytes of control messages by kind and direction.
    """

    at: float
    seconds: float
    messages: Counter[str]
    sizes: Counter[str]


async def read_all(system: SoakSystem, client: Client) -> Reading:
    """Read the CPU time and the counters of all gateways."""
    seconds = 0.0
    for process in system.gateways:
        times = psutil.Process(process.pid).cpu_times()
        seconds += times.user + times.system
    at = time.monotonic()
    counted: dict[str, Counter[str]] = {
        "messages": Counter(),
        "bytes": Counter(),
    }
    for address in system.metrics_addresses:
        answer = await client.call(address, "GET", "/metrics", timeout=10.0)
        for unit, direction, kind, value in _METRIC.findall(
            answer.body.decode()
        ):
            counted[unit][f"{kind} {direction}"] += round(float(value))
    return Reading(at, seconds, counted["messages"], counted["bytes"])


async def call_steadily(
    system: SoakSystem, rate: float, seconds: float
) -> int:
    """Send requests to all gateways in turn at a constant rate.

    Args:
        system: System whose gateways are called.
        rate: Requests per second over all gateways.
        seconds: Duration of the load.

    Returns:
        The number of requests answered with status 200.
    """
    client = Client()
    begin = time.monotonic()
    calls = []
    for number in itertools.count():
        if number / rate > seconds:
            break
        await asyncio.sleep(begin + number / rate - time.monotonic())
        entry = system.entries[number % len(system.entries)]
        calls.append(asyncio.create_task(_call(client, entry, number)))
    answered = await asyncio.gather(*calls)
    client.close()
    return sum(answered)


async def _call(client: Client, entry: Address, number: int) -> bool:
    kind, method = (("draft", "POST"), ("check", "GET"))[number % 2]
    headers = make_caller_headers(
        f"account-{number}",
        DEADLINE_SECONDS,
        prompt=PROMPT_TOKENS if kind == "draft" else 0,
    )
    answer = await client.call(
        entry,
        method,
        f"/{kind}/{number}",
        b"{}" if method == "POST" else b"",
        headers,
        timeout=2 * DEADLINE_SECONDS,
    )
    return answer.status == 200


def compare(before: Reading, after: Reading, gateways: int) -> dict[str, Any]:
    """Return the resource use per gateway and second between readings."""
    gateway_seconds = (after.at - before.at) * gateways
    messages = after.messages - before.messages
    sizes = after.sizes - before.sizes
    return {
        "core": round((after.seconds - before.seconds) / gateway_seconds, 5),
        "bytes": round(sizes.total() / gateway_seconds),
        "messages": {
            k: round(v / gateway_seconds, 3) for k, v in messages.items()
        },
        "bytes_by_kind": {
            k: round(v / gateway_seconds) for k, v in sizes.items()
        },
    }


async def measure(gateways: int, rate: float, seconds: float) -> Any:
    """Measure a number of gateways, idle and at a rate per gateway."""
    client = Client()
    async with SoakSystem(gateways, RUNNERS, metrics=True) as system:
        await asyncio.sleep(SETTLE_SECONDS)
        started = await read_all(system, client)
        await asyncio.sleep(seconds)
        idle = await read_all(system, client)
        answered = await call_steadily(system, rate * gateways, seconds)
        busy = await read_all(system, client)
        memory = [
            psutil.Process(process.pid).memory_info().rss
            for process in system.gateways
        ]
    client.close()
    idle_use = compare(started, idle, gateways)
    busy_use = compare(idle, busy, gateways)
    spent = busy_use["core"] - idle_use["core"]
    return {
        "gateways": gateways,
        "start_seconds": round(started.seconds / gateways, 3),
        "start_messages": dict((started.messages).most_common()),
        "idle": idle_use,
        "busy": busy_use,
        "answered": answered,
        "request_ms": round(1000 * spent / rate, 3),
        "events_a_request": STREAM_EVENTS / 2,
        "memory_mb": round(max(memory) / 1e6, 1),
    }


def fit(rows: Sequence[dict[str, Any]], figure: str) -> float:
    """Return the slope of an idle gateway's figure by gateway count."""
    counts = [row["gateways"] for row in rows]
    values = [row["idle"][figure] for row in rows]
    return float(numpy.polyfit(counts, values, 1)[0])


@click.command()
@click.argument("gateways", type=int, nargs=-1, required=True)
@click.option("--rate", default=2.0, help="Requests a second of a gateway.")
@click.option("--seconds", default=15.0, help="Length of each measurement.")
def main(gateways: tuple[int, ...], rate: float, seconds: float) -> None:
    """Measure systems of the given sizes and print a report as JSON.

    Example: python -m bench.account 9 25 67
    """
    rows = [asyncio.run(measure(count, rate, seconds)) for count in gateways]
    report: dict[str, Any] = {"rows": rows}
    if len(rows) > 1:
        report["slopes_a_gateway"] = {
            figure: fit(rows, figure) for figure in ("core", "bytes")
        }
    click.echo(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
