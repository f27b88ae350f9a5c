"""Follows the store's tables: a full read, then the change feed.

A gap in the feed causes another full read.
"""

import asyncio
from collections.abc import Callable

import eliot

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.timers import sleep_aligned
from lagoonpost.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    ENDPOINT_TABLE,
    FEED_TIMEOUT_MARGIN_SECONDS,
    FeedRow,
    HistoryLost,
    Page,
    PlatformStore,
    parse_evacuated_domain,
)
from lagoonpost.store.store import Unavailable, pause_after_failure

MAX_WAIT_SECONDS = 3.0
"""Longest long-poll of the feed: a longer one would save few calls."""
MIN_WAIT_SECONDS = 0.2
"""Shortest long-poll of the feed, as each call is billed."""
MARGIN_SECONDS = 0.5
"""Time reserved after a lost long-poll for missed changes to arrive: the call
that returns them, gossip to gateways that do not read the store, and late
timers."""

STANDBY_POLL_SECONDS = 0.25
"""Pause between checks whether this gateway has to read the store."""

LOST_STANDBY_POLLS = 8
"""Standby checks between probes of a lost store by a gateway that need not
read it, two seconds in all. If every gateway probed as often as a reader, an
outage would cost more calls than a day of normal operation."""

RowCallback = Callable[[FeedRow], None]
Answer = Page | HistoryLost | Unavailable


def find_feed_wait(contact: float, pause: float) -> float:
    """Return the seconds for which a feed call may be held open.

    A call whose answer is lost, with its connection or in an outage, returns
    nothing until it times out. Missed changes have to arrive by the time the
    bounds on staleness apply to this host again.

    Args:
        contact: Seconds after a disturbance in which the bounds are waived.
        pause: Seconds before the call in which changes are batched.
    """
    wait = contact - pause - FEED_TIMEOUT_MARGIN_SECONDS - MARGIN_SECONDS
    return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, wait))


async def read_configuration(
    store: PlatformStore,
) -> bytes | Unavailable | None:
    """Return the encoded configuration, or None if there is none."""
    page = await store.read_table(
        CONFIGURATION_TABLE, CONFIGURATION_KEY, CONFIGURATION_KEY + "\0"
    )
    if isinstance(page, Unavailable):
        return page
    return page.rows[0].value if page.rows else None


_FAILURE_KINDS = {
    1: "lagoonpost:store:unanswered",
    2: "lagoonpost:store:lost",
}


class TableFollower:
    """Follows one table.

    Args:
        store: The store.
        name: Name of the table in logs and metrics.
        table: Name of the table in the store.
        on_row: Called with each changed row; a deleted row has no value.
        on_snapshot: Called with the page of a full read, before its rows.
        on_recovery: Called when the store answers again.
        find_pause: Returns the seconds in which changes are batched, or None
            if other gateways read the table for this one; the table is read
            once in any case.
        find_wait: Returns the seconds for which a call may be held open.

    Attributes:
        name: Name of the table in logs and metrics.
        lost: Whether the store does not answer.
    """

    def __init__(
        self,
        store: PlatformStore,
        name: str,
        table: str,
        on_row: RowCallback,
        on_snapshot: Callable[[Page], None],
        on_recovery: Callable[[], None],
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
        self._on_snapshot = on_snapshot
        self._on_recovery = on_recovery
        self._version: int | None = None
        self._call: asyncio.Task[Answer] | None = None
        self._failures = 0
        self._call_started = 0.0
        self._answered_at: float | None = None
        self.lost = False

    def find_age(self) -> float | None:
        """Return the seconds since the store's last answer, if one came."""
        if self._answered_at is None:
            return None
        return asyncio.get_running_loop().time() - self._answered_at

    def restart(self) -> None:
        """Cancel the call in flight and read the whole table."""
        self._version = None
        self._read_once = False
        self._cancel_call()

    def handle_new_era(self) -> None:
        """Read the whole table, as the store was restored from an older copy.

        A call in flight is cancelled, as it may be held open for long; the
        call that reported the new era has its answer already.
        """
        self._version = None
        if self._call is not asyncio.current_task():
            self._cancel_call()

    def _cancel_call(self) -> None:
        """Discard the call in flight, even if its answer has arrived.

        The next answer is expected to be a full read. If a feed answer were
        taken for it, all rows that it does not name would count as deleted.
        """
        call, self._call = self._call, None
        if call is not None:
            call.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._may_stand_by():
                # Changes in standby are missed, so a full read has to follow.
                self._version = None
                await sleep_aligned(STANDBY_POLL_SECONDS)
                continue
            answer = await self._call_store()
            if isinstance(answer, Unavailable):
                self._note_failure(answer)
                await pause_after_failure(self._measure_call())
                await self._wait_while_lost()
                continue
            self._note_answer()
            self._read_once = True
            if isinstance(answer, HistoryLost):
                eliot.log_message(
                    message_type="lagoonpost:store:history_lost",
                    table=self.name,
                    version=self._version,
                )
                self._version = None
                continue
            is_snapshot = self._version is None
            self._version = max(self._version or 0, answer.version)
            if is_snapshot:
                self._on_snapshot(answer)
            for row in answer.rows:
                self._on_row(row)
            await asyncio.sleep(self._find_pause() or 0.0)

    def _may_stand_by(self) -> bool:
        """Tell whether other gateways read the table for this one.

        False before the first read, and while the store is lost: a gateway
        that has lost the store keeps probing, if less often, and publishes
        its recovery.
        """
        needed = self._find_pause() is not None
        return self._read_once and not self.lost and not needed

    async def _wait_while_lost(self) -> None:
        """Wait before the next probe of a lost store, unless it must read."""
        for _ in range(LOST_STANDBY_POLLS):
            if not self._read_once or self._find_pause() is not None:
                return
            await sleep_aligned(STANDBY_POLL_SECONDS)

    async def _call_store(self) -> Answer:
        self._call_started = asyncio.get_running_loop().time()
        call = self._call = asyncio.create_task(self._fetch())
        try:
            await asyncio.wait({call})
            if call.cancelled() or call is not self._call:
                return Unavailable("given up", applied=False)
            return call.result()
        finally:
            call.cancel()

    async def _fetch(self) -> Answer:
        if self._version is None:
            return await self._store.read_table(self._table)
        # After a failure a long-poll would only delay the notice of the
        # store's recovery: a call sent in an outage is never answered.
        wait = 0.0 if self._failures else self._find_wait()
        return await self._store.follow_table(self._table, self._version, wait)

    def _measure_call(self) -> float:
        """Return the seconds since the start of the last call."""
        return asyncio.get_running_loop().time() - self._call_started

    def _note_failure(self, answer: Unavailable) -> None:
        """Count a failed call; the second in a row is a loss of the store.

        A single failure may be due to the connection alone. Entries deleted
        after it have not lapsed, as runners still reached the store.
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

    def _note_answer(self) -> None:
        self._failures = 0
        if self.lost:
            self.lost = False
            eliot.log_message(
                message_type="lagoonpost:store:regained",
                table=self.name,
                age=_round(self.find_age()),
                call=_round(self._measure_call()),
            )
            self._on_recovery()
        self._answered_at = asyncio.get_running_loop().time()


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


class StoreFollower:
    """Keeps the cluster state up to date from the store.

    Args:
        store: The store.
        cluster: State to update.
        publish_entry: Called with the id of each runner that changed.
        publish_configuration: Called when a newer configuration is in force.
        publish_evacuation: Called with a failure domain, the stamp of a newer
            order to evacuate it, and whether the order is in force.
        find_pause: Returns the seconds in which changes are batched, or None
            if other gateways read the store for this one.
        find_wait: Returns the seconds for which a call may be held open.
        on_order: Called with each other row of the operators' table.

    Attributes:
        operator: Follower of the operators' table.
        endpoints: Follower of the runners' entries.
    """

    def __init__(
        self,
        store: PlatformStore,
        cluster: ClusterState,
        publish_entry: Callable[[str], None],
        publish_configuration: Callable[[], None],
        publish_evacuation: Callable[[str, int, bool], None],
        find_pause: Callable[[], float | None],
        find_wait: Callable[[], float],
        on_order: RowCallback,
    ) -> None:
        self._publish_evacuation = publish_evacuation
        self._on_order = on_order
        self._cluster = cluster
        self._publish_entry = publish_entry
        self._publish_configuration = publish_configuration
        self.operator = TableFollower(
            store,
            "operator",
            CONFIGURATION_TABLE,
            self._apply_operator_row,
            self._apply_operator_snapshot,
            lambda: None,
            find_pause,
            find_wait,
        )
        self.endpoints = TableFollower(
            store,
            "endpoints",
            ENDPOINT_TABLE,
            self._apply_endpoint_row,
            self._apply_snapshot,
            cluster.handle_store_recovery,
            find_pause,
            find_wait,
        )

    @property
    def lost(self) -> bool:
        """Whether the store does not answer this gateway."""
        return self.operator.lost or self.endpoints.lost

    def find_age(self) -> float | None:
        """Return the larger age of the tables' last answers, if both exist."""
        ages = self.operator.find_age(), self.endpoints.find_age()
        return None if None in ages else max(age or 0.0 for age in ages)

    def list_ages(self) -> list[tuple[str, float]]:
        """Return tables that were answered, with seconds since then."""
        tables = (self.operator, self.endpoints)
        ages = [(table.name, table.find_age()) for table in tables]
        return [(name, age) for name, age in ages if age is not None]

    def handle_new_era(self) -> None:
        """Read all tables, as the store was restored from an older copy."""
        self.operator.handle_new_era()
        self.endpoints.handle_new_era()

    def restart(self) -> None:
        """Read all tables again, over new connections."""
        self.operator.restart()
        self.endpoints.restart()

    async def run(self) -> None:
        """Follow all tables until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.operator.run())
            group.create_task(self.endpoints.run())

    def _apply_operator_row(self, row: FeedRow) -> None:
        domain = parse_evacuated_domain(row.key)
        if domain is not None:
            self._apply_evacuation(domain, row.version, row.value is not None)
            return
        if row.key != CONFIGURATION_KEY or row.value is None:
            self._on_order(row)
            return
        if self._cluster.apply_configuration(row.value, "store"):
            self._publish_configuration()

    def _apply_operator_snapshot(self, page: Page) -> None:
        """Withdraw evacuations whose order is missing in a full read."""
        ordered = {parse_evacuated_domain(row.key) for row in page.rows}
        for domain in self._cluster.evacuated_domains - ordered:
            self._apply_evacuation(domain, page.version, False)

    def _apply_evacuation(
        self, domain: str, version: int, active: bool
    ) -> None:
        if self._cluster.apply_evacuation(domain, version, active, "store"):
            self._publish_evacuation(domain, version, active)

    def _apply_endpoint_row(self, row: FeedRow) -> None:
        if self._cluster.apply_entry(row.key, row.version, row.value, "store"):
            self._publish_entry(row.key)

    def _apply_snapshot(self, page: Page) -> None:
        """Delete entries that are missing in a full read."""
        present = {row.key for row in page.rows}
        for key, entry in list(self._cluster.entries.items()):
            if key not in present and entry.endpoint is not None:
                self._apply_endpoint_row(FeedRow(key, page.version, None))
