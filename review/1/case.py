"""An entry that can't be read is written into the table of runners."""

import asyncio
import itertools
import time
from pathlib import Path

from harness import (
    Deployment,
    Record,
    has_trouble,
    make_configuration,
    make_route,
    run_case,
)

SECONDS = 30.0
"""Time after the entry was written for which the processes are watched."""
ENDS, MACHINES = 3, 2
"""The rule: ends of a process, on a tenth of the machines (two at least)."""
UNREADABLE = b'{"service":"desk","labels":' + b"[" * 1200
"""JSON that breaks off within nested lists: 1,227 bytes of at most 65,536."""


async def play(record: Record) -> bool:
    """Play the case and return whether the rule held."""
    configuration = make_configuration(
        [make_route("check", "safe", "desk")],
        [{"name": "desk", "health_path": "/health"}],
    )
    deployment = Deployment(record, 3, configuration)
    try:
        for number in range(3):
            await deployment.add_runner(number, "desk")
        await deployment.start()
        before = await send_for(deployment, 5.0)
        if has_trouble():
            record.note("another writer writes an entry: servers/another")
            await deployment.store.put("servers", "another", UNREADABLE)
        after = await send_for(deployment, SECONDS)
        record.note(f"served before: {before[0]} of {before[1]} requests")
        record.note(f"served after: {after[0]} of {after[1]} requests")
        ends = [len(each.own_ends) for each in deployment.gateways]
        record.note(f"ends of processes by themselves, by machine: {ends}")
        return sum(count >= ENDS for count in ends) < MACHINES
    finally:
        await deployment.stop()


async def send_for(deployment: Deployment, seconds: float) -> tuple[int, int]:
    """Send four requests a second to each gateway in turn."""
    served, sent = 0, 0
    end = time.monotonic() + seconds
    for gateway in itertools.cycle(deployment.gateways):
        if time.monotonic() > end:
            return served, sent
        sent += 1
        attempt = f"a{int(time.monotonic() * 1000):x}"
        answer = await deployment.send(
            gateway, attempt, "GET", f"/check/{sent}", 1.0
        )
        served += answer.status == 200 and answer.complete
        await asyncio.sleep(0.08)
    return served, sent


run_case(Path(__file__).parent, play, 110.0)
