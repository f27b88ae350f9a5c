"""Store access of one gateway in simulated time, with network faults."""

import asyncio
from urllib.parse import urlsplit

from lagoonpost.http.client import CallFailedError
from lagoonpost.http.message import Address, Headers, Request, Response
from lagoonpost_standins.rows import RowStore

ROUND_TRIP_SECONDS = 0.006


class PlayedClient:
    """Replaces the HTTP client and calls a stand-in store directly.

    During a silent outage calls get no response, and calls that were in
    flight when the outage began never get one.
    """

    def __init__(self, rows: RowStore) -> None:
        self._rows = rows
        self._silent = False
        self._refused = False
        self._outages = 0
        self.calls = 0

    def begin_silence(self) -> None:
        """Stop responding to calls."""
        self._silent = True
        self._outages += 1

    def begin_refusal(self) -> None:
        """Refuse all new connections."""
        self._refused = True

    def end_silence(self) -> None:
        """Respond to new calls again."""
        self._silent = self._refused = False

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers = (),
        *,
        timeout: float,
    ) -> Response:
        """Call the store like `lagoonpost.http.client.Client.call`."""
        self.calls += 1
        if self._refused:
            raise CallFailedError("cannot connect", sent=False)
        parts = urlsplit(target)
        request = Request(
            method, parts.path, parts.query, headers, body, "host", target
        )
        try:
            async with asyncio.timeout(timeout):
                return await self._answer(request)
        except TimeoutError as error:
            raise CallFailedError("no answer in time", sent=True) from error

    async def _answer(self, request: Request) -> Response:
        outages = self._outages
        if not self._silent:
            await asyncio.sleep(ROUND_TRIP_SECONDS)
            answer = await self._rows._answer(request)
            if outages == self._outages:
                return answer
        await asyncio.Event().wait()
        raise AssertionError("a silent call was answered")
