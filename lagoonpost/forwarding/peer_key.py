"""The key by which gateways accept each other's requests for tunnels.

It lies in the store, which only the processes of this system can call. The
first gateway draws it at random and the others read it, before it is needed:
the store may be away when a gateway loses the path to runners.
"""

import asyncio
import hmac
import random
import secrets
from typing import Annotated

import eliot
from msgspec import Meta

from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Store,
    Unavailable,
    Write,
    pause_after_failure,
)
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.unreadable import read_row

KEY_ROW = "peer/key"
KEY_BYTES = 32
_Key = Annotated[str, Meta(min_length=2 * KEY_BYTES)]
"""A key in hexadecimal. A shorter one could be guessed."""
MAX_KEYS = 2
"""Keys that are accepted: a store that comes back from an older copy may have
lost the key, and gateways learn the new one at different times."""
MAX_START_DELAY_SECONDS = 0.4
REFRESH_SECONDS = 2.0
"""Shortest pause between reads that an unknown key causes."""


class PeerKey:
    """Reads the key, and draws it if there is none.

    Args:
        store: The store.
        rng: Source of the delay of the first read.
    """

    def __init__(self, store: Store, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._keys: list[str] = []
        self._wanted = asyncio.Event()
        self._wanted.set()

    @property
    def current(self) -> str | None:
        """The key to show to other gateways; None before it is known."""
        return self._keys[0] if self._keys else None

    def accepts(self, key: str) -> bool:
        """Return whether another gateway shows a valid key.

        An unknown one may be newer than those known here, so it causes a
        read of the store.
        """
        shown = key.encode()
        if any(hmac.compare_digest(k.encode(), shown) for k in self._keys):
            return True
        self.refresh()
        return False

    def refresh(self) -> None:
        """Read the key again soon."""
        self._wanted.set()

    async def run(self) -> None:
        """Read the key whenever it is wanted, until cancelled."""
        loop = asyncio.get_running_loop()
        # Gateways that start together would all find no key and write one.
        await asyncio.sleep(self._rng.uniform(0.0, MAX_START_DELAY_SECONDS))
        while True:
            await self._wanted.wait()
            began = loop.time()
            key = await self._read()
            if key is None:
                await pause_after_failure(loop.time() - began)
                continue
            self._wanted.clear()
            if key not in self._keys:
                self._keys = [key, *self._keys][:MAX_KEYS]
                eliot.log_message(message_type="lagoonpost:peers:key")
            await asyncio.sleep(REFRESH_SECONDS)

    async def _read(self) -> str | None:
        rows = await self._store.read([KEY_ROW])
        if isinstance(rows, Unavailable):
            return None
        key = _read_key(rows[0])
        if key is not None:
            return key
        # In place of a row that can't be read, the key in use is kept.
        outcome = await self._store.transact(
            [Condition(KEY_ROW, rows[0].version)],
            [Write(KEY_ROW, self.current or secrets.token_hex(KEY_BYTES))],
        )
        if isinstance(outcome, Committed | Conflict) and outcome.rows:
            return _read_key(outcome.rows[0])
        return None


def _read_key(row: Row) -> str | None:
    """Return the key in a row; None if it is absent or unreadable."""
    if not row.version:
        return None
    key = read_row(row.key, row.value, _Key)
    return None if isinstance(key, Unreadable) else key
