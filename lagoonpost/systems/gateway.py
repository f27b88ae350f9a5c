"""The gateway's one entry point for decisions: events in, actions out."""

from random import Random

from lagoonpost.systems.event import (
    Abandoned,
    Action,
    Arrived,
    AttemptFailed,
    Declared,
    Dispatch,
    Event,
    Finished,
    Leaving,
    Refuse,
)
from lagoonpost.tables.entity import Declaration, Runner
from lagoonpost.tables.request import RequestRow

RETRY_SECONDS = 1.0


class GatewayTables:
    """All that one gateway's decisions know."""

    def __init__(self) -> None:
        self.declaration = Declaration()
        self.requests: dict[str, RequestRow] = {}
        self.running: dict[str, set[str]] = {}
        self.leaving: set[str] = set()
        self.tried: dict[str, set[str]] = {}


def decide(
    tables: GatewayTables, event: Event, now: float, rng: Random
) -> list[Action]:
    """Update ``tables`` by ``event`` and return what to do.

    Args:
        tables: The gateway's state; changed in place.
        event: What happened.
        now: Time of the event in seconds of a monotonic clock.
        rng: Seeded generator; the same seed and events give the same
            actions.

    Returns:
        Actions in the order in which to carry them out.
    """
    match event:
        case Declared(declaration):
            if declaration.revision >= tables.declaration.revision:
                tables.declaration = declaration
        case Leaving(runners):
            tables.leaving |= runners
        case Arrived(request):
            tables.requests[request.id] = request
            return _place(tables, request, rng)
        case AttemptFailed(request_id, runner, _, retry):
            tables.running.get(runner, set()).discard(request_id)
            request = tables.requests[request_id]
            if not retry:
                _forget(tables, request_id)
                return []
            tables.tried.setdefault(request_id, set()).add(runner)
            return _place(tables, request, rng)
        case Finished(request_id) | Abandoned(request_id):
            _forget(tables, request_id)
        case _:
            pass
    return []


def _forget(tables: GatewayTables, request_id: str) -> None:
    tables.requests.pop(request_id, None)
    tables.tried.pop(request_id, None)
    for requests in tables.running.values():
        requests.discard(request_id)


def _place(
    tables: GatewayTables, request: RequestRow, rng: Random
) -> list[Action]:
    tried = tables.tried.get(request.id, set())
    candidates = [
        runner
        for runner in tables.declaration.runners
        if runner.service == request.service
        and runner.name not in tables.leaving
        and runner.name not in tried
    ]
    if not candidates:
        _forget(tables, request.id)
        return [Refuse(request.id, 503, "no_runner", RETRY_SECONDS)]

    def load(runner: Runner) -> int:
        return len(tables.running.get(runner.name, ()))

    pair = rng.sample(candidates, min(2, len(candidates)))
    chosen = min(pair, key=load)
    tables.running.setdefault(chosen.name, set()).add(request.id)
    names = tuple(runner.name for runner in pair)
    return [
        Dispatch(
            request.id, chosen.name, chosen.version, "least_loaded", names
        )
    ]
