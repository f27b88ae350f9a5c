"""The start of a version shift, as gateways gossip it."""

import asyncio
from random import Random

import msgspec
import pytest
from played_loop import play_time
from played_store import PlayedClient
from test_shift import BOUNDS, EPOCH

from lagoonpost.forwarding.version_shifts import (
    VersionShifts,
    run_version_shifts,
)
from lagoonpost.http.message import Address as StoreAddress
from lagoonpost.platform.store import FeedRow, PlatformStore
from lagoonpost.store.clock import read_clock
from lagoonpost.tables.address import Address
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.fact import Fact, merge_facts
from lagoonpost.tables.version_shift import ShiftOrder
from lagoonpost_standins.rows import RowStore

RUNNERS = [
    Endpoint(f"chat-{name}", "chat", Address("10.0.0.1", 80), "a", name, 8)
    for name in ("v1", "v2")
]


class TestRestarts:
    """Gateways that are all killed while a version is tried."""

    def start(self, settled: float | None) -> VersionShifts:
        """Return a gateway that takes an order some seconds after its start.

        Args:
            settled: The seconds; None if the whole system is new.
        """
        shifts = VersionShifts(
            BOUNDS,
            Random(1),
            lambda fact: None,
            lambda: EPOCH,
            None if settled is None else read_clock() - settled,
        )
        value = msgspec.json.encode(
            {"service": "chat", "to": "v2", "duration_s": 16}
        )
        shifts.handle_row(FeedRow("rollout/chat", 1, value))
        return shifts

    def try_new(self, shifts: VersionShifts, requests: int) -> int:
        """Return how many of some requests go to the new version."""
        tried = 0
        for _ in range(requests):
            (runner,) = shifts.choose_candidates("chat", RUNNERS, 9)
            shifts.note_sent(runner)
            tried += runner.version == "v2"
        return tried

    def test_kills_do_not_renew_what_a_new_version_may_get(self) -> None:
        """Guards against a slack that each restart of a gateway renews."""
        tried = 0
        for run in range(4):
            settled = 60.0 if run == 0 else 0.5
            gateways = [self.start(settled) for _ in range(9)]
            tried += sum(self.try_new(each, 10) for each in gateways)
        assert tried <= BOUNDS.share * 4 * 9 * 10 + BOUNDS.slack

    def test_a_system_that_is_new_has_the_slack(self) -> None:
        assert self.try_new(self.start(None), 20) > 0


class TestEndedBefore:
    """Gateways that start after an order has ended, and know nobody."""

    @pytest.fixture(autouse=True)
    def use_played_clock(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(
            "lagoonpost.forwarding.version_shifts.read_clock",
            lambda: asyncio.get_running_loop().time(),
        )

    def play(
        self,
        state: str | None,
        seconds: float,
        *,
        age: float = 0.0,
        holds: bool = False,
        silent_seconds: float = 0.0,
    ) -> tuple[VersionShifts, list[Fact], PlayedClient]:
        """Play a gateway that takes an order from the store.

        Args:
            state: Status of the order; None if there is none.
            seconds: Time to play.
            age: Seconds since its start.
            holds: Whether it is the leader.
            silent_seconds: Time in which it can't read the status.
        """
        rows = RowStore()
        client = PlayedClient(rows)
        store = PlatformStore(client, StoreAddress("10.0.0.1", 80))
        published: list[Fact] = []

        async def run() -> VersionShifts:
            if state is not None:
                told = {"state": state, "to": "v2"}
                await rows.put("status", "rollout/chat", told)
            now = asyncio.get_running_loop().time
            shifts = VersionShifts(
                BOUNDS,
                Random(1),
                published.append,
                lambda: EPOCH + now(),
                now() - age,
            )
            order = {"service": "chat", "to": "v2", "duration_s": 16}
            row = FeedRow("rollout/chat", 1, msgspec.json.encode(order))
            shifts.handle_row(row)
            if silent_seconds:
                client.begin_silence()
            task = asyncio.create_task(
                run_version_shifts(
                    shifts,
                    store,
                    lambda: holds,
                    lambda: not holds,
                    lambda: [],
                    0.5,
                )
            )
            await asyncio.sleep(silent_seconds)
            client.end_silence()
            await asyncio.sleep(seconds)
            task.cancel()
            return shifts

        return play_time(run()), published, client

    @pytest.mark.parametrize("silent_seconds", [0.0, 6.0])
    def test_a_complete_version_gets_requests_before_there_is_a_leader(
        self, silent_seconds: float
    ) -> None:
        """Guards against a service without runners after a kill of all.

        The old runners are stopped once operators are told that the version
        is complete; without a leader nobody read this.
        """
        shifts, published, _ = self.play(
            "complete", 2.5, silent_seconds=silent_seconds
        )
        (new,) = RUNNERS[1:]
        assert shifts.choose_candidates("chat", [new], 9) == [new]
        assert published[-1].rank > published[0].rank

    def test_a_version_taken_back_gets_none_before_there_is_a_leader(
        self,
    ) -> None:
        """Guards against a second trial of it after a kill of all."""
        shifts, _, _ = self.play("rolled_back", 2.5)
        assert shifts.is_rolled_back(RUNNERS[1])

    def test_a_leader_that_reads_no_status_takes_nothing_back(self) -> None:
        """Guards against a complete version that loses all its requests.

        A new leader that could not read the status for the time of the order
        took the version back for want of answers.
        """
        shifts, _, _ = self.play(
            "complete", 2.5, holds=True, silent_seconds=24.0
        )
        (new,) = RUNNERS[1:]
        assert shifts.choose_candidates("chat", [new], 9) == [new]

    def test_a_status_is_read_once(self) -> None:
        """Guards against reads of all gateways for as long as a trial is."""
        _, _, client = self.play("active", 10.0)
        assert client.calls == 1

    def test_no_status_is_read_for_an_order_that_comes_later(self) -> None:
        """Guards against a call of each gateway for each order."""
        _, _, client = self.play("active", 10.0, age=60.0)
        assert client.calls == 0


class TestStart:
    """Gateways that receive an order at different times."""

    def make(self, now: float) -> tuple[VersionShifts, list[Fact]]:
        """Return a gateway that receives each order at ``now``."""
        published: list[Fact] = []
        shifts = VersionShifts(
            BOUNDS, Random(1), published.append, lambda: EPOCH + now
        )
        return shifts, published

    def take(self, now: float) -> tuple[VersionShifts, list[Fact]]:
        shifts, published = self.make(now)
        value = msgspec.json.encode(
            {"service": "chat", "to": "v2", "duration_s": 16}
        )
        shifts.handle_row(FeedRow("rollout/chat", 1, value))
        return shifts, published

    def find_age(self, shifts: VersionShifts) -> float:
        return read_clock() - shifts._shifts["chat"].evaluator.started

    def test_it_ages_on_the_way(self) -> None:
        """Guards against an age that stays that of the message's creation."""
        _, (fact,) = self.take(0.0)
        later, _ = self.make(9.0)
        later.handle_fact(fact)
        assert self.find_age(later) == pytest.approx(9.0, abs=0.5)

    @pytest.mark.parametrize("first", [True, False])
    def test_the_earliest_holds_of_equal_ranks(self, first: bool) -> None:
        """Guards against a restarted gateway's later start replacing it."""
        _, (early,) = self.take(0.0)
        _, (late,) = self.take(8.0)
        pair = (early, late) if first else (late, early)
        assert merge_facts(*pair) == early
        own, _ = self.take(8.0)
        for fact in pair:
            own.handle_fact(fact)
        assert self.find_age(own) == pytest.approx(8.0, abs=0.5)

    def test_a_clock_that_is_behind_makes_no_start_to_come(self) -> None:
        """Guards against an order that starts in the future."""
        _, (fact,) = self.take(60.0)
        behind, _ = self.make(0.0)
        behind.handle_fact(fact)
        assert self.find_age(behind) == pytest.approx(0.0, abs=0.5)

    def test_a_clock_that_is_far_behind_is_not_believed(self) -> None:
        """Guards against trusting a version because of one wrong clock."""
        _, (fact,) = self.take(-3600.0)
        right, _ = self.make(0.0)
        right.handle_fact(fact)
        assert self.find_age(right) == pytest.approx(0.0, abs=0.5)

    def test_a_body_without_it_is_read(self) -> None:
        """Guards against rejecting facts of older gateways."""
        shifts, _ = self.make(0.0)
        order = ShiftOrder("chat", "v2", 16.0, 1)
        body = msgspec.msgpack.encode((order, "all"))
        shifts.handle_fact(Fact("shift", "chat", 5, body))
        assert shifts._shifts["chat"].phase == "all"
        assert self.find_age(shifts) == pytest.approx(0.0, abs=0.5)
