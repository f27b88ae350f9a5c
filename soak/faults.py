"""Fault injection: seeded schedules of faults that may overlap."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple, get_args

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address
from lagoonpost_standins.deployment import make_caller_headers
from lagoonpost_standins.rows import Outage
from lagoonpost_standins.runner import MoveFault, RunnerFault
from soak.gateway import name_peer_cut, write_cut
from soak.proxy import LinkFault, Proxy
from soak.record import (
    CrashTime,
    DepartureTime,
    Falls,
    LimitTime,
    RepeatTime,
    Span,
)
from soak.system import DRAIN_SECONDS, SLOTS, RunnerSlot, SoakSystem

QUIET_START_SECONDS = 0.5
"""Time without faults at the start."""
MAX_FAULT_SECONDS = 3.0
"""Longest fault: exceeds most timeouts of the gateways."""
OUTAGE_DURATION_FACTOR = 3.0
"""Factor on the duration of store outages, so that some of them outlast
several of the gateways' calls."""
PARTITION_DURATION_FACTOR = 2.0
"""Factor on the duration of partitions, so that direct paths are probed
several times."""
CUT_SHARE = 0.2
"""Share of gateways that are cut off from the others."""
BRITTLE_WAITING, BRITTLE_REFUSALS = 2, 4
"""Requests that may wait at a brittle runner, and refusals a second beyond
which it falls over."""
LIMITS = (0.5, 1.0, 4.0, 8.0)
"""Requests a second that a runner may name as its limit."""
LIMIT_DURATION_FACTOR = 2.5
"""Factor on the duration of limits, so that some outlast the time after which
they count by several seconds."""
CRASH_DURATION_FACTOR = 4.0
"""Factor on the time for which requests come that crash runners, so that
most go on for seconds after the fifth crash."""
CRASHING_PAUSE_SECONDS = 0.4
"""Mean pause between such requests."""
CRASHED_SECONDS = 0.5
"""Time for which a runner is down that a request has crashed."""
REPEATING_CALLERS, REPEATS = 4, 3
"""Callers that send one crashing request at once, and how often."""
REPEAT_PAUSE_SECONDS = 3.4
"""Pause after which they send it again, when its runners are back."""
REPEAT_CRASHED_SECONDS = 3.0
"""Time for which a runner is down that it has crashed."""
NOTICE_DURATION_FACTOR = 2.5
"""Factor on the time for which runners leave by their answers only, or turn
requests away, so that most of them outlast the bounds by seconds."""
RECLAIMS, RECLAIM_SECONDS = 3, 1.6
"""Reclaims of runners in one run, and the notice of each."""
RECLAIMED_EVENT_SECONDS = 0.4
"""Pause between the events of a runner's streams before it is reclaimed, so
that they outlast the notice."""
RESTS = ("0.7", "1.5", "3")
"""Seconds of rest that runners ask for."""
STOP_TIMEOUT_SECONDS = 12.0
"""Longest wait for a gateway to stop: 1.5 times its grace period."""
RESTART_DELAY_SECONDS = 0.5
"""Delay after which the platform restarts a process."""
INTERPRETER_START_SECONDS = 0.5
"""Longest start of the interpreter, before the gateway's code runs."""
_LINK_FAULTS: tuple[LinkFault, ...] = (
    "delay",
    "reset",
    "one_way",
    "silent",
    "forgotten",
)
_OUTAGES: tuple[Outage, ...] = ("busy", "silent", "reset", "lost")
_RUNNER_FAULTS: tuple[RunnerFault, ...] = tuple(
    fault for fault in get_args(RunnerFault) if fault not in ("none", "crash")
)
"""Faults of runners; crashes have an action of their own."""
_STOP_FAULTS: tuple[MoveFault, ...] = (
    "none",
    *(fault for fault in get_args(MoveFault) if fault.startswith("stop")),
)


class PlannedFault(NamedTuple):
    """One scheduled fault.

    Attributes:
        at: Seconds from the start of the run.
        what: Kind of fault, a key of ``FAULT_ACTIONS``.
        seconds: Duration.
        seed: Seed from which the target and the variant are drawn.
    """

    at: float
    what: str
    seconds: float
    seed: int


def plan_faults(
    rng: Random, seconds: float, pause: float
) -> list[PlannedFault]:
    """Draw the faults of one soak run.

    Beside the drawn kinds, most requests to a service are rejected for some
    time, so that repeats are wanted while other faults happen, the store
    sends bytes without end to a gateway, and the configuration changes while a
    fifth of the gateways is cut off from the others. Runners are reclaimed
    and lose the answers to orders to stop their runs.

    Args:
        rng: Seeded generator.
        seconds: Time within which the faults begin and end.
        pause: Mean seconds between the starts of two faults; shorter pauses
            make more faults overlap.
    """
    steps = []
    at = QUIET_START_SECONDS
    while at < seconds - MAX_FAULT_SECONDS:
        what = rng.choice(sorted(FAULT_ACTIONS))
        lasts = rng.uniform(0.2, MAX_FAULT_SECONDS)
        steps.append(PlannedFault(at, what, lasts, rng.randrange(1 << 30)))
        at += rng.expovariate(1 / pause)
    latest = seconds - MAX_FAULT_SECONDS
    at, lasts = rng.uniform(QUIET_START_SECONDS, latest), MAX_FAULT_SECONDS
    steps.append(PlannedFault(at, "reject", lasts, rng.randrange(1 << 30)))
    at, lasts = rng.uniform(QUIET_START_SECONDS, latest), rng.uniform(0.2, 3.0)
    steps.append(PlannedFault(at, "flood", lasts, rng.randrange(1 << 30)))
    at, lasts = rng.uniform(QUIET_START_SECONDS, latest), rng.uniform(1.0, 3.0)
    steps.append(PlannedFault(at, "cut_peers", lasts, rng.randrange(1 << 30)))
    return steps + _plan_reclaims(Random(steps[-1].seed), latest)


def _plan_reclaims(rng: Random, latest: float) -> list[PlannedFault]:
    """Draw reclaims of runners, apart from the other faults."""
    return [
        PlannedFault(
            rng.uniform(QUIET_START_SECONDS, latest),
            "reclaim",
            RECLAIM_SECONDS,
            rng.randrange(1 << 30),
        )
        for _ in range(RECLAIMS)
    ]


async def inject_faults(system: SoakSystem, steps: list[PlannedFault]) -> None:
    """Inject all faults at their times and wait until they are over."""
    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for step in steps:
            group.create_task(_inject(system, step, started))


async def _inject(
    system: SoakSystem, step: PlannedFault, started: float
) -> None:
    await asyncio.sleep(max(0.0, started + step.at - time.monotonic()))
    begin = time.monotonic()
    target = await _ACTIONS[step.what](system, step, Random(step.seed))
    system.spans.append(Span(step.what, target, begin, time.monotonic()))


async def _disturb_link(proxy: Proxy, step: PlannedFault, rng: Random) -> None:
    proxy.set_fault(rng.choice(_LINK_FAULTS))
    await asyncio.sleep(step.seconds)
    proxy.set_fault("none")


# Gateways


async def _kill_gateway(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    number = rng.randrange(len(system.gateways))
    process = system.gateways[number]
    if process.is_running():
        process.send(signal.SIGKILL)
        await asyncio.to_thread(process.wait, STOP_TIMEOUT_SECONDS)
        await asyncio.sleep(step.seconds / 2)
        if not process.is_running():
            system.start_gateway(number)
    return process.name


async def _kill_half(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
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


async def _stop_gateway(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Stop a gateway gracefully and restart it."""
    number = rng.randrange(len(system.gateways))
    process = system.gateways[number]
    if process.is_running():
        process.send(signal.SIGTERM)
        await asyncio.to_thread(process.wait, STOP_TIMEOUT_SECONDS)
        if not process.is_running():
            system.start_gateway(number)
    return process.name


async def _freeze_gateway(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    process = rng.choice(system.gateways)
    process.send(signal.SIGSTOP)
    await asyncio.sleep(step.seconds)
    process.send(signal.SIGCONT)
    return process.name


async def _reload_gateway(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Change a gateway's settings, with or without sending SIGHUP."""
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
    """Restart a gateway that SIGHUP ended while its interpreter started.

    The gateway cannot install a signal handler before its code runs, so the
    platform's restart is simulated here. A gateway that ends later than that
    stays down and shows up as a finding.
    """
    signaled = time.monotonic()
    await asyncio.sleep(RESTART_DELAY_SECONDS)
    process = system.gateways[number]
    early = signaled - system.started[number] < INTERPRETER_START_SECONDS
    if early and not process.is_running():
        system.start_gateway(number)
        now = time.monotonic()
        system.spans.append(Span("kill", process.name, signaled, now))


# The store


async def _fail_store(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Make the store fail; half the time, change the configuration after."""
    system.store.outage = rng.choice(_OUTAGES)
    await asyncio.sleep(OUTAGE_DURATION_FACTOR * step.seconds)
    system.store.outage = "none"
    if rng.random() < 0.5:
        await system.configure(system.version + 1)
    return "store"


async def _compact_store(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    system.store.compact_history()
    return "store"


async def _restore_store(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Restore the store from an older backup, sometimes twice.

    Runners renew their entries at their own times. Entries of runners that
    ended before the restore expire.
    """
    for _ in range(rng.choice([1, 1, 2])):
        system.store.outage = rng.choice(_OUTAGES)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await system.store.roll_back(rng.uniform(0.5, 5.0))
        system.store.outage = "none"
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await system.write_configuration()
    return "store"


async def _disturb_store_link(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Disturb the connections of one gateway to the store."""
    number = rng.randrange(len(system.store_proxies))
    await _disturb_link(system.store_proxies[number], step, rng)
    return system.gateways[number].name


async def _flood_from_store(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Let bytes without end follow the store's answers to one gateway."""
    number = rng.randrange(len(system.store_proxies))
    system.store_proxies[number].set_fault("endless")
    await asyncio.sleep(step.seconds)
    system.store_proxies[number].set_fault("none")
    return system.gateways[number].name


async def _change_configuration(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Write 1 or 4 new configurations."""
    for _ in range(rng.choice([1, 1, 4])):
        await system.configure(system.version + 1)
        await asyncio.sleep(0.1)
    return "configuration"


# Runners


async def _disturb_runner_link(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    slot = rng.choice(system.runners)
    await _disturb_link(slot.proxy, step, rng)
    return slot.runner.id


async def _inject_runner_fault(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    runner = rng.choice(system.runners).runner
    runner.fault = rng.choice(_RUNNER_FAULTS)
    await asyncio.sleep(step.seconds)
    runner.fault = "none"
    return runner.id


async def _cut_runners(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Cut the path of half of the gateways to runners, mostly to all."""
    numbers = rng.sample(
        range(len(system.gateways)), max(1, len(system.gateways) // 2)
    )
    mode = rng.choice(["refuse", "hang"])
    addresses = [str(slot.proxy.address) for slot in system.runners]
    if rng.random() < 0.3:
        addresses = rng.sample(addresses, len(addresses) // 2)
    for number in numbers:
        write_cut(system.cuts[number], mode, addresses)
    await asyncio.sleep(PARTITION_DURATION_FACTOR * step.seconds)
    for number in numbers:
        system.cuts[number].unlink(missing_ok=True)
    return " ".join(system.gateways[number].name for number in numbers)


async def _cut_peers(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Cut a fifth of the gateways off from all others, and from no store.

    The configuration changes while the others still take them for alive.
    """
    numbers = range(len(system.gateways))
    apart = rng.sample(numbers, max(1, round(CUT_SHARE * len(numbers))))
    for number in numbers:
        others = [
            str(system.peers[other])
            for other in numbers
            if other != number and (number in apart or other in apart)
        ]
        write_cut(name_peer_cut(system.cuts[number]), "lose", others)
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    await system.configure(system.version + 1)
    await asyncio.sleep(PARTITION_DURATION_FACTOR * step.seconds)
    for number in numbers:
        name_peer_cut(system.cuts[number]).unlink(missing_ok=True)
    return " ".join(system.gateways[number].name for number in apart)


async def _make_brittle(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Let the runners of a service say that they are brittle."""
    service = rng.choice(["chat", "desk"])
    slots = [slot for slot in system.runners if slot.service == service]
    begin, falls = time.monotonic(), system.count_falls(service)
    for slot in slots:
        slot.runner.room = SLOTS + BRITTLE_WAITING
        slot.runner.brittle = BRITTLE_REFUSALS
    await asyncio.sleep(step.seconds)
    for slot in slots:
        for runner in slot.all_runners():
            runner.brittle = 0
    number = system.count_falls(service) - falls
    system.falls.append(Falls(service, begin, time.monotonic(), number))
    return service


async def _limit_runner(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Let a runner name a limit, mostly one and at times all of a service."""
    slot = rng.choice(system.runners)
    slots = [slot]
    if rng.random() < 0.3:
        slots = [s for s in system.runners if s.service == slot.service]
    limited = [
        (slot.runner, rng.choice(LIMITS))
        for slot in slots
        if slot.runner.limit is None
    ]
    begin = time.monotonic()
    for runner, rate in limited:
        runner.limit = rate
    await asyncio.sleep(LIMIT_DURATION_FACTOR * step.seconds)
    for runner, rate in limited:
        runner.limit = None
        system.limit_times.append(
            LimitTime(runner.id, begin, time.monotonic(), rate)
        )
    return " ".join(runner.id for runner, _ in limited)


async def _send_crashing_requests(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Send requests with a part that crashes all model runners."""
    slots = [slot for slot in system.runners if slot.service == "chat"]
    if any(slot.runner.crash_part for slot in slots):
        return ""
    part = f"{step.seed:x}"
    client = Client()
    begin = time.monotonic()
    end = begin + CRASH_DURATION_FACTOR * step.seconds
    calls = set()
    number = 0
    while time.monotonic() < end:
        for slot in slots:
            slot.runner.crash_part = part
            slot.runner.down_seconds = CRASHED_SECONDS
        number += 1
        entry = rng.choice(system.entries)
        call = asyncio.create_task(
            _send_crashing_request(client, entry, part, number)
        )
        calls.add(call)
        await asyncio.sleep(rng.expovariate(1 / CRASHING_PAUSE_SECONDS))
    await asyncio.gather(*calls)
    for slot in slots:
        for runner in slot.all_runners():
            runner.crash_part = ""
    system.crash_times.append(CrashTime(part, begin, time.monotonic()))
    client.close()
    return part


async def _send_crashing_request(
    client: Client, entry: Address, part: str, number: int
) -> None:
    """Send a request that shares a part with others, and its first part."""
    headers = make_caller_headers(f"crash-{part}-{number}", 2.0)
    headers += (
        ("model", "m"),
        ("token-count", "300,20"),
        ("prompt-prefix", f"aa:100,{part}:100,{number:x}:100"),
    )
    path = f"/draft/crash-{part}-{number}"
    with contextlib.suppress(CallFailedError):
        await client.call(
            entry, "POST", path, b"%d" % number, headers, timeout=3.0
        )


async def _repeat_crashing_request(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Send one request that crashes all its runners, from several callers."""
    slots = [slot for slot in system.runners if slot.service == "desk"]
    if any(slot.runner.crash_path for slot in slots):
        return ""
    path = f"/check/crash-{step.seed:x}"
    client = Client()
    begin = time.monotonic()
    for number in range(REPEATS):
        for slot in slots:
            slot.runner.crash_path = path
            slot.runner.down_seconds = REPEAT_CRASHED_SECONDS
        calls = [
            _send_repeat(client, rng.choice(system.entries), path, each)
            for each in range(number * 10, number * 10 + REPEATING_CALLERS)
        ]
        await asyncio.gather(*calls)
        await asyncio.sleep(REPEAT_PAUSE_SECONDS)
    for slot in slots:
        for runner in slot.all_runners():
            runner.crash_path = ""
            runner.down_seconds = CRASHED_SECONDS
    system.repeat_times.append(RepeatTime(path, begin, time.monotonic()))
    client.close()
    return path


async def _send_repeat(
    client: Client, entry: Address, path: str, number: int
) -> None:
    headers = make_caller_headers(f"{path}-{number}", 2.0)
    with contextlib.suppress(CallFailedError):
        await client.call(entry, "GET", path, b"", headers, timeout=3.0)


async def _crash_runner(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    slot = _choose_ready(system, rng)
    if slot is None:
        return ""
    id_ = slot.runner.id
    slot.state = "down"
    await slot.runner.close()
    await asyncio.sleep(step.seconds)
    await system.delete_entry(id_)
    await slot.replace()
    await system.register(slot)
    return id_


async def _drain_runner(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Drain a runner and replace it by a new one."""
    slot = _choose_ready(system, rng)
    if slot is None:
        return ""
    id_ = slot.runner.id
    await system.drain(slot)
    await asyncio.sleep(DRAIN_SECONDS + 1.0)
    slot.state = "down"
    await system.delete_entry(id_)
    await slot.replace()
    await system.register(slot)
    return id_


async def _reclaim_runner(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Reclaim a model runner whose answers to orders to stop get lost."""
    slot = next(
        (
            s
            for s in system.runners
            if s.service == "chat" and _may_stop(s, system)
        ),
        None,
    )
    if slot is None:
        return ""
    runner = slot.runner
    # No other fault stops the runner meanwhile; its entry says "ready" still.
    slot.state = "unreported"
    runner.pause = RECLAIMED_EVENT_SECONDS
    runner.framed = rng.random() < 0.3
    runner.move_fault = rng.choice(_STOP_FAULTS)
    runner.move_faults = rng.choice([1, None])
    await asyncio.sleep(2 * RECLAIMED_EVENT_SECONDS)
    await system.reclaim(slot, step.seconds)
    await asyncio.sleep(step.seconds)
    slot.state = "down"
    await runner.close()
    await system.delete_entry(runner.id)
    await slot.replace()
    await system.register(slot)
    return f"{runner.id} {runner.move_fault}"


async def _leave_unreported(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Let a runner leave that only its answers say to leave."""
    slot = _choose_ready(system, rng)
    if slot is None:
        return ""
    runner = slot.runner
    slot.state, runner.leaving = "unreported", True
    begin = time.monotonic()
    await asyncio.sleep(NOTICE_DURATION_FACTOR * step.seconds)
    slot.state = "down"
    system.departure_times.append(
        DepartureTime(runner.id, begin, time.monotonic())
    )
    await system.delete_entry(runner.id)
    await slot.replace()
    await system.register(slot)
    return runner.id


async def _turn_away(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Let runners turn requests away and ask for rests."""
    slot = rng.choice(system.runners)
    slots = [slot]
    if rng.random() < 0.3:
        slots = [s for s in system.runners if s.service == slot.service]
    runners = [slot.runner for slot in slots]
    for runner in runners:
        runner.rest = rng.choice(RESTS)
        runner.turned_away = rng.choice([0.3, 0.6, 1.0])
    await asyncio.sleep(NOTICE_DURATION_FACTOR * step.seconds)
    for runner in runners:
        runner.rest, runner.turned_away = "", 0.0
    return " ".join(runner.id for runner in runners)


async def _reject_most(
    system: SoakSystem, step: PlannedFault, rng: Random
) -> str:
    """Let all runners of a service reject most requests."""
    service = rng.choice(system.runners).service
    runners = [
        slot.runner for slot in system.runners if slot.service == service
    ]
    share = rng.choice([0.6, 0.8, 0.95])
    for runner in runners:
        runner.turned_away = share
    await asyncio.sleep(NOTICE_DURATION_FACTOR * step.seconds)
    for runner in runners:
        runner.turned_away = 0.0
    return " ".join(runner.id for runner in runners)


def _choose_ready(system: SoakSystem, rng: Random) -> RunnerSlot | None:
    """Return a slot whose runner may stop, or None.

    Another ready runner of the service must remain.
    """
    slot = rng.choice(system.runners)
    return slot if _may_stop(slot, system) else None


def _may_stop(slot: RunnerSlot, system: SoakSystem) -> bool:
    ready = [
        other
        for other in system.runners
        if other.service == slot.service and other.state == "ready"
    ]
    return slot in ready and len(ready) > 1


FAULT_ACTIONS: dict[
    str, Callable[[SoakSystem, PlannedFault, Random], Awaitable[str]]
] = {
    "change": _change_configuration,
    "compact": _compact_store,
    "crash": _crash_runner,
    "brittle": _make_brittle,
    "crash_part": _send_crashing_requests,
    "crash_request": _repeat_crashing_request,
    "cut_runners": _cut_runners,
    "cut_store": _disturb_store_link,
    "drill": _restore_store,
    "fault": _inject_runner_fault,
    "harm_runner": _disturb_runner_link,
    "herd": _kill_half,
    "kill": _kill_gateway,
    "leave": _drain_runner,
    "leave_unreported": _leave_unreported,
    "limit": _limit_runner,
    "outage": _fail_store,
    "pause": _freeze_gateway,
    "reload": _reload_gateway,
    "stop": _stop_gateway,
    "turn_away": _turn_away,
}
"""Kinds of faults that are drawn."""

_ACTIONS = {
    **FAULT_ACTIONS,
    "cut_peers": _cut_peers,
    "flood": _flood_from_store,
    "reclaim": _reclaim_runner,
    "reject": _reject_most,
}
