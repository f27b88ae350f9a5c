"""Decides whether a change ticket is accepted."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from lagoonpost.declarations.state import (
    declare,
    find_misfits,
    merge_objects,
)
from lagoonpost.systems.move import compute_earliest_deadline
from lagoonpost.tables.ticket import (
    Accepted,
    Fault,
    Refused,
    Snapshot,
    Ticket,
    TicketRecord,
)

MAX_KEYS_SHOWN = 5
"""Objects named in one refusal; more do not help an operator."""


class Committable(NamedTuple):
    """The ticket may be committed; ``after`` is what it leads to."""

    snapshot: Snapshot


def evaluate_ticket(
    ticket: Ticket, digest: str, before: Snapshot, held: TicketRecord | None
) -> Accepted | Refused | Committable:
    """Judge ``ticket`` against one consistent reading of the store.

    Args:
        ticket: The ticket.
        digest: SHA-256 of its content.
        before: All objects.
        held: The accepted ticket with the same number, if there is one.

    Returns:
        What to tell the operator, or that it may be committed.
    """
    if held is not None:
        return _compare(held, digest)
    stale = _find_stale(ticket, before)
    if stale:
        return Refused("stale", "; ".join(stale))
    parted = tuple(_find_parted_moves(ticket, before))
    if parted:
        detail = "a move and its two versions change together"
        return Refused("overlaps_move", detail, parted)
    merged = merge_objects(before.objects, ticket.number, ticket.objects)
    after = Snapshot(before.revision + 1, merged)
    faults = tuple(_find_new_misfits(before, after))
    if faults:
        return Refused("invalid", "does not fit what is declared", faults)
    return Committable(after)


def find_unreachable_deadlines(ticket: Ticket, now: float) -> list[Fault]:
    """Return the moves of ``ticket`` that cannot be done by their time.

    They are said and not refused: a refusal that depends on the time could
    meet a write of the same ticket that is still under way, and the ticket
    would be both refused and in force. Their moves end as soon as they begin
    (`lagoonpost.systems.move.begin_move`).
    """
    earliest = compute_earliest_deadline(now, 0.0)
    alone = Snapshot(0, merge_objects({}, ticket.number, ticket.objects))
    return [
        Fault(
            f"moves.{move.service}.by",
            f"too near by {earliest - move.by:.0f} s, even if"
            f" {move.to_version} is loaded; all requests stay with"
            f" {move.from_version}",
        )
        for move in declare(alone).moves
        if move.by < earliest
    ]


def _compare(held: TicketRecord, digest: str) -> Accepted | Refused:
    if held.digest == digest:
        return Accepted(held)
    who = f"by {held.operator}: {held.reason}"
    detail = f"ticket {held.number} was accepted with other content, {who}"
    return Refused("number_taken", detail)


def _find_stale(ticket: Ticket, before: Snapshot) -> list[str]:
    newer = [
        f"{key} was set by ticket {before.objects[key].ticket}"
        for key in ticket.objects
        if key in before.objects
        and before.objects[key].ticket >= ticket.number
    ]
    more = len(newer) - MAX_KEYS_SHOWN
    return (
        newer if more <= 0 else [*newer[:MAX_KEYS_SHOWN], f"and {more} more"]
    )


def _find_parted_moves(ticket: Ticket, before: Snapshot) -> Iterator[Fault]:
    # A ticket that changed a version in the middle of its move, or dropped
    # the move alone, would leave open which share is in force: the ticket's,
    # the move's, or after `done` the old version's again, with all traffic.
    for move in declare(before).moves:
        whole = {
            f"move/{move.service}": f"moves.{move.service}",
            **{
                f"version/{move.service}/{name}": (
                    f"versions.{move.service}/{name}"
                )
                for name in (move.from_version, move.to_version)
            },
        }
        if not whole.keys() & ticket.objects.keys():
            continue
        for key, field in whole.items():
            if key not in ticket.objects:
                message = f"missing; the move of ticket {move.ticket} stands"
                yield Fault(field, message)


def _find_new_misfits(before: Snapshot, after: Snapshot) -> Iterable[Fault]:
    # What did not fit before, by a release with laxer checks, must not
    # block every later ticket; only what this one brings in is refused.
    known = set(find_misfits(declare(before)))
    for fault in find_misfits(declare(after)):
        if fault not in known:
            yield fault
