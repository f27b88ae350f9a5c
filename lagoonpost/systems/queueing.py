"""Queues of waiting requests: who goes next when a slot is free.

Pattern of load: short checks and bookings beside drafts that hold a slot for
tens of seconds, and one workspace that sends many times its share. First
come, first served lets whoever sends most set everyone's wait, and a check
waits for a draft to end.

Each class has a start-time fair queue over workspaces, in tokens by weight:
a workspace's next request starts where its last one ended in virtual time,
so an idle share is lent out and nobody can save one up. Short classes go
before drafts; drafts are owed a floor so that checks can't starve them.

Thresholds: while drafts wait they are owed ``DRAFT_FLOOR`` of our slots: a
fifth keeps a draft no worse than five times its time alone. The last free
slots are kept for short requests of workspaces within their share (trunk
reservation): for a protected load of ``a`` slots its deviation, sqrt(a), is
kept free, at most ``RESERVE_MOST`` of all slots, as what is kept is lost to
drafts: 1/16 leaves room below the tenth that drafts may lose.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NamedTuple

from lagoonpost.tables.entity import RequestClass
from lagoonpost.tables.request import RequestRow

DRAFT_FLOOR = 0.2
RESERVE_MOST = 1 / 16

CLASSES: tuple[RequestClass, ...] = ("check", "booking", "draft")
SHORT: tuple[RequestClass, ...] = ("check", "booking")


class Waiting(NamedTuple):
    """One queued request.

    Attributes:
        request: The request.
        cost: Its cost in tokens.
        start: Its start tag in virtual time.
        latest: Time after which a dispatch can't make its target.
        queued: Time at which it was queued.
        predicted: Wait in seconds that was predicted for it.
    """

    request: RequestRow
    cost: float
    start: float
    latest: float
    queued: float
    predicted: float


@dataclass(slots=True)
class FairQueue:
    """Start-time fair queue over workspaces for one class."""

    weights: dict[str, float] = field(default_factory=dict)
    virtual: float = 0.0
    finish: dict[str, float] = field(default_factory=dict)
    backlog: defaultdict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    waiting: dict[str, Waiting] = field(default_factory=dict)
    heap: list[tuple[float, int, str]] = field(default_factory=list)
    deadlines: list[tuple[float, int, str]] = field(default_factory=list)
    pushed: int = 0

    def weight(self, workspace: str) -> float:
        """Return a workspace's declared weight."""
        return max(self.weights.get(workspace, 1.0), 1e-6)

    def next_start(self, workspace: str) -> float:
        """Return the start tag that its next request would get."""
        return max(self.virtual, self.finish.get(workspace, 0.0))

    def ahead(self, workspace: str) -> float:
        """Return the tokens queued that go before its next request."""
        reach = self.next_start(workspace) - self.virtual
        return sum(
            queued
            if other == workspace
            else min(queued, reach * self.weight(other))
            for other, queued in self.backlog.items()
        )

    def push(self, entry: Waiting) -> None:
        """Queue a request whose ``start`` is its next start tag."""
        request = entry.request
        workspace = request.workspace
        self.finish[workspace] = entry.start + entry.cost / self.weight(
            workspace
        )
        self.backlog[workspace] += entry.cost
        self.waiting[request.id] = entry
        self.pushed += 1
        heappush(self.heap, (entry.start, self.pushed, request.id))
        heappush(self.deadlines, (entry.latest, self.pushed, request.id))

    def head(self) -> Waiting | None:
        """Return the request that goes next."""
        while self.heap:
            start, _, request_id = self.heap[0]
            entry = self.waiting.get(request_id)
            if entry is not None and entry.start == start:
                return entry
            heappop(self.heap)
        return None

    def expired(self, now: float) -> list[Waiting]:
        """Return the requests that can no longer make their target."""
        late = []
        while self.deadlines and self.deadlines[0][0] < now:
            _, _, request_id = heappop(self.deadlines)
            entry = self.waiting.get(request_id)
            if entry is not None:
                late.append(entry)
        return late

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out, to dispatch it or to give it up."""
        entry = self.waiting.pop(request_id, None)
        if entry is None:
            return None
        workspace = entry.request.workspace
        self.backlog[workspace] -= entry.cost
        if self.backlog[workspace] < 1e-6:
            del self.backlog[workspace]
        return entry

    def serve(self, entry: Waiting) -> None:
        """Advance virtual time by a dispatched request."""
        self.virtual = max(self.virtual, entry.start)
        # Tags in the past say nothing, and would grow with all workspaces
        # that ever called.
        workspace = entry.request.workspace
        if self.finish.get(workspace, 0.0) <= self.virtual:
            self.finish.pop(workspace, None)

    def correct(self, workspace: str, tokens: float) -> None:
        """Charge a workspace for what an answer took beyond its estimate."""
        tag = self.next_start(workspace) + tokens / self.weight(workspace)
        self.finish[workspace] = max(self.virtual, tag)


def reserve_slots(protected: float, slots: float) -> float:
    """Return the free slots kept for short requests within their share.

    Args:
        protected: Their offered load in slots.
        slots: All slots of the service.

    Returns:
        A whole number of slots; 0 without such requests.
    """
    if protected <= 0.01:
        return 0.0
    return min(
        math.ceil(math.sqrt(protected)), math.floor(slots * RESERVE_MOST)
    )


def order_classes(
    queues: dict[RequestClass, FairQueue], drafts: int, flights: int
) -> tuple[RequestClass, ...]:
    """Return the classes in the order in which they are served.

    Args:
        queues: The queues by class.
        drafts: Our drafts in flight.
        flights: All our requests in flight.

    Returns:
        Classes, first to serve first.
    """
    owed = queues["draft"].waiting and drafts < DRAFT_FLOOR * flights
    if owed:
        return ("draft", *SHORT)
    heads = [(queues[name].head(), name) for name in SHORT]
    waiting = [(head.latest, name) for head, name in heads if head]
    if len(waiting) < 2:
        return CLASSES
    return (*(name for _, name in sorted(waiting)), "draft")
