"""Tests for gateways that lose the path to runners."""

import asyncio
from collections.abc import Callable
from typing import Literal

import pytest
from forwarding_stack import Stack, make_prompt, play

from lagoonpost.forwarding.daemon import ForwardingDaemon
from lagoonpost.http.client import CallFailedError, Socket
from lagoonpost.http.message import Address, Response

CutMode = Literal["refuse", "hang"]
"""How new connections fail: at once, or when their time has passed."""
CUT_MODES: tuple[CutMode, ...] = ("refuse", "hang")


def cut_path(
    stack: Stack,
    daemon: ForwardingDaemon,
    mode: CutMode,
    is_cut: Callable[[str], bool] = lambda runner: True,
) -> Callable[[], None]:
    """Make new connections from a gateway to runners fail.

    Args:
        stack: The deployment.
        daemon: The gateway.
        mode: How the connections fail.
        is_cut: Whether the connections to a runner fail, by its id.

    Returns:
        A function that ends the partition.
    """
    connect = daemon._client.connect

    async def fail(address: Address, seconds: float) -> Socket:
        runners = (id_ for id_, r in stack.runners.items() if is_cut(id_))
        if all(address != stack.runners[id_].address for id_ in runners):
            return await connect(address, seconds)
        if mode == "hang":
            await asyncio.sleep(seconds)
        raise CallFailedError(f"cannot connect to {address}", sent=False)

    def heal() -> None:
        daemon._client.connect = connect

    daemon._client.connect = fail
    return heal


async def call_each(stack: Stack, count: int = 1) -> list[Response]:
    """Send requests of each kind to the first gateway, one by one."""
    answers = []
    for number in range(count):
        answers += [
            await stack.call(f"/check/{number}"),
            await stack.call(f"/book/{number}", "POST", b"{}"),
            await stack.call(
                f"/draft/{number}", "POST", b"{}", headers=make_prompt()
            ),
        ]
    return answers


class TestPartitionedGateway:
    @pytest.mark.parametrize("mode", CUT_MODES)
    def test_its_callers_are_served(self, mode):
        """Guards against refusing what other gateways' runners could serve."""

        async def scenario(stack: Stack):
            cut_path(stack, stack.gateways[0], mode)
            return await call_each(stack, 3)

        answers = play(scenario, gateways=3)
        assert [answer.status for answer in answers] == [200] * 9
        assert all(a.header("response-signature") for a in answers)
