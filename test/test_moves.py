"""Tests of lagoonpost.gateway.moves with gateways and engines."""

import asyncio
import time
from datetime import UTC, datetime
from typing import Any

import msgspec
from stack import CHAT, FAST, OPERATOR_KEY, Stack, make_chat, play
from test_gateway import PROMPT

from lagoonpost.systems.move import MoveRow
from lagoonpost.systems.rollout import Rollout
from lagoonpost.tables.entity import Version, VersionMove
from lagoonpost_standins.engine_fault import Faults

# Number of requests sent after the rollback: at the first share of 1 in 100,
# some 15 of them would reach a version that is still in use.
AFTER = 1500
BUSY = FAST._replace(token_rate=2000.0, slots=64)


async def declare_move(stack: Stack, seconds: float) -> None:
    """Declare a second version on the last engine and a move to it."""
    name = list(stack.engines)[-1]
    runner = stack.declare_runner(name, 2) | {"version": "v2"}
    by = datetime.fromtimestamp(time.time() + seconds, UTC).isoformat()
    await stack.submit(
        2,
        {
            "versions": {"assistant/v2": {"share": 0.0}},
            "runners": {name: runner},
            "moves": {"assistant": {"from": "v1", "to": "v2", "by": by}},
        },
    )


async def read_move(stack: Stack, gateway: int) -> dict[str, Any]:
    answer = await stack.call(
        "GET", "/v1/status", key=OPERATOR_KEY, gateway=gateway
    )
    moves: list[dict[str, Any]] = msgspec.json.decode(answer.body)["moves"]
    return moves[0] if moves else {}


async def wait_outcome(stack: Stack, outcome: str) -> list[dict[str, Any]]:
    count = len(stack.gateways)
    async with asyncio.timeout(60):
        while True:
            moves = [await read_move(stack, n) for n in range(count)]
            if all(move.get("outcome") == outcome for move in moves):
                return moves
            await asyncio.sleep(0.1)


async def send_drafts(
    stack: Stack, until: asyncio.Event, statuses: list[int]
) -> None:
    """Send chat requests to all gateways until ``until`` is set."""

    async def send(number: int) -> None:
        body = make_chat(f"{PROMPT} {number}", 3)
        gateway = number % len(stack.gateways)
        answer = await stack.call("POST", CHAT, body, gateway=gateway)
        statuses.append(answer.status)

    number = 0
    while not until.is_set():
        await asyncio.gather(*(send(number + n) for n in range(8)))
        number += 8


class TestVersionMoves:
    def test_a_bad_version_is_taken_back_everywhere(self) -> None:
        """Guards against a bad version that stays in use on some gateways.

        The new version fails every request. It gets a hundredth of the
        requests of a third of the gateways. Failed requests are retried on
        the old version, and after the rollback no gateway uses the new one.
        """

        async def story(stack: Stack) -> tuple[list[Any], list[int], int]:
            bad = stack.engines["engine-3"]
            bad.set_faults(Faults(fail_status=500))
            await declare_move(stack, 120.0)
            ended = asyncio.Event()
            statuses: list[int] = []
            sending = asyncio.create_task(send_drafts(stack, ended, statuses))
            moves = await wait_outcome(stack, "taken_back")
            # The engine recovers, so that the rollback alone, and not the
            # ejection of its runner, keeps requests away from it.
            bad.set_faults(Faults())
            seen = bad.counts.requests + bad.counts.refused
            enough = len(statuses) + AFTER
            while len(statuses) < enough:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            after = bad.counts.requests + bad.counts.refused
            ended.set()
            await sending
            return moves, statuses, after - seen

        moves, statuses, late = play(
            story, gateways=3, engines=3, options=BUSY
        )
        assert {move["reason"] for move in moves} == {
            f"failed on {CHAT}",
        }
        assert set(statuses) == {200}
        assert late == 0

    def test_a_deadline_too_near_is_said_at_once(self) -> None:
        async def story(stack: Stack) -> list[Any]:
            await declare_move(stack, 5.0)
            return await wait_outcome(stack, "taken_back")

        moves = play(story, gateways=2, engines=3)
        for move in moves:
            assert move["reason"].startswith("too near")
            assert move["share"] == 0

    def test_a_replaced_move_has_no_share(self) -> None:
        """Guards against traffic for a bad version after its replacement.

        A bad version was rolled back, and a move to a fixed version replaces
        its move. The share of the new move must not go to the bad version.
        """

        async def story(stack: Stack) -> dict[str, float]:
            gateway = stack.gateways[0]._gateway
            now = time.time()
            bad = VersionMove("assistant", "v1", "v2", now + 900, 2)
            fixed = VersionMove("assistant", "v1", "v3", now + 900, 3)
            gateway.moves._rollouts = {
                "assistant/2": Rollout(
                    MoveRow(bad, now - 900, now + 800, "taken_back"), 1
                ),
                "assistant/3": Rollout(
                    MoveRow(fixed, now - 900, now + 100), 1
                ),
            }
            runners = (
                runner._replace(version="v3")
                if runner.name == "engine-1"
                else runner
                for runner in gateway.declaration.runners
            )
            gateway.declaration = gateway.declaration._replace(
                moves=(fixed,),
                runners=tuple(runners),
                versions=tuple(
                    Version("assistant", name, share)
                    for name, share in (("v1", 1.0), ("v2", 0.0), ("v3", 0.0))
                ),
            )
            await gateway.moves.tick(now)
            applied = gateway.moves.apply_shares(gateway.declaration)
            return {
                version.name: version.share for version in applied.versions
            }

        shares = play(story)
        assert shares["v2"] == 0.0
        assert shares["v3"] == 1.0 - shares["v1"] == 0.75
