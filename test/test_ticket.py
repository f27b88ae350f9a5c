"""Tests of lagoonpost.store.ticket."""

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from memory_store import MemoryStore

from lagoonpost.declarations.content import parse_ticket
from lagoonpost.declarations.file import load_ticket
from lagoonpost.store.declaration import ReadConflict, read_declaration
from lagoonpost.store.ticket import WROTE_NOTHING, RetryPolicy, TicketStore
from lagoonpost.tables.ticket import (
    Accepted,
    NotRun,
    Refused,
    Ticket,
    TicketOutcome,
    Unsettled,
)

START = Path(__file__).parent.parent / "examples/tickets/1-start.yaml"
RUNNERS = {
    "booking-1": {"absent": True},
    "booking-2": {"absent": True},
}
DIGESTS = {"pottery": "a" * 64, "market": "b" * 64}


def make_ticket(number: int, weight: float = 1, **more: Any) -> Ticket:
    """Return a ticket that sets the workspace ``pottery``."""
    state = {"key_sha256": DIGESTS["pottery"], "weight": weight}
    content = {
        "ticket": number,
        "reason": "test",
        "workspaces": {"pottery": state},
        **more,
    }
    ticket = parse_ticket(content)
    assert isinstance(ticket, Ticket), ticket
    return ticket


def make_other(number: int) -> Ticket:
    """Return a ticket that sets the workspace ``market``."""
    state = {"key_sha256": DIGESTS["market"]}
    ticket = parse_ticket(
        {"ticket": number, "reason": "o", "workspaces": {"market": state}}
    )
    assert isinstance(ticket, Ticket)
    return ticket


async def skip_sleep(seconds: float) -> None:
    await asyncio.sleep(0)


def make_intake(store: MemoryStore, tries: int = 5) -> TicketStore:
    return TicketStore(
        store, RetryPolicy(tries), clock=lambda: 0.0, sleep=skip_sleep
    )


def submit(store: MemoryStore, *tickets: Ticket) -> list[TicketOutcome]:
    """Submit the tickets in sequence, each at a different gateway."""

    async def submit_all() -> list[TicketOutcome]:
        return [
            await make_intake(store).submit(ticket, "ann")
            for ticket in tickets
        ]

    return asyncio.run(submit_all())


def race(store: MemoryStore, *tickets: Ticket) -> list[TicketOutcome]:
    """Submit the tickets concurrently, each at a different gateway."""

    async def submit_all() -> list[TicketOutcome]:
        calls = [
            make_intake(store).submit(ticket, "ann") for ticket in tickets
        ]
        return await asyncio.gather(*calls)

    return asyncio.run(submit_all())


def name(outcome: TicketOutcome) -> str:
    reason = getattr(outcome, "reason", "")
    return reason or type(outcome).__name__


class TestNumbers:
    def test_same_ticket_gets_same_answer_at_another_gateway(self) -> None:
        store = MemoryStore()
        first, later, again = submit(
            store, make_ticket(1), make_ticket(2), make_ticket(1)
        )
        assert isinstance(first, Accepted)
        assert isinstance(later, Accepted)
        assert again == first

    def test_taken_number_is_refused(self) -> None:
        outcomes = submit(MemoryStore(), make_ticket(1), make_ticket(1, 2))
        assert [name(outcome) for outcome in outcomes] == [
            "Accepted",
            "number_taken",
        ]

    def test_stale_number_is_refused_with_the_object(self) -> None:
        outcomes = submit(MemoryStore(), make_ticket(5), make_ticket(4))
        assert outcomes[1] == Refused(
            "stale", "workspace/pottery was set by ticket 5"
        )

    def test_smaller_number_for_untouched_objects_is_taken(self) -> None:
        outcomes = submit(MemoryStore(), make_ticket(5), make_other(4))
        assert isinstance(outcomes[1], Accepted)
        assert outcomes[1].record.revision == 2

    def test_reference_to_undeclared_is_refused(self) -> None:
        runner = {
            "endpoint": "127.0.0.1:80",
            "service": "assistant",
            "version": "v1",
            "host": "h",
            "failure_domain": "a",
        }
        ticket = make_ticket(1, runners={"engine-1": runner})
        store = MemoryStore()
        (outcome,) = submit(store, ticket)
        assert isinstance(outcome, Refused)
        assert [fault.field for fault in outcome.errors] == [
            "runners.engine-1.version"
        ]
        assert not store.rows


class TestExamples:
    def test_are_accepted_in_order(self) -> None:
        tickets = [
            load_ticket(path) for path in sorted(START.parent.glob("*.yaml"))
        ]
        outcomes = submit(
            MemoryStore(),
            *[ticket for ticket in tickets if isinstance(ticket, Ticket)],
        )
        assert len(outcomes) == 3
        assert set(map(name, outcomes)) == {"Accepted"}


class TestMoveOverlap:
    def test_parts_of_a_declared_move_change_together(self) -> None:
        """Guards against tickets that change only part of a declared move.

        An operator removes the old version while its traffic is moving. If
        the ticket were accepted, it and the move would declare different
        shares; removing only the finished move would send all traffic back
        to the old version.
        """
        store = MemoryStore()
        start = load_ticket(START)
        assert isinstance(start, Ticket)
        versions = {"booking/v1": {"share": 1}, "booking/v2": {"share": 0}}
        moves = {
            "booking": {"from": "v1", "to": "v2", "by": "2030-01-01T00:00:00Z"}
        }
        tidy = {"booking/v1": {"absent": True}, "booking/v2": {"share": 1}}
        gone = {"booking": {"absent": True}}
        outcomes = submit(
            store,
            start,
            make_ticket(2, versions=versions, moves=moves),
            make_ticket(3, versions=tidy),
            make_ticket(4, moves=gone),
            make_ticket(5, 2),
            make_ticket(6, versions=tidy, moves=gone, runners=RUNNERS),
        )
        assert list(map(name, outcomes)) == [
            "Accepted",
            "Accepted",
            "overlaps_move",
            "overlaps_move",
            "Accepted",
            "Accepted",
        ]


class TestRace:
    def test_two_contents_for_one_number(self) -> None:
        """Guards against one ticket overwriting another with the same number.

        Two operators submit different tickets with number 1 concurrently, and
        both gateways read the number as free before either writes. Only one
        ticket may be accepted; the other must be refused.
        """
        store = MemoryStore()
        outcomes = race(store, make_ticket(1, 1), make_ticket(1, 2))
        assert sorted(map(name, outcomes)) == ["Accepted", "number_taken"]

    def test_one_ticket_through_two_gateways(self) -> None:
        """Guards against two revisions for one ticket.

        An operator submits the same ticket twice concurrently. Both
        submissions must return the same outcome and create one revision.
        """
        store = MemoryStore()
        outcomes = race(store, make_ticket(1), make_ticket(1))
        assert isinstance(outcomes[0], Accepted)
        assert outcomes[0] == outcomes[1]
        assert store.rows["revision"].value["revision"] == 1

    def test_tickets_for_other_objects_get_revisions_of_their_own(
        self,
    ) -> None:
        """Guards against two tickets with the same revision.

        Two operators change different workspaces concurrently. If both got
        the same revision, a gateway that has one ticket would never fetch the
        other.
        """
        outcomes = race(MemoryStore(), make_ticket(1), make_other(2))
        revisions = [
            outcome.record.revision
            for outcome in outcomes
            if isinstance(outcome, Accepted)
        ]
        assert sorted(revisions) == [1, 2]

    def test_ticket_that_commits_during_a_scan_is_noticed(self) -> None:
        """Guards against an inconsistent read of the declaration.

        A ticket commits between two pages of another gateway's scan. The scan
        would return a runner without the version declared with it, and the
        gateway would refuse the next ticket as inconsistent.
        """
        store, later = MemoryStore(), MemoryStore()
        submit(later, make_ticket(1))

        def commit(call: str) -> str:
            if call == "scan":
                store.rows.update(later.rows)
            return ""

        store.fault = commit
        reading = asyncio.run(read_declaration(store))
        assert isinstance(reading, ReadConflict)

    def test_conflicting_tickets_end_with_the_highest(self) -> None:
        store = MemoryStore()
        tickets = [make_ticket(number, number) for number in (1, 2, 3)]
        outcomes = race(store, *tickets)
        assert set(map(name, outcomes)) <= {"Accepted", "stale"}
        state = store.rows["object/workspace/pottery"].value["state"]
        assert state["weight"] == 3


class TestLostReply:
    def test_is_settled_by_reading_back(self) -> None:
        """Guards against a wrong outcome if a write's response is lost.

        The write was applied, so the outcome must be accepted, and a retry
        must not create a second revision.
        """
        store = MemoryStore()
        faults = iter(["lost"])
        store.fault = lambda call: lose(faults, call)
        (outcome,) = submit(store, make_ticket(1))
        assert isinstance(outcome, Accepted)
        assert store.rows["revision"].value["revision"] == 1

    def test_late_write_is_not_called_not_run(self) -> None:
        """Guards against "not run" for a write that is applied later.

        The platform delays a write by minutes, so reading back does not find
        it yet. After "not run" the operator would abandon the change, which
        would then come into force anyway.
        """
        store = MemoryStore()
        store.fault = lambda call: "late" if call == "transact" else ""
        (outcome,) = submit(store, make_ticket(1))
        assert isinstance(outcome, Unsettled)
        store.fault = lambda call: ""
        store.deliver()
        (again,) = submit(store, make_ticket(1))
        assert isinstance(again, Accepted)

    def test_late_write_has_no_effect_after_another_ticket(self) -> None:
        """Guards against a delayed write that overwrites a later ticket.

        A write is delayed and another operator's ticket is accepted in the
        meantime. The delayed write must have no effect when it arrives.
        """
        store = MemoryStore()
        store.fault = lambda call: "late" if call == "transact" else ""
        (hung,) = submit(store, make_ticket(1, 1))
        assert isinstance(hung, Unsettled)
        store.fault = lambda call: ""
        submit(store, make_ticket(2, 2))
        store.deliver()
        state = store.rows["object/workspace/pottery"].value["state"]
        assert state["weight"] == 2
        (again,) = submit(store, make_ticket(1, 1))
        assert name(again) == "stale"

    def test_accepted_only_after_reading_back(self) -> None:
        """Guards against "accepted" for a ticket that was not read back.

        The write is confirmed, then the store goes down. The outcome is
        unsettled until the operator submits the same ticket again, which
        returns accepted.
        """
        store = MemoryStore()

        def fail(call: str) -> str:
            return "down" if "transact" in store.calls[:-1] else ""

        store.fault = fail
        (outcome,) = submit(store, make_ticket(1))
        assert isinstance(outcome, Unsettled)
        store.fault = lambda call: ""
        (again,) = submit(store, make_ticket(1))
        assert isinstance(again, Accepted)


def lose(faults: Iterator[str], call: str) -> str:
    return next(faults, "") if call == "transact" else ""


class TestStoreDown:
    @pytest.mark.parametrize("call", ["read", "scan", "transact"])
    def test_that_this_hand_in_wrote_nothing_is_said(self, call: str) -> None:
        """Guards against a write after the submission reported none."""
        store = MemoryStore()
        store.fault = lambda operation: "down" if operation == call else ""
        (outcome,) = submit(store, make_ticket(1))
        assert outcome == Unsettled(f"down; {WROTE_NOTHING}")
        store.deliver()
        assert not store.rows

    def test_it_is_not_said_of_a_write_that_hangs(self) -> None:
        """Guards against denying a write that may still be applied."""
        store = MemoryStore()
        store.fault = lambda call: "late" if call == "transact" else ""
        assert submit(store, make_ticket(1)) == [Unsettled("no reply")]


class TestHandInElsewhere:
    def test_not_run_is_not_said_of_a_ticket_under_way_elsewhere(self) -> None:
        """Guards against a change that takes effect after "not run".

        Another gateway's write of the same ticket is still in flight.
        """
        store = MemoryStore()
        store.fault = lambda call: "late" if call == "transact" else ""
        (first,) = submit(store, make_ticket(1))
        assert isinstance(first, Unsettled)
        store.fault = lambda call: "down"
        (second,) = submit(store, make_ticket(1))
        store.fault = lambda call: ""
        store.deliver()
        assert (
            not isinstance(second, NotRun)
            or "ticket/00000001" not in store.rows
        )
