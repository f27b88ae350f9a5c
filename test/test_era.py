"""A store that is restored from an older copy, on simulated time."""

import asyncio
from typing import Any

import msgspec
import pytest
from played_loop import play_time
from played_store import PlayedClient
from test_follow import STORE, Host, count_seconds, start_host

from lagoonpost.forwarding.cluster_state import (
    LAPSE_GRACE_SECONDS,
    ClusterState,
)
from lagoonpost.http.message import Address
from lagoonpost.platform.store import (
    ENDPOINT_TABLE,
    HistoryLost,
    Page,
    PlatformStore,
)
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Unavailable,
    Write,
)
from lagoonpost.tables.stamp import find_era, make_stamp
from lagoonpost_standins.deployment import make_configuration, make_entry
from lagoonpost_standins.rows import RowStore

HOME = Address("10.0.0.2", 80)
BORN = 1_700_000_000_000
Entry = dict[str, Any]


def write_entry(seq: int, **fields: Any) -> Entry:
    """Return the entry that a runner writes the ``seq``-th time."""
    return {
        **make_entry("desk", HOME, "domain-a"),
        "born": BORN,
        "seq": seq,
        **fields,
    }


class TestStore:
    """Calls of one gateway around a restore of the store."""

    def play(self, story) -> None:
        async def run() -> None:
            rows = RowStore()
            client = PlayedClient(rows)
            await story(rows, PlatformStore(client, STORE))

        play_time(run())

    def test_news_of_a_return_is_above_all_before(self):
        async def story(rows: RowStore, store: PlatformStore) -> None:
            for number in range(5):
                await rows.put("servers", "one", {"number": number})
            before = await store.read_table(ENDPOINT_TABLE)
            await rows.roll_back(0.0)
            rows.version -= 3
            after = await store.read_table(ENDPOINT_TABLE)
            assert isinstance(before, Page)
            assert isinstance(after, Page)
            assert after.version > before.version
            assert find_era(after.rows[0].version) == 1

        self.play(story)

    def test_changes_are_not_missed_once_the_versions_have_passed(self):
        """Guards against following the feed from a version used twice."""

        async def story(rows: RowStore, store: PlatformStore) -> None:
            await rows.put("servers", "one", {})
            await asyncio.sleep(1.0)
            await rows.put("servers", "two", {})
            known = await store.read_table(ENDPOINT_TABLE)
            assert isinstance(known, Page)
            await rows.roll_back(0.5)
            for name in ("three", "four", "five"):
                await rows.put("servers", name, {})
            answer = await store.follow_table(
                ENDPOINT_TABLE, known.version, 0.0
            )
            assert isinstance(answer, HistoryLost)

        self.play(story)

    def test_a_condition_on_a_lost_version_never_holds(self):
        """Guards against overwriting another gateway's newer row."""

        async def story(rows: RowStore, store: PlatformStore) -> None:
            await store.transact([], [Write("lease/a", "old")])
            await asyncio.sleep(1.0)
            mine = await store.transact([], [Write("lease/a", "mine")])
            assert isinstance(mine, Committed)
            await rows.roll_back(0.5)
            await rows.put("lagoonpost", "lease/a", "another's")
            condition = Condition("lease/a", mine.rows[0].version)
            first = await store.transact([condition], [Write("lease/a", "x")])
            assert isinstance(first, Unavailable)
            assert first.applied is None
            again = await store.transact([condition], [Write("lease/a", "y")])
            assert isinstance(again, Conflict)
            assert find_era(again.rows[0].version) == 1

        self.play(story)

    def test_a_late_answer_of_an_earlier_era_is_dropped(self):
        async def story(rows: RowStore, store: PlatformStore) -> None:
            await rows.put("servers", "one", {})
            call = asyncio.create_task(store.read_table(ENDPOINT_TABLE))
            await asyncio.sleep(0.001)
            store.eras.note(1)
            assert isinstance(await call, Unavailable)

        self.play(story)

    @pytest.mark.parametrize("era", ["", "x", "-1", "1.5", 0, 2, 10**12])
    def test_an_era_that_makes_no_sense_costs_nothing(self, era):
        """Guards against rejecting the store for an invalid or jumping era."""

        async def story(rows: RowStore, store: PlatformStore) -> None:
            await rows.put("servers", "one", {})
            store.eras.note(1)
            rows.era = era
            for _ in range(2):
                page = await store.read_table(ENDPOINT_TABLE)
                assert isinstance(page, Page)
                assert len(page.rows) == 1
                # Peers receive it as an integer.
                msgspec.msgpack.encode(page.version)

        self.play(story)

    def test_a_store_that_names_no_era_is_in_the_first(self):
        async def story(rows: RowStore, store: PlatformStore) -> None:
            rows._name_era = lambda: ()
            await rows.put("servers", "one", {})
            page = await store.read_table(ENDPOINT_TABLE)
            assert isinstance(page, Page)
            assert find_era(page.version) == 0

        self.play(story)


class TestEntries:
    """A gateway's view of a runner after the store has lost rows."""

    def setup_method(self) -> None:
        self.now = 100.0
        self.cluster = ClusterState(lambda: self.now)

    def take(self, era: int, version: int, entry: Entry | None) -> bool:
        raw = None if entry is None else msgspec.json.encode(entry)
        stamp = make_stamp(era, version)
        return self.cluster.apply_entry("one", stamp, raw, "store")

    def serves(self) -> bool:
        return bool(self.cluster.find_runners("desk"))

    def test_a_runner_that_leaves_is_not_used_by_an_older_copy(self):
        """Guards against requests to a runner whose leaving the store lost."""
        self.take(0, 10, write_entry(1))
        self.take(0, 20, write_entry(2, state="draining"))
        self.take(1, 10, write_entry(1))
        assert not self.serves()
        self.take(1, 15, write_entry(3, state="draining"))
        assert not self.serves()

    def test_a_runner_that_is_gone_does_not_come_back_by_a_copy(self):
        self.take(0, 10, write_entry(1))
        self.take(0, 20, None)
        self.take(1, 10, write_entry(1))
        assert not self.serves()

    def test_what_is_written_again_under_a_lower_version_is_taken(self):
        """Guards against ignoring a runner's new entries for good."""
        self.take(0, 900, write_entry(5, state="draining"))
        self.take(1, 12, write_entry(1, born=BORN + 1))
        assert self.serves()

    def test_entries_that_do_not_count_are_ordered_by_the_era(self):
        plain = write_entry(0, born=0)
        self.take(0, 900, {**plain, "state": "draining"})
        self.take(1, 12, plain)
        assert self.serves()

    def test_a_new_runner_that_the_store_lost_serves_until_it_writes(self):
        """Guards against all gateways dropping a live runner for seconds."""
        self.take(0, 20, write_entry(1))
        self.cluster.was_store_unavailable = lambda: False
        self.cluster.handle_new_era()
        self.take(1, 15, None)
        assert self.serves()
        self.now += LAPSE_GRACE_SECONDS
        self.cluster.drop_lapsed()
        assert not self.serves()


class TestFollower:
    """One gateway that follows the store through a restore."""

    def play(self, story) -> None:
        async def run() -> None:
            async with asyncio.TaskGroup() as group:
                host = await start_host(group)
                await asyncio.sleep(2.0)
                await story(host)
                for task in asyncio.all_tasks() - {asyncio.current_task()}:
                    task.cancel()

        play_time(run())

    @pytest.mark.parametrize("returns", [1, 2])
    @pytest.mark.parametrize("compacted", [False, True])
    def test_changes_after_a_return_are_known_within_the_bound(
        self, returns: int, compacted: bool
    ):
        """Guards against a table that is not read again after a restore."""

        async def story(host: Host) -> None:
            eras = host.store.eras
            eras.era_listeners += [
                host.cluster.handle_new_era,
                host.follower.handle_new_era,
            ]
            for number in range(2, 6):
                await host.rows.put("op", "config", make_configuration(number))
                await host.rows.put("servers", "desk-2", write_entry(number))
                await asyncio.sleep(0.5)
            for _ in range(returns):
                await host.rows.roll_back(1.2)
                await asyncio.sleep(0.3)
            if compacted:
                host.rows.compact_history()
            for _ in range(20):
                await host.rows.put("status", "other", {})
            await host.rows.put("op", "config", make_configuration(6))
            entry = write_entry(9, state="draining")
            await host.rows.put("servers", "desk-2", entry)
            seconds = await count_seconds(
                lambda: (
                    host.cluster.version == 6
                    and len(host.cluster.find_runners("desk")) == 1
                )
            )
            assert seconds < 2.0

        self.play(story)

    def test_an_older_configuration_never_comes_into_force(self):
        async def story(host: Host) -> None:
            await host.rows.put("op", "config", make_configuration(2))
            await asyncio.sleep(1.0)
            assert host.cluster.version == 2
            await host.rows.roll_back(5.0)
            seen = set()
            for _ in range(30):
                await asyncio.sleep(0.1)
                seen.add(host.cluster.version)
            assert seen == {2}

        self.play(story)
