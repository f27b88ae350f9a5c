"""Moves a service's traffic to a new version by its deadline, or back.

Pattern of load: a new version that nobody has seen under real load takes
over all requests of a service until a given time.

What goes wrong without it: a fast move harms many callers before a fault
shows, and a slow or careful one misses its deadline. A fault may show only
later, only under load or on one route.

How it decides: the share climbs ``STAGES``, paced back from the deadline, as
a function of the time alone. Gateways need neither the controller nor the
store to climb, and a controller that dies leaves nothing half done. Evidence
that the version is worse on any route (lagoonpost.systems.evidence) trips
the whole move. A trip is a monotone fact: it is never undone, merges in any
order, and each gateway acts on it as soon as it hears of it.

A deadline nearer than loading and the least stages take is answered at once
with the earliest one that can be met, and no request meets the version.
"""

from collections.abc import Sequence
from itertools import accumulate
from typing import Literal, NamedTuple

import xxhash

from lagoonpost.tables.entity import Move


class Stage(NamedTuple):
    """A step of the climb.

    Attributes:
        share: Part of the requests, over all gateways.
        gateways: Part of the gateways that send the version requests.
        time: Part of the time beyond all least ones.
        least_seconds: Least time, however near the deadline is.
    """

    share: float
    gateway_share: float
    time_share: float
    min_seconds: float


STAGES = (
    # One in a hundred is the harm that is allowed, so that a version that
    # fails at once stays within it however long the evidence takes.
    Stage(0.01, 1 / 3, 0.20, 20.0),
    Stage(0.05, 1.0, 0.15, 10.0),
    Stage(0.20, 1.0, 0.15, 10.0),
    Stage(0.50, 1.0, 0.20, 20.0),
    # The bake under real load. One in four stays with the old version: with
    # no request left there is nothing to compare with, and an outage could
    # not be told from a fault of the version.
    Stage(0.75, 1.0, 0.30, 30.0),
)
GOSSIP_SECONDS = 2.0
"""Time in which gossip brings a trip to all gateways."""
DEADLINE_MARGIN_SECONDS = 4.0
"""Kept before the deadline: for a last trip, then for all to hear `done`."""
MAX_RAMP_SECONDS = 3600.0
"""Longest climb; a later deadline does not stretch it further."""

Outcome = Literal["moving", "done", "taken_back"]
_RANK: dict[Outcome, int] = {"moving": 0, "done": 1, "taken_back": 2}


class MoveRow(NamedTuple):
    """A move under way or ended.

    Attributes:
        move: What was declared.
        started: When the version was loaded and the climb began.
        end: When the bake ends.
        outcome: ``moving`` until the move has ended; then final.
        reason: Why it was taken back.
        ended: When it ended.
    """

    move: Move
    started: float
    end: float
    outcome: Outcome = "moving"
    reason: str = ""
    ended: float = 0.0


class DeadlineTooNear(NamedTuple):
    """The deadline cannot be met; ``earliest`` is the first that can."""

    earliest: float


def compute_earliest_deadline(now: float, load_seconds: float) -> float:
    """Return the earliest deadline that a move may have.

    Args:
        now: Time at which its ticket is handed in.
        load_seconds: Until the version is loaded: bytes of the weights
            times runners, over the weight store's rate.
    """
    return now + load_seconds + _sum_least() + DEADLINE_MARGIN_SECONDS


def begin_move(
    move: Move, now: float, load_seconds: float = 0.0
) -> MoveRow | DeadlineTooNear:
    """Begin the climb, or say at once that the deadline is too near.

    Called when the move is declared, with the time to load; and again with
    0 when the version is loaded, as the weight store may have been slow.
    """
    earliest = compute_earliest_deadline(now, load_seconds)
    if move.by < earliest:
        return DeadlineTooNear(earliest)
    started = now + load_seconds
    end = min(move.by - DEADLINE_MARGIN_SECONDS, started + MAX_RAMP_SECONDS)
    return MoveRow(move, started, end)


def find_stage(row: MoveRow, now: float) -> int:
    """Return the index into ``STAGES`` at ``now``; -1 before the climb."""
    if now < row.started:
        return -1
    spare = row.end - row.started - _sum_least()
    lengths = [
        stage.min_seconds + spare * stage.time_share for stage in STAGES
    ]
    ends = accumulate(lengths[:-1], initial=row.started)
    return sum(now >= end for end in ends) - 1


def compute_share(
    row: MoveRow,
    gateway: str,
    gateways: Sequence[str],
    now: float,
    heard: float,
) -> float:
    """Return the new version's share of a gateway's new requests.

    Args:
        row: The move.
        gateway: The gateway that asks.
        gateways: Names of all gateways.
        now: The time.
        heard: When it last heard from its peers; ``now`` if it has none.
    """
    if row.outcome == "done":
        return 1.0
    # A gateway that is cut off from its peers would not hear of a trip and
    # would go on sending requests to a bad version.
    cut_off = now - heard > GOSSIP_SECONDS
    stage = find_stage(row, now)
    if row.outcome == "taken_back" or cut_off or stage < 0:
        return 0.0
    step = STAGES[stage]
    ranked = sorted(gateways, key=lambda name: _rank(row, name))
    count = max(1, round(step.gateway_share * len(ranked)))
    if gateway not in ranked[:count]:
        return 0.0
    return min(1.0, step.share * len(ranked) / count)


def finish_move(row: MoveRow, now: float) -> MoveRow:
    """Return ``row`` as done if its time is over.

    Evidence ends with the bake, and what tripped in its last moment has
    spread ``SPREAD_SECONDS`` later; so no trip comes after `done`.
    """
    if row.outcome != "moving" or now < row.end + GOSSIP_SECONDS:
        return row
    return row._replace(outcome="done", ended=now)


def roll_back(row: MoveRow, reason: str, now: float) -> MoveRow:
    """End the move for good; a move that has ended stays as it is."""
    if row.outcome != "moving":
        return row
    return row._replace(outcome="taken_back", reason=reason, ended=now)


def merge_moves(one: MoveRow, two: MoveRow) -> MoveRow:
    """Return what two gateways know together of one move.

    Whatever the order of merges, all end with the same row. A trip beats
    `done`, for a gateway that was cut off when it tripped.
    """
    return max(one, two, key=_order)


def _order(row: MoveRow) -> tuple[int, float, str]:
    # Of two trips the earlier is kept, so that its reason is reported.
    return _RANK[row.outcome], -row.ended, row.reason


def _rank(row: MoveRow, gateway: str) -> int:
    # Another few gateways for each move: one that has a fault of its own
    # would otherwise be the first to judge every version.
    name = f"{row.move.ticket}/{gateway}"
    return xxhash.xxh64_intdigest(name.encode())


def _sum_least() -> float:
    return sum(stage.min_seconds for stage in STAGES)
