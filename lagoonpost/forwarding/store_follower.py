"""Follows the store's tables: one read, then the feed, and again on a gap."""

import asyncio
from collections.abc import Callable

import eliot

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.timers import sleep_aligned
from lagoonpost.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    ENDPOINT_TABLE,
    FEED_SLACK_SECONDS,
    FeedRow,
    HistoryLost,
    Page,
    PlatformStore,
)
from lagoonpost.store.store import Unavailable, pause_after_failure

MAX_WAIT_SECONDS = 3.0
"""Most time for which a feed's call is held back: longer saves few calls."""
MIN_WAIT_SECONDS = 0.2
"""The same at least, as each call has its price."""
MARGIN_SECONDS = 0.5
"""What is left of the time for missed news to come: the call that brings it,
its way to the gateways that do not read the store, and late timers."""

STANDBY_POLL_SECONDS = 0.25
"""Pause between looks whether this gateway has to read for others again."""

LOST_STANDBY_POLLS = 8
"""Rests after which a gateway that has lost the store looks for its return
while others read for it, two seconds: if all that have lost it asked as often
as a reader, an outage would cost more calls than a day."""

RowCallback = Callable[[FeedRow], None]
Answer = Page | HistoryLost | Unavailable


def find_feed_wait(contact: float, pause: float) -> float:
    """Return how long a feed's call may be held back.

    A call whose answer is lost, with its connection or in an outage, tells
    nothing until it is given up. What was missed has to be there when this
    host counts as undisturbed again.

    Args:
        contact: Seconds after a disturbance in which bounds are waived.
        pause: Seconds before the call in which changes gather.
    """
    wait = contact - pause - FEED_SLACK_SECONDS - MARGIN_SECONDS
    return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, wait))


_FAILURE_KINDS = {
    1: "lagoonpost:store:unanswered",
    2: "lagoonpost:store:lost",
}


class TableFollower:
    """Follows one table.

    Args:
        store: The store.
        name: What the table is called in logs and metrics.
        table: Name of the table in the store.
        on_row: Told each row that changed; deleted ones have no value.
        on_all: Told the keys of all rows after a whole read.
        on_back: Told that the store answers again.
        find_pause: Returns the pause in which changes gather, or None if
            others read the table for this gateway; it is read once in any
            case.
        find_wait: Returns the seconds for which a call may be held back.
    """

    def __init__(
        self,
        store: PlatformStore,
        name: str,
        table: str,
        on_row: RowCallback,
        on_all: Callable[[Page], None],
        on_back: Callable[[], None],
        find_pause: Callable[[], float | None],
        find_wait: Callable[[], float],
    ) -> None:
        self._find_pause = find_pause
        self._find_wait = find_wait
        self._read_once = False
        self._store = store
        self.name = name
        self._table = table
        self._on_row = on_row
        self._on_all = on_all
        self._on_back = on_back
        self._version: int | None = None
        self._call: asyncio.Task[Answer] | None = None
        self._failures = 0
        self._asked_at = 0.0
        self._answered_at: float | None = None
        self.lost = False

    def find_age(self) -> float | None:
        """Return the seconds since the store's last answer, if one came."""
        if self._answered_at is None:
            return None
        return asyncio.get_running_loop().time() - self._answered_at

    def restart(self) -> None:
        """Give up the call under way and read the whole table."""
        self._version = None
        self._read_once = False
        self._give_up_call()

    def handle_new_era(self) -> None:
        """Read the whole table, as the store came back from an older copy.

        A call under way may be held back for long; that which told of the
        return is answered already.
        """
        self._version = None
        if self._call is not asyncio.current_task():
            self._give_up_call()

    def _give_up_call(self) -> None:
        """Drop the answer of the call under way, even if it came already.

        A feed's answer would count as the whole table, which is read next,
        and all rows that it does not name as deleted.
        """
        call, self._call = self._call, None
        if call is not None:
            call.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._may_rest():
                # What changes meanwhile is not in a feed from here on.
                self._version = None
                await sleep_aligned(STANDBY_POLL_SECONDS)
                continue
            answer = await self._ask_or_restart()
            if isinstance(answer, Unavailable):
                self._note_failure(answer)
                await pause_after_failure(self._count_call())
                await self._rest_lost()
                continue
            self._note_back()
            self._read_once = True
            if isinstance(answer, HistoryLost):
                eliot.log_message(
                    message_type="lagoonpost:store:history_lost",
                    table=self.name,
                    version=self._version,
                )
                self._version = None
                continue
            whole = self._version is None
            self._version = max(self._version or 0, answer.version)
            if whole:
                self._on_all(answer)
            for row in answer.rows:
                self._on_row(row)
            await asyncio.sleep(self._find_pause() or 0.0)

    def _may_rest(self) -> bool:
        """Tell whether others read the table for this gateway.

        Not before a first read, and not while the store is lost: whoever
        has lost it looks for its return, if more seldom, and says so.
        """
        needed = self._find_pause() is not None
        return self._read_once and not self.lost and not needed

    async def _rest_lost(self) -> None:
        """Wait before the next look for a lost store, unless it is needed."""
        for _ in range(LOST_STANDBY_POLLS):
            if not self._read_once or self._find_pause() is not None:
                return
            await sleep_aligned(STANDBY_POLL_SECONDS)

    async def _ask_or_restart(self) -> Answer:
        self._asked_at = asyncio.get_running_loop().time()
        call = self._call = asyncio.create_task(self._ask())
        try:
            await asyncio.wait({call})
            if call.cancelled() or call is not self._call:
                return Unavailable("given up", applied=False)
            return call.result()
        finally:
            call.cancel()

    async def _ask(self) -> Answer:
        if self._version is None:
            return await self._store.read_table(self._table)
        # After a failure a held-back call would only hide the store's
        # return: one that was sent in an outage is never answered.
        wait = 0.0 if self._failures else self._find_wait()
        return await self._store.follow_table(self._table, self._version, wait)

    def _count_call(self) -> float:
        """Return the seconds since the last call began."""
        return asyncio.get_running_loop().time() - self._asked_at

    def _note_failure(self, answer: Unavailable) -> None:
        """Count a call without an answer; the second in a row is a loss.

        One may be due to its connection alone. Entries that are gone after
        it have not lapsed: runners reached the store all the while.
        """
        self._failures += 1
        kind = _FAILURE_KINDS.get(self._failures)
        if kind is None:
            return
        self.lost = self._failures > 1
        eliot.log_message(
            message_type=kind,
            table=self.name,
            detail=answer.detail,
            age=_round(self.find_age()),
        )

    def _note_back(self) -> None:
        self._failures = 0
        if self.lost:
            self.lost = False
            eliot.log_message(
                message_type="lagoonpost:store:regained",
                table=self.name,
                age=_round(self.find_age()),
                call=_round(self._count_call()),
            )
            self._on_back()
        self._answered_at = asyncio.get_running_loop().time()


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


class StoreFollower:
    """Keeps a belief up to date by the store.

    Args:
        store: The store.
        belief: What to keep.
        publish_entry: Told each runner's id that changed.
        publish_configuration: Told when a newer configuration is in force.
        find_pause: Returns the pause in which changes gather, or None if
            others read the store for this gateway.
        find_wait: Returns the seconds for which a call may be held back.
        on_order: Told each other row of the operators.
    """

    def __init__(
        self,
        store: PlatformStore,
        cluster: ClusterState,
        publish_entry: Callable[[str], None],
        publish_configuration: Callable[[], None],
        find_pause: Callable[[], float | None],
        find_wait: Callable[[], float],
        on_order: RowCallback,
    ) -> None:
        self._on_order = on_order
        self._cluster = cluster
        self._publish_entry = publish_entry
        self._publish_configuration = publish_configuration
        self.operator = TableFollower(
            store,
            "operator",
            CONFIGURATION_TABLE,
            self._take_operator_row,
            lambda page: None,
            lambda: None,
            find_pause,
            find_wait,
        )
        self.endpoints = TableFollower(
            store,
            "endpoints",
            ENDPOINT_TABLE,
            self._take_endpoint_row,
            self._take_all,
            cluster.handle_store_recovery,
            find_pause,
            find_wait,
        )

    @property
    def lost(self) -> bool:
        """Whether the store does not answer here."""
        return self.operator.lost or self.endpoints.lost

    def find_age(self) -> float | None:
        """Return the age of the older table's last answer, if both came."""
        ages = self.operator.find_age(), self.endpoints.find_age()
        return None if None in ages else max(age or 0.0 for age in ages)

    def list_ages(self) -> list[tuple[str, float]]:
        """Return the seconds since the last answer, by table."""
        tables = (self.operator, self.endpoints)
        ages = [(each.name, each.find_age()) for each in tables]
        return [(name, age) for name, age in ages if age is not None]

    def handle_new_era(self) -> None:
        """Read all tables, as the store came back from an older copy."""
        self.operator.handle_new_era()
        self.endpoints.handle_new_era()

    def restart(self) -> None:
        """Read all tables anew, over new connections."""
        self.operator.restart()
        self.endpoints.restart()

    async def run(self) -> None:
        """Follow all tables until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.operator.run())
            group.create_task(self.endpoints.run())

    def _take_operator_row(self, row: FeedRow) -> None:
        if row.key != CONFIGURATION_KEY or row.value is None:
            self._on_order(row)
            return
        if self._cluster.apply_configuration(row.value, "store"):
            self._publish_configuration()

    def _take_endpoint_row(self, row: FeedRow) -> None:
        if self._cluster.apply_entry(row.key, row.version, row.value, "store"):
            self._publish_entry(row.key)

    def _take_all(self, page: Page) -> None:
        """Delete what a whole read no longer has."""
        present = {row.key for row in page.rows}
        for key, entry in list(self._cluster.entries.items()):
            if key not in present and entry.endpoint is not None:
                self._take_endpoint_row(FeedRow(key, page.version, None))
