"""Tests of gateways before runners that a part of a prompt crashes."""

import asyncio
import itertools
import time
from collections import Counter
from typing import NamedTuple

from forwarding_stack import Stack, play

from lagoonpost.http.message import Headers
from lagoonpost_standins.runner import RunnerStandin

CRASHES_BEFORE = 5
CONTACT_SECONDS = 3.0
"""Time after the fifth crash from which requests count as late."""
LATE_ALLOWED = 3
PLAY_SECONDS = 9.0
DOWN_SECONDS = 0.4
GUILTY, SOUND, OTHER = "f00d", "cafe", "beef"
_numbers = itertools.count(1)


class Played(NamedTuple):
    """What came of a play.

    Attributes:
        crashes: Number of crashes.
        late: Requests with the guilty part that reached runners too late.
        statuses: Answers to sound requests by status, at the end.
    """

    crashes: int
    late: int
    statuses: Counter[int]


def make_parts(*parts: str) -> Headers:
    """Return the headers of a prompt whose last part nobody else has."""
    own = f"{next(_numbers):x}ffff"
    words = ",".join(f"{part}:400" for part in (*parts, own))
    tokens = str(400 * (len(parts) + 1))
    return (
        ("model", "m"),
        ("token-count", f"{tokens},20"),
        ("prompt-prefix", words),
    )


def make_crash(stack: Stack, part: str) -> None:
    """Let a part crash all runners; they return as new incarnations."""
    born = itertools.count(2000)

    async def register(runner: RunnerStandin) -> None:
        await stack.register(runner.id, born=next(born))

    for id_, runner in stack.runners.items():
        if id_.startswith("chat"):
            runner.crash_part = part
            runner.down_seconds = DOWN_SECONDS
            runner.on_return = register


async def send_drafts(
    stack: Stack, parts: tuple[str, ...], pause: float, until: float
) -> Counter[int]:
    """Send drafts that are no two alike; return their answers by status."""
    calls = []
    while time.monotonic() < until:
        number = next(_numbers)
        calls.append(
            asyncio.create_task(
                stack.call(
                    f"/draft/{number}",
                    "POST",
                    b"%d" % number,
                    headers=make_parts(*parts),
                    gateway=number % len(stack.entries),
                )
            )
        )
        await asyncio.sleep(pause)
    answers = await asyncio.gather(*calls, return_exceptions=True)
    return Counter(getattr(each, "status", 0) for each in answers)


def count_late(stack: Stack) -> tuple[int, int]:
    """Return the crashes, and the requests that came too late after them."""
    crashes = sorted(
        at for runner in stack.runners.values() for at in runner.crashes
    )
    if len(crashes) < CRASHES_BEFORE:
        return len(crashes), 0
    since = crashes[CRASHES_BEFORE - 1] + CONTACT_SECONDS
    late = sum(
        each.at > since
        and GUILTY in (each.request.header("prompt-prefix") or "")
        for runner in stack.runners.values()
        for each in runner.received
    )
    return len(crashes), late


class TestForwarding:
    def test_requests_that_share_a_part_do_not_crash_runners_for_ever(self):
        """Guards against a part that crashes runners in ever new requests."""

        async def story(stack: Stack) -> Played:
            until = time.monotonic() + PLAY_SECONDS
            make_crash(stack, GUILTY)
            guilty = send_drafts(stack, (SOUND, GUILTY), 0.2, until)
            sound = send_drafts(stack, (SOUND, OTHER), 0.1, until - 1.0)
            await asyncio.gather(guilty, sound)
            crashes, late = count_late(stack)
            after = time.monotonic() + 0.5
            statuses = await send_drafts(stack, (SOUND, OTHER), 0.05, after)
            return Played(crashes, late, statuses)

        played = play(story, gateways=3, chat=6)
        assert played.crashes >= 1
        assert played.late <= LATE_ALLOWED
        assert set(played.statuses) == {200}
