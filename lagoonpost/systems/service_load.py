"""Measures whether a service is short of room, from the open work of all.

Load pattern: the runners of a service get more requests than they serve. Each
gateway knows the open work of all gateways from their reports, so that all
come to nearly the same result without asking each other. A service without
model runners has no prompts to measure; there, and where model runners have
fewer slots than requests, the open requests show that others wait.
"""

import math
from collections.abc import Iterable, Sequence

from lagoonpost.systems.placement import Placement
from lagoonpost.tables.configuration import Route
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.metadata import PromptPart
from lagoonpost.tables.service_share import ServiceLoad

BEARABLE_SHARE = 0.3
"""Part of the tightest objective that the mean wait may take. The rest is for
the request's own prompt and for runners that have more work than others."""
FREE_SLOT_SHARE = 0.3
"""Part of the slots below which a service comes under pressure. Without free
ones the next request waits; at four fifths taken some runners are full."""


def find_objectives(routes: Iterable[Route]) -> dict[str, float]:
    """Return the tightest objective for the first byte, by service.

    Args:
        routes: All routes.

    Returns:
        Seconds by service; services without a route are missing.
    """
    objectives: dict[str, float] = {}
    for route in routes:
        for share in route.shares:
            known = objectives.get(share.service, math.inf)
            objectives[share.service] = min(known, route.target)
    return objectives


def measure_load(
    service: str,
    runners: Sequence[Endpoint],
    placement: Placement,
    objective: float,
) -> ServiceLoad:
    """Return the load of a service.

    Args:
        service: Name of the service.
        runners: Its runners that accept new requests.
        placement: Open work of all gateways.
        objective: Tightest objective for the first byte in seconds.
    """
    if not runners:
        return ServiceLoad(0.0)
    requests = tokens = slots = 0
    for runner in runners:
        slots += max(1, runner.slots)
        state = placement.states.get(runner.id)
        if state is not None:
            requests += state.requests + state.peer_work.requests
            tokens += state.tokens + state.peer_work.tokens
    free = 1.0 - requests / slots
    pressure = max(0.0, 1.0 - free / FREE_SLOT_SHARE)
    pace = placement.unloaded_paces.get(service, 0.0)
    if pace <= 0.0:
        return ServiceLoad(pressure)
    rate = len(runners) / pace
    wait = tokens / rate
    return ServiceLoad(
        max(pressure, wait / (BEARABLE_SHARE * objective)), rate
    )


def count_work(prompt: int, parts: Sequence[PromptPart]) -> float:
    """Return the units of work that a request is expected to be.

    Args:
        prompt: Tokens of the prompt; 0 for a plain request.
        parts: Parts of the prompt; placement sends it to a runner that has
            cached all but the last.

    Returns:
        Prompt tokens to prefill, or 1 for a plain request.
    """
    cached = sum(part.tokens for part in parts[:-1])
    return float(max(1, prompt - cached))
