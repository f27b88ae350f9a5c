"""Queues of waiting requests: who goes next when a slot is free.

Pattern of load: short checks and bookings beside drafts that hold a slot for
tens of seconds, and one workspace that sends many times its share. First
come, first served lets whoever sends most set everyone's wait, and a check
waits for a draft to end.

Each class has a start-time fair queue over workspaces, in tokens by weight:
a workspace's next request starts where its last one ended in virtual time,
so an idle share is lent out. A share that was not used may be caught up on
for a short time only. Short classes go before drafts; drafts are owed a floor
so that checks can't starve them.

Thresholds: a workspace may catch up on ``CREDIT_SECONDS`` of its share.
Without it a caller that stays below its share waits whenever two of its
requests come close together; 3 s hold the bursts of one caller of some
requests a second, and are the most by which another one is set back. While
drafts wait they are owed ``DRAFT_FLOOR`` of our slots: a fifth keeps a draft
no worse than five times its time alone.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NamedTuple

from lagoonpost.tables.entity import RequestClass
from lagoonpost.tables.request import RequestRow

CREDIT_SECONDS = 3.0
DRAFT_FLOOR_SHARE = 0.2

CLASSES: tuple[RequestClass, ...] = ("check", "booking", "draft")
SHORT_CLASSES: tuple[RequestClass, ...] = ("check", "booking")


class QueuedRequest(NamedTuple):
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
    latest_dispatch: float
    queued: float
    predicted: float


@dataclass(slots=True)
class FairQueue:
    """Start-time fair queue over workspaces for one class.

    Attributes:
        weights: Declared weights by workspace.
        credit: Virtual time that an idle workspace may catch up on.
        virtual: Latest start tag that was served.
        finish: Finish tag of each workspace's last request.
        backlog: Tokens queued by workspace.
        waiting: Queued requests by id.
    """

    weights: dict[str, float] = field(default_factory=dict)
    credit: float = 0.0
    virtual_time: float = 0.0
    finish_tags: dict[str, float] = field(default_factory=dict)
    backlog: defaultdict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    waiting: dict[str, QueuedRequest] = field(default_factory=dict)
    heap: list[tuple[float, int, str]] = field(default_factory=list)
    deadlines: list[tuple[float, int, str]] = field(default_factory=list)
    push_count: int = 0

    def weight(self, workspace: str) -> float:
        """Return a workspace's declared weight."""
        return max(self.weights.get(workspace, 1.0), 1e-6)

    def next_start(self, workspace: str) -> float:
        """Return the start tag that its next request would get."""
        earliest = self.virtual_time - self.credit
        return max(earliest, self.finish_tags.get(workspace, -math.inf))

    def is_within_share(
        self, workspace: str, start: float | None = None
    ) -> bool:
        """Return whether a workspace has had no more than its share.

        Args:
            workspace: Its name.
            start: Start tag of a request of it; the next one's by default.
        """
        tag = self.next_start(workspace) if start is None else start
        return tag < self.virtual_time

    def tokens_ahead(self, workspace: str) -> float:
        """Return the tokens queued that go before its next request."""
        reach = max(0.0, self.next_start(workspace) - self.virtual_time)
        return sum(
            queued
            if other == workspace
            else min(queued, reach * self.weight(other))
            for other, queued in self.backlog.items()
        )

    def push(self, entry: QueuedRequest) -> None:
        """Queue a request whose ``start`` is its next start tag."""
        request = entry.request
        workspace = request.workspace
        self.finish_tags[workspace] = entry.start + entry.cost / self.weight(
            workspace
        )
        self.backlog[workspace] += entry.cost
        self.waiting[request.id] = entry
        self.push_count += 1
        heappush(self.heap, (entry.start, self.push_count, request.id))
        heappush(
            self.deadlines,
            (entry.latest_dispatch, self.push_count, request.id),
        )

    def head(self) -> QueuedRequest | None:
        """Return the request that goes next."""
        while self.heap:
            start, _, request_id = self.heap[0]
            entry = self.waiting.get(request_id)
            if entry is not None and entry.start == start:
                return entry
            heappop(self.heap)
        return None

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Return the requests that can no longer make their target."""
        late = []
        while self.deadlines and self.deadlines[0][0] < now:
            _, _, request_id = heappop(self.deadlines)
            entry = self.waiting.get(request_id)
            if entry is not None:
                late.append(entry)
        return late

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Take a request out, to dispatch it or to give it up."""
        entry = self.waiting.pop(request_id, None)
        if entry is None:
            return None
        workspace = entry.request.workspace
        self.backlog[workspace] -= entry.cost
        if self.backlog[workspace] < 1e-6:
            del self.backlog[workspace]
        return entry

    def serve(self, entry: QueuedRequest) -> None:
        """Advance virtual time by a dispatched request."""
        self.virtual_time = max(self.virtual_time, entry.start)

    def adjust_charge(self, workspace: str, tokens: float) -> None:
        """Charge a workspace for what an answer took beyond its estimate."""
        tag = self.next_start(workspace) + tokens / self.weight(workspace)
        self.finish_tags[workspace] = tag


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
    owed = queues["draft"].waiting and drafts < DRAFT_FLOOR_SHARE * flights
    if owed:
        return ("draft", *SHORT_CLASSES)
    heads = [(queues[name].head(), name) for name in SHORT_CLASSES]
    waiting = [(head.latest_dispatch, name) for head, name in heads if head]
    if len(waiting) < 2:
        return CLASSES
    return (*(name for _, name in sorted(waiting)), "draft")
