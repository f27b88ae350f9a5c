"""Seeded series of disturbances that overlap, and how each is done."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple, get_args

from lagoonpost_standins.rows import Outage
from lagoonpost_standins.runner import RunnerFault
from soak.proxy import LinkFault, Proxy
from soak.record import Span
from soak.system import DRAIN_SECONDS, RunnerSlot, SoakSystem

QUIET_START_SECONDS = 0.5
"""Time without disturbance at the start."""
MAX_FAULT_SECONDS = 3.0
"""Longest disturbance: longer than most time-outs of the gateways."""
OUTAGE_DURATION_FACTOR = 3.0
"""How much longer than others outages of the store last: some of them are to
hold several of the gateways' calls."""
STOP_TIMEOUT_SECONDS = 12.0
"""Longest wait for a gateway that was told to stop: its grace and half."""
RESTART_DELAY_SECONDS = 0.5
"""Pause after which the platform starts a process again."""
INTERPRETER_START_SECONDS = 0.5
"""Longest start of the interpreter, before the gateway's first line."""
_HARMS: tuple[LinkFault, ...] = (
    "delay",
    "reset",
    "one_way",
    "silent",
    "forgotten",
)
_OUTAGES: tuple[Outage, ...] = ("busy", "silent", "reset", "lost")
_FAULTS: tuple[RunnerFault, ...] = tuple(
    fault for fault in get_args(RunnerFault) if fault not in ("none", "crash")
)
"""What runners do wrong; crashes are disturbances of their own."""


class PlannedFault(NamedTuple):
    """One disturbance to come.

    Attributes:
        at: Seconds from the start.
        what: Name of the disturbance, a key of ``ACTIONS``.
        seconds: How long it lasts.
        draw: Number that chooses whom it hits, and how.
    """

    at: float
    what: str
    seconds: float
    seed: int


def plan_faults(
    rng: Random, seconds: float, pause: float
) -> list[PlannedFault]:
    """Draw the disturbances of one soak.

    Args:
        rng: Seeded generator.
        seconds: Time in which they begin and end.
        pause: Mean pause between two; the shorter, the more overlap.
    """
    steps = []
    at = QUIET_START_SECONDS
    while at < seconds - MAX_FAULT_SECONDS:
        what = rng.choice(sorted(FAULT_ACTIONS))
        lasts = rng.uniform(0.2, MAX_FAULT_SECONDS)
        steps.append(PlannedFault(at, what, lasts, rng.randrange(1 << 30)))
        at += rng.expovariate(1 / pause)
    return steps


async def inject_faults(system: SoakSystem, steps: list[PlannedFault]) -> None:
    """Do all steps at their times, and end what they began."""
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for step in steps:
            group.create_task(_carry_out(system, step, started))


async def _carry_out(
    system: SoakSystem, step: PlannedFault, started: float
) -> None:
    await asyncio.sleep(max(0.0, started + step.at - time.monotonic()))
    begin = time.monotonic()
    whom = await FAULT_ACTIONS[step.what](system, step, Random(step.seed))
    system.spans.append(Span(step.what, whom, begin, time.monotonic()))


async def _harm(proxy: Proxy, step: PlannedFault, rng: Random) -> None:
    proxy.set_fault(rng.choice(_HARMS))
    await asyncio.sleep(step.seconds)
    proxy.set_fault("none")


# Gateways


async def _kill(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    number = rng.randrange(len(system.gateways))
    process = system.gateways[number]
    if process.is_running():
        process.send(signal.SIGKILL)
        await asyncio.to_thread(process.wait, STOP_TIMEOUT_SECONDS)
        await asyncio.sleep(step.seconds / 2)
        if not process.is_running():
            system.start_gateway(number)
    return process.name


async def _herd(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    """Kill half of the gateways at once."""
    numbers = rng.sample(
        range(len(system.gateways)), max(1, len(system.gateways) // 2)
    )
    for number in numbers:
        system.gateways[number].send(signal.SIGKILL)
    await asyncio.sleep(step.seconds / 2)
    for number in numbers:
        if not system.gateways[number].is_running():
            system.start_gateway(number)
    return "half"


async def _stop(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    """Stop a gateway as planned and start it again."""
    number = rng.randrange(len(system.gateways))
    process = system.gateways[number]
    if process.is_running():
        process.send(signal.SIGTERM)
        await asyncio.to_thread(process.wait, STOP_TIMEOUT_SECONDS)
        if not process.is_running():
            system.start_gateway(number)
    return process.name


async def _pause(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    process = rng.choice(system.gateways)
    process.send(signal.SIGSTOP)
    await asyncio.sleep(step.seconds)
    process.send(signal.SIGCONT)
    return process.name


async def _reload(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    """Change a gateway's settings, with or without the signal."""
    number = rng.randrange(len(system.gateways))
    path = system.settings[number]
    grace = f"grace_s = {rng.choice([7, 8, 9])}"
    lines = path.read_text().splitlines()
    kept = [grace if line.startswith("grace_s") else line for line in lines]
    path.write_text("\n".join(kept) + "\n")
    if rng.random() < 0.5:
        system.gateways[number].send(signal.SIGHUP)
        await _start_after_early_signal(system, number)
    return system.gateways[number].name


async def _start_after_early_signal(system: SoakSystem, number: int) -> None:
    """Start a gateway again whose interpreter had not started yet.

    Nothing of the gateway's can handle a signal by then. The platform starts
    processes that end again; whichever ends later stays down and is found.
    """
    told = time.monotonic()
    await asyncio.sleep(RESTART_DELAY_SECONDS)
    process = system.gateways[number]
    early = told - system.started[number] < INTERPRETER_START_SECONDS
    if early and not process.is_running():
        system.start_gateway(number)
        now = time.monotonic()
        system.spans.append(Span("kill", process.name, told, now))


# The store


async def _outage(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    """Let the store fail, and often change something as it returns."""
    system.store.outage = rng.choice(_OUTAGES)
    await asyncio.sleep(OUTAGE_DURATION_FACTOR * step.seconds)
    system.store.outage = "none"
    if rng.random() < 0.5:
        await system.configure(system.version + 1)
    return "store"


async def _compact(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    system.store.compact_history()
    return "store"


async def _drill(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    """Let the store come back from an older copy, at times twice.

    Runners write their entries again at times of their own, and entries that
    are in the copy alone lapse.
    """
    for _ in range(rng.choice([1, 1, 2])):
        system.store.outage = rng.choice(_OUTAGES)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await system.store.roll_back(rng.uniform(0.5, 5.0))
        system.store.outage = "none"
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await system.write_configuration()
    return "store"


async def _cut_store(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Harm one gateway's way to the store."""
    number = rng.randrange(len(system.store_proxies))
    await _harm(system.store_proxies[number], step, rng)
    return system.gateways[number].name


async def _change(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    """Put one or some new configurations in force."""
    for _ in range(rng.choice([1, 1, 4])):
        await system.configure(system.version + 1)
        await asyncio.sleep(0.1)
    return "configuration"


# Runners


async def _harm_runner(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    place = rng.choice(system.runners)
    await _harm(place.proxy, step, rng)
    return place.runner.id


async def _fault(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    runner = rng.choice(system.runners).runner
    runner.fault = rng.choice(_FAULTS)
    await asyncio.sleep(step.seconds)
    runner.fault = "none"
    return runner.id


async def _crash(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    place = _choose_ready(system, rng)
    if place is None:
        return ""
    id_ = place.runner.id
    place.state = "down"
    await place.runner.close()
    await asyncio.sleep(step.seconds)
    await system.delete_entry(id_)
    await place.replace()
    await system.register(place)
    return id_


async def _leave(system: SoakSystem, step: PlannedFault, rng: Random) -> str:
    """Let a runner leave as planned; a new one takes its place."""
    place = _choose_ready(system, rng)
    if place is None:
        return ""
    id_ = place.runner.id
    await system.drain(place)
    await asyncio.sleep(DRAIN_SECONDS + 1.0)
    place.state = "down"
    await system.delete_entry(id_)
    await place.replace()
    await system.register(place)
    return id_


def _choose_ready(system: SoakSystem, rng: Random) -> RunnerSlot | None:
    """Return a runner that may go: another one of its service stays."""
    place = rng.choice(system.runners)
    ready = [
        each
        for each in system.runners
        if each.service == place.service and each.state == "ready"
    ]
    return place if place in ready and len(ready) > 1 else None


FAULT_ACTIONS: dict[
    str, Callable[[SoakSystem, PlannedFault, Random], Awaitable[str]]
] = {
    "change": _change,
    "compact": _compact,
    "crash": _crash,
    "cut_store": _cut_store,
    "drill": _drill,
    "fault": _fault,
    "harm_runner": _harm_runner,
    "herd": _herd,
    "kill": _kill,
    "leave": _leave,
    "outage": _outage,
    "pause": _pause,
    "reload": _reload,
    "stop": _stop,
}
