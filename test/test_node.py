"""Tests of lagoonpost.peers.node over real loopback sockets."""

import asyncio
from collections.abc import Callable, Sequence

from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.message import Document, FetchRequest, HandOver
from lagoonpost.peers.node import Peers, PeerSettings
from lagoonpost.tables.fact import Fact

ANY_PORT = Address("127.0.0.1", 0)
LEAVING = Fact("runner_leaving", "runner-1", 1)
REQUEST = HandOver("r-1", "w", "s", b"{}", ("a ",), "runner-1", 9.0, True)


def make_peers(
    name: str,
    seeds: Sequence[Address],
    address: Address = ANY_PORT,
    **handlers: Callable[..., object],
) -> Peers:
    settings = PeerSettings(
        name, "gateway", "north", "north-1", address, tuple(seeds)
    )
    ignore: Callable[[object], None] = lambda rows: None  # noqa: E731
    return Peers(settings, ignore, ignore, **handlers)


async def start_all(count: int, **handlers: object) -> list[Peers]:
    started: list[Peers] = []
    seeds: list[Address] = []
    for number in range(count):
        peers = make_peers(f"gateway-{number}", seeds, **handlers)
        seeds.append(await peers.start())
        assert await peers.wait_current(20)
        started.append(peers)
    return started


async def wait_for(condition: Callable[[], bool]) -> None:
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("condition not met within 20 s")


async def close_all(members: Sequence[Peers]) -> None:
    await asyncio.gather(*(peers.close() for peers in members))


class TestPeers:
    def test_fact_reaches_all(self):
        async def run():
            members = await start_all(5)
            members[3].publish(LEAVING)
            await wait_for(
                lambda: all(
                    peers.facts("runner_leaving") == (LEAVING,)
                    for peers in members
                )
            )
            await close_all(members)

        asyncio.run(run())

    def test_fact_is_known_once_current(self):
        """Guards against offering requests to a runner known to be leaving.

        With the store down, a restarted gateway must synchronize with its
        peers before it serves.
        """

        async def run():
            first = make_peers("gateway-0", ())
            seed = await first.start()
            first.publish(LEAVING)
            second = make_peers("gateway-1", (seed,))
            await second.start()
            assert not second.current()
            assert await second.wait_current(20)
            assert second.facts("runner_leaving") == (LEAVING,)
            await close_all([first, second])

        asyncio.run(run())

    def test_made_before_the_loop_runs(self):
        """Guards against a daemon that starts but is unreachable by peers.

        If the server is constructed before the loop runs, grpclib binds it
        to another loop, which never runs.
        """
        first = make_peers("gateway-0", ())

        async def run():
            seed = await first.start()
            second = make_peers("gateway-1", (seed,))
            await second.start()
            await wait_for(lambda: len(second.members()) == 2)
            await close_all([first, second])

        asyncio.run(run())

    def test_first_of_all_is_current_alone(self):
        async def run():
            departed = make_peers("gateway-0", ())
            seed = await departed.start()
            await departed.close()
            alone = make_peers("gateway-1", (seed,))
            await alone.start()
            assert await alone.wait_current(20)
            await alone.close()

        asyncio.run(run())

    def test_left_member_is_gone_for_all(self):
        async def run():
            members = await start_all(3)
            await members[1].close()
            await wait_for(
                lambda: (
                    len(members[0].members()) == 2
                    and len(members[2].members()) == 2
                )
            )
            await close_all([members[0], members[2]])

        asyncio.run(run())


class TestFetch:
    def test_all_documents_come_in_order(self):
        def find(kind: str, after: int) -> list[Document]:
            known = [Document(n, b"x" * 100_000) for n in range(9, 0, -1)]
            return [row for row in known if row.number > after]

        async def run():
            members = await start_all(2, on_fetch=find)
            fetched = await members[0].fetch(
                members[1].me, FetchRequest("ticket", 2)
            )
            assert [row.number for row in fetched] == [3, 4, 5, 6, 7, 8, 9]
            await close_all(members)

        asyncio.run(run())

    def test_lost_peer_is_no_answer(self):
        async def run():
            members = await start_all(2)
            lost = members[1].me
            await members[1].close()
            assert (
                await members[0].fetch(lost, FetchRequest("ticket", 0)) is None
            )
            await members[0].close()

        asyncio.run(run())


class TestHandOver:
    def test_request_is_taken_once_though_asked_twice(self):
        """Guards against running a handed-over request twice.

        If the reply to a hand-over is lost, the leaving gateway retries with
        the same request.
        """
        taken: list[HandOver] = []

        async def take(request: HandOver) -> bool:
            taken.append(request)
            return True

        async def run():
            members = await start_all(2, on_hand_over=take)
            for _ in range(2):
                assert await members[0].hand_over(members[1].me, REQUEST)
            assert taken == [REQUEST]
            await close_all(members)

        asyncio.run(run())

    def test_refused_request_may_be_asked_again(self):
        answers = [False, True]

        async def take(request: HandOver) -> bool:
            return answers.pop(0)

        async def run():
            members = await start_all(2, on_hand_over=take)
            giver, taker = members
            assert not await giver.hand_over(taker.me, REQUEST)
            assert await giver.hand_over(taker.me, REQUEST)
            await close_all(members)

        asyncio.run(run())

    def test_lost_peer_takes_nothing(self):
        async def run():
            members = await start_all(2)
            lost = members[1].me
            await members[1].close()
            assert not await members[0].hand_over(lost, REQUEST)
            await members[0].close()

        asyncio.run(run())


class TestBadInput:
    def test_garbage_leaves_the_member_running(self):
        async def run():
            members = await start_all(2)
            address = parse_address(members[0].me.address)
            _, writer = await asyncio.open_connection(*address)
            writer.write(b"\x00" * 4096)
            writer.close()
            members[0].publish(LEAVING)
            await wait_for(lambda: members[1].facts("runner_leaving") != ())
            await close_all(members)

        asyncio.run(run())
