"""Runs bookings at most once, recording each in the ledger in the store."""

import asyncio
import math
import secrets
import time
from collections.abc import Callable
from typing import Protocol, cast

import msgspec

from lagoonpost.store.clock import read_clock
from lagoonpost.store.group_commit import GroupWriter
from lagoonpost.store.health import StoreHealth
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Store,
    Unavailable,
    Write,
)
from lagoonpost.systems.booking import (
    Action,
    Answered,
    ChooseRunner,
    Event,
    Lost,
    NoReply,
    NoRunner,
    NotRun,
    Outcome,
    Put,
    RowConflict,
    RunnerChosen,
    SendRequest,
    Stored,
)
from lagoonpost.systems.ledger import (
    Attempt,
    LedgerPolicy,
    begin,
    find_expired,
    make_claim,
    may_dispatch,
    step,
)
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.ledger import ANY_DIGEST, LedgerEntry
from lagoonpost.unreadable import read_row

LEDGER_PREFIX = "ledger/"
NONCE_BYTES = 16
DEFAULT_POLICY = LedgerPolicy()


class Dispatcher(Protocol):
    """Chooses runners for one booking and sends the booking to them."""

    async def choose(self) -> RunnerChosen | NoRunner:
        """Choose the next runner for the booking."""

    async def send(
        self, may_send: Callable[[], bool]
    ) -> Answered | NotRun | Lost:
        """Send the booking to the chosen runner.

        Args:
            may_send: Called right before the first byte is sent; if it
                returns False, nothing is sent.
        """


class Ledger:
    """Runs bookings, each at most once.

    Args:
        store: Table service.
        gateway: Name of this process, written into claims.
        policy: Timeouts and retention times of the ledger.
    """

    def __init__(
        self,
        store: Store,
        gateway: str,
        policy: LedgerPolicy = DEFAULT_POLICY,
    ) -> None:
        self._gateway = gateway
        self._policy = policy
        self._health = StoreHealth(store)
        self._writer = GroupWriter(store, self._health)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run_booking(
        self, key: str, digest: str, timeout: float, dispatcher: Dispatcher
    ) -> Outcome:
        """Run a booking unless its key has been used.

        The attempt continues if the caller is cancelled, and also after the
        outcome is known until it is recorded in the ledger.

        Args:
            key: Key of the ledger row.
            digest: Digest of the request.
            timeout: Seconds the runner has to answer.
            dispatcher: Chooses runners and sends the booking to them.

        Returns:
            The outcome of this attempt or of the earlier one with this key.
        """
        claim = make_claim(
            secrets.token_hex(NONCE_BYTES),
            digest,
            self._gateway,
            time.time(),
            timeout,
            self._policy,
        )
        answer = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._run(key, claim, dispatcher, answer))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._finish_task(task, answer))
        outcome: Outcome = await answer
        return outcome

    def get_outage_seconds(self) -> float:
        """Return the duration of the current store outage in seconds."""
        return self._health.get_outage_seconds()

    async def close(self, grace: float) -> None:
        """Wait up to ``grace`` seconds for open attempts, then cancel them."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=grace)
        for task in tuple(self._tasks):
            task.cancel()
        self._health.close()

    async def _run(
        self,
        key: str,
        claim: LedgerEntry,
        dispatcher: Dispatcher,
        answer: asyncio.Future[Outcome],
    ) -> None:
        attempt, actions = begin(claim, read_clock(), self._policy)
        while actions:
            action = actions.pop(0)
            event = await self._perform(key, attempt, action, dispatcher)
            if event is not None:
                attempt, actions = step(attempt, event, read_clock())
            elif not answer.done():
                answer.set_result(action)  # type: ignore[arg-type]

    async def _perform(
        self,
        key: str,
        attempt: Attempt,
        action: Action,
        dispatcher: Dispatcher,
    ) -> Event | None:
        """Perform ``action``; return None if it is the caller's outcome."""
        match action:
            case Put(version, entry, delay):
                if delay:
                    await asyncio.sleep(delay)
                return await self._put(key, version, entry)
            case ChooseRunner():
                return await dispatcher.choose()
            case SendRequest():
                return await dispatcher.send(
                    lambda: may_dispatch(attempt, read_clock())
                )
        return None

    async def _put(self, key: str, version: int, entry: LedgerEntry) -> Event:
        value = msgspec.to_builtins(entry)
        match await self._writer.put(key, version, value):
            case Row() as row:
                return Stored(row.version)
            case Conflict(rows):
                return RowConflict(rows[0].version, _read_entry(rows[0]))
            case Unavailable(_, applied):
                return NoReply(applied)

    def _finish_task(
        self, task: asyncio.Task[None], answer: asyncio.Future[Outcome]
    ) -> None:
        self._tasks.discard(task)
        if answer.done():
            return
        if task.cancelled():
            answer.cancel()
            return
        error = task.exception()
        answer.set_exception(
            error or AssertionError("the attempt ended without an outcome")
        )


def _read_entry(row: Row) -> LedgerEntry | None:
    """Return the entry in a row; None for an absent row.

    One that can't be read may be that of a booking that ran, so it counts as
    lost: it matches every request, and the booking does not run again.
    """
    if not row.version:
        return None
    entry = read_row(row.key, row.value, LedgerEntry)
    if isinstance(entry, Unreadable):
        return LedgerEntry("lost", "", ANY_DIGEST, "", 0.0, 0.0, math.inf)
    return cast(LedgerEntry, entry)


async def delete_expired(
    store: Store, after: str, limit: int = 256
) -> str | None:
    """Delete the expired rows of one page of the ledger.

    Args:
        store: Table service.
        after: Last key of the previous page; empty for the first page.
        limit: Maximum number of rows in a page and in one transaction.

    Returns:
        Last key of this page; empty after the last page; None if the store
        did not answer.
    """
    rows = await store.scan(LEDGER_PREFIX, after, limit)
    if isinstance(rows, Unavailable):
        return None
    versions = {row.key: row.version for row in rows}
    entries = {
        row.key: entry
        for row in rows
        if (entry := _read_entry(row)) is not None
    }
    expired = find_expired(entries, time.time())
    if expired:
        # If a row changes concurrently, the whole transaction fails; the next
        # sweep deletes the rows that are still expired.
        outcome = await store.transact(
            [Condition(key, versions[key]) for key in expired],
            [Write(key, None) for key in expired],
        )
        if not isinstance(outcome, Committed | Conflict):
            return None
    return rows[-1].key if len(rows) == limit else ""
