"""Tests of lagoonpost.store.table and of the platform stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response
from lagoonpost.http.server import Handler, Server
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from lagoonpost.store.table import TableStore
from lagoonpost_standins.platform import Platform
from lagoonpost_standins.service import Service, make_booking_answer

LOOPBACK = Address("127.0.0.1", 0)
T = TypeVar("T")


def _run_scenario(
    handler: Handler, scenario: Callable[[Client, Address], Awaitable[T]]
) -> T:
    async def serve() -> T:
        server = Server(handler)
        address = await server.start(LOOPBACK)
        client = Client()
        try:
            return await scenario(client, address)
        finally:
            client.close()
            await server.close(1.0)

    return asyncio.run(serve())


class TestTableStore:
    def test_inserts_once_and_shows_what_is_there(self) -> None:
        async def scenario(client: Client, address: Address) -> None:
            store = TableStore(client, address)
            absent = [Condition("a", 0)]
            first = await store.transact(absent, [Write("a", {"n": 1})])
            assert isinstance(first, Committed)
            again = await store.transact(absent, [Write("a", {"n": 2})])
            assert again == Conflict(first.rows)
            rows = await store.read(["b", "a"])
            assert rows == (Row("b", 0), first.rows[0])
            assert await store.scan("a") == first.rows

        _run_scenario(Platform().handle, scenario)

    def test_lost_reply_is_unknown_and_its_write_stays(self) -> None:
        async def scenario(client: Client, address: Address) -> None:
            store = TableStore(client, address)
            faults = msgspec.json.encode({"lose_replies": 1})
            await client.call(
                address, "POST", "/standin/faults", faults, timeout=5
            )
            outcome = await store.transact([], [Write("a", 1)])
            assert isinstance(outcome, Unavailable)
            assert outcome.applied is None
            rows = await store.read(["a"])
            assert not isinstance(rows, Unavailable)
            assert rows[0].value == 1

        _run_scenario(Platform().handle, scenario)

    def test_unreachable_store_surely_applied_nothing(self) -> None:
        async def scenario() -> None:
            server = Server(Platform().handle)
            address = await server.start(LOOPBACK)
            await server.close(0.0)
            outcome = await TableStore(Client(), address).transact(
                [], [Write("a", 1)]
            )
            assert isinstance(outcome, Unavailable)
            assert outcome.applied is False

        asyncio.run(scenario())


class TestService:
    def test_counts_runs_per_key_and_answers_by_body(self) -> None:
        service = Service()

        async def scenario(client: Client, address: Address) -> Response:
            return await client.call(
                address,
                "POST",
                "/book",
                b"pitch 7",
                (("idempotency-key", "k"),),
                timeout=5,
            )

        answer = _run_scenario(service.handle, scenario)
        assert answer.body == make_booking_answer(b"pitch 7").body
        assert service.runs == {"k": 1}

    def test_cut_after_the_effect_still_counts(self) -> None:
        service = Service()
        service.faults = {"cut": "after"}

        async def scenario(client: Client, address: Address) -> bool:
            try:
                await client.call(address, "POST", "/book", timeout=5)
            except CallFailedError as error:
                return error.sent
            return False

        assert _run_scenario(service.handle, scenario)
        assert service.runs.total() == 1


class TestPlatform:
    def test_host_list_lags_behind_a_release(self) -> None:
        platform = Platform()
        name = platform.cloud.buy({"failure_domain": "a"})["name"]
        platform.cloud.lag = 60.0
        assert platform.cloud.list_hosts() == []
        platform.cloud.lag = 0.0
        assert [host["name"] for host in platform.cloud.list_hosts()] == [name]
        assert platform.cloud.release(name)
        assert platform.cloud.list_hosts() == []
