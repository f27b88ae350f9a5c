"""Reserves retries in the store, in one record for each service."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import eliot

from lagoonpost.forwarding.quota_recorder import ClockedStore
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from lagoonpost.systems.budget import HOLD_SECONDS, RetryBudget
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.retry import Reservation
from lagoonpost.unreadable import log_unreadable, read_row

RETRIES_PREFIX = "retries/"
STORE_PAUSE_SECONDS = 1.0
"""Pause after a failed call: each call is billed."""
MAX_CONFLICTS = 4
"""Calls for one reservation while other gateways reserve."""
CONFLICT_PAUSE_SECONDS = 0.02
"""Longest random pause after a conflict: a few calls to the store."""
MAX_CLOCK_ERROR_SECONDS = 60.0
"""Largest difference between two gateways' estimates of the store's clock,
which are as old as the latest answer of a slow store."""


@dataclass
class _Record:
    """The record of one service, as far as it is known.

    Attributes:
        version: Version of its row; None if it has to be read.
        closed_until: Time in seconds before which nothing can be reserved.
    """

    version: int | None = None
    closed_until: float = 0.0


class RetryRecorder:
    """Writes the reservations of this gateway.

    Args:
        store: Store that holds the records.
        is_store_lost: Returns whether the store doesn't answer this gateway.
        rng: Source of random pauses.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        store: ClockedStore,
        is_store_lost: Callable[[], bool],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._is_store_lost = is_store_lost
        self._rng = rng
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._closed_until = 0.0

    def close_until(self, until: float) -> None:
        """Reserve nothing before a time, as the store has lost some rows."""
        self._closed_until = until
        self.forget()

    def forget(self) -> None:
        """Read all records again, as the budgets have lost what they hold."""
        self._records.clear()

    def may_reserve(self, service: str) -> bool:
        """Return whether a reservation may succeed now."""
        until = max(self._closed_until, self._find(service).closed_until)
        return self._clock() >= until and not self._is_store_lost()

    async def reserve(
        self,
        service: str,
        budget: RetryBudget,
        count_wanted: Callable[[], int],
    ) -> None:
        """Reserve the retries that are wanted, as many as are left.

        Args:
            service: Name of the service.
            budget: The budget that the reservation is for.
            count_wanted: Returns the number of retries that are wanted.
        """
        try:
            async with asyncio.timeout(HOLD_SECONDS):
                for _ in range(MAX_CONFLICTS):
                    if await self._try(service, budget, count_wanted()):
                        return
                    pause = self._rng.uniform(0.0, CONFLICT_PAUSE_SECONDS)
                    await asyncio.sleep(pause)
            self._close(service, CONFLICT_PAUSE_SECONDS)
        except TimeoutError:
            self._note_failure(service, "no answer in time")

    async def _try(
        self, service: str, budget: RetryBudget, wanted: int
    ) -> bool:
        """Try to reserve; return False if another gateway did meanwhile."""
        record = self._find(service)
        key = RETRIES_PREFIX + service
        if record.version is None:
            rows = await self._store.read([key])
            if isinstance(rows, Unavailable):
                return self._note_failure(service, rows.detail)
            self._note_row(rows[0], record, budget)
        store_now = self._store.clock.estimate_now()
        if store_now is None:
            return self._note_failure(service, "the store's clock is unknown")
        # One is for a later request if those that waited have given up.
        units = budget.plan_reservation(max(1, wanted), store_now)
        if not units:
            self._close(service, budget.find_release(store_now))
            return True
        called_at = self._clock()
        later = [*budget.list_reservations(), Reservation(store_now, units)]
        outcome = await self._store.transact(
            [Condition(key, record.version or 0)],
            [Write(key, [list(each) for each in later])],
        )
        match outcome:
            case Unavailable(detail):
                return self._note_failure(service, detail)
            case Conflict(rows):
                self._note_row(rows[0], record, budget)
                return False
            case Committed(rows):
                record.version = rows[0].version
                budget.set_reservations(later)
                budget.hold(units, called_at)
                eliot.log_message(
                    message_type="lagoonpost:forwarding:retries_reserved",
                    service=service,
                    units=units,
                    took=round(self._clock() - called_at, 4),
                )
        return True

    def _note_row(
        self, row: Row, record: _Record, budget: RetryBudget
    ) -> None:
        """Record what a row holds.

        One that can't be read is overwritten once all that it may hold has
        left the window.
        """
        store_now = self._store.clock.estimate_now()
        if store_now is None:
            return
        record.version = row.version
        reservations = _read_reservations(row, store_now)
        if reservations is None:
            budget.assume_reserved(store_now)
        else:
            budget.set_reservations(reservations)

    def _note_failure(self, service: str, detail: str) -> bool:
        # The write may have taken effect, or may do so later.
        self._find(service).version = None
        self._close(service, STORE_PAUSE_SECONDS)
        eliot.log_message(
            message_type="lagoonpost:forwarding:retries_not_reserved",
            service=service,
            detail=detail,
        )
        return True

    def _close(self, service: str, seconds: float) -> None:
        self._find(service).closed_until = self._clock() + seconds

    def _find(self, service: str) -> _Record:
        return self._records.setdefault(service, _Record())


def _read_reservations(row: Row, store_now: float) -> list[Reservation] | None:
    """Return the reservations in a row; None if it is unreadable."""
    if not row.version:
        return []
    found = read_row(row.key, row.value, list[Reservation])
    if isinstance(found, Unreadable):
        return None
    latest = store_now + MAX_CLOCK_ERROR_SECONDS
    if any(each.at > latest for each in found):
        # It would never leave the window.
        log_unreadable("row", row.key, "a reservation of a later time")
        return None
    return list(found)
