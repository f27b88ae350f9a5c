"""Answers of the platform's store that can't be read."""

import asyncio

import pytest

from lagoonpost.http.message import Address, Response
from lagoonpost.platform.store import PlatformStore
from lagoonpost.store.store import Condition, Unavailable, Write


class _Client:
    """A client whose answers all have the same status and body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._answer = Response(status, (), body)

    async def call(self, *request, timeout: float) -> Response:
        return self._answer


class TestUnreadable:
    @pytest.mark.parametrize("status", [200, 412])
    @pytest.mark.parametrize("body", [b"", b"    ", b"[]", b'{"rows": 1}'])
    def test_one_counts_as_no_answer(self, status, body):
        """Guards against a gateway that ends by an answer of the store."""

        async def call_all() -> list[object]:
            store = PlatformStore(_Client(status, body), Address("h", 1))
            return [
                await store.transact([Condition("a", 1)], [Write("a", 1)]),
                await store.read(["a"]),
                await store.scan("a"),
                await store.read_table("servers"),
                await store.follow_table("servers", 1, 0.0),
                await store.read_status("a"),
                await store.write_status("a", 1, {}),
            ]

        outcomes = asyncio.run(call_all())
        assert all(isinstance(each, Unavailable) for each in outcomes)
