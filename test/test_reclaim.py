"""Tests of lagoonpost.gateway.reclaim and of a gateway's phase."""

import asyncio
import time

import pytest
from stack import Stack, play

from lagoonpost.gateway.peering import Peering
from lagoonpost.gateway.state import Gateway
from lagoonpost.http.message import Address


async def wait_for_runner(gateway: Gateway, runner: str) -> None:
    async with asyncio.timeout(20):
        while not gateway.is_leaving(runner):  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def wait_for_phase(gateway: Gateway, phase: str) -> None:
    async with asyncio.timeout(20):
        while gateway.phase != phase:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


class TestNoticeWatch:
    def test_tells_of_a_runner_that_is_declared_after_the_notice(
        self,
    ) -> None:
        """Guards against sending new work to a runner on a reclaimed host.

        A gateway that starts after the notice sees it before it has the
        declaration. It must still apply the notice once the runner of that
        host is declared.
        """

        async def story(stack: Stack) -> None:
            gateway = stack.gateways[0]._gateway
            deadline = time.time() + 30.0
            notice = {"host": "host-engine-9", "deadline": deadline}
            stack.platform.cloud.notices.append(notice)
            # Long enough for several polls of the notices.
            await asyncio.sleep(1.5)
            stack.addresses["engine-9"] = Address("127.0.0.1", 9)
            runner = stack.declare_runner("engine-9", 0)
            await stack.submit(2, {"runners": {"engine-9": runner}})
            await wait_for_runner(gateway, "engine-9")
            assert not gateway.is_leaving("engine-1")

        play(story)

    def test_ignores_a_notice_that_is_long_past(self) -> None:
        async def story(stack: Stack) -> None:
            gateway = stack.gateways[0]._gateway
            past = {"host": "host-engine-1", "deadline": time.time() - 3600}
            soon = {"host": "host-engine-2", "deadline": time.time() + 30}
            stack.platform.cloud.notices += [past, soon]
            await wait_for_runner(gateway, "engine-2")
            assert not gateway.is_leaving("engine-1")

        play(story)


class TestPhase:
    def test_is_stale_without_news_and_serves_if_nobody_is_there(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against serving with outdated facts after a freeze.

        A gateway that was frozen does not know which runners have left. It
        must not serve before a peer has updated it. If no peer is reachable,
        it serves with the store's data alone.
        """

        async def story(stack: Stack) -> None:
            gateway = stack.gateways[0]._gateway
            assert gateway.phase == "serving"
            monkeypatch.setattr(Peering, "is_current", lambda _: False)
            await wait_for_phase(gateway, "stale")
            await wait_for_phase(gateway, "serving")

        play(story)
