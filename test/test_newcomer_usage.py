"""Quotas at a gateway that was killed alone and has just started again."""

import asyncio

import pytest
from forwarding_stack import wait_until
from test_reports import Crowd

from lagoonpost.systems.quota import Quotas
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds

BOUNDS = QuotaBounds(window=8.0, overage=0.1, slack=110_000)
SMALL = Workspace("small", ("k",), rate=52_000, by_tokens=True)
USED_EVENLY = [(0.5 + age, 0.9 * SMALL.rate) for age in range(8)]
TAKEN = {"pottery": [(0.5, 7.0)]}
LONG_AGO, NOW = -60_000, 0


def make_crowd(*incarnations: int) -> Crowd:
    """Return a full mesh whose clocks are at ``NOW``."""
    crowd = Crowd()
    crowd.members[:] = [
        member._replace(incarnation=incarnation)
        for member, incarnation in zip(
            crowd.members, incarnations, strict=False
        )
    ]
    return crowd


class TestNewcomer:
    def test_it_gets_the_use_of_all_from_one_that_ran_on(self):
        """Guards against a restart after which a whole burst is assumed.

        In a full mesh a gateway that is killed alone starts with the store's
        record and assumes a burst beside it, although those that ran on know
        what was used.
        """

        async def story() -> None:
            async with make_crowd(LONG_AGO, LONG_AGO, NOW) as crowd:
                newcomer = crowd.delegates[2]
                await wait_until(lambda: newcomer.taken == TAKEN)
                assert not crowd.delegates[0].taken
                assert not crowd.delegates[1].taken

        asyncio.run(story())

    @pytest.mark.parametrize("others", [(NOW, NOW), (LONG_AGO,) * 6])
    def test_it_takes_none_from_those_that_know_as_little(self, others):
        """Guards against sums of gateways that started at the same time.

        Nor does it take those of a gateway that hears less than half of the
        others, as after a suspension.
        """

        async def story() -> None:
            crowd = make_crowd(*others, NOW)
            heard = (0, len(others))
            for number in heard:
                await crowd.reports[number].start()
            tasks = [
                asyncio.create_task(crowd.reports[number].run())
                for number in heard
            ]
            first, newcomer = (crowd.reports[number] for number in heard)
            await wait_until(lambda: len(first.list_fresh_reports()) > 0)
            await asyncio.sleep(1.0)
            assert not crowd.delegates[heard[1]].taken
            for task in tasks:
                task.cancel()
            first.close()
            newcomer.close()

        asyncio.run(story())

    def test_what_is_owed_is_admitted_by_the_sums(self):
        """Guards against refusals for a burst that nobody used."""
        quota = Quotas(BOUNDS, started=8.0)
        quota.prior_usage.load_records({"small": USED_EVENLY}, 8.0)
        assert quota.take(SMALL, 45_000, 1.0, 8.1, 16) is not None
        quota.replace_with_summary({"small": USED_EVENLY}, 8.0, 8.1)
        assert quota.take(SMALL, 45_000, 1.0, 8.1, 16) is None
