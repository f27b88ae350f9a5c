"""Deletes expired rows of the booking ledger, a page at a time.

Load pattern: each booking adds a row that expires after a week, and the store
handles only a few hundred writes a second for all its clients. Deleting a
night's expired rows at once would starve the bookings; without deletion the
ledger would grow without bound.

Thresholds: a page of 256 rows every ``PAGE_SECONDS`` costs one scan and at
most one write a second. The sweep keeps up with 256 expiring rows a second
only if all rows of a page are expired. With ``n`` live rows a round takes
``n / 256`` seconds, and rows stay that much longer than their expiry: about
an hour with a million rows.
"""

import asyncio

import eliot

from lagoonpost.store.lease import LeaseManager
from lagoonpost.store.ledger import delete_expired
from lagoonpost.store.store import Store

SHARD = "ledger-sweep"
PAGE_SECONDS = 1.0
ROUND_SECONDS = 600.0


async def sweep_ledger(
    store: Store,
    keeper: LeaseManager,
    page_seconds: float = PAGE_SECONDS,
    round_seconds: float = ROUND_SECONDS,
) -> None:
    """Delete expired rows in repeated rounds while the lease is held.

    Concurrent sweepers would be harmless, because a row is deleted only in
    the version that was read. The lease avoids the cost of duplicate scans.

    Args:
        store: Table store with the ledger.
        keeper: Keeper of the lease of shard :data:`SHARD`.
        page_seconds: Pause after each page, in seconds.
        round_seconds: Pause after each round, in seconds.
    """
    after = ""
    while keeper.is_held():
        reached = await delete_expired(store, after)
        if reached == "":
            eliot.log_message(message_type="lagoonpost:controller:swept")
        # After an outage the round resumes at the same row.
        after = after if reached is None else reached
        await asyncio.sleep(page_seconds if after else round_seconds)
