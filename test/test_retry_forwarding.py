"""Repeats over real gateways, counted where they arrive."""

import asyncio
from collections import Counter

import pytest
from forwarding_stack import Stack, play, wait_until

FLOOR = 8
BOUNDS = {
    "retry_budget_ratio": 0.0,
    "budget_min_retries": FLOOR,
    "budget_window_s": 60,
}


def count_repeats(stack: Stack) -> int:
    """Return the arrivals at runners beyond the first of each request."""
    arrivals = Counter(
        received.request.header("attempt-id")
        for runner in stack.runners.values()
        for received in runner.received
    )
    return sum(arrivals.values()) - len(arrivals)


async def send(stack: Stack, gateways: list[int]) -> None:
    """Send checks to gateways, which all runners reject."""
    for number in range(10):
        calls = [stack.call(f"/check/{number}", gateway=g) for g in gateways]
        await asyncio.gather(*calls)


class TestRepeats:
    def test_kills_of_all_gateways_do_not_renew_the_budget(self):
        """Guards against repeats beyond the budget after each restart."""

        async def story(stack: Stack) -> tuple[int, int]:
            stack.set_fault("full", "desk")
            await send(stack, [0])
            before = count_repeats(stack)
            for run in (1, 2):
                await stack.gateways[-1].abort()
                daemon = await stack.add_gateway()
                await wait_until(
                    lambda d=daemon: all(map(d.view.is_known, stack.runners))
                )
                await send(stack, [run])
            return before, count_repeats(stack)

        before, after = play(story, desk=3, bounds=BOUNDS)
        assert 0 < before <= after <= FLOOR

    def test_changed_bounds_do_not_renew_the_budget(self):
        """Guards against a floor that a reload of the settings gives again."""

        async def story(stack: Stack) -> tuple[int, int]:
            stack.set_fault("full", "desk")
            await send(stack, [0])
            before = count_repeats(stack)
            retries = stack.gateways[0]._forwarder.retries
            for seconds in (61.0, 62.0):
                bounds = retries._bounds._replace(budget_window=seconds)
                retries.set_bounds(bounds)
                await send(stack, [0])
            return before, count_repeats(stack)

        before, after = play(story, desk=3, bounds=BOUNDS)
        assert 0 < before <= after <= FLOOR

    @pytest.mark.parametrize("gateways", [1, 3])
    def test_a_silent_store_grants_none_beyond_the_requests(self, gateways):
        """Guards against a floor that is spent unrecorded in an outage."""

        async def story(stack: Stack) -> int:
            stack.set_fault("full", "desk")
            stack.store.outage = "silent"
            await send(stack, list(range(gateways)))
            return count_repeats(stack)

        assert play(story, gateways=gateways, desk=3, bounds=BOUNDS) == 0
