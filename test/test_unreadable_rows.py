"""Rows of lagoonpost's own table that can't be read, for each reader."""

import asyncio
import time
from random import Random
from types import SimpleNamespace
from typing import Any, ClassVar

import msgspec
import pytest
from forwarding_stack import Stack, find_holders
from forwarding_stack import play as play_stack
from memory_store import MemoryStore
from played_loop import play_time
from test_holder import WINDOW, wait_until
from test_holder import Gateway as Leader
from test_watch import Site, accept

from lagoonpost.forwarding.crash_recorder import (
    EVIDENCE_KEY,
    VERDICT_PREFIX,
    CrashRecorder,
)
from lagoonpost.forwarding.crash_watch import CrashWatch
from lagoonpost.forwarding.duties import USAGE_PREFIX
from lagoonpost.forwarding.peer_key import KEY_ROW, PeerKey
from lagoonpost.forwarding.peer_sync import _read_seeds
from lagoonpost.forwarding.version_shifts import VersionShifts
from lagoonpost.gateway.moves import STORE_PREFIX, VersionMoves
from lagoonpost.http.message import Address, Response
from lagoonpost.platform.store import OWN_TABLE, FeedRow, PlatformStore
from lagoonpost.store.clock import read_clock
from lagoonpost.store.declaration import (
    OBJECT_PREFIX,
    REVISION_KEY,
    read_declaration,
)
from lagoonpost.store.lease import LEASE_PREFIX, LeaseManager
from lagoonpost.store.ledger import LEDGER_PREFIX, Ledger, delete_expired
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from lagoonpost.store.ticket import TicketStore
from lagoonpost.systems.booking import Earlier
from lagoonpost.systems.lease import (
    CurrentRow,
    Lease,
    LeasePolicy,
    Pause,
    Put,
    Stored,
    apply_reply,
    assume_unknown_holder,
    choose_action,
    get_fence,
    is_held,
)
from lagoonpost.systems.shift import ExposureBounds
from lagoonpost.tables.crash import Crash, Verdict
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.entity import VersionMove
from lagoonpost.tables.lease import MAX_FENCE, LeaseRow

LEASE_KEY = f"{LEASE_PREFIX}duties"
UNREADABLE = Unreadable("JSON is malformed")
HUGE = 10**400
ALL_KEYS = (
    "burst/pottery",
    "burst/pottery/gateway-1",
    "crash/verdict/part:1",
    "crash/evidence",
    "lease/duties",
    "member/gateway-9",
    "peer/key",
    "retries/chat",
    "retries/desk",
)
ODD_VALUES: tuple[Any, ...] = (UNREADABLE, None, "x", 3, -1.5, [], {}, [[]])
BODIES = (b"", b"{", b"\xff\xfe", b"null", b'{"a":' * 5_000, b"[1e999]")
POLICY = LeasePolicy(
    duration=0.4,
    margin=0.05,
    renew_after=0.1,
    retry=0.02,
    poll=0.05,
    order=0.1,
    handback_delay=0.1,
)


def put_row(store: MemoryStore, key: str, value: Any, version: int) -> None:
    """Write a row as another build or a restore would leave it."""
    store.rows[key] = Row(key, version, value)


class TestStore:
    """Rows as the client of the store returns them."""

    @staticmethod
    def make_store(body: bytes, status: int = 200) -> PlatformStore:
        row = {"key": "usage/1", "ver": 7, "value": body}
        answer = msgspec.json.encode({"rows": [row], "ver": 9, "now_ms": 5})

        async def call(*args: object, **more: object) -> Response:
            return Response(status, (), answer)

        return PlatformStore(
            SimpleNamespace(call=call), Address("127.0.0.1", 1)
        )

    @pytest.mark.parametrize("body", BODIES)
    def test_a_row_that_is_no_json_is_neither_raised_nor_absent(
        self, body: bytes
    ) -> None:
        """Guards against an unreadable row that ends its reader's task."""
        store = self.make_store(body)
        rows = asyncio.run(store.read(["usage/1"]))
        assert not isinstance(rows, Unavailable)
        assert rows[0].version == 7
        assert rows[0].value is not None
        assert asyncio.run(store.scan("usage/")) == rows

    @pytest.mark.parametrize("body", BODIES)
    def test_a_conflict_with_such_a_row_is_a_conflict(
        self, body: bytes
    ) -> None:
        """Guards against a write that ends as its condition's row is read."""
        store = self.make_store(body, 412)
        write = Write("usage/1", {})
        outcome = asyncio.run(
            store.transact([Condition("usage/1", 0)], [write])
        )
        assert isinstance(outcome, Conflict)
        assert outcome.rows[0].version == 7

    @pytest.mark.parametrize("version", [-1, 1 << 40, HUGE])
    def test_an_answer_of_an_odd_version_is_none(self, version: int) -> None:
        """Guards against stamps that no message to a gateway can hold."""
        body = f'{{"rows": [], "ver": {version}}}'.encode()

        async def call(*args: object, **more: object) -> Response:
            return Response(200, (), body)

        store = PlatformStore(
            SimpleNamespace(call=call), Address("127.0.0.1", 1)
        )
        page = asyncio.run(store.read_table("servers"))
        assert isinstance(page, Unavailable)

    def test_an_era_of_thousands_of_digits_is_passed_over(self) -> None:
        """Guards against an era that ``int`` refuses to convert."""

        async def call(*args: object, **more: object) -> Response:
            return Response(200, (("store-era", "9" * 5_000),), b"{}")

        store = PlatformStore(
            SimpleNamespace(call=call), Address("127.0.0.1", 1)
        )
        asyncio.run(store.read_table("servers"))
        assert store.eras.era == 0


class TestLease:
    @pytest.mark.parametrize(
        "value",
        [
            *ODD_VALUES,
            ["a", "n", HUGE, 0.4],
            ["a", "n", MAX_FENCE + 1, 0.4],
            ["a", "n", 3, 1e300],
        ],
    )
    def test_a_row_that_cannot_be_read_is_not_free(self, value: Any) -> None:
        """Guards against two holders, and a fence that was issued before."""

        async def play() -> tuple[float, int]:
            store = MemoryStore()
            put_row(store, LEASE_KEY, value, 41)
            manager = LeaseManager(store, "duties", "b", "run", POLICY)
            began = read_clock()
            task = asyncio.create_task(manager.run())
            await wait_until(manager.is_held)
            task.cancel()
            return read_clock() - began, manager.fence

        waited, fence = asyncio.run(play())
        # A lower bound holds on any machine.
        assert waited >= POLICY.duration
        assert fence > 41

    @staticmethod
    def see(lease: Lease, version: int, now: float) -> Lease:
        """Return the lease after a read of a row that can't be read."""
        row = assume_unknown_holder(lease, version)
        return apply_reply(lease, None, CurrentRow(version, row), now)

    @staticmethod
    def acquire(lease: Lease, now: float) -> Lease:
        """Return the lease after a write that the store has accepted."""
        lease, action = choose_action(lease, now)
        assert isinstance(action, Put)
        return apply_reply(lease, action, Stored(lease.version + 1), now)

    def test_a_holder_gives_up_a_row_that_cannot_be_read(self) -> None:
        """Guards against a holder beside whoever wrote over its row."""
        lease = Lease("b", "run", POLICY)
        lease = apply_reply(lease, None, CurrentRow(0, None), 100.0)
        lease = self.acquire(lease, 100.0)
        assert is_held(lease, 100.1)
        lease = self.see(lease, 5, 100.1)
        assert not is_held(lease, 100.1)
        free = 100.1 + POLICY.duration
        lease, action = choose_action(lease, free - 0.01)
        assert isinstance(action, Pause)
        lease = self.see(lease, 5, free + 0.01)
        assert is_held(self.acquire(lease, free + 0.01), free + 0.02)

    def test_a_renewal_that_cannot_be_read_starts_the_wait_anew(self) -> None:
        """Guards against a lease taken from a holder of a newer build."""
        lease = self.see(Lease("b", "run", POLICY), 5, 100.0)
        lease = self.see(lease, 6, 100.3)
        _, action = choose_action(lease, 100.0 + POLICY.duration)
        assert isinstance(action, Pause)

    def test_no_fence_is_issued_again(self) -> None:
        """Guards the assumption that a row's version exceeds old fences."""
        fences, version, now = [], 0, 100.0
        row: LeaseRow | None = None
        for number in range(6):
            lease = Lease(f"host-{number}", f"run-{number}", POLICY)
            if number % 2:
                lease = self.see(lease, version, now)
            else:
                lease = apply_reply(lease, None, CurrentRow(version, row), now)
            now += 2 * POLICY.duration
            lease = self.acquire(lease, now)
            row, version = lease.row, lease.version
            assert get_fence(lease) <= version
            fences.append(get_fence(lease))
        assert fences == sorted(set(fences))

    def test_rows_of_leases_are_read_as_written(self) -> None:
        """Guards against bounds that refuse what gateways write."""
        row = LeaseRow("a", "n", 1 << 60, 15.0, ("b",))
        assert msgspec.convert(msgspec.to_builtins(row), LeaseRow) == row


class TestUsage:
    def play(self, value: Any, told: dict[str, int] | None) -> list[Any]:
        """Return the windows that a leader reports beside such a row."""

        async def run() -> list[Any]:
            store = MemoryStore()
            put_row(store, f"{USAGE_PREFIX}{WINDOW - 1}", value, 3)
            leader = Leader(store)
            sent = []

            async def report(duty: object, window: int, counts: Any) -> str:
                sent.append((window, counts))
                return "done"

            leader.desk.report_usage = report
            if told is not None:
                gossip = leader.duties._peer_sync.usage_gossip
                gossip.usage[WINDOW - 1] = told
            task = asyncio.create_task(leader.duties.run())
            await asyncio.sleep(3.0)
            assert not task.done()
            task.cancel()
            return sent

        sent = asyncio.run(run())
        return [each for each in sent if each[0] == WINDOW - 1]

    @pytest.mark.parametrize("value", [UNREADABLE, ["x"], {"a": "b"}])
    def test_a_window_of_unknown_counts_is_not_reported(self, value) -> None:
        """Guards against a second report of a window with other counts."""
        assert self.play(value, None) == []

    def test_counts_that_gateways_were_told_are_repeated(self) -> None:
        """Guards against a window that is missed for no reason."""
        told = {"pottery": 7}
        assert self.play(UNREADABLE, told) == [(WINDOW - 1, told)]


class TestCrashes:
    def play(self, rows: dict[str, Any]) -> tuple[CrashWatch, MemoryStore]:
        """Return what a gateway knows that starts with some rows."""

        async def run() -> tuple[CrashWatch, MemoryStore]:
            store, watch = MemoryStore(), CrashWatch(time.time)
            watch.publish = lambda news: None
            for key, value in rows.items():
                put_row(store, key, value, 2)
            recorder = CrashRecorder(store, watch, lambda: True, lambda: 1.0)
            task = asyncio.create_task(recorder.run(has_records=True))
            await asyncio.sleep(2.0)
            assert not task.done()
            task.cancel()
            return watch, store

        return asyncio.run(run())

    @pytest.mark.parametrize(
        "value",
        [UNREADABLE, "x", ["part:1", 1.0, 1.0, HUGE], ["part:1", 1, 1, 10**6]],
    )
    def test_a_verdict_that_cannot_be_read_holds(self, value: Any) -> None:
        """Guards against runners lost anew to a request that was refused."""
        watch, store = self.play({f"{VERDICT_PREFIX}part:1": value})
        assert not watch.causes.may_send(["part:1"], time.time())
        assert watch.causes.may_send(["part:2"], time.time())
        written = store.rows[f"{VERDICT_PREFIX}part:1"].value
        assert msgspec.convert(written, Verdict).cause == "part:1"

    @pytest.mark.parametrize("value", [UNREADABLE, "x", [["a", 1]], [HUGE]])
    def test_evidence_that_cannot_be_read_is_none(self, value: Any) -> None:
        """Guards against a gateway that ends for a row of evidence."""
        now = time.time()
        rows = {
            EVIDENCE_KEY: value,
            f"{VERDICT_PREFIX}part:1": list(Verdict("part:1", now, now)),
        }
        watch, _ = self.play(rows)
        assert watch.causes.list_evidence() == []
        assert not watch.causes.may_send(["part:1"], now)

    def test_known_evidence_replaces_such_a_row(self) -> None:
        """Guards against evidence that is lost with its row."""

        async def run() -> Any:
            store, watch = MemoryStore(), CrashWatch(time.time)
            watch.publish = lambda news: None
            put_row(store, EVIDENCE_KEY, UNREADABLE, 2)
            recorder = CrashRecorder(store, watch, lambda: True, lambda: 1.0)
            task = asyncio.create_task(recorder.run(has_records=True))
            now = time.time()
            watch.merge(Crash("chat-1", "a", ("part:1",), now, now))
            await asyncio.sleep(2.0)
            task.cancel()
            return store.rows[EVIDENCE_KEY].value

        crashes = msgspec.convert(asyncio.run(run()), list[Crash])
        assert [crash.runner for crash in crashes] == ["chat-1"]


class TestKey:
    @staticmethod
    async def read(store: MemoryStore, key: PeerKey) -> str | None:
        task = asyncio.create_task(key.run())
        await asyncio.sleep(5.0)
        assert not task.done()
        task.cancel()
        return key.current

    @pytest.mark.parametrize("value", [*ODD_VALUES, "", "0" * 63])
    def test_all_agree_on_a_new_key(self, value: Any) -> None:
        """Guards against gateways that end, or that accept a guessed key."""

        async def play() -> list[str | None]:
            store = MemoryStore()
            put_row(store, KEY_ROW, value, 2)
            keys = [PeerKey(store, Random(n)) for n in range(3)]
            return await asyncio.gather(
                *(self.read(store, each) for each in keys)
            )

        first, *others = play_time(play())
        assert first is not None
        assert len(first) == 64
        assert others == [first, first]

    def test_the_key_in_use_is_kept(self) -> None:
        """Guards against tunnels that are refused as a row is spoilt."""

        async def play() -> tuple[str | None, str | None]:
            store = MemoryStore()
            key = PeerKey(store, Random(1))
            before = await self.read(store, key)
            put_row(store, KEY_ROW, UNREADABLE, 9)
            key.refresh()
            return before, await self.read(store, key)

        before, after = play_time(play())
        assert before == after


class TestSeeds:
    def test_the_other_addresses_hold(self) -> None:
        """Guards against gateways that find nobody for one row."""
        values = [*ODD_VALUES, "gateway:80", "127.0.0.1:99999", "127.0.0.1:80"]
        rows = [Row(f"member/{n}", 1, value) for n, value in enumerate(values)]
        assert _read_seeds(rows) == [Address("127.0.0.1", 80)]


class TestLedger:
    @pytest.mark.parametrize("value", ODD_VALUES)
    def test_a_booking_of_an_unknown_entry_does_not_run(self, value) -> None:
        """Guards against a booking that runs again as its row is spoilt."""

        async def play() -> object:
            store = MemoryStore()
            put_row(store, f"{LEDGER_PREFIX}k", value, 5)
            ledger = Ledger(store, "a")
            outcome = await ledger.run_booking(
                f"{LEDGER_PREFIX}k", "digest", 1.0, SimpleNamespace()
            )
            await ledger.close(0.1)
            return outcome

        outcome = asyncio.run(play())
        assert isinstance(outcome, Earlier)
        assert outcome.entry.state == "lost"

    def test_such_an_entry_is_not_deleted(self) -> None:
        """Guards against a key that is free again as its row is spoilt."""
        store = MemoryStore()
        put_row(store, f"{LEDGER_PREFIX}k", UNREADABLE, 5)
        assert asyncio.run(delete_expired(store, "")) == ""
        assert f"{LEDGER_PREFIX}k" in store.rows


class TestDeclaration:
    @pytest.mark.parametrize("value", ODD_VALUES)
    def test_an_object_that_cannot_be_read_keeps_its_state(self, value):
        """Guards against a watch that ends, and a service that disappears."""
        site = Site()
        accept(site.store, 1)
        site.poll()
        known = dict(site.watch.snapshot.objects)
        key = next(iter(known))
        accept(site.store, 2)
        put_row(site.store, OBJECT_PREFIX + key, value, 9)
        for number in (1, 2):
            row = f"ticket/{number:08d}"
            put_row(site.store, row, UNREADABLE, 9)
        site.poll()
        assert site.watch.snapshot.revision == 2
        assert site.watch.snapshot.objects[key] == known[key]

    @pytest.mark.parametrize("value", ODD_VALUES)
    def test_a_head_that_cannot_be_read_changes_nothing(self, value: Any):
        """Guards against a declaration that reverts to none."""
        site = Site()
        accept(site.store, 1)
        site.poll()
        put_row(site.store, REVISION_KEY, value, 9)
        site.poll()
        assert site.watch.snapshot.revision == 1
        reading = asyncio.run(read_declaration(site.store))
        assert isinstance(reading, Unavailable)

    def test_a_ticket_that_cannot_be_read_is_not_absent(self) -> None:
        """Guards against "no such ticket" for one that was accepted."""
        store = MemoryStore()
        accept(store, 1, 2)
        put_row(store, "ticket/00000001", UNREADABLE, 9)
        tickets = TicketStore(store)
        assert isinstance(asyncio.run(tickets.find(1)), Unavailable)
        listed = asyncio.run(tickets.list_tickets(0, 9))
        assert [each.number for each in listed] == [2]


class TestMoves:
    @pytest.mark.parametrize("value", ODD_VALUES)
    def test_a_move_of_an_unknown_outcome_was_taken_back(self, value: Any):
        """Guards against more requests to a version that was found bad."""
        store = MemoryStore()
        put_row(store, f"{STORE_PREFIX}desk/1", value, 4)
        move = VersionMove("desk", "v1", "v2", 9.0, 1)
        gateway: Any = SimpleNamespace(_store=store)
        read = VersionMoves._read_row(gateway, "desk/1", move, 1.0)
        row = asyncio.run(read)
        assert row is not None
        assert row.outcome == "taken_back"
        assert "desk/1" in row.reason


class TestStatus:
    @pytest.mark.parametrize("body", [b"{", b"null", b"[]", b'{"a":' * 5_000])
    def test_a_status_that_cannot_be_read_is_logged_and_replaced(
        self, body: bytes, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against an order whose end operators are never told of."""
        written: list[tuple[int, dict[str, str]]] = []
        dropped: list[str] = []
        monkeypatch.setattr(
            "lagoonpost.forwarding.version_shifts.log_unreadable",
            lambda source, key, reason: dropped.append(key),
        )

        async def read_status(key: str) -> FeedRow:
            return FeedRow(key, 3, body)

        async def write_status(key: str, version: int, value: Any):
            written.append((version, value))
            return Committed(())

        store: Any = SimpleNamespace(
            read_status=read_status, write_status=write_status
        )
        shifts = VersionShifts(
            ExposureBounds(share=0.1, slack=5),
            Random(1),
            lambda fact: None,
            lambda: 1.8e9,
        )
        order = {"service": "desk", "to": "v2", "duration_s": 30}
        key = "rollout/desk"
        shifts.handle_row(FeedRow(key, 1, msgspec.json.encode(order)))
        asyncio.run(shifts.advance([], store))
        assert written == [(3, {"state": "active", "to": "v2"})]
        assert dropped == [key]


class TestGateways:
    """Rows of every kind, written over beside real gateways."""

    BODIES = (b"", b"{", b"null", b'"x"', b"[[]]", b'{"a":' * 5_000)
    BOUNDS: ClassVar = {
        "report_window_s": 1,
        "usage_late_s": 10,
        "lease_ms": 500,
    }

    def test_no_gateway_ends_and_all_is_served(self) -> None:
        """Guards against one row that ends all gateways at each read.

        Rows that the gateways have written are written over, and others of
        each kind are added; then more gateways start.
        """

        async def story(stack: Stack) -> tuple[list[int], int, list[str]]:
            await wait_until(lambda: len(find_holders(stack)) == 1)
            window = int(time.time())
            await wait_until(lambda: window in stack.cloud.usage)
            kinds = {
                key.partition("/")[0]
                for key in stack.store.list_keys(OWN_TABLE)
            }
            statuses = []
            for body in self.BODIES:
                keys = stack.store.list_keys(OWN_TABLE)
                for key in {*keys, *ALL_KEYS}:
                    await stack.store.put(OWN_TABLE, key, body)
                statuses += [
                    (await stack.call("/check/1", gateway=number)).status
                    for number in range(2)
                ]
            await stack.add_gateway()
            await stack.wait_ready()
            answer = await stack.call("/check/1", gateway=2)
            # A lease that can't be read is taken again after it has expired.
            await wait_until(lambda: len(find_holders(stack)) == 1)
            ended = sum(each._stop.is_set() for each in stack.gateways)
            assert kinds
            return [*statuses, answer.status], ended, stack.cloud.conflicts

        statuses, ended, conflicts = play_stack(
            story, gateways=2, bounds=self.BOUNDS, duties=("usage_report",)
        )
        assert statuses == [200] * len(statuses)
        assert ended == 0
        assert conflicts == []
