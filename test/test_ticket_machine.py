"""Stateful test of tickets: several gateways, races and store faults."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from memory_store import MemoryStore
from test_ticket import make_intake

from lagoonpost.declarations.content import parse_ticket
from lagoonpost.store.watch import DeclarationWatch
from lagoonpost.tables.ticket import (
    ABSENT,
    Accepted,
    NotRun,
    Refused,
    Ticket,
    TicketOutcome,
    TicketRecord,
    Unsettled,
)

NAMES = ("pottery", "market", "archive")
WRITE_FAULTS = st.lists(
    st.sampled_from(["", "down", "lost", "late"]), max_size=4
)
READ_FAULTS = st.lists(st.sampled_from(["", "", "down"]), max_size=4)


def make_tickets() -> st.SearchStrategy[Ticket]:
    weights = st.one_of(st.none(), st.integers(1, 2))
    return st.builds(
        _make_ticket,
        st.integers(1, 6),
        st.dictionaries(st.sampled_from(NAMES), weights, min_size=1),
    )


def _make_ticket(number: int, weights: dict[str, int | None]) -> Ticket:
    states = {
        name: ABSENT
        if weight is None
        else {"key_sha256": f"{NAMES.index(name):064x}", "weight": weight}
        for name, weight in weights.items()
    }
    ticket = parse_ticket(
        {"ticket": number, "reason": "m", "workspaces": states}
    )
    assert isinstance(ticket, Ticket)
    return ticket


class TicketMachine(RuleBasedStateMachine):
    """Submits tickets at several gateways while the store fails.

    An accepted ticket must never be lost or reverted, and a ticket answered
    with "not run" must not take effect unless it is submitted again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore()
        self.accepted: dict[int, TicketRecord] = {}
        self.not_run: list[Ticket] = []
        self.unsettled: list[Ticket] = []
        self.watches = [
            DeclarationWatch(self.store, lambda _: None, clock=lambda: 0.0)
            for _ in range(2)
        ]
        self.revisions = [0, 0]

    @rule(
        tickets=st.lists(make_tickets(), min_size=1, max_size=3),
        write_faults=WRITE_FAULTS,
        read_faults=READ_FAULTS,
        offset=st.integers(0, 3),
    )
    def hand_in(
        self,
        tickets: list[Ticket],
        write_faults: list[str],
        read_faults: list[str],
        offset: int,
    ) -> None:
        faults = {"transact": iter(write_faults)}
        reads = iter(read_faults)
        self.store.fault = lambda call: next(faults.get(call, reads), "")
        outcomes = self._submit_all(tickets, offset)
        for ticket, outcome in zip(tickets, outcomes, strict=True):
            self._record_outcome(ticket, outcome)

    @rule()
    def retry(self) -> None:
        """Without faults, every unsettled ticket gets a final outcome."""
        tickets, self.unsettled = self.unsettled, []
        for ticket in tickets:
            self.store.fault = lambda call: ""
            (outcome,) = self._submit_all([ticket], 0)
            assert isinstance(outcome, Accepted | Refused)
            self._record_outcome(ticket, outcome)

    @rule()
    def deliver(self) -> None:
        self.store.deliver()

    @rule(index=st.integers(0, 1), down=st.booleans())
    def poll(self, index: int, down: bool) -> None:
        self.store.fault = lambda call: "down" if down else ""
        watch = self.watches[index]
        asyncio.run(watch.poll())
        if not down and "revision" in self.store.rows:
            stored = self.store.rows["revision"].value["revision"]
            assert watch.declaration.revision == stored
            assert self._states(watch) == self._stored_states()

    @rule(index=st.integers(0, 1), number=st.integers(1, 6))
    def push(self, index: int, number: int) -> None:
        if number in self.accepted:
            self.watches[index].apply_ticket(self.accepted[number])

    @invariant()
    def accepted_is_kept(self) -> None:
        for number, record in self.accepted.items():
            row = self.store.rows[f"ticket/{number:08d}"]
            assert row.value == record._asdict()

    @invariant()
    def objects_have_the_newest_state(self) -> None:
        newest: dict[str, tuple[int, object]] = {}
        rows = self.store.rows.items()
        tickets = [row.value for key, row in rows if key[:7] == "ticket/"]
        for ticket in tickets:
            for key, state in ticket["objects"].items():
                entry = (ticket["number"], state)
                newest[key] = max(newest.get(key, (0, None)), entry, key=_rank)
        assert self._stored_states() == newest
        if tickets:
            revisions = sorted(ticket["revision"] for ticket in tickets)
            assert revisions == list(range(1, len(tickets) + 1))

    @invariant()
    def not_run_stays_out(self) -> None:
        for ticket in self.not_run:
            row = self.store.rows.get(f"ticket/{ticket.number:08d}")
            assert row is None or row.value["objects"] != ticket.objects

    @invariant()
    def revisions_only_grow(self) -> None:
        revisions = [watch.declaration.revision for watch in self.watches]
        assert all(
            new >= old
            for new, old in zip(revisions, self.revisions, strict=True)
        )
        self.revisions = revisions

    def _submit_all(
        self, tickets: list[Ticket], offset: int
    ) -> list[TicketOutcome]:
        async def submit(position: int, ticket: Ticket) -> TicketOutcome:
            for _ in range(position * offset):
                await asyncio.sleep(0)
            return await make_intake(self.store, 3).submit(ticket, "ann")

        async def submit_concurrently() -> list[TicketOutcome]:
            calls = [submit(*numbered) for numbered in enumerate(tickets)]
            return await asyncio.gather(*calls)

        return asyncio.run(submit_concurrently())

    def _record_outcome(self, ticket: Ticket, outcome: TicketOutcome) -> None:
        self.not_run = [other for other in self.not_run if other != ticket]
        match outcome:
            case Accepted(record):
                assert record.objects == ticket.objects
                known = self.accepted.setdefault(ticket.number, record)
                assert known == record
            case Unsettled():
                self.unsettled.append(ticket)
            case Refused() | NotRun():
                self.not_run.append(ticket)

    def _states(
        self, watch: DeclarationWatch
    ) -> dict[str, tuple[int, object]]:
        objects = watch.snapshot.objects
        return {key: (row.ticket, row.state) for key, row in objects.items()}

    def _stored_states(self) -> dict[str, tuple[int, object]]:
        return {
            key.removeprefix("object/"): (
                row.value["ticket"],
                row.value["state"],
            )
            for key, row in self.store.rows.items()
            if key.startswith("object/")
        }


def _rank(entry: tuple[int, object]) -> int:
    return entry[0]


TestTicketMachine = TicketMachine.TestCase
TestTicketMachine.settings = settings(
    max_examples=150, stateful_step_count=12, deadline=None
)
