"""Fair queues of waiting requests, and the order of the request classes.

Load pattern: short checks and bookings beside drafts that occupy a slot for
tens of seconds, and one workspace that sends many times its share. With first
come, first served, the heaviest sender determines everyone's wait, and a
check waits for a draft to end.

Each class has a start-time fair queue over workspaces, in tokens by weight: a
workspace's next request starts where its last one ended in virtual time, so
an idle share is lent to others. Unused share can be reclaimed for a short
time only. Short classes are served before drafts; drafts have a guaranteed
minimum share, so that checks cannot starve them.

Thresholds: a workspace may reclaim ``CREDIT_SECONDS`` of its share. Without
it, a caller that stays below its share waits whenever two of its requests
arrive close together. 3 s cover the bursts of one caller of some requests a
second, and are the longest delay that this causes for another one. While
drafts wait, they are guaranteed ``DRAFT_FLOOR_SHARE`` of this gateway's
slots: with a fifth, a draft takes at most five times its time alone.
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
        cost: Cost of the request in tokens.
        start: Start tag in virtual time.
        latest_dispatch: Latest dispatch time that meets the deadline.
        queued: Time at which the request was queued.
        predicted: Predicted wait in seconds.
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
        credit: Virtual time of unused share that a workspace may reclaim.
        virtual_time: Largest start tag of a dispatched request.
        finish_tags: Finish tag of each workspace's last request.
        backlog: Tokens queued by workspace.
        waiting: Queued requests by id.
        heap: Start tag, sequence number and id of the requests; removed
            requests are skipped.
        deadlines: The same with the latest dispatch time.
        push_count: Number of requests queued so far, to break ties.
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
        """Return the start tag of a workspace's next request."""
        earliest = self.virtual_time - self.credit
        return max(earliest, self.finish_tags.get(workspace, -math.inf))

    def is_within_share(
        self, workspace: str, start: float | None = None
    ) -> bool:
        """Return whether a workspace has used less than its share.

        Args:
            workspace: Name of the workspace.
            start: Start tag of a request; by default the next one's.
        """
        tag = self.next_start(workspace) if start is None else start
        return tag < self.virtual_time

    def tokens_ahead(self, workspace: str) -> float:
        """Return the tokens queued before a workspace's next request."""
        reach = max(0.0, self.next_start(workspace) - self.virtual_time)
        return sum(
            queued
            if other == workspace
            else min(queued, reach * self.weight(other))
            for other, queued in self.backlog.items()
        )

    def push(self, entry: QueuedRequest) -> None:
        """Queue a request that starts at its workspace's next start tag."""
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
        """Return the next request to serve, without removing it."""
        while self.heap:
            start, _, request_id = self.heap[0]
            entry = self.waiting.get(request_id)
            if entry is not None and entry.start == start:
                return entry
            heappop(self.heap)
        return None

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Pop the requests that can no longer meet their deadline."""
        late = []
        while self.deadlines and self.deadlines[0][0] < now:
            _, _, request_id = heappop(self.deadlines)
            entry = self.waiting.get(request_id)
            if entry is not None:
                late.append(entry)
        return late

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request to dispatch or refuse it."""
        entry = self.waiting.pop(request_id, None)
        if entry is None:
            return None
        workspace = entry.request.workspace
        self.backlog[workspace] -= entry.cost
        if self.backlog[workspace] < 1e-6:
            del self.backlog[workspace]
        return entry

    def serve(self, entry: QueuedRequest) -> None:
        """Advance virtual time to a dispatched request's start tag."""
        self.virtual_time = max(self.virtual_time, entry.start)

    def adjust_charge(self, workspace: str, tokens: float) -> None:
        """Charge a workspace for the tokens beyond a request's estimate."""
        tag = self.next_start(workspace) + tokens / self.weight(workspace)
        self.finish_tags[workspace] = tag


def order_classes(
    queues: dict[RequestClass, FairQueue], drafts: int, flights: int
) -> tuple[RequestClass, ...]:
    """Return the classes in the order in which they are served.

    Args:
        queues: The queues by class.
        drafts: This gateway's drafts in flight.
        flights: All of this gateway's requests in flight.

    Returns:
        The classes, the first to serve first.
    """
    owed = queues["draft"].waiting and drafts < DRAFT_FLOOR_SHARE * flights
    if owed:
        return ("draft", *SHORT_CLASSES)
    heads = [(queues[name].head(), name) for name in SHORT_CLASSES]
    waiting = [(head.latest_dispatch, name) for head, name in heads if head]
    if len(waiting) < 2:
        return CLASSES
    return (*(name for _, name in sorted(waiting)), "draft")
