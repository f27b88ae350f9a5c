"""Quotas over real gateways, counted by the runs that runners begin."""

import asyncio

import pytest
from forwarding_stack import (
    KEY,
    Stack,
    make_configuration,
    make_prompt,
    make_route,
    play,
)

RATE, COST = 60.0, 3.0
SLACK = 110.0
BOUNDS = {
    "quota_window_s": 4,
    "quota_overage": 0.1,
    "quota_slack": SLACK,
    "retry_budget_ratio": 1.0,
    "budget_min_retries": 1000,
}
PROMISE = 1.1 * (4 * RATE + RATE) + SLACK
TENANT = {
    "name": "pottery",
    "api_keys": [KEY],
    "rate_per_s": RATE,
    "burst": RATE,
    "unit": "tokens",
}
CONFIGURATION = make_configuration(
    tenants=[TENANT],
    routes=[make_route("check", "safe", "desk", max_attempts=2)],
)


def find_most_units(stack: Stack) -> float:
    """Return the most units of runs that runners began in one window."""
    times = sorted(
        each.at
        for runner in stack.runners.values()
        for each in runner.received
        if each.ran and each.request.header("token-count")
    )
    window = BOUNDS["quota_window_s"]
    return COST * max(
        (sum(start <= at < start + window for at in times) for start in times),
        default=0,
    )


async def press(stack: Stack, seconds: float) -> list[int]:
    """Send several times the rate through all gateways; return statuses."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    statuses: list[int] = []

    async def send(gateway: int) -> None:
        while loop.time() < end:
            answer = await stack.call(
                "/check/1", gateway=gateway, headers=make_prompt(2, 1)
            )
            statuses.append(answer.status)
            await asyncio.sleep(0.05)

    senders = [
        send(gateway)
        for gateway in range(len(stack.entries))
        for _ in range(5)
    ]
    await asyncio.gather(*senders)
    return statuses


class TestRuns:
    @pytest.mark.parametrize("fault", ["none", "reset_after", "fail"])
    def test_second_tries_stay_within_the_quota(self, fault):
        """Guards against runs beyond the first that are not charged."""

        async def story(stack: Stack) -> tuple[float, set[int]]:
            await press(stack, 1.0)
            stack.set_fault(fault)
            statuses = await press(stack, 4.0)
            return find_most_units(stack), set(statuses)

        most, statuses = play(
            story,
            gateways=3,
            desk=3,
            configuration=CONFIGURATION,
            bounds=BOUNDS,
        )
        assert 0 < most <= PROMISE
        assert 429 in statuses

    def test_a_request_that_no_runner_ran_is_not_charged(self):
        """Guards against refusals for what did not run."""

        async def story(stack: Stack) -> set[int]:
            stack.set_fault("full")
            await press(stack, 1.0)
            await asyncio.sleep(1.0)
            stack.set_fault("none")
            statuses = await press(stack, 0.5)
            return set(statuses)

        statuses = play(
            story,
            gateways=1,
            desk=3,
            configuration=CONFIGURATION,
            bounds=BOUNDS,
        )
        assert 200 in statuses

    def test_a_killed_issuer_is_passed_over(self):
        """Guards against a quota that nobody grants without its issuer."""

        async def story(stack: Stack) -> tuple[float, int]:
            await press(stack, 1.0)
            name = stack.gateways[0]._cluster.find_roles().hubs
            issuer = stack.gateways[0]._forwarder.admission.charges
            chosen = issuer._cluster.issuers.choose("pottery")
            number = 0 if chosen is None else int(chosen.name[-1]) - 1
            assert name
            await stack.gateways[number].abort()
            left = [n for n in range(3) if n != number]
            entries = [stack.entries[n] for n in left]
            stack.entries = entries
            await asyncio.sleep(4.0)
            statuses = await press(stack, 2.0)
            return find_most_units(stack), statuses.count(200)

        most, served = play(
            story,
            gateways=3,
            desk=3,
            configuration=CONFIGURATION,
            bounds=BOUNDS,
        )
        assert most <= PROMISE
        assert served * COST >= RATE
