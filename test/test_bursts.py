"""Records of quota use in the store, written and read by gateways."""

import asyncio
from types import SimpleNamespace

import pytest
from memory_store import MemoryStore
from played_loop import play_time

from lagoonpost.forwarding.quota_recorder import (
    FIRST_PAUSE_SECONDS,
    LOST_RECORDS_SECONDS,
    QuotaRecorder,
)
from lagoonpost.store.clock import RemoteClock, read_clock
from lagoonpost.systems.quota import Quotas
from lagoonpost.systems.quota_limit import (
    compute_burst,
    compute_startup_allowance,
)
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.quota import QuotaBounds

BOUNDS = QuotaBounds(window=8.0, overage=0.1, slack=140_000)
HOT = Workspace("hot", ("k",), rate=90_000, burst=90_000, by_tokens=True)
UNITS = 20_000.0


class ClockedMemoryStore(MemoryStore):
    """A store whose clock is some hours ahead of the gateways'."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = RemoteClock()
        self.clock.note(10_000.0)


class Gateway:
    """One gateway's recorder; ``hubs`` names the gateways that may write."""

    def __init__(
        self,
        store: MemoryStore,
        name: str = "one",
        hubs: tuple[str, ...] = ("one", "two", "three"),
        started: float | None = None,
        has_summary: bool = False,
        share: float = 1.0,
        era: int = 0,
    ) -> None:
        self.quotas = Quotas(BOUNDS, started)
        self.published: list[str] = []
        self.share = share
        shared = SimpleNamespace(
            find_roles=lambda: SimpleNamespace(store_hubs=hubs),
            count_gateways=lambda: 1,
            reports=SimpleNamespace(
                has_summary=lambda: has_summary, reachable_share=lambda: share
            ),
            usage_gossip=SimpleNamespace(
                publish_recorded=lambda name, age: self.published.append(name)
            ),
        )
        self.recorder = QuotaRecorder(
            store, name, self.quotas, shared, lambda: (HOT,), lambda: era
        )

    def use(self, units: float) -> float:
        """Request units at one moment and return how many were admitted."""
        admitted = 0.0
        while admitted < units:
            now = read_clock()
            if self.quotas.take(HOT, UNITS, self.share, now) is not None:
                break
            admitted += UNITS
            self.recorder.check_usage()
        return admitted

    async def run(self) -> None:
        """Read the records and write the due ones."""
        task = asyncio.create_task(self.recorder.run())
        await asyncio.sleep(2 * FIRST_PAUSE_SECONDS)
        task.cancel()


class TestBursts:
    def test_a_start_knows_what_was_used_before(self):
        """Guards against admitting a quota again after all gateways died."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            before = Gateway(store)
            admitted = before.use(1e9)
            await before.run()
            admitted += before.use(1e9)
            await before.run()
            after = Gateway(store, started=read_clock())
            await after.run()
            admitted += after.use(1e9)
            quota = HOT.rate * BOUNDS.window + HOT.burst
            assert admitted <= quota * (1 + BOUNDS.overage) + BOUNDS.slack
            recorded = after.quotas.list_taken(read_clock())["hot"]
            assert sum(units for _, units in recorded) >= admitted

        asyncio.run(scenario())

    def test_a_start_after_a_return_of_the_store_knows_less(self):
        """Guards against a quota that is admitted again by an old record."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            before = Gateway(store)
            admitted = before.use(0.6 * HOT.burst)
            await before.run()
            # Records of this are lost with the older copy.
            for _ in range(3):
                before.quotas.note_recorded("hot", read_clock())
                admitted += before.use(1e9)
            after = Gateway(store, started=read_clock(), era=1)
            await after.run()
            admitted += after.use(1e9)
            known = after.quotas.list_taken(read_clock())["hot"]
            assert sum(units for _, units in known) >= admitted

        asyncio.run(scenario())

    def test_an_old_record_of_another_era_refuses_nobody(self):
        """Guards against refusals because of a return long ago."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            before = Gateway(store)
            before.use(0.6 * HOT.burst)
            await before.run()
            store.clock.note(10_000.0 + 2 * LOST_RECORDS_SECONDS)
            after = Gateway(store, started=read_clock(), era=1)
            await after.run()
            taken = after.quotas.list_taken(read_clock(), (HOT,))
            assert sum(units for _, units in taken["hot"]) <= compute_burst(
                BOUNDS, HOT
            )

        asyncio.run(scenario())

    def test_a_recorded_burst_may_go_on(self):
        async def scenario() -> None:
            gateway = Gateway(ClockedMemoryStore())
            first = gateway.use(1e9)
            await gateway.run()
            assert gateway.published == ["hot"]
            assert gateway.use(1e9) >= 0.8 * first

        asyncio.run(scenario())

    def test_usual_use_is_not_recorded(self):
        async def scenario() -> None:
            store = ClockedMemoryStore()
            gateway = Gateway(store)
            gateway.use(UNITS)
            await gateway.run()
            assert not store.rows

        asyncio.run(scenario())

    def test_only_the_first_hubs_write(self):
        async def scenario() -> None:
            store = ClockedMemoryStore()
            gateway = Gateway(store, name="four")
            gateway.use(1e9)
            await gateway.run()
            assert not store.rows

        asyncio.run(scenario())

    def test_what_can_not_be_recorded_stays_bounded(self):
        """Guards against a large burst that a restart would forget."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            store.fault = lambda call: "down" if call == "transact" else ""
            gateway = Gateway(store)
            gateway.use(1e9)
            await gateway.run()
            assert gateway.use(1e9) <= 0.5 * HOT.rate

        asyncio.run(scenario())

    def test_a_start_without_an_answer_lets_little_through(self):
        """Guards against treating an unanswered read as an absent record."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            store.fault = lambda call: "down"
            gateway = Gateway(store, started=read_clock())
            await gateway.run()
            assert gateway.use(1e9) <= 0.1 * HOT.rate * BOUNDS.window

        asyncio.run(scenario())

    @pytest.mark.parametrize("key", ["burst/hot", "burst/hot/cut"])
    @pytest.mark.parametrize(
        "value",
        [
            Unreadable("malformed"),
            {"at": "x"},
            ["hot", 1.0, [[1.0, -1e9]]],
            ["hot", 10**400, []],
        ],
    )
    def test_an_unreadable_record_stands_for_the_whole_limit(self, key, value):
        """Guards against a quota admitted again by a record that is spoilt.

        The record may have held any use. Another gateway's next one replaces
        it.
        """

        async def scenario() -> None:
            store = ClockedMemoryStore()
            store._write(SimpleNamespace(key=key, value=value))
            gateway = Gateway(store, started=read_clock())
            await gateway.run()
            gateway.use(UNITS)
            taken = gateway.quotas.list_taken(read_clock())["hot"]
            quota = HOT.rate * BOUNDS.window + HOT.burst
            little = compute_startup_allowance(BOUNDS, HOT)
            assert sum(units for _, units in taken) >= quota - little
            gateway.recorder._pending.add("hot")
            await gateway.recorder._record()
            assert isinstance(store.rows["burst/hot"].value, list)

        asyncio.run(scenario())

    def test_an_unreadable_record_of_another_touches_no_quota(self):
        """Guards against workspaces that are refused for another's record."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            value = Unreadable("malformed")
            store._write(SimpleNamespace(key="burst/cold", value=value))
            gateway = Gateway(store, started=read_clock())
            await gateway.run()
            assert gateway.use(UNITS) == UNITS

        asyncio.run(scenario())

    def test_a_start_with_a_hub_asks_no_store(self):
        """Guards against a store call by each of hundreds of new gateways."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            gateway = Gateway(store, started=read_clock(), has_summary=True)
            await gateway.run()
            assert not store.calls
            assert gateway.use(UNITS) == UNITS

        asyncio.run(scenario())

    def test_a_store_that_is_away_is_asked_seldom(self):
        """Guards against four reads a second by each starting gateway."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            store.fault = lambda call: "down"
            gateway = Gateway(store, started=read_clock())
            task = asyncio.create_task(gateway.recorder.run())
            await asyncio.sleep(BOUNDS.window)
            task.cancel()
            assert len(store.calls) <= 8

        play_time(scenario())

    def test_a_gateway_that_is_cut_off_records_its_own_use(self):
        """Guards against its record replacing the one for all gateways."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            most = Gateway(store)
            admitted = most.use(1e9)
            await most.run()
            alone = Gateway(store, name="cut", hubs=("cut",), share=1 / 9)
            admitted += alone.use(1e9)
            await alone.run()
            assert alone.published == []
            assert alone.use(1e9) > 0.0
            after = Gateway(store, started=read_clock())
            await after.run()
            after.use(UNITS)
            known = after.quotas.list_taken(read_clock())["hot"]
            assert sum(units for _, units in known) >= admitted

        asyncio.run(scenario())

    def test_a_late_record_does_not_replace_a_newer_one(self):
        """Guards against recorded use that a starting gateway can't see.

        The first hub's call gets no answer and the store applies it seconds
        later; by then another hub has recorded more use.
        """

        async def scenario() -> None:
            store = ClockedMemoryStore()
            faults = iter(["late"])
            store.fault = lambda call: (
                next(faults, "") if call == "transact" else ""
            )
            before = Gateway(store)
            admitted = before.use(1e9)
            await before.run()
            assert before.published == []
            other = Gateway(store, name="two", hubs=("two", "one"))
            now = read_clock()
            recent = before.quotas.list_own_usage(now)
            other.quotas.update_from_peers(
                "one/1", before.quotas.used, recent, now
            )
            for _ in range(2):
                admitted += other.use(1e9)
                await other.run()
            store.deliver()
            after = Gateway(store, started=read_clock())
            await after.run()
            after.use(UNITS)
            known = after.quotas.list_taken(read_clock())["hot"]
            assert sum(units for _, units in known) >= admitted

        asyncio.run(scenario())

    def test_a_hub_records_over_the_record_of_another(self):
        """Guards against a new hub whose writes all conflict."""

        async def scenario() -> None:
            store = ClockedMemoryStore()
            first = Gateway(store)
            first.use(1e9)
            await first.run()
            second = Gateway(store, name="two", hubs=("two", "one"))
            second.use(1e9)
            await second.run()
            assert second.published == ["hot"]
            first.use(1e9)
            await first.run()
            assert first.published == ["hot", "hot"]

        asyncio.run(scenario())
