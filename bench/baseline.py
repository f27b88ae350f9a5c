"""Simple dispatch policies as baselines for the gateway's decisions."""

from random import Random

from lagoonpost.systems.event import (
    Action,
    Arrived,
    AttemptFailed,
    Declared,
    Dispatch,
    Event,
    Finished,
    Leaving,
)
from lagoonpost.tables.entity import Runner
from lagoonpost.tables.request import RequestRow


class Baseline:
    """State of a gateway that tracks only its own dispatches."""

    def __init__(self, index: int = 0, gateways: int = 1) -> None:
        self.runners: list[Runner] = []
        self.waiting: list[RequestRow] = []
        self.requests: dict[str, RequestRow] = {}
        self.own: dict[str, int] = {}
        self.turn = 0

    def apply(self, event: Event) -> list[RequestRow]:
        """Apply an event and return the requests to dispatch."""
        match event:
            case Declared(declaration):
                self.runners = list(declaration.runners)
            case Leaving(names):
                self.runners = [r for r in self.runners if r.name not in names]
            case Arrived(request):
                self.requests[request.id] = request
                return [request]
            case Finished(_, runner):
                self.own[runner] -= 1
            case AttemptFailed(request_id, runner):
                self.own[runner] -= 1
                return [self.requests[request_id]]
        return []

    def send(self, request: RequestRow, runner: Runner) -> Dispatch:
        """Record the dispatch of a request and return the action."""
        self.own[runner.name] = self.own.get(runner.name, 0) + 1
        return Dispatch(request.id, runner.name, runner.version, "baseline")


def decide_at_random(
    tables: Baseline, event: Event, now: float, rng: Random
) -> list[Action]:
    """Dispatch each request to a random runner immediately."""
    return [
        tables.send(request, rng.choice(tables.runners))
        for request in tables.apply(event)
    ]


def decide_in_turn(
    tables: Baseline, event: Event, now: float, rng: Random
) -> list[Action]:
    """Dispatch requests to the runners in round-robin order."""
    actions: list[Action] = []
    for request in tables.apply(event):
        tables.turn += 1
        runner = tables.runners[tables.turn % len(tables.runners)]
        actions.append(tables.send(request, runner))
    return actions


def decide_first_come(
    tables: Baseline, event: Event, now: float, rng: Random
) -> list[Action]:
    """Dispatch from an unbounded FIFO queue whenever a slot is free."""
    tables.waiting += tables.apply(event)
    actions: list[Action] = []
    while tables.waiting:
        free = [
            r for r in tables.runners if tables.own.get(r.name, 0) < r.slots
        ]
        if not free:
            break
        actions.append(tables.send(tables.waiting.pop(0), rng.choice(free)))
    return actions


BASELINES = {
    "random": decide_at_random,
    "round_robin": decide_in_turn,
    "first_come": decide_first_come,
}
