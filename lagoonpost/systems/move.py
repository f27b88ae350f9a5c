"""Moves a service's traffic to a new version by a deadline, or rolls back.

Load pattern: a new version that has never served real load takes over all
requests of a service by a given time.

A fast move harms many callers before a fault shows; a slow or cautious one
misses its deadline. A fault may show only later, only under load or only on
one route.

The share of the new version ramps through ``STAGES``, scheduled back from the
deadline, as a function of time alone. Gateways therefore need neither the
controller nor the store for the ramp, and a controller that fails leaves
nothing half done. Evidence that the version is worse on any route
(lagoonpost.systems.evidence) rolls back the whole move. A rollback is
monotone: it is never undone, it merges in any order, and each gateway acts on
it as soon as it receives it.

If the deadline leaves less time than loading and the minimum stages take, the
move is rejected at once with the earliest feasible deadline, and the new
version gets no request.
"""

from collections.abc import Sequence
from itertools import accumulate
from typing import Literal, NamedTuple

import xxhash

from lagoonpost.tables.entity import VersionMove


class Stage(NamedTuple):
    """One step of the ramp.

    Attributes:
        share: New version's share of the requests, over all gateways.
        gateway_share: Share of the gateways that send requests to the new
            version.
        time_share: Share of the time left after all minimum times.
        min_seconds: Minimum duration, however near the deadline is.
    """

    share: float
    gateway_share: float
    time_share: float
    min_seconds: float


STAGES = (
    # Harm is limited to one request in a hundred: a version that fails at once
    # stays within that however long the evidence takes.
    Stage(0.01, 1 / 3, 0.20, 20.0),
    Stage(0.05, 1.0, 0.15, 10.0),
    Stage(0.20, 1.0, 0.15, 10.0),
    Stage(0.50, 1.0, 0.20, 20.0),
    # Bake time under real load. One request in four stays with the old
    # version: without any there is no comparison, and an outage could not be
    # distinguished from a fault of the version.
    Stage(0.75, 1.0, 0.30, 30.0),
)
GOSSIP_SECONDS = 2.0
"""Time in which gossip delivers a rollback to all gateways."""
DEADLINE_MARGIN_SECONDS = 4.0
"""Margin before the deadline.

Time for a last rollback and then for all gateways to receive `done`.
"""
MAX_RAMP_SECONDS = 3600.0
"""Longest ramp; a later deadline does not extend it."""

Outcome = Literal["moving", "done", "taken_back"]
_RANK: dict[Outcome, int] = {"moving": 0, "done": 1, "taken_back": 2}


class MoveRow(NamedTuple):
    """State of a move.

    Attributes:
        move: The declared move.
        started: Time at which the version was loaded and the ramp began.
        end: Time at which the bake ends.
        outcome: ``moving``; finally ``done`` or ``taken_back``, rolled back.
        reason: Reason of a rollback.
        ended: Time at which the move ended.
    """

    move: VersionMove
    started: float
    end: float
    outcome: Outcome = "moving"
    reason: str = ""
    ended: float = 0.0


class DeadlineTooNear(NamedTuple):
    """The deadline is infeasible; ``earliest`` is the first feasible one."""

    earliest: float


def compute_earliest_deadline(now: float, load_seconds: float) -> float:
    """Return the earliest feasible deadline of a move.

    Args:
        now: Time at which its ticket is submitted.
        load_seconds: Time to load the version: bytes of the weights times the
            number of runners, divided by the weight store's rate.
    """
    return now + load_seconds + _sum_min_seconds() + DEADLINE_MARGIN_SECONDS


def begin_move(
    move: VersionMove, now: float, load_seconds: float = 0.0
) -> MoveRow | DeadlineTooNear:
    """Begin the ramp, or return that the deadline is too near.

    Called when the move is declared, with the estimated load time, and again
    with 0 once the version is loaded, as the weight store may be slow.
    """
    earliest = compute_earliest_deadline(now, load_seconds)
    if move.deadline < earliest:
        return DeadlineTooNear(earliest)
    started = now + load_seconds
    end = min(
        move.deadline - DEADLINE_MARGIN_SECONDS, started + MAX_RAMP_SECONDS
    )
    return MoveRow(move, started, end)


def find_stage(row: MoveRow, now: float) -> int:
    """Return the index into ``STAGES`` at ``now``; -1 before the ramp."""
    if now < row.started:
        return -1
    spare = row.end - row.started - _sum_min_seconds()
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
    last_contact: float,
) -> float:
    """Return the new version's share of one gateway's new requests.

    Args:
        row: State of the move.
        gateway: Name of the gateway.
        gateways: Names of all gateways.
        now: Current time.
        last_contact: Time of the last message from a peer; ``now`` without
            peers.
    """
    if row.outcome == "done":
        return 1.0
    # A gateway partitioned from its peers would not receive a rollback and
    # would keep sending requests to a bad version.
    isolated = now - last_contact > GOSSIP_SECONDS
    stage = find_stage(row, now)
    if row.outcome == "taken_back" or isolated or stage < 0:
        return 0.0
    current = STAGES[stage]
    ranked = sorted(gateways, key=lambda name: _rank(row, name))
    count = max(1, round(current.gateway_share * len(ranked)))
    if gateway not in ranked[:count]:
        return 0.0
    return min(1.0, current.share * len(ranked) / count)


def finish_move(row: MoveRow, now: float) -> MoveRow:
    """Return ``row`` as done once its time is over.

    Evidence ends with the bake, and a rollback at its last moment has reached
    all gateways ``GOSSIP_SECONDS`` later, so no rollback follows `done`.
    """
    if row.outcome != "moving" or now < row.end + GOSSIP_SECONDS:
        return row
    return row._replace(outcome="done", ended=now)


def roll_back(row: MoveRow, reason: str, now: float) -> MoveRow:
    """Return ``row`` as rolled back; a move that has ended stays as it is."""
    if row.outcome != "moving":
        return row
    return row._replace(outcome="taken_back", reason=reason, ended=now)


def merge_moves(one: MoveRow, two: MoveRow) -> MoveRow:
    """Merge two gateways' rows of the same move.

    The result does not depend on the order of merges. A rollback overrides
    `done`, for a gateway that was partitioned when it happened.
    """
    return max(one, two, key=_order)


def _order(row: MoveRow) -> tuple[int, float, str]:
    # The earlier of two rollbacks wins, so that its reason is reported.
    return _RANK[row.outcome], -row.ended, row.reason


def _rank(row: MoveRow, gateway: str) -> int:
    # Each move starts on different gateways: otherwise one gateway with a
    # fault of its own would be the first to evaluate every version.
    name = f"{row.move.ticket}/{gateway}"
    return xxhash.xxh64_intdigest(name.encode())


def _sum_min_seconds() -> float:
    return sum(stage.min_seconds for stage in STAGES)
