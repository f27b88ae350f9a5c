"""Decides whether a change ticket is accepted."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lagoonpost.declarations.state import (
    build_declaration,
    find_inconsistencies,
    merge_objects,
)
from lagoonpost.systems.move import compute_earliest_deadline
from lagoonpost.tables.ticket import (
    Accepted,
    FieldError,
    Refused,
    Snapshot,
    Ticket,
    TicketRecord,
)

MAX_KEYS_SHOWN = 5
"""Maximum number of object keys named in one refusal.

More would not help an operator.
"""


class Committable(NamedTuple):
    """The ticket may be committed; ``snapshot`` is the resulting state."""

    snapshot: Snapshot


def evaluate_ticket(
    ticket: Ticket,
    digest: str,
    current: Snapshot,
    accepted: TicketRecord | None,
) -> Accepted | Refused | Committable:
    """Evaluate ``ticket`` against one consistent snapshot of the store.

    Args:
        ticket: The ticket.
        digest: SHA-256 of its content.
        current: Snapshot of all declared objects.
        accepted: The accepted ticket with the same number, if there is one.

    Returns:
        The outcome for the operator, or `Committable`.
    """
    if accepted is not None:
        return _compare_digest(accepted, digest)
    stale = _find_stale(ticket, current)
    if stale:
        return Refused("stale", "; ".join(stale))
    partial = tuple(_find_partial_moves(ticket, current))
    if partial:
        detail = "a move and its two versions change together"
        return Refused("overlaps_move", detail, partial)
    merged = merge_objects(current.objects, ticket.number, ticket.objects)
    updated = Snapshot(current.revision + 1, merged)
    faults = tuple(_find_new_misfits(current, updated))
    if faults:
        return Refused("invalid", "does not fit what is declared", faults)
    return Committable(updated)


def find_unreachable_deadlines(ticket: Ticket, now: float) -> list[FieldError]:
    """Return the moves of ``ticket`` that cannot finish by their deadline.

    They are reported as warnings and not refused: a refusal that depends on
    the time could race with a write of the same ticket that is still in
    progress, and the ticket would be both refused and in force. Such moves end
    as soon as they begin (`lagoonpost.systems.move.begin_move`).
    """
    earliest = compute_earliest_deadline(now, 0.0)
    alone = Snapshot(0, merge_objects({}, ticket.number, ticket.objects))
    return [
        FieldError(
            f"moves.{move.service}.by",
            f"too near by {earliest - move.deadline:.0f} s, even if"
            f" {move.to_version} is loaded; all requests stay with"
            f" {move.from_version}",
        )
        for move in build_declaration(alone).moves
        if move.deadline < earliest
    ]


def _compare_digest(accepted: TicketRecord, digest: str) -> Accepted | Refused:
    if accepted.digest == digest:
        return Accepted(accepted)
    who = f"by {accepted.operator}: {accepted.reason}"
    detail = f"ticket {accepted.number} was accepted with other content, {who}"
    return Refused("number_taken", detail)


def _find_stale(ticket: Ticket, current: Snapshot) -> list[str]:
    newer = [
        f"{key} was set by ticket {current.objects[key].ticket}"
        for key in ticket.objects
        if key in current.objects
        and current.objects[key].ticket >= ticket.number
    ]
    more = len(newer) - MAX_KEYS_SHOWN
    return (
        newer if more <= 0 else [*newer[:MAX_KEYS_SHOWN], f"and {more} more"]
    )


def _find_partial_moves(
    ticket: Ticket, current: Snapshot
) -> Iterator[FieldError]:
    # A ticket that changes a version in the middle of its move, or drops only
    # the move, would leave open which share is in force: the ticket's, the
    # move's, or after `done` the old version's again, with all traffic.
    for move in build_declaration(current).moves:
        required = {
            f"move/{move.service}": f"moves.{move.service}",
            **{
                f"version/{move.service}/{name}": (
                    f"versions.{move.service}/{name}"
                )
                for name in (move.from_version, move.to_version)
            },
        }
        if not required.keys() & ticket.objects.keys():
            continue
        for key, field in required.items():
            if key not in ticket.objects:
                message = f"missing; the move of ticket {move.ticket} stands"
                yield FieldError(field, message)


def _find_new_misfits(
    current: Snapshot, updated: Snapshot
) -> Iterable[FieldError]:
    # Faults that already exist, accepted by a release with laxer checks, must
    # not block every later ticket; only new faults are refused.
    known = set(find_inconsistencies(build_declaration(current)))
    for fault in find_inconsistencies(build_declaration(updated)):
        if fault not in known:
            yield fault
