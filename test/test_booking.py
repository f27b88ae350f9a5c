"""Tests of lagoonpost.gateway.booking over HTTP against stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from random import Random

import msgspec
import pytest

from lagoonpost.gateway.booking import BookingCall, Bookings
from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response
from lagoonpost.http.server import Handler, Server
from lagoonpost.store.group_commit import GroupWriter
from lagoonpost.store.health import StoreHealth
from lagoonpost.store.ledger import Ledger, delete_expired
from lagoonpost.store.store import Conflict, Row, Write
from lagoonpost.store.table import TableStore
from lagoonpost.systems.event import Refuse
from lagoonpost.systems.ledger import LedgerPolicy
from lagoonpost.tables.entity import Runner
from lagoonpost_standins.platform import Platform
from lagoonpost_standins.service import Service, make_booking_answer

LOOPBACK = Address("127.0.0.1", 0)
BODY = b'{"pitch": 7}\r\n\x00\xff'
CALL = BookingCall(
    "request-1", "seller", "key-1", "POST", "/book", (), BODY, "pitches", 5.0
)
POLICY = LedgerPolicy()


class World(AsyncExitStack):
    """Two gateways that share one platform and one service."""

    def __init__(self, policy: LedgerPolicy = POLICY) -> None:
        super().__init__()
        self.platform = Platform()
        self.service = Service()
        self.policy = policy
        self.runners: list[Runner] = []
        self.failures: list[tuple[str | None, str | None]] = []

    async def start(self) -> None:
        self.client = Client()
        self.callback(self.client.close)
        self.table = await self.serve(self.platform.handle)
        self.add_runner(await self.serve(self.service.handle))
        self.gateways = [self.make_gateway(name) for name in "ab"]

    async def serve(self, handler: Handler) -> Address:
        server = Server(handler)
        address = await server.start(LOOPBACK)
        self.push_async_callback(server.close, 1.0)
        return address

    def make_gateway(self, name: str) -> Bookings:
        store = TableStore(self.client, self.table, timeout=1.0)
        bookings = Bookings(
            Ledger(store, name, self.policy), self.client, Random(1)
        )
        self.push_async_callback(bookings.close, 0.0)
        return bookings

    def add_runner(self, address: Address) -> None:
        name = f"runner-{len(self.runners)}"
        self.runners.append(
            Runner(name, str(address), "pitches", "1", "host", "a")
        )

    async def book(
        self, call: BookingCall = CALL, gateway: int = 0
    ) -> Response:
        left = list(self.runners)

        async def place(
            failed: str | None, kind: str | None
        ) -> Runner | Refuse:
            self.failures.append((failed, kind))
            if not left:
                return Refuse(call.request_id, 503, "no_runner", 1.0)
            return left.pop(0)

        return await self.gateways[gateway].book(call, place)

    async def wait_for_claim(self) -> None:
        async with asyncio.timeout(20.0):
            while not self.platform.table.scan("ledger/"):  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def book_until_taken(self, call: BookingCall = CALL) -> Response:
        async with asyncio.timeout(20.0):
            while True:
                answer = await self.book(call, 1)
                if answer.status == 200:
                    return answer
                await asyncio.sleep(0.1)


def play(
    story: Callable[[World], Awaitable[None]],
    policy: LedgerPolicy = POLICY,
) -> None:
    async def run() -> None:
        async with World(policy) as world:
            await world.start()
            await story(world)

    asyncio.run(run())


def check_problem(answer: Response, status: int, execution: str) -> None:
    assert answer.status == status
    assert answer.header("content-type") == "application/problem+json"
    assert msgspec.json.decode(answer.body)["execution"] == execution


def get_runs(world: World) -> int:
    return world.service.runs.total()


class TestBooking:
    def test_answer_and_its_repeat_pass_byte_for_byte(self) -> None:
        async def story(world: World) -> None:
            first = await world.book()
            assert first == make_booking_answer(BODY)._replace(
                headers=first.headers
            )
            assert await world.book_until_taken() == first
            assert get_runs(world) == 1

        play(story)

    def test_key_with_another_body_is_refused(self) -> None:
        async def story(world: World) -> None:
            await world.book()
            other = await world.book(CALL._replace(body=b"x"), 1)
            check_problem(other, 422, "not_run")
            assert get_runs(world) == 1

        play(story)

    def test_same_key_of_another_workspace_is_another_booking(self) -> None:
        async def story(world: World) -> None:
            await world.book()
            other = await world.book(CALL._replace(workspace="other"), 1)
            assert other.status == 200
            assert get_runs(world) == 2

        play(story)

    def test_call_without_key_is_not_repeated(self) -> None:
        """Guards against a double booking without an idempotency key.

        The runner books and dies before it answers. A retry on another
        runner would book twice.
        """

        async def story(world: World) -> None:
            world.service.faults = {"cut": "after"}
            world.runners.append(world.runners[0])
            answer = await world.book(CALL._replace(key=None))
            check_problem(answer, 502, "unknown")
            assert answer.header("retry-after")
            assert get_runs(world) == 1

        play(story)

    def test_at_once_at_two_gateways_runs_once(self) -> None:
        """Guards against a double booking by concurrent requests.

        A caller gives up on a slow booking and retries at another gateway.
        Of the two requests in flight, only one may reach a runner.
        """

        async def story(world: World) -> None:
            world.service.faults = {"slow": 0.3}
            answers = await asyncio.gather(
                world.book(gateway=0), world.book(gateway=1)
            )
            assert sorted(answer.status for answer in answers) == [200, 409]
            assert get_runs(world) == 1

        play(story)

    def test_runner_that_refuses_is_followed_by_another(self) -> None:
        async def story(world: World) -> None:
            world.service.faults = {"refuse": 1}
            world.runners.append(world.runners[0]._replace(name="second"))
            answer = await world.book()
            assert answer.status == 200
            assert world.failures == [(None, None), ("runner-0", "refused")]
            assert get_runs(world) == 1

        play(story)

    def test_unreachable_runner_is_followed_by_another(self) -> None:
        async def story(world: World) -> None:
            server = Server(world.service.handle)
            closed = await server.start(LOOPBACK)
            await server.close(0.0)
            gone = Runner("gone", str(closed), "pitches", "1", "host", "a")
            world.runners.insert(0, gone)
            assert (await world.book()).status == 200
            assert world.failures[1] == ("gone", "unreached")

        play(story)

    def test_refused_booking_runs_on_its_next_try(self) -> None:
        """Guards against a retry that is blocked by its own earlier claim.

        All runners refuse the first attempt as busy. The retry must run
        instead of being answered "in progress".
        """

        async def story(world: World) -> None:
            world.service.faults = {"refuse": 1}
            refused = await world.book()
            check_problem(refused, 503, "not_run")
            assert refused.header("retry-after") == "1"
            assert (await world.book(gateway=1)).status == 200
            assert get_runs(world) == 1

        play(story)

    def test_dispatch_after_its_bound_is_not_sent(self) -> None:
        """Guards against a booking that is dispatched after its deadline.

        A gateway freezes after its claim and resumes much later. The dispatch
        deadline has passed by then, so the booking is voided, not run.
        """

        async def story(world: World) -> None:
            check_problem(await world.book(), 503, "not_run")
            assert get_runs(world) == 0

        play(story, LedgerPolicy(dispatch_timeout=-1.0))

    def test_cancelled_caller_leaves_a_recorded_answer(self) -> None:
        """A caller disconnects during its booking and retries."""

        async def story(world: World) -> None:
            world.service.faults = {"slow": 0.2}
            first = asyncio.create_task(world.book())
            await world.wait_for_claim()
            first.cancel()
            again = await world.book_until_taken()
            assert again.body == make_booking_answer(BODY).body
            assert get_runs(world) == 1

        play(story)


class TestStoreFaults:
    def test_lost_reply_to_the_claim_costs_nothing(self) -> None:
        async def story(world: World) -> None:
            world.platform.faults = {"lose_replies": 1}
            assert (await world.book()).status == 200
            assert get_runs(world) == 1

        play(story)

    def test_silent_store_refuses_later_bookings_at_once(self) -> None:
        """Guards against waiting for a store that does not reply.

        The first booking may have left a claim, so its outcome is unknown.
        Later bookings are refused as not run without a call to the store.
        """

        async def story(world: World) -> None:
            world.platform.faults = {"down": True}
            check_problem(await world.book(), 502, "unknown")
            calls = world.platform.counts["dropped"]
            later = CALL._replace(key="key-2")
            check_problem(await world.book(later), 503, "not_run")
            assert world.platform.counts["dropped"] == calls
            world.platform.faults = {}
            await world.book_until_taken(later)
            assert get_runs(world) == 1

        play(story)

    def test_callers_of_an_outage_come_back_apart(self) -> None:
        """Guards against synchronized retries after a store outage.

        Twenty bookings are refused while the store is down. With one retry
        delay, all would retry in the second in which the store recovers and
        overload it again.
        """

        async def story(world: World) -> None:
            world.platform.faults = {"down": True}
            await world.book()
            delays = set()
            for number in range(20):
                answer = await world.book(CALL._replace(key=f"key-{number}"))
                delays.add(msgspec.json.decode(answer.body)["retry_after"])
            # Delays are rounded to milliseconds, so two may be equal.
            assert len(delays) > 15

        play(story)

    def test_lost_reply_to_the_void_ends_as_unknown(self) -> None:
        """Guards against "not run" for a key that is still claimed.

        No runner is free, and the store fails before the claim is voided.
        The void is retried in the background; then the booking runs.
        """

        async def story(world: World) -> None:
            runners, world.runners = world.runners, []

            async def place(*failure: str | None) -> Refuse:
                world.platform.faults = {"down": True}
                return Refuse("request-1", 503, "no_runner", 1.0)

            answer = await world.gateways[0].book(CALL, place)
            check_problem(answer, 502, "unknown")
            world.platform.faults = {}
            world.runners = runners
            await world.book_until_taken()
            assert get_runs(world) == 1

        play(story)

    def test_answer_is_recorded_after_an_outage(self) -> None:
        """Guards against an answer that is lost in a store outage.

        The store fails while the booking runs. The caller gets its answer at
        once, and a later repeat gets the same answer.
        """

        async def story(world: World) -> None:
            world.service.faults = {"slow": 0.5}
            first = asyncio.create_task(world.book())
            await world.wait_for_claim()
            world.platform.faults = {"down": True}
            assert (await first).status == 200
            world.platform.faults = {}
            assert await world.book_until_taken() == await first
            assert get_runs(world) == 1

        play(story)


class TestGroupCommit:
    def test_bookings_at_once_share_transactions(self) -> None:
        async def story(world: World) -> None:
            calls = [
                CALL._replace(key=f"key-{number}") for number in range(50)
            ]
            answers = await asyncio.gather(*map(world.book, calls))
            assert {answer.status for answer in answers} == {200}
            assert get_runs(world) == 50
            assert world.platform.counts["transact"] < 50

        play(story)

    def test_conflict_of_one_does_not_disturb_the_others(self) -> None:
        async def story(world: World) -> None:
            store = TableStore(world.client, world.table)
            await store.transact([], [Write("taken", 1)])
            writer = GroupWriter(store, StoreHealth(store))
            first, taken, free = await asyncio.gather(
                writer.put("first", 0, 1),
                writer.put("taken", 0, 1),
                writer.put("free", 0, 1),
            )
            assert isinstance(first, Row)
            assert isinstance(taken, Conflict)
            assert isinstance(free, Row)

        play(story)


class TestSweep:
    def test_deletes_expired_rows_only(self) -> None:
        async def story(world: World) -> None:
            await world.book()
            await world.book_until_taken()
            store = TableStore(world.client, world.table)
            rows = len(world.platform.table.scan("ledger/"))
            assert await delete_expired(store, "") == ""
            left = len(world.platform.table.scan("ledger/"))
            assert (rows, left) == (1, int(world.policy.retention > 0))

        play(story)
        play(story, LedgerPolicy(retention=-1000.0))


class TestMaySend:
    def test_nothing_leaves_when_it_is_too_late(self) -> None:
        async def story(world: World) -> None:
            with pytest.raises(CallFailedError) as failure:
                await world.client.call(
                    world.table,
                    "POST",
                    "/v1/read",
                    timeout=1.0,
                    may_send=lambda: False,
                )
            assert not failure.value.sent
            assert world.platform.counts == {}

        play(story)
