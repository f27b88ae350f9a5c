"""Deletes expired rows of the booking ledger, a page at a time.

Pattern of load: rows come in with the bookings and go a week later, while the
store has only a few hundred writes a second for everybody. Deleting all that
expired overnight at once would take the store from the bookings; never
deleting would let it grow without end.

Thresholds: a page of 256 rows every ``PAGE_SECONDS`` costs one scan and at
most one write a second. It keeps up with 256 expiring rows a second only if
all rows of a page are expired; with a ledger of ``n`` live rows a round takes
``n / 256`` seconds, so rows outlive their time by that. With a million rows
that is about an hour.
"""

import asyncio

import eliot

from lagoonpost.store.lease import LeaseKeeper
from lagoonpost.store.ledger import sweep
from lagoonpost.store.store import Store

SHARD = "ledger-sweep"
PAGE_SECONDS = 1.0
ROUND_SECONDS = 600.0


async def sweep_ledger(
    store: Store,
    keeper: LeaseKeeper,
    page_seconds: float = PAGE_SECONDS,
    round_seconds: float = ROUND_SECONDS,
) -> None:
    """Sweep round after round while the lease is held.

    Two sweepers at once would do no harm, since rows are deleted only in the
    version that was seen; the lease saves the second one's scans.

    Args:
        store: Table service.
        keeper: Lease of the shard :data:`SHARD`.
        page_seconds: Pause after each page.
        round_seconds: Pause after each round.
    """
    after = ""
    while keeper.is_held():
        reached = await sweep(store, after)
        if reached == "":
            eliot.log_message(message_type="lagoonpost:controller:swept")
        # After an outage the round goes on where it was.
        after = after if reached is None else reached
        await asyncio.sleep(page_seconds if after else round_seconds)
